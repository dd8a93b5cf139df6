// One tanagerledged as a process of its own, with its settings and its log in
// files. Ends only what it started, by its id.

#ifndef TANAGERLEDGE_SOAK_NODE_PROCESS_H_
#define TANAGERLEDGE_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace tanagerledge::soak {

class NodeProcess {
 public:
  NodeProcess(std::string program, std::string settings_path);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Starts it; its output goes behind that of its earlier starts. False when
  // the program can't be started.
  bool Start();
  // Does nothing when it does not run.
  void Signal(int number) const;
  // Takes note of its end. The exit code once it has ended by itself, -N when
  // signal N ended it; nothing while it runs.
  std::optional<int> Reap();
  bool running() const { return this->pid > 0; }

 private:
  const std::string program;
  const std::string settings;
  pid_t pid = 0;
  std::optional<int> ended;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_NODE_PROCESS_H_
