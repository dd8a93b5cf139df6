// Tests which calls a stopping node accepts, and until when.

#include "tanagerledge/stop_plan.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(100)};
constexpr seconds kGrace{6};

TEST(StopPlanTest, Times_AreOrderedWithinGracePeriod) {
  const StopPlan plan(kStart, kGrace);
  EXPECT_LT(plan.began(), plan.peer_calls_until());
  EXPECT_LT(plan.peer_calls_until(), plan.caller_calls_until());
  EXPECT_LT(plan.caller_calls_until(), plan.answer_by());
  EXPECT_GT(plan.answer_by(), kStart + kGrace * 5 / 6);
  EXPECT_LT(plan.answer_by(), plan.end_by());
  EXPECT_LT(plan.end_by(), kStart + kGrace);
}

TEST(StopPlanTest, ShortGracePeriod_CallsAreAcceptedUntilAnswerBy) {
  const StopPlan plan(kStart, seconds(1));
  EXPECT_EQ(plan.peer_calls_until(), plan.answer_by());
  EXPECT_EQ(plan.caller_calls_until(), plan.answer_by());
  EXPECT_LT(plan.end_by(), kStart + seconds(1));
}

TEST(StopPlanTest, DeadlineWithinShutdown_IsUnchanged) {
  const StopPlan plan(kStart, kGrace);
  const Instant deadline = kStart + seconds(3);
  EXPECT_EQ(plan.DeadlineFor(deadline, seconds(9), kStart + seconds(2)),
            deadline);
}

TEST(StopPlanTest, DeadlineAfterShutdown_IsShortened) {
  const StopPlan plan(kStart, kGrace);
  const auto limit =
      plan.DeadlineFor(kStart + seconds(10), milliseconds(500), kStart);
  ASSERT_TRUE(limit.has_value());
  EXPECT_EQ(*limit, kStart + kGrace * 5 / 6);
  EXPECT_GE(plan.answer_by() - *limit, milliseconds(200));
}

TEST(StopPlanTest, CallThatCannotFinishInTime_IsRejected) {
  const StopPlan plan(kStart, kGrace);
  const Instant deadline = kStart + seconds(10);
  const Instant late = kStart + milliseconds(4700);
  EXPECT_FALSE(plan.DeadlineFor(deadline, milliseconds(500), late));
  EXPECT_TRUE(plan.DeadlineFor(deadline, milliseconds(100), late));
  EXPECT_FALSE(plan.DeadlineFor(deadline, milliseconds(0), plan.answer_by()));
}

}  // namespace
}  // namespace tanagerledge
