// What this node has learned of each endpoint and service by its own calls.

#ifndef TANAGERLEDGE_SRC_ROUTING_ENDPOINT_EVIDENCE_H_
#define TANAGERLEDGE_SRC_ROUTING_ENDPOINT_EVIDENCE_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>

#include "src/routing/aged_value.h"
#include "src/routing/growing_table.h"
#include "tanagerledge/load.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Early refusal -------------------------------------------------------------

// Calls of one rank to one service: how many got in and how many were refused,
// here or there. When few get in, most of the rest need not be sent. Calls that
// are still under way count as neither, so that slow replies refuse nobody.
//
// Client accounts are told apart by two hashes into a small grid, so that any
// number of them fits: one that floods spoils its own cells, and another is
// held back only if it shares both.
class RankThrottle {
 public:
  void OnTakenIn(const ClientAccount& client_account, Instant now);
  void OnRefused(const ClientAccount& client_account, Instant now);

  // The chance, 0 to below 1, that a call should be refused here. It lets
  // `spare` times as many calls go as got in lately, so that more getting in
  // is noticed.
  float RefusalChance(const ClientAccount& client_account,
                      float spare,
                      Instant now) const;

 private:
  static constexpr std::size_t kRows = 2;
  static constexpr std::size_t kColumns = 32;

  struct Cell {
    AgedValue taken_in;
    AgedValue refused;
  };

  static std::size_t ColumnOf(const ClientAccount& client_account,
                              std::size_t row);

  std::array<std::array<Cell, kColumns>, kRows> rows;
};

struct ServiceEvidence {
  static constexpr std::size_t kMaxRanks = 64;

  AgedValue latency_us;
  GrowingTable<RankName, RankThrottle, 16, kMaxRanks> throttles;
};

// Endpoint ------------------------------------------------------------------

class EndpointEvidence {
 public:
  std::atomic<ServiceEvidence*> service{nullptr};

  void OnStart();
  void OnReply(FinishKind kind,
               const LoadReport& load,
               std::chrono::microseconds latency,
               Instant now);
  void OnUnreachable(Instant now);

  int in_flight() const;

  // Share of recent calls that failed, 0 to 1; fades to 0.
  float FailureShare(Instant now) const;

  // Whether it says that ranks of this worth are refused now.
  bool Refuses(int worth, Instant now) const;

  // Expected time until one more call ends, in microseconds, not a promise: it
  // only ranks endpoints. `slots` are those announced.
  float Cost(int slots, Instant now) const;

 private:
  float Load(Instant now) const;
  float Limit(int slots, Instant now) const;
  float ServiceLatency(Instant now) const;

  std::atomic<int> calls{0};
  AgedValue latency_us;
  AgedValue failures;
  AgedValue refusals;
  // The last report: calls that others have there, its limit and level.
  AgedValue others;
  std::atomic<int> limit{0};
  std::atomic<int> level{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROUTING_ENDPOINT_EVIDENCE_H_
