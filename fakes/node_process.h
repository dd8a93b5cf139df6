// Runs one tanagerledged as a child process, which reads its settings from a
// file and writes its log to another one. Signals are sent only to this child,
// by its process id.

#ifndef TANAGERLEDGE_FAKES_NODE_PROCESS_H_
#define TANAGERLEDGE_FAKES_NODE_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace tanagerledge {

class NodeProcess {
 public:
  NodeProcess(std::string program, std::string settings_path);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Starts the process and appends its output to the log of earlier starts.
  // Returns false when the program can't be started.
  bool Start();
  // Sends a signal. Does nothing when the process does not run.
  void Signal(int number) const;
  // Checks whether the process has ended, without waiting. Returns its exit
  // code, or -N when signal N ended it, or nothing while it runs.
  std::optional<int> Reap();
  bool running() const { return this->pid > 0; }
  // The process id; 0 while it does not run.
  pid_t id() const { return this->pid; }

 private:
  const std::string program;
  const std::string settings;
  pid_t pid = 0;
  std::optional<int> ended;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_NODE_PROCESS_H_
