// Measures the latency that two nodes add to a call, with real sockets on the
// loopback interface of one process.
//
// One run measures three paths to the same simulated backend server:
//   direct  caller -> backend server
//   relay   caller -> bare relay -> bare relay -> backend server, through the
//           same adapters as the mesh
//   mesh    caller -> entry node -> executing node -> backend server
//
// Bounds: at the median, the mesh adds at most twice the latency that the bare
// relay adds, and no call is lost. The users' goal of 1.1 ms for 99 of 100
// calls is printed next to the measured value but isn't checked, because
// wall-clock times on a shared machine vary too much for a regression bound.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/bounds.h"
#include "fakes/small_mesh.h"
#include "src/adapters/logging.h"
#include "src/adapters/net.h"
#include "src/adapters/peer_transport.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Latencies = std::vector<microseconds>;

constexpr microseconds kServiceTime{2000};
constexpr microseconds kUserGoalP99{1100};
constexpr double kMaxRatioToRelay = 2.0;
constexpr int kSlots = 13;
constexpr int kCallsPerCaller = 400;
constexpr milliseconds kCallTimeout{2000};

constexpr std::string_view kNote = R"([note]
base = 0
title = benchmark
[add service certifier]
[add rank certificate]
target_ms = 200
worth = 100
floor_percent = 10
[add route certify]
prefix = /certify
service = certifier
rank = certificate
idempotent = yes
deadline_ms = 2000
)";

HttpRequest MakeCertifyRequest() {
  HttpRequest request;
  request.target = "/certify";
  return request;
}

microseconds Percentile(Latencies latencies, double percent) {
  std::ranges::sort(latencies);
  const auto index = static_cast<std::size_t>(percent / 100 * latencies.size());
  return latencies[std::min(index, latencies.size() - 1)];
}

// Callers --------------------------------------------------------------------

// Sends sequential calls from each of `callers` fibers and returns their
// latencies. Adds the calls that failed to `lost`.
Latencies Measure(const std::string& address, int callers, int& lost) {
  Latencies latencies;
  IoLoop loop;
  HttpClientOptions options;
  options.max_idle_connections = static_cast<std::size_t>(callers);
  HttpClient client(loop, ParseAddress(address).value(), options);
  int running_callers = callers;
  for (int caller = 0; caller < callers; ++caller) {
    loop.Spawn([&] {
      for (int i = 0; i < kCallsPerCaller; ++i) {
        const Instant start = std::chrono::steady_clock::now();
        const auto answer = client.Send(MakeCertifyRequest(), kCallTimeout);
        const auto took = std::chrono::steady_clock::now() - start;
        if (answer && answer->status == 200) {
          latencies.push_back(std::chrono::duration_cast<microseconds>(took));
        } else {
          ++lost;
        }
      }
      if (--running_callers == 0) {
        client.Close();
        loop.Stop();
      }
    });
  }
  loop.Run();
  return latencies;
}

// The bare relay -------------------------------------------------------------

// Forwards calls over two hops without any routing or admission: the first hop
// turns an HTTP request into a peer frame, and the second turns it back.
class Relay {
 public:
  explicit Relay(const std::string& backend)
      : entry_transport(this->entry_loop,
                        this->identity,
                        this->no_handlers,
                        this->counters),
        backend_transport(this->backend_loop,
                          this->identity,
                          this->handlers,
                          this->counters),
        client(this->backend_loop, ParseAddress(backend).value()),
        server(this->entry_loop, [this](const HttpRequest& request) {
          const auto body = this->entry_transport.Request(
              this->peer, Channel::kCall, request.target, kCallTimeout);
          return MakeResponse(body ? 200 : 502, "text/plain",
                              body.value_or(std::string()));
        }) {
    this->handlers.on_request[static_cast<std::size_t>(Channel::kCall)] =
        [this](const NodeId&, std::string_view target, Instant) {
          HttpRequest request;
          request.target = std::string(target);
          const auto answer = this->client.Send(request, kCallTimeout);
          return answer ? answer->body : std::string();
        };
    const auto any_port = ParseAddress("127.0.0.1:0").value();
    this->peer.value =
        FormatAddress(this->backend_transport.Accept(any_port).value());
    this->address = FormatAddress(this->server.Accept(any_port).value());
    this->entry_loop.Start();
    this->backend_loop.Start();
  }

  ~Relay() {
    this->entry_loop.Spawn([this] {
      this->server.Close();
      this->entry_transport.Close();
      this->entry_loop.Stop();
    });
    this->entry_loop.Join();
    this->backend_loop.Spawn([this] {
      this->backend_transport.Close();
      this->client.Close();
      this->backend_loop.Stop();
    });
    this->backend_loop.Join();
  }

  std::string address;

 private:
  PeerIdentity identity{"relay", {"relay"}, {"zone"}, {1}, {}};
  PeerHandlers no_handlers;
  PeerHandlers handlers;
  PeerCounters counters;
  NodeId peer;
  IoLoop entry_loop;
  IoLoop backend_loop;
  PeerTransport entry_transport;
  PeerTransport backend_transport;
  HttpClient client;
  HttpServer server;
};

// Report ---------------------------------------------------------------------

struct Measurements {
  Latencies direct;
  Latencies relay;
  Latencies mesh;
};

double AddedLatencyUs(const Latencies& latencies,
                      const Latencies& direct,
                      double percent) {
  return static_cast<double>(
      (Percentile(latencies, percent) - Percentile(direct, percent)).count());
}

void Report(const char* load_name,
            const Measurements& measurements,
            Bounds& bounds) {
  std::printf(
      "%s: direct p50 %lld us, p99 %lld us\n", load_name,
      static_cast<long long>(Percentile(measurements.direct, 50).count()),
      static_cast<long long>(Percentile(measurements.direct, 99).count()));
  std::printf("  relay adds p50 %.0f us, p99 %.0f us\n",
              AddedLatencyUs(measurements.relay, measurements.direct, 50),
              AddedLatencyUs(measurements.relay, measurements.direct, 99));
  std::printf("  mesh adds  p50 %.0f us, p99 %.0f us (users' bound %lld us)\n",
              AddedLatencyUs(measurements.mesh, measurements.direct, 50),
              AddedLatencyUs(measurements.mesh, measurements.direct, 99),
              static_cast<long long>(kUserGoalP99.count()));
  const double ratio =
      AddedLatencyUs(measurements.mesh, measurements.direct, 50) /
      AddedLatencyUs(measurements.relay, measurements.direct, 50);
  bounds.AtMost(std::string("mesh over relay at p50, ") + load_name, ratio,
                kMaxRatioToRelay);
}

int RunBenchmark() {
  static_cast<void>(StartLogging("off"));
  Bounds bounds;
  int lost = 0;
  SmallMesh mesh;
  mesh.Publish(kNote);
  const std::string entry_address = mesh.AddNode({});
  FakeBackendConfig config;
  config.service_time = kServiceTime;
  config.fixed_service_time = true;
  config.slots = kSlots;
  mesh.AddNode({"certifier"}, config);
  const std::string& backend = mesh.backend_address(1);
  const bool served = mesh.AwaitServed(entry_address, "/certify");
  bounds.Holds("a call through both nodes is served", served);
  if (served) {
    const Relay relay(backend);
    for (const int callers : {1, kSlots / 2}) {
      Measurements measurements;
      measurements.direct = Measure(backend, callers, lost);
      measurements.relay = Measure(relay.address, callers, lost);
      measurements.mesh = Measure(entry_address, callers, lost);
      Report(callers == 1 ? "one caller" : "half of the slots", measurements,
             bounds);
    }
  }
  bounds.AtMost("calls lost", lost, 0);
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::RunBenchmark();
}
