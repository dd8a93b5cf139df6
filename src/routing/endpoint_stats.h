// Statistics of each endpoint and service, from the calls of this node.

#ifndef TANAGERLEDGE_SRC_ROUTING_ENDPOINT_STATS_H_
#define TANAGERLEDGE_SRC_ROUTING_ENDPOINT_STATS_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>

#include "src/routing/decaying_value.h"
#include "src/routing/growing_table.h"
#include "tanagerledge/load.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Early refusal -------------------------------------------------------------

// Client-side throttle for the calls of one rank to one service. It counts the
// calls that were admitted and the calls that were refused, by this node or by
// the endpoint. When few calls are admitted, this node refuses most of the
// others without sending them. Calls in flight count as neither, so that slow
// replies cause no refusals.
//
// The counters are a small table with two rows. Each row has its own hash of
// the client account, so that any number of accounts fits. A client account
// that floods affects only its own two cells, and another account is throttled
// only if it shares both.
class RankThrottle {
 public:
  void OnAdmitted(const ClientAccount& client_account, Instant now);
  void OnRefused(const ClientAccount& client_account, Instant now);

  // The probability, from 0 to below 1, with which this node should refuse a
  // call. About `factor` times as many calls pass as were admitted recently, so
  // that the throttle detects when more calls can be admitted.
  float RefusalChance(const ClientAccount& client_account,
                      float factor,
                      Instant now) const;

 private:
  static constexpr std::size_t kRows = 2;
  static constexpr std::size_t kColumns = 32;

  struct Cell {
    DecayingValue admitted;
    DecayingValue refused;
  };

  static std::size_t ColumnOf(const ClientAccount& client_account,
                              std::size_t row);

  std::array<std::array<Cell, kColumns>, kRows> rows;
};

struct ServiceStats {
  static constexpr std::size_t kMaxRanks = 64;

  DecayingValue latency_us;
  GrowingTable<RankName, RankThrottle, 16, kMaxRanks> throttles;
};

// Endpoint ------------------------------------------------------------------

class EndpointStats {
 public:
  std::atomic<ServiceStats*> service{nullptr};

  void OnStart();
  void OnReply(FinishKind kind,
               const LoadReport& load,
               std::chrono::microseconds latency,
               Instant now);
  void OnUnreachable(Instant now);

  int in_flight() const;

  // Share of recent calls that failed, 0 to 1. It decays towards 0.
  float FailureShare(Instant now) const;

  // Whether the last report says that ranks of this worth are refused now.
  bool Refuses(int worth, Instant now) const;

  // Cost of one more call, based on its expected time in microseconds. It is
  // only used to compare endpoints. `slots` is the announced number.
  float Cost(int slots, Instant now) const;

 private:
  float Load(Instant now) const;
  float Limit(int slots, Instant now) const;
  float ServiceLatency(Instant now) const;

  std::atomic<int> calls{0};
  DecayingValue latency_us;
  DecayingValue failures;
  DecayingValue refusals;
  // From the last report: calls of other nodes, concurrency limit and admission
  // level.
  DecayingValue other_calls;
  std::atomic<int> limit{0};
  std::atomic<int> level{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROUTING_ENDPOINT_STATS_H_
