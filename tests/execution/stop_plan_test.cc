// What a stopping node takes, and until when.

#include "tanagerledge/stop_plan.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kBegan{seconds(100)};
constexpr seconds kGrace{6};

TEST(StopPlanTest, ItsMoments_FollowEachOtherWithinTheGrace) {
  const StopPlan plan(kBegan, kGrace);
  EXPECT_LT(plan.began(), plan.peer_calls_until());
  EXPECT_LT(plan.peer_calls_until(), plan.caller_calls_until());
  EXPECT_LT(plan.caller_calls_until(), plan.answer_by());
  EXPECT_GT(plan.answer_by(), kBegan + kGrace * 5 / 6);
  EXPECT_LT(plan.answer_by(), plan.end_by());
  EXPECT_LT(plan.end_by(), kBegan + kGrace);
}

TEST(StopPlanTest, ShortGrace_NothingIsPlannedAfterTheAnswers) {
  const StopPlan plan(kBegan, seconds(1));
  EXPECT_EQ(plan.peer_calls_until(), plan.answer_by());
  EXPECT_EQ(plan.caller_calls_until(), plan.answer_by());
  EXPECT_LT(plan.end_by(), kBegan + seconds(1));
}

TEST(StopPlanTest, DeadlineWithinTheStop_IsKept) {
  const StopPlan plan(kBegan, kGrace);
  const Instant deadline = kBegan + seconds(3);
  EXPECT_EQ(plan.DeadlineFor(deadline, seconds(9), kBegan + seconds(2)),
            deadline);
}

TEST(StopPlanTest, DeadlineAfterTheStop_IsBroughtForward) {
  const StopPlan plan(kBegan, kGrace);
  const auto limit =
      plan.DeadlineFor(kBegan + seconds(10), milliseconds(500), kBegan);
  ASSERT_TRUE(limit.has_value());
  EXPECT_EQ(*limit, kBegan + kGrace * 5 / 6);
  EXPECT_GE(plan.answer_by() - *limit, milliseconds(200));
}

TEST(StopPlanTest, WorkThatCannotEndInTheStop_IsNotTaken) {
  const StopPlan plan(kBegan, kGrace);
  const Instant deadline = kBegan + seconds(10);
  const Instant late = kBegan + milliseconds(4700);
  EXPECT_FALSE(plan.DeadlineFor(deadline, milliseconds(500), late));
  EXPECT_TRUE(plan.DeadlineFor(deadline, milliseconds(100), late));
  EXPECT_FALSE(plan.DeadlineFor(deadline, milliseconds(0), plan.answer_by()));
}

}  // namespace
}  // namespace tanagerledge
