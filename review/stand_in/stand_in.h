// Stand-ins for the review: the platform's store, endpoints, clients and the
// platform itself. They follow the pages PROTOCOL.md and DEPLOY.md and speak to
// real nodes, which run as separate processes on loopback addresses.

#ifndef REVIEW_STAND_IN_STAND_IN_H_
#define REVIEW_STAND_IN_STAND_IN_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Time and record -------------------------------------------------------------

std::int64_t NowMs();   // Of the steady clock, since the start of the script.
std::int64_t UnixMs();  // The time of day.
void SleepMs(std::int64_t ms);

// Writes one line, with the time, to record.txt.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

// True unless TROUBLE=0 is set.
bool Trouble();

// HTTP ------------------------------------------------------------------------

struct Message {
  std::string start;  // Request or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// A connection with the bytes that were read and not used yet.
class Wire {
 public:
  explicit Wire(int descriptor) : fd(descriptor) {}
  ~Wire();
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  static std::unique_ptr<Wire> Connect(const std::string& address,
                                       int timeout_ms = 1000);
  bool Write(const std::string& bytes);
  // Reads one message; false when the connection ends or the time has passed.
  bool Read(Message& message, std::int64_t timeout_ms);
  bool open() const { return this->fd >= 0; }
  void Close();
  bool timed_out = false;  // The last Read ended by its time.

 private:
  bool Fill(std::int64_t until);

  int fd;
  std::string buffer;
};

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Wire&)>;
  Server(const std::string& address, Handler handler);
  ~Server();
  void Stop();

 private:
  int fd = -1;
  Handler handler;
  std::thread thread;
  std::atomic<bool> stopped{false};
};

int FreePort(const std::string& ip);

// The platform's store: POST /log-append, GET /log-newest, GET /log-read.
class Store {
 public:
  explicit Store(const std::string& address);
  // Writes the operator's configuration (op/config).
  void PutConfig(const std::string& json);
  void Stop();

 private:
  struct Topic {
    std::vector<std::string> records;
  };
  void Serve(Wire& wire);
  std::string Answer(const Message& request);

  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, Topic> topics;
  std::atomic<bool> stopped{false};
  std::unique_ptr<Server> server;
};

// Endpoints -------------------------------------------------------------------

struct Run {
  std::int64_t at_ms = 0;
  std::string id;
  std::string target;
};

class Endpoint {
 public:
  Endpoint(std::string id,
           std::string service,
           std::string address,
           std::string control_plane,
           std::string zone,
           int slots);
  ~Endpoint();

  // Starts to send heartbeats, one each 1.5 s.
  void StartBeats();
  void StopBeats();
  // Sends one heartbeat at once; true if it was acknowledged.
  bool Beat();
  // Sends `body` as a heartbeat of another writer under `instance`.
  int ForeignBeat(const std::string& instance, const std::string& body);
  // Reports draining; true if it was acknowledged.
  bool Drain();
  // Ends: closes the listener and all connections.
  void End();

  std::vector<Run> Runs();
  std::string BeatBody(bool with_born);

  const std::string id;
  const std::string service;
  const std::string address;
  const std::string control_plane;
  const std::string zone;
  const int slots;
  const std::int64_t born;
  std::atomic<int> work_ms{50};
  std::atomic<bool> draining{false};
  std::atomic<bool> ended{false};

 private:
  void Serve(Wire& wire);

  std::mutex mutex;
  std::mutex beat_mutex;
  std::vector<Run> runs;
  std::int64_t sequence = 0;
  std::atomic<bool> beating{false};
  std::thread beats;
  std::unique_ptr<Server> server;
};

// Nodes -----------------------------------------------------------------------

struct Ports {
  int node = 0;
  int front = 0;
  int admin = 0;
  int readiness = 0;
  int metrics = 0;
  int app = 0;
};

class Node {
 public:
  Node(std::string ip,
       std::string zone,
       std::string service,
       Ports node_ports,
       std::string store_address,
       std::vector<std::string> seeds,
       std::string folder);
  ~Node();
  void Start();
  void Signal(int number);
  // Waits for the end of the process; false when the time has passed.
  bool AwaitEnd(std::int64_t ms);
  bool Running();
  bool Ready();
  std::int64_t ResidentKb() const;

  std::string front() const;
  std::string admin() const;
  std::string app() const;

  const std::string ip;
  const std::string zone;
  const std::string service;
  const Ports ports;

 private:
  std::string RenderSettings() const;

  std::string store_address;
  std::vector<std::string> seeds;
  std::string folder;
  pid_t pid = -1;
};

// A fleet of nodes with one endpoint each, and the store.
struct Machine {
  std::unique_ptr<Node> node;
  std::unique_ptr<Endpoint> endpoint;
};

class Fleet {
 public:
  // `services`: the service of each machine, in zones a, b, c in turn.
  explicit Fleet(const std::vector<std::string>& services);
  ~Fleet();
  // Starts all nodes and endpoints and waits until they serve.
  bool Start(const std::string& config);
  bool AwaitReady(std::int64_t ms);

  std::unique_ptr<Store> store;
  std::vector<Machine> machines;
  std::string folder;
};

// Clients ---------------------------------------------------------------------

std::string NewId();

struct Request {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string body;
  int deadline_ms = 2000;
};

std::string Encode(const Request& request, const std::string& id);

struct Outcome {
  int status = 0;  // 0: no whole answer came.
  std::string id;
  bool timed_out = false;
  bool stamped = false;
};

// One request on the connection.
Outcome Call(Wire& wire, const Request& request);
// One request on a new connection.
Outcome CallOnce(const std::string& address, const Request& request);

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // REVIEW_STAND_IN_STAND_IN_H_
