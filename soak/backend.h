// A backend server of the platform as the soak sees it: runs requests, writes
// down which, and announces itself to its node.

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
          CallerPlace own_place,
          std::string node_admin_address,
          std::uint64_t seed);

  // A crash and a new start at the same address, under another name.
  void StartAnew();
  void SetMoody(bool next) { this->moody = next; }
  // Some work is long, and some makes a call of its own by the node.
  void SetBusy(bool next) { this->busy = next; }

  // Says that it goes, suddenly or by heartbeats that say so, stays on, and is
  // replaced. One of its earlier heartbeats arrives late meanwhile. Waits.
  struct Leave {
    bool sudden = false;
    bool keeps_name = false;  // The next start has the same one.
    std::chrono::milliseconds stays{0};
    std::chrono::milliseconds late_beat_after{0};
  };
  void RunLeave(const Leave& leave);
  Proxy& link() { return *this->proxy; }
  void Close();

 private:
  std::optional<HttpResponse> Answer(const HttpRequest& request);
  int Work(const HttpRequest& request);
  void CheckLeave(const std::string& id);
  void Beat();
  std::string BeatBody(const char* state);
  bool Tell(const char* method, const std::string& body);
  void TellLeave();
  bool Draw(double chance);
  int Between(int least, int most);

  IoLoop& loop;
  Ledger& ledger;
  const CallerPlace place;
  const std::string admin_address;
  std::mt19937_64 random;
  Caller own_calls;
  HttpServer server;
  std::unique_ptr<Proxy> proxy;
  std::string instance;
  int starts = 0;
  int beats = 0;
  std::int64_t born_ms = 0;
  std::string last_ready;  // Body of the last heartbeat before a leave.
  std::optional<Leave> leaving;
  std::optional<Instant> acknowledged;  // The leave, by the node.
  bool moody = false;  // Refuses some requests and loses some answers.
  bool busy = false;
  bool closed = false;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_BACKEND_H_
