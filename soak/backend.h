// Simulated backend server of the platform: runs requests, records each run in
// the ledger and registers with its node by heartbeats.

#ifndef TANAGERLEDGE_SOAK_BACKEND_H_
#define TANAGERLEDGE_SOAK_BACKEND_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "soak/caller.h"
#include "soak/ledger.h"
#include "soak/proxy.h"
#include "src/adapters/http_message.h"
#include "src/adapters/http_server.h"
#include "tanagerledge/types.h"

namespace tanagerledge::soak {

class Backend {
 public:
  Backend(IoLoop& loop,
          Ledger& ledger,
          CallerIdentity own_identity,
          std::string node_admin_address,
          std::uint64_t seed);

  // Simulates a crash and a restart at the same address. The instance id
  // changes, except after a leave with `keeps_instance`.
  void Restart();
  // While flaky, the server refuses some requests and loses some answers.
  void SetFlaky(bool value) { this->flaky = value; }
  // While busy, some requests take long, some make nested calls through the
  // node, and the announced number of slots is lower. Another writer sends odd
  // heartbeats to the node.
  void SetBusy(bool value) { this->busy = value; }

  // How a backend server leaves: it announces the leave, goes on running for
  // `linger`, and then restarts as its own replacement. After
  // `stale_heartbeat_delay`, the last heartbeat from before the leave is sent
  // once more, as if it had been delayed on its way.
  struct Leave {
    bool abrupt = false;  // Deregisters at once instead of draining first.
    bool keeps_instance = false;  // The replacement has the same instance id.
    std::chrono::milliseconds linger{0};
    std::chrono::milliseconds stale_heartbeat_delay{0};
  };
  // Runs a whole leave and returns after the restart. Does nothing while an
  // earlier leave is in progress.
  void RunLeave(const Leave& leave);
  Proxy& link() { return *this->proxy; }
  void Close();

 private:
  std::optional<HttpResponse> Answer(const HttpRequest& request);
  int RunRequest(const HttpRequest& request);
  void CheckRequestAfterLeave(const std::string& id);
  void SendHeartbeat();
  void SendOddHeartbeat();
  std::string HeartbeatBody(const char* state);
  bool SendToNode(const char* method, const std::string& body);
  bool SendToNode(const char* method,
                  const std::string& named_instance,
                  const std::string& body);
  void AnnounceLeave();
  bool DrawBool(double probability);
  int DrawInt(int min_value, int max_value);

  IoLoop& loop;
  Ledger& ledger;
  const CallerIdentity identity;
  const std::string admin_address;
  std::mt19937_64 random;
  std::mt19937_64 odd_random;  // For the messages of another writer.
  Caller nested_caller;
  HttpServer server;
  std::unique_ptr<Proxy> proxy;
  std::string instance;
  int start_count = 0;
  int heartbeat_count = 0;
  std::int64_t born_ms = 0;
  std::string last_ready_heartbeat;  // Body of the last one before a leave.
  std::optional<Leave> leaving;
  std::optional<Instant> leave_acknowledged_at;  // By the node.
  bool flaky = false;
  bool busy = false;
  bool closed = false;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_BACKEND_H_
