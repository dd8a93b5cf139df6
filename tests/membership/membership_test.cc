// Tests membership in small fleets: joining, death, draining and leaving.

#include <gtest/gtest.h>

#include "tests/membership/fleet.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipTest : public testing::Test {
 protected:
  static bool AllSee(Fleet& fleet, std::size_t target, EndpointState state) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (!fleet.up(i)) {
        continue;
      }
      const auto view = fleet.View(i, target);
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

TEST_F(MembershipTest, DrainingBackend_IsSeenEverywhereWithinThreeSeconds) {
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

TEST_F(MembershipTest, RestartedNode_SupersedesItsPreviousIncarnation) {
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

TEST_F(MembershipTest, FleetSplitAtStart_OneSeedSurvives_MergesAfterwards) {
  Fleet fleet({.nodes = 8});
  fleet.Partition({0, 1, 1, 0, 0, 1, 1, 1});
  fleet.RunFor(seconds(10));
  fleet.Crash(1);
  fleet.Crash(2);
  fleet.RunFor(seconds(20));
  fleet.EndFaults();
  EXPECT_LT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(90)),
            seconds(90));
}

TEST_F(MembershipTest, LastTwoNodesPartitioned_FindEachOtherAmongDead) {
  Fleet fleet({.nodes = 8});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  fleet.Partition({0, 0, 0, 1, 1, 1, 1, 1});
  for (const std::size_t each : {1, 2, 3, 5, 6, 7}) {
    fleet.Crash(each);
    fleet.RunFor(seconds(1));
  }
  fleet.RunFor(seconds(30));
  fleet.EndFaults();
  fleet.Start(0);
  const auto have_met = [&] {
    return fleet.View(0, 4) && fleet.View(4, 0) &&
           fleet.View(4, 0)->state == MemberState::kAlive;
  };
  EXPECT_LT(fleet.RunUntil(have_met, seconds(120)), seconds(120));
}

}  // namespace
}  // namespace tanagerledge
