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

TEST_F(AttemptLedgerTest, DuplicateMessage_IsNotNew) {
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kNew);
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kRunning);
  this->ledger.OnDone("a", Reply("done"));
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kDone);
}

TEST_F(AttemptLedgerTest, StatusRequestedBeforeRun_AttemptStaysCancelled) {
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kNew);
  EXPECT_EQ(this->ledger.OnRun("a", this->now + seconds(1)),
            AttemptState::kCancelled);
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kCancelled);
}

TEST_F(AttemptLedgerTest, StatusRequestedAfterEnd_ReplyIsAvailable) {
  this->ledger.OnRun("a", this->now + seconds(1));
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kRunning);
  EXPECT_EQ(this->ledger.ReplyOf("a"), nullptr);
  this->ledger.OnDone("a", Reply("done"));
  EXPECT_EQ(this->ledger.OnStatusRequest("a", this->now + seconds(1)),
            AttemptState::kDone);
  EXPECT_EQ(*this->ledger.ReplyOf("a"), "done");
}

TEST_F(AttemptLedgerTest, DeadlinePassed_EntryExpiresUnlessRunning) {
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
  int Spend(int limit, RetryOrigin origin = RetryOrigin::kRunningRequest) {
    int spent = 0;
    while (spent < limit &&
           this->budget.TrySpend(this->service, origin, this->now)) {
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

TEST_F(FleetRetryBudgetTest,
       TwelveNodesWithoutRequests_StayBelowFixedAllowance) {
  this->budget.SetLiveNodes(12);
  EXPECT_LE(this->Spend(1000) * 12, 60);
}

TEST_F(FleetRetryBudgetTest, RequestsWithinRetries_ConsumeBudget) {
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

// Guards against this failure: backend servers rejected half of all calls, the
// callers' retries came first and used up the budget, and requests that were
// already running failed because one of their calls could not be retried.
TEST_F(FleetRetryBudgetTest,
       CallersExhaustTheirShare_RunningRequestsCanStillRetry) {
  this->budget.SetLiveNodes(1);
  for (int i = 0; i < 1'000; ++i) {
    this->budget.OnRequest(this->service, this->now);
  }
  const int callers = this->Spend(1'000, RetryOrigin::kCaller);
  EXPECT_GT(callers, 0);
  EXPECT_GE(this->Spend(1'000, RetryOrigin::kRunningRequest), callers);
  EXPECT_EQ(this->Spend(1, RetryOrigin::kCaller), 0);
}

TEST_F(FleetRetryBudgetTest, AnyWindow_RetriesStayBelowRatioPlusAllowance) {
  this->budget.SetLiveNodes(1);
  std::vector<std::pair<Instant, int>> spent;
  std::vector<Instant> requests;
  for (int step = 0; step < 600; ++step) {
    this->now += milliseconds(100);
    // Alternates between bursts of requests and silence.
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
    // Uses the requests of this window or of the previous one, whichever has
    // more.
    const auto count = [&](Instant from, Instant to) {
      return std::ranges::count_if(
          requests, [&](Instant at) { return at > from && at <= to; });
    };
    const auto max_requests =
        std::max(count(this->now - seconds(10), this->now),
                 count(this->now - seconds(20), this->now - seconds(10)));
    EXPECT_LE(in_window, 0.2 * static_cast<double>(max_requests) + 60);
  }
}

}  // namespace
}  // namespace tanagerledge
