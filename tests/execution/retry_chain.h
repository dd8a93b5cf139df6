// A chain of services in which the last one always refuses. Each hop passes the
// refusal on, with or without the marks that stop retries further up.

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
    bool up = false;    // Replies tell that a hop further down judged.
    bool down = false;  // Requests tell that a hop further up retries.
  };

  RetryChain(int chain_hops, Marks chain_marks)
      : hops(chain_hops),
        marks(chain_marks),
        budgets(static_cast<std::size_t>(chain_hops)) {}

  // Attempts that reach the last backend server, for each call from outside.
  double AttemptsPerCall(int calls) {
    this->last_attempts = 0;
    for (int call = 0; call < calls; ++call) {
      this->Call(0, false);
    }
    return static_cast<double>(this->last_attempts) / calls;
  }

 private:
  // Whether a hop has judged the failure that comes back.
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
    attempt.within_retry = within_retry && this->marks.down;
    budget.OnFirstAttempt(depth);
    attempt.judged_downstream =
        this->Call(depth + 1, within_retry) && this->marks.up;
    while (
        std::holds_alternative<RetryElsewhere>(DecideRetry(attempt, budget))) {
      ++attempt.attempts;
      attempt.judged_downstream = this->Call(depth + 1, true) && this->marks.up;
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
