// A stand-in for a backend server.
//
// It announces itself to the node beside it and answers any path after a
// service time. It has slots and sheds beyond them, starts cold, drains,
// refuses expired work, counts runs for each idempotency key, and misbehaves
// when told so:
//
//   POST /faults {"slow_factor": 10, "fail_fast": true, "shed": true,
//                 "drop": true}
//   GET  /stats
//
// A request with `poison` in its path ends the process while it runs.

#ifndef TANAGERLEDGE_FAKES_BACKEND_H_
#define TANAGERLEDGE_FAKES_BACKEND_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_client.h"
#include "src/adapters/http_server.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct FakeBackendConfig {
  ServiceName service;
  std::string address;        // Where it listens: ip:port.
  std::string admin_address;  // Of the node beside it; empty: it is alone.
  int slots = 13;
  int connections = 130;
  std::chrono::microseconds service_time{20'000};  // Mean; half to 3/2 of it.
  bool fixed_service_time = false;                 // Each call takes the mean.
  std::chrono::milliseconds warm_up{0};  // Three times slower for so long.
  std::uint64_t seed = 1;
  bool trace = false;  // Writes a line for each keyed run: `ran KEY unix_us`.
};

class FakeBackend {
 public:
  FakeBackend(IoLoop& io_loop, FakeBackendConfig backend_config);

  // Starts to listen and to announce itself; the address bound.
  tl::expected<std::string, std::string> Start();

  // Tells the node beside it, then waits until no call runs. In a fiber.
  void Drain(std::chrono::milliseconds timeout);

  // Ends everything at once. In a fiber.
  void Close();

 private:
  std::optional<HttpResponse> Answer(const HttpRequest& request);
  std::optional<HttpResponse> Run(const HttpRequest& request);
  HttpResponse Stats() const;
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse NotRun(const std::string& why);
  std::chrono::microseconds NextServiceTime();
  void AnnounceForEver();
  void AnnounceOnce();
  void CountRun(const HttpRequest& request);

  IoLoop& loop;
  FakeBackendConfig config;
  HttpServer server;
  std::unique_ptr<HttpClient> admin;
  std::mt19937_64 random;
  Instant started_at;
  std::string state = "ready";
  bool draining = false;

  // Faults.
  double slow_factor = 1;
  bool fail_fast = false;
  bool shed = false;
  bool drop = false;  // Runs, then closes the connection with no answer.

  // Counts.
  int running = 0;
  int most_running = 0;
  std::uint64_t runs = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  std::uint64_t mark = 0;
  std::map<std::string, int> runs_of_key;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_BACKEND_H_
