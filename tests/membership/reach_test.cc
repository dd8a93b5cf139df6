// Tests the reach of a release: counts are exact once all reports have reached
// the roots, and lagging nodes are named.

#include "tanagerledge/reach.h"

#include <gtest/gtest.h>

#include "tests/membership/fleet.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReachTest : public testing::Test {
 protected:
  // Sums up the replies of all zones' summarizers known to node `i`.
  static std::int32_t InForce(Fleet& fleet,
                              std::size_t i,
                              std::int64_t release) {
    std::int32_t nodes = 0;
    for (const auto& zone : fleet.at(i).ZoneSummarizers()) {
      if (!fleet.up(fleet.IndexOf(zone.node))) {
        continue;
      }
      wire::ReachQuery query;
      query.release = release;
      const auto reply =
          fleet.at(fleet.IndexOf(zone.node)).OnReachQuery(query, fleet.now());
      for (const auto& count : reply.reach.counts) {
        nodes += count.release >= release ? count.nodes : 0;
      }
    }
    return nodes;
  }

  static void SetInForce(Fleet& fleet, std::uint64_t release) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.up(i)) {
        fleet.at(i).SetInForce({release});
      }
    }
  }
};

TEST_F(ReachTest, ReleaseInForceEverywhere_IsCountedExactlyByAnyNode) {
  Fleet fleet({.nodes = 90});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(60));
  SetInForce(fleet, 7);
  fleet.RunFor(seconds(5));
  EXPECT_EQ(InForce(fleet, 0, 7), 90);
  EXPECT_EQ(InForce(fleet, 41, 7), 90);
  EXPECT_EQ(InForce(fleet, 41, 8), 0);
}

TEST_F(ReachTest, NodeBehind_IsNamedWithItsRelease) {
  Fleet fleet({.nodes = 60});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(60));
  SetInForce(fleet, 7);
  fleet.at(33).SetInForce({5});
  fleet.RunFor(seconds(5));
  EXPECT_EQ(InForce(fleet, 1, 7), 59);
  std::vector<std::string> names;
  for (const auto& zone : fleet.at(1).ZoneSummarizers()) {
    const auto reply =
        fleet.at(fleet.IndexOf(zone.node)).OnReachQuery({}, fleet.now());
    for (const auto& laggard : reply.reach.laggards) {
      if (laggard.release < 7) {
        names.push_back(laggard.node);
        EXPECT_EQ(laggard.release, 5);
      }
    }
  }
  EXPECT_EQ(names, std::vector{fleet.IdOf(33).value});
}

TEST_F(ReachTest, SummarizerDies_CountsRecoverWithoutIt) {
  Fleet fleet({.nodes = 60});
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(60));
  SetInForce(fleet, 7);
  fleet.RunFor(seconds(5));
  const auto roots = fleet.at(0).ZoneSummarizers();
  fleet.Crash(fleet.IndexOf(roots[0].node));
  const std::size_t survivor = fleet.up(0) ? 0 : 1;
  const auto taken = fleet.RunUntil(
      [&] { return fleet.Converged() && InForce(fleet, survivor, 7) == 59; },
      seconds(40));
  EXPECT_LT(taken, seconds(20));
}

}  // namespace
}  // namespace tanagerledge
