// Fake backend server for tests, benchmarks and demos.
//
// It announces itself to its node and answers requests to any path after a
// service time. It rejects requests that have expired, or when all its slots
// are taken. It is slower while it warms up, drains on shutdown and counts the
// runs of each idempotency key. Faults are injected over HTTP:
//
//   POST /faults {"slow_factor": 10, "fail_fast": true, "shed": true,
//                 "drop": true}
//   GET  /stats
//
// A request with `poison` in its path crashes the process while it runs.

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
  std::string address;        // Address to listen at, ip:port.
  std::string admin_address;  // Admin address of its node; empty: no node.
  int slots = 13;
  int connections = 130;
  std::chrono::microseconds service_time{20'000};  // Mean.
  // Each call takes the mean. Otherwise the time varies from half to 3/2 of it.
  bool fixed_service_time = false;
  // After the start, calls take three times longer for this time.
  std::chrono::milliseconds warm_up{0};
  std::uint64_t seed = 1;
  // Prints a line for each run with an idempotency key: `ran KEY unix_us`.
  bool trace = false;
};

class FakeBackend {
 public:
  FakeBackend(IoLoop& io_loop, FakeBackendConfig backend_config);

  // Starts to listen and to announce itself. Returns the bound address.
  tl::expected<std::string, std::string> Start();

  // Notifies its node, then waits until no call runs, up to `timeout`. Must be
  // called in a fiber.
  void Drain(std::chrono::milliseconds timeout);

  // Closes all connections at once. Must be called in a fiber.
  void Close();

 private:
  std::optional<HttpResponse> Answer(const HttpRequest& request);
  std::optional<HttpResponse> Run(const HttpRequest& request);
  HttpResponse Stats() const;
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse RespondNotRun(const std::string& reason);
  std::chrono::microseconds NextServiceTime();
  void AnnouncePeriodically();
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
  bool drop = false;  // Runs calls, then closes the connection unanswered.

  // Counts.
  int running = 0;
  int max_running = 0;
  std::uint64_t runs = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;
  std::uint64_t write_mark = 0;
  std::map<std::string, int> runs_of_key;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_BACKEND_H_
