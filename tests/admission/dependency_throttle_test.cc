#include "tanagerledge/dependency_throttle.h"

#include <gtest/gtest.h>

#include <string>

namespace tanagerledge {
namespace {

class DependencyThrottleTest : public ::testing::Test {
 protected:
  // Offers `count` calls; runs of them beyond `room` in each ten have a call
  // turned away. How many ran to a good end and how many in vain.
  struct Ends {
    int good = 0;
    int in_vain = 0;
  };
  Ends Offer(int count, int room) {
    Ends ends;
    int started = 0;
    for (int i = 0; i < count; ++i) {
      if (i % 10 == 0) {
        started = 0;
      }
      if (this->throttle.Admit("parent")) {
        const bool turned_away = ++started > room;
        ++(turned_away ? ends.in_vain : ends.good);
        this->throttle.OnFinished("parent", turned_away);
      }
    }
    return ends;
  }

  DependencyThrottle throttle;
};

TEST_F(DependencyThrottleTest, NothingTurnedAway_EverythingStarts) {
  EXPECT_EQ(this->Offer(1000, 10).good, 1000);
  EXPECT_DOUBLE_EQ(this->throttle.Share("parent"), 1.0);
}

TEST_F(DependencyThrottleTest, DependencyHasRoomForHalf_FewRunInVain) {
  this->Offer(500, 5);
  const Ends ends = this->Offer(5000, 5);
  // Without the throttle half of all runs are in vain.
  EXPECT_LT(ends.in_vain, 5000 / 10);
  EXPECT_GT(ends.good, 5000 * 4 / 10);
}

TEST_F(DependencyThrottleTest, DependencyRecovers_EverythingStartsAgain) {
  this->Offer(500, 0);
  EXPECT_LT(this->throttle.Share("parent"), 0.1);
  this->Offer(2000, 10);
  EXPECT_DOUBLE_EQ(this->throttle.Share("parent"), 1.0);
}

// Grey backend servers refuse half of all calls: on a played day the parents'
// share fell to its least and 1,500 of 2,850 requests in 2 s were refused.
TEST_F(DependencyThrottleTest, BackendsRefuseWithRoom_IsNoOverload) {
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kBackendRefused));
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kPeerUnreachable));
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kNoEndpoint));
  EXPECT_TRUE(DependencyThrottle::IndicatesOverload(Reason::kOverloaded));
  EXPECT_TRUE(DependencyThrottle::IndicatesOverload(Reason::kDeadline));
}

TEST_F(DependencyThrottleTest, AnotherKindOfWork_IsNotHeldBack) {
  this->Offer(500, 0);
  EXPECT_TRUE(this->throttle.Admit("other"));
}

}  // namespace
}  // namespace tanagerledge
