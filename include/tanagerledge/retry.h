// Decides whether a failed attempt is retried, and limits retries by a budget.
//
//   RetryBudget budget(kRetryBudget);    // One per service and rank.
//   budget.OnFirstAttempt(depth);        // For each call, before sending.
//   RetryDecision next = DecideRetry(attempt, budget);
//
// An attempt is retried only if it certainly did not run or is safe to repeat.
// The retry goes to another endpoint, must fit into the deadline, and is made
// only by the hop where the failure occurred first.

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
  // Tokens added by a first attempt at depth 0, in thousandths of a retry. A
  // first attempt at depth d adds 1/(d + 1) of this.
  std::int64_t refill_millitokens = 100;
  // Capacity of the bucket, in retries. A new bucket is full.
  std::int64_t max_tokens = 10;
};

// A token bucket that is refilled by first attempts. It is thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetConfig config = {});

  void OnFirstAttempt(int depth);

  // Consumes one retry. Returns false if the budget is exhausted.
  bool TrySpend();

 private:
  const RetryBudgetConfig config;
  std::atomic<std::int64_t> millitokens;
};

// Decision ------------------------------------------------------------------

// An attempt that ended without a response of the backend server.
struct FinishedAttempt {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  bool idempotent = false;
  bool has_key = false;  // The call has an idempotency key: see once_host.h.
  int attempts = 1;      // Attempts so far, including this one.
  std::chrono::microseconds remaining{0};  // Time until the call's deadline.
  // A hop further downstream has already decided about this failure: it retried
  // the call or had no budget for a retry.
  bool judged_downstream = false;
  // The call belongs to a retry made by a hop further upstream.
  bool within_retry = false;
};

// Retry on an endpoint that was not tried yet, after a delay.
struct RetryElsewhere {
  std::chrono::microseconds after{0};
};

struct GiveUp {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
};

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

// Consumes a retry of `budget` if the result is RetryElsewhere.
RetryDecision DecideRetry(const FinishedAttempt& attempt, RetryBudget& budget);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_RETRY_H_
