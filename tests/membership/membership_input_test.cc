// Tests that invalid input from the network changes nothing and that size
// limits hold.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <limits>

#include "src/membership/zone_watch.h"
#include "tests/membership/fleet.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipInputTest : public testing::Test {
 protected:
  // Returns an update in which at least one name or number is out of range.
  static wire::MemberUpdate BadUpdate() {
    wire::MemberUpdate update;
    update.node = "10.0.0.1:7000";
    update.incarnation = 2'000'000'000;
    update.__set_zone("zone1");
    update.__set_version(3);
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        update.node = std::string(*rc::gen::element(0, 65, 5000), 'n');
        break;
      case 1:
        update.incarnation = *rc::gen::element(
            std::int64_t{-1}, std::numeric_limits<std::int64_t>::max());
        break;
      case 2:
        update.state = *rc::gen::element(-1, 4, 1 << 30);
        break;
      case 3:
        update.zone = std::string(33, 'z');
        break;
      case 4:
        update.version = -1;
        break;
      default: {
        wire::Announcement announcement;
        announcement.service_name = *rc::gen::element<std::string>(
            "", std::string(65, 's'), "catalogue");
        announcement.slots = announcement.service_name == "catalogue" ? -1 : 1;
        update.__set_announcement(announcement);
      }
    }
    return update;
  }

  static std::vector<std::pair<std::string, int>> Table(Fleet& fleet) {
    std::vector<std::pair<std::string, int>> table;
    for (const Member& member : fleet.at(0).Members(fleet.now())) {
      table.emplace_back(
          member.node.value + "/" + std::to_string(member.incarnation.value),
          static_cast<int>(member.state));
    }
    return table;
  }
};

RC_GTEST_FIXTURE_PROP(MembershipInputTest, InvalidMessages_ChangeNothing, ()) {
  Fleet fleet({.nodes = 4, .zones = 3, .seed = 9, .warm = true});
  fleet.RunFor(seconds(2));
  const auto before = Table(fleet);
  auto message = wire::MembershipDatagram();
  message.fleet = *rc::gen::arbitrary<std::int32_t>();
  message.kind =
      static_cast<wire::DatagramKind::type>(*rc::gen::inRange(-2, 12));
  message.incarnation = *rc::gen::arbitrary<std::int64_t>();
  message.__set_target("10.9.9.9:1");
  message.__set_digest(*rc::gen::arbitrary<std::string>());
  message.__set_buckets(*rc::gen::arbitrary<std::vector<std::int16_t>>());
  message.__set_bucket_count(*rc::gen::arbitrary<std::int32_t>());
  message.__set_updates({BadUpdate(), BadUpdate()});
  fleet.Deliver(0, {"10.9.9.9:1"}, message);
  // Sends the same message again, now with the hash of this fleet.
  fleet.at(1).SetInForce({1});
  for (const auto& action : fleet.at(1).Tick(fleet.now() + seconds(1))) {
    if (const auto* sent = std::get_if<SendDatagram>(&action)) {
      message.fleet = sent->message.fleet;
    }
  }
  fleet.Deliver(0, {"10.9.9.9:1"}, message);
  wire::SyncRequest request;
  request.buckets = message.buckets;
  request.bucket_count = message.bucket_count;
  request.updates = message.updates;
  fleet.at(0).OnSyncRequest({"10.9.9.9:1"}, request, fleet.now());
  wire::SyncReply reply;
  reply.updates = message.updates;
  fleet.at(0).OnSyncReply({"10.9.9.9:1"}, reply, fleet.now());
  RC_ASSERT(Table(fleet) == before);
}

RC_GTEST_FIXTURE_PROP(MembershipInputTest, LongestNames_FitInADatagram, ()) {
  Fleet fleet({.nodes = 5, .zones = 3, .seed = 11, .warm = true});
  wire::SyncReply reply;
  const auto count = *rc::gen::inRange(1, 400);
  for (int i = 0; i < count; ++i) {
    wire::MemberUpdate update;
    update.node = std::to_string(i) + std::string(60, 'n');
    update.incarnation = (std::int64_t{1} << 53) - 1;
    update.state = *rc::gen::inRange(0, 2);
    update.__set_zone(std::string(32, 'z'));
    update.__set_version(std::numeric_limits<std::int32_t>::max());
    wire::Announcement announcement;
    announcement.service_name = std::string(64, 's');
    announcement.slots = 1 << 20;
    announcement.age_ms = std::numeric_limits<std::int64_t>::max();
    update.__set_announcement(announcement);
    reply.updates.push_back(std::move(update));
  }
  fleet.at(0).OnSyncReply({}, reply, fleet.now());
  fleet.RunFor(seconds(30));
  RC_ASSERT(fleet.largest_datagram <= kMaxDatagramBytes);
}

TEST_F(MembershipInputTest, ZoneSilentWhileOthersRespond_IsUnreachable) {
  ZoneWatch watch;
  Instant now{seconds(100)};
  watch.RecordContact(1, now);
  watch.RecordContact(2, now);
  for (int i = 0; i < 3; ++i) {
    watch.CountSuspicion(1, now);
  }
  EXPECT_EQ(watch.StartChecks(now), std::vector<ZoneIndex>{1});
  now += seconds(1);
  watch.RecordContact(2, now);
  EXPECT_EQ(watch.EndChecks(milliseconds(600), now), std::vector<ZoneIndex>{1});
  EXPECT_TRUE(watch.RecordContact(1, now));
  EXPECT_FALSE(watch.unreachable(1));
}

TEST_F(MembershipInputTest, AllZonesSilent_NoneIsUnreachable) {
  ZoneWatch watch;
  const Instant now{seconds(100)};
  for (int i = 0; i < 3; ++i) {
    watch.CountSuspicion(1, now);
  }
  watch.StartChecks(now);
  EXPECT_TRUE(watch.EndChecks(milliseconds(600), now + seconds(1)).empty());
}

}  // namespace
}  // namespace tanagerledge
