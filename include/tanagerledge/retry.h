// Whether a finished attempt may be tried again, and the budget for it.
//
//   RetryBudget budget(kRetryBudget);       // One per service and rank.
//   budget.OnFirstAttempt(depth);           // For each call, before its send.
//   RetryDecision next = DecideRetry(attempt, budget);
//
// Only what provably did not run, or is safe to repeat, is tried again: on
// another endpoint, inside the deadline, and where the failure first appeared.

#ifndef TANAGERLEDGE_RETRY_H_
#define TANAGERLEDGE_RETRY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <variant>

#include "tanagerledge/outcome.h"

namespace tanagerledge {

// Budget --------------------------------------------------------------------

struct RetryBudgetConfig {
  // Retries earned by a first attempt at depth 0, in thousandths; a deeper one
  // earns this divided by its depth plus one.
  std::int64_t earned_millis = 100;
  // Retries that may be saved up; a new budget starts with this many.
  std::int64_t most_saved = 10;
};

// A token bucket fed by first attempts. Any thread may use it.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetConfig config = {});

  void OnFirstAttempt(int depth);

  // Takes one retry out of the budget; false when it is spent.
  bool TrySpend();

 private:
  const RetryBudgetConfig config;
  std::atomic<std::int64_t> saved_millis;
};

// Decision ------------------------------------------------------------------

// An attempt that did not end in an answer of the backend server.
struct FinishedAttempt {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  bool idempotent = false;
  bool has_key = false;  // An idempotency key: see once_host.h.
  int attempts = 1;      // Made so far, this one included.
  std::chrono::microseconds remaining{0};  // Until the call's deadline.
  // The reply says that a hop further down has judged this failure already,
  // whether it retried or had no budget left for it.
  bool judged_downstream = false;
  // The call is part of an attempt that a hop further up repeats.
  bool within_retry = false;
};

// Try again on an endpoint that was not tried yet.
struct RetryElsewhere {
  std::chrono::microseconds after{0};
};

struct GiveUp {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
};

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

// Takes a retry out of `budget` when the answer is RetryElsewhere.
RetryDecision DecideRetry(const FinishedAttempt& attempt, RetryBudget& budget);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_RETRY_H_
