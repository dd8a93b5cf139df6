// Stand-ins for the scripts of this review: the platform's store, endpoints,
// clients, and the start of real nodes. Plain sockets and threads, so that they
// depend on the C++ library alone. They follow SYSTEM.md, DEPLOY.md and
// PROTOCOL.md; what a page leaves open they do like a sound program.

#ifndef TANAGERLEDGE_REVIEW_STAND_IN_2_MESH_H_
#define TANAGERLEDGE_REVIEW_STAND_IN_2_MESH_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mesh {

// Milliseconds of the steady clock, the same in all processes.
std::int64_t NowMs();
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);

// HTTP ------------------------------------------------------------------------

struct Message {
  std::string first;   // Method, or status as text.
  std::string target;  // Of a request.
  int status = 0;      // Of a response.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Header(const std::string& name) const;
};

class Connection {
 public:
  explicit Connection(int descriptor = -1) : fd(descriptor) {}
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // False if the connection can't be opened within the time.
  bool Open(const std::string& address, std::int64_t timeout_ms);
  bool Write(const std::string& bytes);
  // Nothing at the end of the connection, on an error or after the time.
  std::optional<Message> Read(bool response, std::int64_t timeout_ms);
  void Close();
  // Whether the other side has closed the connection, as far as it shows.
  bool IsClosed() const;
  // True when the last Read gave up because of its time.
  bool timed_out = false;

 private:
  int fd;
  std::string buffer;
};

// Answers requests of one connection after the other, each connection on a
// thread of its own. Returns false from the handler to close the connection.
int Listen(const std::string& address);

// Platform's store ------------------------------------------------------------

// Serves the log calls that a node makes, from a thread. One partition a topic.
class Store {
 public:
  void Start(const std::string& address);
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Topic {
    std::vector<std::string> records;
  };
  void Serve(int fd);
  std::string Answer(const Message& request);

  std::mutex mutex;
  std::map<std::string, Topic> topics;
};

// Processes -------------------------------------------------------------------

// Started children end with this process; EndAll ends them at once.
pid_t Start(const std::vector<std::string>& words,
            const std::map<std::string, std::string>& env,
            const std::string& log_file);
void Signal(pid_t pid, int number);
void EndAll();

struct NodeAddresses {
  std::string ip;
  std::string peer, front, admin, readiness, metrics, app;
};

// Free ports of a loopback address of its own.
NodeAddresses Reserve(int number);
std::string FreeAddress(const std::string& ip);
// Writes the settings as deploy/settings.ini has them for a small deployment.
std::string WriteSettings(const std::string& folder,
                          const NodeAddresses& node,
                          const std::string& zone,
                          const std::string& service,
                          const std::string& store);
pid_t StartNode(const std::string& program,
                const std::string& settings,
                const std::string& log_file);
bool AwaitReady(const std::string& readiness, std::int64_t timeout_ms);

// Clients ---------------------------------------------------------------------

struct Attempt {
  std::string id;
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string body;
  std::string extra;  // Header lines.
  std::int64_t deadline_ms = 1500;
  // The client closes its connection after this time; 0: it stays.
  std::int64_t leaves_after_ms = 0;
};
// The status; 0: the connection ended without an answer; -1: the client left.
int Send(const std::string& front, const Attempt& attempt);

std::string NewId();

}  // namespace mesh

#endif  // TANAGERLEDGE_REVIEW_STAND_IN_2_MESH_H_
