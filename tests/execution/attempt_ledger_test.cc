#include "tanagerledge/attempt_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tanagerledge/fleet_retry_budget.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AttemptLedgerTest : public ::testing::Test {
 protected:
  static CachedReply Reply(const char* text) {
    return std::make_shared<const std::string>(text);
  }

  AttemptLedger ledger;
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(AttemptLedgerTest, SecondCopyOfASend_IsNotNew) {
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kNew);
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kRunning);
  this->ledger.OnDone("a", Reply("done"));
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kDone);
}

TEST_F(AttemptLedgerTest, AskedBeforeTheSendCame_SendIsVoidForEver) {
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kNew);
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kCancelled);
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kCancelled);
}

TEST_F(AttemptLedgerTest, AskedAfterItsEnd_ReplyIsThere) {
  this->ledger.OnRun("a", this->now + seconds(1));
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kRunning);
  EXPECT_EQ(this->ledger.ReplyOf("a"), nullptr);
  this->ledger.OnDone("a", Reply("done"));
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kDone);
  EXPECT_EQ(*this->ledger.ReplyOf("a"), "done");
}

TEST_F(AttemptLedgerTest, DeadlinePassed_IsForgottenUnlessItRuns) {
  this->ledger.OnRun("done", this->now + seconds(1));
  this->ledger.OnDone("done", Reply("x"));
  this->ledger.OnRun("stuck", this->now + seconds(1));
  this->ledger.Expire(this->now + milliseconds(1500));
  EXPECT_EQ(this->ledger.size(), 2U);
  this->ledger.Expire(this->now + seconds(3));
  EXPECT_EQ(this->ledger.size(), 1U);
  EXPECT_EQ(this->ledger.OnRun("stuck", this->now + seconds(9)),
            AttemptState::kRunning);
}

class FleetRetryBudgetTest : public ::testing::Test {
 protected:
  int Spend(int most, RetryOrigin whom = RetryOrigin::kRunningRequest) {
    int spent = 0;
    while (spent < most &&
           this->budget.TrySpend(this->service, whom, this->now)) {
      ++spent;
    }
    return spent;
  }

  static FleetRetryConfig Config() {
    FleetRetryConfig config;
    config.ratio = 0.2;
    config.extra = 60;
    config.window = seconds(10);
    return config;
  }

  FleetRetryBudget budget{Config()};
  ServiceName service{"archive"};
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(FleetRetryBudgetTest, TwelveNodesWithoutRequests_StayUnderTheExtra) {
  this->budget.SetLiveNodes(12);
  EXPECT_LE(this->Spend(1000) * 12, 60);
}

TEST_F(FleetRetryBudgetTest, CallsOfRepeatedRuns_UseUpTheBudget) {
  this->budget.SetLiveNodes(1);
  for (int i = 0; i < 100; ++i) {
    this->budget.OnRequest(this->service, this->now);
  }
  const int without = this->Spend(3);
  EXPECT_EQ(without, 3);
  for (int i = 0; i < 60; ++i) {
    this->budget.OnRequestWithinRetry(this->service, this->now);
  }
  EXPECT_EQ(this->Spend(1), 0);
}

// Backend servers that turn away half of all calls: callers came first and used
// the budget up, and requests that had run failed for want of one call.
TEST_F(FleetRetryBudgetTest, CallersRetryWithoutEnd_RunningRequestsKeepAPart) {
  this->budget.SetLiveNodes(1);
  for (int i = 0; i < 1'000; ++i) {
    this->budget.OnRequest(this->service, this->now);
  }
  const int callers = this->Spend(1'000, RetryOrigin::kCaller);
  EXPECT_GT(callers, 0);
  EXPECT_GE(this->Spend(1'000, RetryOrigin::kRunningRequest), callers);
  EXPECT_EQ(this->Spend(1, RetryOrigin::kCaller), 0);
}

TEST_F(FleetRetryBudgetTest, AnyWindow_NeverOverRatioAndExtra) {
  this->budget.SetLiveNodes(1);
  std::vector<std::pair<Instant, int>> spent;
  std::vector<Instant> requests;
  for (int step = 0; step < 600; ++step) {
    this->now += milliseconds(100);
    // A burst of requests, then silence, again and again.
    if (step % 150 < 50) {
      for (int i = 0; i < 20; ++i) {
        this->budget.OnRequest(this->service, this->now);
        requests.push_back(this->now);
      }
    }
    spent.emplace_back(this->now, this->Spend(1000));
    int in_window = 0;
    for (const auto& [at, count] : spent) {
      in_window += at > this->now - seconds(10) ? count : 0;
    }
    // Requests of this window or the one before it, whichever has more.
    const auto count = [&](Instant from, Instant to) {
      return std::ranges::count_if(
          requests, [&](Instant at) { return at > from && at <= to; });
    };
    const auto most =
        std::max(count(this->now - seconds(10), this->now),
                 count(this->now - seconds(20), this->now - seconds(10)));
    EXPECT_LE(in_window, 0.2 * static_cast<double>(most) + 60);
  }
}

}  // namespace
}  // namespace tanagerledge
