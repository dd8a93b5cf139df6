// Simulates the calls of one service in virtual time. Entry nodes, executing
// nodes and backend servers are a small model around the production code for
// admission and endpoint selection.
//
// A benchmark runs the same Scenario under several strategies and compares the
// results. A Strategy says how entry nodes select endpoints and how executing
// nodes admit calls.

#ifndef TANAGERLEDGE_BENCHMARKS_CALL_MODEL_H_
#define TANAGERLEDGE_BENCHMARKS_CALL_MODEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "tanagerledge/admission.h"
#include "tanagerledge/endpoint_chooser.h"
#include "tanagerledge/load.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge::model {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

// Event queue ---------------------------------------------------------------

// Runs callbacks in the order of their virtual times. Callbacks that are due at
// the same time run in the order in which they were scheduled.
class EventQueue {
 public:
  Instant now() const { return this->time; }
  void ScheduleAfter(Seconds delay, std::function<void()> callback);
  void RunUntil(Instant end);

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };

  Instant time{std::chrono::hours(1)};
  std::uint64_t next_order = 0;
  std::priority_queue<Event> events;
};

// Model inputs --------------------------------------------------------------

// A Poisson process of calls of one rank and one client account.
struct Stream {
  RankName rank;
  ClientAccount client_account;
  double calls_per_second = 0;
  Seconds mean_service_time{0};  // Of one call at the backend server.
  milliseconds deadline{0};
  // When the calls begin and stop arriving, relative to the start of the run.
  Seconds from{0};
  Seconds until{1e9};
};

// How one backend server behaves. All times are relative to the start of the
// run.
struct BackendTraits {
  Zone zone{"z1"};
  int slots = 13;
  double service_time_factor = 1;  // Multiplies the service time of each call.
  // The backend server rejects calls above this concurrency. 0 means never.
  int shed_threshold = 0;
  // Above this concurrency, service times grow in proportion to the
  // concurrency. 0 means never.
  int slowdown_threshold = 0;
  bool fails_fast = false;  // Answers each call at once with a failure.
  bool reports_no_load = false;
  // Calls that start within this time take 5 times as long.
  Seconds cold_duration{0};
  Seconds drains_at{1e9};
  Seconds lost_at{1e9};
  EndpointState state = EndpointState::kReady;
};

struct Scenario {
  std::string name;
  std::vector<BackendTraits> backends;
  std::map<RankName, RankPolicy> policies;
  std::vector<Stream> streams;
  Seconds measure_from{1};
  Seconds measure_until{4};
  milliseconds inter_zone_latency{1};  // One way.
  std::uint64_t seed = 1;
};

// Strategies ----------------------------------------------------------------

enum class EndpointSelection { kTanagerledge, kRoundRobin, kLeastReportedLoad };

// How entry nodes select endpoints and how executing nodes admit calls.
struct Strategy {
  std::string name;
  EndpointSelection endpoint_selection = EndpointSelection::kTanagerledge;
  // Whether nodes use the AdmissionController. Otherwise each backend server
  // has a FIFO queue in front of its slots.
  bool admission = true;
};

// Results -------------------------------------------------------------------

// Statistics of one rank or one client account, over the calls that arrived
// during the measured interval.
struct CallStats {
  int offered = 0;
  int ok = 0;  // Answered successfully within the deadline.
  int refused = 0;
  int late = 0;
  int failed = 0;
  Seconds useful_slot_time{0};     // Slot time that successful calls used.
  std::vector<Seconds> latencies;  // Of successful calls.

  double ok_share() const {
    return this->offered == 0 ? 1
                              : static_cast<double>(this->ok) / this->offered;
  }
  // Returns a latency percentile of the successful calls in milliseconds. A
  // `fraction` of 0.99 means p99.
  double LatencyPercentileMs(double fraction) const;
};

struct Results {
  std::map<RankName, CallStats> ranks;
  std::map<ClientAccount, CallStats> client_accounts;
  Seconds useful_slot_time{0};
  Seconds slot_time_capacity{0};  // Available in the measured interval.
  std::vector<int> attempts_per_backend;

  // Share of the available slot time that successful calls used.
  double useful_share() const {
    return this->useful_slot_time / this->slot_time_capacity;
  }
};

// Simulates one scenario under one strategy.
Results Run(const Scenario& scenario, const Strategy& strategy);

void Print(const std::string& title, const Results& results);

}  // namespace tanagerledge::model

#endif  // TANAGERLEDGE_BENCHMARKS_CALL_MODEL_H_
