// Simulates a chain of services in which the last one always rejects the call.
// Each hop propagates the rejection, with or without the marks that prevent
// retries at other hops.

#ifndef TANAGERLEDGE_TESTS_EXECUTION_RETRY_CHAIN_H_
#define TANAGERLEDGE_TESTS_EXECUTION_RETRY_CHAIN_H_

#include <chrono>
#include <cstddef>
#include <variant>
#include <vector>

#include "tanagerledge/retry.h"

namespace tanagerledge {

class RetryChain {
 public:
  struct Marks {
    // Replies say that a hop downstream has judged the failure.
    bool in_replies = false;
    // Requests say that a hop upstream retries.
    bool in_requests = false;
  };

  RetryChain(int chain_hops, Marks chain_marks)
      : hops(chain_hops),
        marks(chain_marks),
        budgets(static_cast<std::size_t>(chain_hops)) {}

  // Returns the number of attempts that reach the last backend server, per
  // external call.
  double AttemptsPerCall(int calls) {
    this->last_attempts = 0;
    for (int call = 0; call < calls; ++call) {
      this->Call(0, false);
    }
    return static_cast<double>(this->last_attempts) / calls;
  }

 private:
  // Returns whether a hop has judged the failure that is returned.
  bool Call(int depth, bool within_retry) {
    if (depth == this->hops) {
      ++this->last_attempts;
      return false;
    }
    RetryBudget& budget = this->budgets[static_cast<std::size_t>(depth)];
    FinishedAttempt attempt;
    attempt.outcome = Outcome::kNotRun;
    attempt.reason = Reason::kBackendRefused;
    attempt.remaining = std::chrono::milliseconds(100);
    attempt.within_retry = within_retry && this->marks.in_requests;
    budget.OnFirstAttempt(depth);
    attempt.judged_downstream =
        this->Call(depth + 1, within_retry) && this->marks.in_replies;
    while (
        std::holds_alternative<RetryElsewhere>(DecideRetry(attempt, budget))) {
      ++attempt.attempts;
      attempt.judged_downstream =
          this->Call(depth + 1, true) && this->marks.in_replies;
    }
    return true;
  }

  const int hops;
  const Marks marks;
  std::vector<RetryBudget> budgets;
  long last_attempts = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_EXECUTION_RETRY_CHAIN_H_
