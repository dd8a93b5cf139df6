#include "tanagerledge/dependency_throttle.h"

#include <gtest/gtest.h>

#include <string>

namespace tanagerledge {
namespace {

class DependencyThrottleTest : public ::testing::Test {
 protected:
  // Offers `count` calls. Among each ten of them, the runs beyond the first
  // `capacity` have a nested call rejected and fail. Returns the number of runs
  // that succeeded and that failed.
  struct Counts {
    int succeeded = 0;
    int failed = 0;
  };
  Counts Offer(int count, int capacity) {
    Counts counts;
    int started = 0;
    for (int i = 0; i < count; ++i) {
      if (i % 10 == 0) {
        started = 0;
      }
      if (this->throttle.Admit("parent")) {
        const bool rejected = ++started > capacity;
        ++(rejected ? counts.failed : counts.succeeded);
        this->throttle.OnFinished("parent", rejected);
      }
    }
    return counts;
  }

  DependencyThrottle throttle;
};

TEST_F(DependencyThrottleTest, NothingRejected_AllCallsStart) {
  EXPECT_EQ(this->Offer(1000, 10).succeeded, 1000);
  EXPECT_DOUBLE_EQ(this->throttle.Share("parent"), 1.0);
}

TEST_F(DependencyThrottleTest, DependencyHasCapacityForHalf_FewRunsFail) {
  this->Offer(500, 5);
  const Counts counts = this->Offer(5000, 5);
  // Without the throttle, half of all runs fail.
  EXPECT_LT(counts.failed, 5000 / 10);
  EXPECT_GT(counts.succeeded, 5000 * 4 / 10);
}

TEST_F(DependencyThrottleTest, DependencyRecovers_AllCallsStartAgain) {
  this->Offer(500, 0);
  EXPECT_LT(this->throttle.Share("parent"), 0.1);
  this->Offer(2000, 10);
  EXPECT_DOUBLE_EQ(this->throttle.Share("parent"), 1.0);
}

// Partly failing backend servers refuse half of all calls whatever the load is.
// In a replayed day, these refusals counted as overload: the share of the
// parent calls fell to its minimum, and 1,500 of 2,850 requests in 2 s were
// refused.
TEST_F(DependencyThrottleTest, RefusalWithoutOverload_DoesNotIndicateOverload) {
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kBackendRefused));
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kPeerUnreachable));
  EXPECT_FALSE(DependencyThrottle::IndicatesOverload(Reason::kNoEndpoint));
  EXPECT_TRUE(DependencyThrottle::IndicatesOverload(Reason::kOverloaded));
  EXPECT_TRUE(DependencyThrottle::IndicatesOverload(Reason::kDeadline));
}

TEST_F(DependencyThrottleTest, OtherKindOfWork_IsNotThrottled) {
  this->Offer(500, 0);
  EXPECT_TRUE(this->throttle.Admit("other"));
}

}  // namespace
}  // namespace tanagerledge
