// Calls of one service in virtual time: entry nodes, executing nodes and
// backend servers as a small model around the real admission and choice.
//
// A Treatment is what is compared: how entries choose and how nodes admit.

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

class EventQueue {
 public:
  Instant now() const { return this->time; }
  void After(Seconds delay, std::function<void()> work);
  void RunUntil(Instant end);

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> work;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };

  Instant time{std::chrono::hours(1)};
  std::uint64_t next_order = 0;
  std::priority_queue<Event> events;
};

// What is modelled ----------------------------------------------------------

// Calls of one rank and client account that arrive at random, one by one.
struct Stream {
  RankName rank;
  ClientAccount client_account;
  double per_second = 0;
  Seconds work{0};  // Mean time at the backend server.
  milliseconds deadline{0};
  Seconds from{0};  // Since the start of the run.
  Seconds until{1e9};
};

// How a backend server behaves.
struct BackendTraits {
  Zone zone{"z1"};
  int slots = 13;
  double slowness = 1;      // Of each call.
  int sheds_above = 0;      // Calls at once beyond which it refuses; 0 never.
  int slows_above = 0;      // Calls at once beyond which each takes longer.
  bool fails_fast = false;  // Answers at once, with a failure.
  bool reports_no_load = false;
  Seconds cold_for{0};  // Calls take 5 times as long at first.
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
  milliseconds zone_distance{1};
  std::uint64_t seed = 1;
};

// Treatments ----------------------------------------------------------------

enum class Choice { kTanagerledge, kRoundRobin, kLeastReported };

struct Treatment {
  std::string name;
  Choice choice = Choice::kTanagerledge;
  bool admission = true;  // Otherwise first come, first served, with slots.
};

// Figures -------------------------------------------------------------------

struct RankFigures {
  int offered = 0;
  int ok = 0;  // In deadline.
  int refused = 0;
  int late = 0;
  int failed = 0;
  Seconds useful{0};  // Slot time of those in deadline.
  std::vector<Seconds> latencies;

  double ok_share() const {
    return this->offered == 0 ? 1
                              : static_cast<double>(this->ok) / this->offered;
  }
  // Of the calls in deadline, in milliseconds.
  double Percentile(double part) const;
};

struct Figures {
  std::map<RankName, RankFigures> ranks;
  std::map<ClientAccount, RankFigures> client_accounts;
  Seconds useful{0};
  Seconds capacity{0};        // Slot time there was.
  std::vector<int> calls_at;  // Calls sent to each backend server.

  double utility() const { return this->useful / this->capacity; }
};

// Runs one scenario under one treatment.
Figures Run(const Scenario& scenario, const Treatment& treatment);

void Print(const std::string& title, const Figures& figures);

}  // namespace tanagerledge::model

#endif  // TANAGERLEDGE_BENCHMARKS_CALL_MODEL_H_
