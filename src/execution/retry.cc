#include "tanagerledge/retry.h"

#include <algorithm>
#include <array>

namespace tanagerledge {
namespace {

constexpr int kMaxAttempts = 3;
constexpr std::chrono::microseconds kMinTimeForAttempt{2000};
constexpr std::chrono::microseconds kInitialBackoff{1000};
constexpr std::int64_t kMillitokensPerRetry = 1000;

// For these reasons a retry is useless: another endpoint would answer the same,
// or the caller has to change the call. kNoEndpoint is not among them: a node
// gives it when its own backend server has gone.
constexpr std::array kFinalReasons = {
    Reason::kNoRoute,   Reason::kDeadline,     Reason::kBadRequest,
    Reason::kDuplicate, Reason::kKeyUnsettled, Reason::kQuarantined};

bool IsFinal(Reason reason) {
  return std::ranges::find(kFinalReasons, reason) != kFinalReasons.end();
}

// A call with an idempotency key is safe to repeat: a repeat gets the outcome
// of the first run and does not run again.
bool IsSafeToRepeat(const FinishedAttempt& attempt) {
  return attempt.outcome == Outcome::kNotRun || attempt.idempotent ||
         attempt.has_key;
}

// The first retry has no delay, because it goes to another endpoint.
std::chrono::microseconds Backoff(int attempts) {
  return attempts <= 1 ? std::chrono::microseconds(0)
                       : kInitialBackoff * (1 << (attempts - 1));
}

}  // namespace

RetryBudget::RetryBudget(RetryBudgetConfig budget_config)
    : config(budget_config),
      millitokens(budget_config.max_tokens * kMillitokensPerRetry) {}

void RetryBudget::OnFirstAttempt(int depth) {
  const std::int64_t refill =
      this->config.refill_millitokens / (1 + std::max(depth, 0));
  const std::int64_t capacity = this->config.max_tokens * kMillitokensPerRetry;
  std::int64_t current = this->millitokens.load(std::memory_order_relaxed);
  while (current < capacity &&
         !this->millitokens.compare_exchange_weak(
             current, std::min(capacity, current + refill),
             std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TrySpend() {
  std::int64_t current = this->millitokens.load(std::memory_order_relaxed);
  while (current >= kMillitokensPerRetry) {
    if (this->millitokens.compare_exchange_weak(current,
                                                current - kMillitokensPerRetry,
                                                std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

RetryDecision DecideRetry(const FinishedAttempt& attempt, RetryBudget& budget) {
  const GiveUp give_up{attempt.outcome, attempt.reason};
  if (attempt.outcome == Outcome::kOk || IsFinal(attempt.reason)) {
    return give_up;
  }
  if (!IsSafeToRepeat(attempt) || attempt.attempts >= kMaxAttempts) {
    return give_up;
  }
  if (attempt.judged_downstream || attempt.within_retry) {
    return give_up;
  }
  const std::chrono::microseconds after = Backoff(attempt.attempts);
  if (attempt.remaining < after + kMinTimeForAttempt) {
    return give_up;
  }
  return budget.TrySpend() ? RetryDecision(RetryElsewhere{after})
                           : RetryDecision(give_up);
}

}  // namespace tanagerledge
