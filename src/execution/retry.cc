#include "tanagerledge/retry.h"

#include <algorithm>
#include <array>

namespace tanagerledge {
namespace {

constexpr int kMostAttempts = 3;
constexpr std::chrono::microseconds kLeastTimeForAttempt{2000};
constexpr std::chrono::microseconds kFirstBackoff{1000};
constexpr std::int64_t kMillisPerRetry = 1000;

// Another endpoint would say the same, or the caller has to change something.
constexpr std::array kFinalReasons = {
    Reason::kNoRoute,    Reason::kNoEndpoint, Reason::kDeadline,
    Reason::kBadRequest, Reason::kDuplicate,  Reason::kKeyUnsettled,
    Reason::kQuarantined};

bool IsFinal(Reason reason) {
  return std::ranges::find(kFinalReasons, reason) != kFinalReasons.end();
}

// A key makes a repeat safe: it gets the first run's outcome, never a new run.
bool IsSafeToRepeat(const FinishedAttempt& attempt) {
  return attempt.outcome == Outcome::kNotRun || attempt.idempotent ||
         attempt.has_key;
}

// The first retry goes at once, since it goes elsewhere.
std::chrono::microseconds Backoff(int attempts) {
  return attempts <= 1 ? std::chrono::microseconds(0)
                       : kFirstBackoff * (1 << (attempts - 1));
}

}  // namespace

RetryBudget::RetryBudget(RetryBudgetConfig budget_config)
    : config(budget_config),
      saved_millis(budget_config.most_saved * kMillisPerRetry) {}

void RetryBudget::OnFirstAttempt(int depth) {
  const std::int64_t earned =
      this->config.earned_millis / (1 + std::max(depth, 0));
  const std::int64_t most = this->config.most_saved * kMillisPerRetry;
  std::int64_t seen = this->saved_millis.load(std::memory_order_relaxed);
  while (seen < most &&
         !this->saved_millis.compare_exchange_weak(
             seen, std::min(most, seen + earned), std::memory_order_relaxed)) {
  }
}

bool RetryBudget::TrySpend() {
  std::int64_t seen = this->saved_millis.load(std::memory_order_relaxed);
  while (seen >= kMillisPerRetry) {
    if (this->saved_millis.compare_exchange_weak(seen, seen - kMillisPerRetry,
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
  if (!IsSafeToRepeat(attempt) || attempt.attempts >= kMostAttempts) {
    return give_up;
  }
  if (attempt.judged_downstream || attempt.within_retry) {
    return give_up;
  }
  const std::chrono::microseconds after = Backoff(attempt.attempts);
  if (attempt.remaining < after + kLeastTimeForAttempt) {
    return give_up;
  }
  return budget.TrySpend() ? RetryDecision(RetryElsewhere{after})
                           : RetryDecision(give_up);
}

}  // namespace tanagerledge
