// Tests retries: only safe attempts are retried, within the budget, and by only
// one hop of a chain.

#include "tanagerledge/retry.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>
#include <variant>
#include <vector>

#include "tests/execution/retry_chain.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

class RetryTest : public testing::Test {
 protected:
  static FinishedAttempt NotRun() {
    FinishedAttempt attempt;
    attempt.outcome = Outcome::kNotRun;
    attempt.reason = Reason::kOverloaded;
    attempt.remaining = milliseconds(100);
    return attempt;
  }

  bool Retries(const FinishedAttempt& attempt) {
    return std::holds_alternative<RetryElsewhere>(
        DecideRetry(attempt, this->budget));
  }

  RetryBudget budget;
};

TEST_F(RetryTest, NotRunBeforeDeadline_IsRetriedImmediately) {
  const RetryDecision decision = DecideRetry(NotRun(), this->budget);
  ASSERT_TRUE(std::holds_alternative<RetryElsewhere>(decision));
  EXPECT_EQ(std::get<RetryElsewhere>(decision).after.count(), 0);
}

TEST_F(RetryTest, UnknownWithoutKey_IsRetriedOnlyWhenIdempotent) {
  FinishedAttempt attempt = NotRun();
  attempt.outcome = Outcome::kUnknown;
  attempt.reason = Reason::kConnectionLost;
  EXPECT_FALSE(this->Retries(attempt));
  attempt.idempotent = true;
  EXPECT_TRUE(this->Retries(attempt));
}

TEST_F(RetryTest, UnknownWithKey_IsRetried) {
  FinishedAttempt attempt = NotRun();
  attempt.outcome = Outcome::kUnknown;
  attempt.reason = Reason::kConnectionLost;
  attempt.has_key = true;
  EXPECT_TRUE(this->Retries(attempt));
}

TEST_F(RetryTest, NoTimeLeft_GivesUpWithTheSameOutcome) {
  FinishedAttempt attempt = NotRun();
  attempt.remaining = std::chrono::microseconds(500);
  const RetryDecision decision = DecideRetry(attempt, this->budget);
  ASSERT_TRUE(std::holds_alternative<GiveUp>(decision));
  EXPECT_EQ(std::get<GiveUp>(decision).outcome, Outcome::kNotRun);
  EXPECT_EQ(std::get<GiveUp>(decision).reason, Reason::kOverloaded);
}

TEST_F(RetryTest, FailureJudgedByAnotherHop_IsNotRetried) {
  FinishedAttempt attempt = NotRun();
  attempt.judged_downstream = true;
  EXPECT_FALSE(this->Retries(attempt));
  attempt.judged_downstream = false;
  attempt.within_retry = true;
  EXPECT_FALSE(this->Retries(attempt));
}

TEST_F(RetryTest, FinalReason_IsNotRetried) {
  FinishedAttempt attempt = NotRun();
  attempt.has_key = true;
  for (const Reason reason : {Reason::kQuarantined, Reason::kKeyUnsettled,
                              Reason::kDuplicate, Reason::kBadRequest}) {
    attempt.reason = reason;
    EXPECT_FALSE(this->Retries(attempt)) << ToText(reason);
  }
}

// Guards against a failure found by `./run prove`: calls that reached a node
// whose backend server had just died failed, while others served them.
TEST_F(RetryTest, NodeHasNoBackendServer_IsRetriedElsewhere) {
  FinishedAttempt attempt = NotRun();
  attempt.reason = Reason::kNoEndpoint;
  EXPECT_TRUE(this->Retries(attempt));
}

TEST_F(RetryTest, ManyThreadsSpend_BudgetIsNeverExceeded) {
  constexpr int kThreads = 4;
  constexpr int kCalls = 20000;
  std::atomic<int> spent{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int call = 0; call < kCalls; ++call) {
        this->budget.OnFirstAttempt(0);
        spent += this->budget.TrySpend() ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_LE(spent.load(), kThreads * kCalls / 10 + 10);
}

// Chain ---------------------------------------------------------------------

class RetryChainTest : public testing::Test {
 protected:
  static constexpr int kHops = 27;
  static constexpr int kCalls = 2000;
};

// The factor 1.1 is the budget itself. The rest are the tokens that the budgets
// start with.
TEST_F(RetryChainTest, MarksPropagated_AttemptsStayWithinOneBudget) {
  const double saved = 10.0 * kHops / kCalls;
  RetryChain chain(kHops, {true, true});
  EXPECT_LE(chain.AttemptsPerCall(kCalls), 1.1 + saved);
}

// The guaranteed factor for backend servers that propagate only the depth but
// no marks.
TEST_F(RetryChainTest, NoMarksPropagated_AttemptsStayWithinTwice) {
  RetryChain chain(kHops, {false, false});
  EXPECT_LE(chain.AttemptsPerCall(kCalls), 2.0);
}

}  // namespace
}  // namespace tanagerledge
