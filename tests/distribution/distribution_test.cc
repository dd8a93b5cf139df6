// Tests how releases are distributed: convergence, restarts, outages of the log
// and expired records.

#include "src/distribution/distribution.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/distribution/fleet_driver.h"

namespace tanagerledge {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using testing_fleet::FleetDriver;
using testing_fleet::FleetNode;
using testing_fleet::FleetOptions;
using testing_fleet::ServiceRecord;

constexpr seconds kConvergenceTimeout{18};

class DistributionTest : public testing::Test {
 protected:
  static FleetOptions Options() { return {}; }

  static bool Converges(FleetDriver& fleet, std::uint64_t release) {
    return fleet.RunUntil([&] { return fleet.AllServe({release}); },
                          kConvergenceTimeout);
  }

  static void ExpectNoViolations(const FleetDriver& fleet) {
    EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
  }
};

TEST_F(DistributionTest, PublishedRecord_BecomesActiveOnEveryNode) {
  FleetDriver fleet(Options());
  ASSERT_TRUE(Converges(fleet, 0));
  fleet.Append(ServiceRecord(1));
  EXPECT_TRUE(Converges(fleet, 1));
  ExpectNoViolations(fleet);
}

TEST_F(DistributionTest, SingleNode_BecomesReadyAndFollowsTheLog) {
  FleetOptions options = Options();
  options.zones = 1;
  options.nodes_per_zone = 1;
  FleetDriver fleet(options);
  ASSERT_TRUE(Converges(fleet, 0));
  fleet.Append(ServiceRecord(1));
  EXPECT_TRUE(Converges(fleet, 1));
}

TEST_F(DistributionTest, NetworkWithoutLoss_PushIsSentToEachZoneOnce) {
  FleetOptions options = Options();
  options.nodes_per_zone = 30;
  FleetDriver fleet(options);
  ASSERT_TRUE(Converges(fleet, 0));
  const auto pushes = static_cast<std::size_t>(SendPurpose::kPush);
  const std::size_t before = fleet.messages[pushes];
  fleet.Append(ServiceRecord(1));
  ASSERT_TRUE(Converges(fleet, 1));
  EXPECT_EQ(fleet.cross_zone_pushes, 3u);
  EXPECT_LE(fleet.messages[pushes] - before, 90u + 3u);
}

TEST_F(DistributionTest, RepairArrivesBeforePush_PushIsStillForwarded) {
  DistributionConfig config;
  config.node = {"10.0.0.1:2"};
  config.zone = {"a"};
  config.fan_out = 1;
  const Instant start{};
  Distribution machine(config, start);
  std::vector<Member> members(3);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].node = {"10.0.0.1:" + std::to_string(i + 1)};
    members[i].zone = config.zone;
  }
  machine.OnEvent(MembersChanged{std::make_shared<const Topology>(members)},
                  start);
  wire::ReleaseMessage repair;
  repair.records.records.emplace_back().bytes = ServiceRecord(1);
  repair.__isset.records = true;
  machine.OnEvent(MessageArrived{members[0].node, repair}, start);
  ASSERT_EQ(machine.fold().next_offset().value, 1u);
  wire::ReleaseMessage push;
  push.push.records = repair.records.records;
  push.push.root = members[0].node.value;
  push.__isset.push = true;
  const auto actions =
      machine.OnEvent(MessageArrived{members[0].node, push}, start);
  EXPECT_TRUE(std::ranges::any_of(actions, [&members](const auto& action) {
    const auto* const send = std::get_if<SendRelease>(&action);
    return send != nullptr && send->message.__isset.push &&
           send->to == members[2].node;
  }));
}

TEST_F(DistributionTest, HalfOfAllMessagesLost_StillConverges) {
  FleetOptions options = Options();
  options.loss = 0.5;
  options.duplication = 0.2;
  FleetDriver fleet(options);
  ASSERT_TRUE(Converges(fleet, 0));
  for (std::size_t i = 1; i <= 10; ++i) {
    fleet.Append(ServiceRecord(i));
  }
  EXPECT_TRUE(Converges(fleet, 10));
  ExpectNoViolations(fleet);
}

TEST_F(DistributionTest, RestartWhileTheLogIsDown_IsNotReadyAndSaysWhy) {
  FleetDriver fleet(Options());
  ASSERT_TRUE(Converges(fleet, 0));
  fleet.log.down = true;
  fleet.Kill(0);
  fleet.Start(0);
  fleet.RunFor(seconds(20));
  EXPECT_EQ(fleet.nodes[0].machine->readiness(), Readiness::kLogUnavailable);
  fleet.log.down = false;
  EXPECT_TRUE(Converges(fleet, 0));
}

TEST_F(DistributionTest, AllRestartAfterOneServedNewRelease_NoneServesOlder) {
  FleetDriver fleet(Options());
  ASSERT_TRUE(Converges(fleet, 0));
  fleet.Append(ServiceRecord(1));
  fleet.RunUntil(
      [&] {
        return std::ranges::any_of(fleet.nodes, [](const FleetNode& node) {
          return node.max_served.value == 1;
        });
      },
      seconds(1));
  fleet.log.down = true;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.Kill(i);
    fleet.Start(i);
  }
  fleet.RunFor(seconds(30));
  EXPECT_EQ(fleet.CountReadyNodes(), 0u);
  fleet.log.down = false;
  EXPECT_TRUE(Converges(fleet, 1));
  ExpectNoViolations(fleet);
}

TEST_F(DistributionTest,
       OutageLongerThanRetention_RestartedNodesRecoverAndStreamContinues) {
  FleetDriver fleet(Options());
  for (std::size_t i = 1; i <= 3; ++i) {
    fleet.Append(ServiceRecord(i));
  }
  ASSERT_TRUE(Converges(fleet, 3));
  fleet.log.down = true;
  fleet.RunFor(minutes(15));
  fleet.Expire();
  fleet.log.down = false;
  fleet.RunFor(minutes(1));
  EXPECT_GE(fleet.log.checkpoints, 1u);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.Kill(i);
    fleet.Start(i);
  }
  EXPECT_TRUE(Converges(fleet, 3));
  fleet.Append(ServiceRecord(4));
  EXPECT_TRUE(Converges(fleet, 4));
  ExpectNoViolations(fleet);
}

TEST_F(DistributionTest, UnreadRecordExpires_StreamContinuesWithoutIt) {
  FleetDriver fleet(Options());
  fleet.Append(ServiceRecord(1));
  ASSERT_TRUE(Converges(fleet, 1));
  fleet.log.down = true;
  fleet.RunFor(seconds(15));  // The pending long polls end.
  fleet.Append(ServiceRecord(2));
  fleet.Expire();
  fleet.RunFor(minutes(15));
  fleet.log.down = false;
  fleet.RunFor(minutes(3));
  fleet.Append(ServiceRecord(3));
  EXPECT_TRUE(Converges(fleet, 2));
  ExpectNoViolations(fleet);
}

TEST_F(DistributionTest, ManyRecords_OneCheckpointIsWritten) {
  FleetOptions options = Options();
  options.config.checkpoint_records = 16;
  FleetDriver fleet(options);
  for (std::size_t i = 1; i <= 20; ++i) {
    fleet.Append(ServiceRecord(i));
  }
  ASSERT_TRUE(Converges(fleet, 20));
  fleet.RunFor(seconds(30));
  EXPECT_EQ(fleet.log.checkpoints, 1u);
}

TEST_F(DistributionTest, StateWithWrongHash_IsRejected) {
  DistributionConfig config;
  config.node = {"10.0.0.1:1"};
  const Instant start{};
  Distribution machine(config, start);
  PackedState packed = PackState(wire::Checkpoint());
  packed.hash[0] = static_cast<char>(packed.hash[0] + 1);
  EXPECT_FALSE(UnpackState(packed.packed, packed.hash).has_value());
  EXPECT_FALSE(UnpackState("not zstd at all", packed.hash).has_value());
}

TEST_F(DistributionTest, InvalidOffsets_AreCountedAndChangeNothing) {
  DistributionConfig config;
  config.node = {"10.0.0.1:1"};
  const Instant start{};
  Distribution machine(config, start);
  wire::ReleaseMessage message;
  message.push.records.resize(3);
  message.push.records[0].offset = -1;
  message.push.records[1].offset = std::numeric_limits<std::int64_t>::max();
  message.push.records[2].offset = 7;
  message.__isset.push = true;
  message.records_request.from_offset = -9;
  message.__isset.records_request = true;
  message.state.packed = "x";
  message.__isset.state = true;
  machine.OnEvent(MessageArrived{{"10.0.0.1:2"}, message}, start);
  EXPECT_EQ(machine.fold().next_offset().value, 0u);
  EXPECT_GE(machine.alarms().bad_messages, 1u);
}

}  // namespace
}  // namespace tanagerledge
