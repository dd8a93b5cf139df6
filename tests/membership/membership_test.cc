// Membership in small fleets: joining, death, draining, leaving.

#include <gtest/gtest.h>

#include "tests/membership/fleet.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipTest : public testing::Test {
 protected:
  static bool AllSee(Fleet& fleet, std::size_t of, EndpointState state) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet.up(i)) {
        continue;
      }
      const auto view = fleet.View(i, of);
      if (!view || !view->endpoint || view->endpoint->state != state) {
        return false;
      }
    }
    return true;
  }
};

TEST_F(MembershipTest, FreshFleet_ConvergesFromSeeds) {
  Fleet fleet({.nodes = 12});
  const auto taken =
      fleet.RunUntil([&] { return fleet.Converged(); }, seconds(20));
  EXPECT_LT(taken, seconds(20));
}

TEST_F(MembershipTest, CrashedNode_IsDeadEverywhereWithinTenPeriods) {
  Fleet fleet({.nodes = 12});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(20));
  fleet.Crash(5);
  const auto taken =
      fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  EXPECT_LE(taken, seconds(10));
}

TEST_F(MembershipTest, DrainingBackEnd_IsSeenEverywhereWithinThreeSeconds) {
  Fleet fleet({.nodes = 50});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  fleet.Announce(7, EndpointState::kReady);
  fleet.RunUntil([&] { return AllSee(fleet, 7, EndpointState::kReady); },
                 seconds(30));
  fleet.at(7).Drain(fleet.now());
  const auto taken = fleet.RunUntil(
      [&] { return AllSee(fleet, 7, EndpointState::kDraining); }, seconds(10));
  EXPECT_LT(taken, seconds(3));
}

TEST_F(MembershipTest, RestartedNode_SupersedesItsEarlierLife) {
  Fleet fleet({.nodes = 6});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(20));
  fleet.Announce(4, EndpointState::kDraining);
  fleet.RunFor(seconds(3));
  fleet.Crash(4);
  fleet.RunFor(milliseconds(500));
  fleet.Start(4);
  fleet.Announce(4, EndpointState::kReady);
  EXPECT_LT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(20)),
            seconds(20));
}

}  // namespace
}  // namespace tanagerledge
