// The snapshot: longest prefix, and no endpoint outside the release.

#include "tanagerledge/snapshot.h"

#include <gtest/gtest.h>

#include <memory>

namespace tanagerledge {
namespace {

class SnapshotTest : public testing::Test {
 protected:
  static std::shared_ptr<FleetState> Fleet() {
    auto fleet = std::make_shared<FleetState>();
    fleet->services = {{"catalogue"}};
    fleet->routes[{"all"}] = {{"all"}, "/", {"catalogue"}, {"bulk"}, true, {}};
    fleet->routes[{"curve"}] = {{"curve"},  "/curve", {"catalogue"},
                                {"lookup"}, true,     {}};
    return fleet;
  }
};

TEST_F(SnapshotTest, TwoPrefixesMatch_LongestWins) {
  const Snapshot snapshot(Fleet(), {});
  ASSERT_NE(snapshot.Match("/curve/7"), nullptr);
  EXPECT_EQ(snapshot.Match("/curve/7")->name.value, "curve");
  EXPECT_EQ(snapshot.Match("/other")->name.value, "all");
}

TEST_F(SnapshotTest, EndpointOfAbsentService_IsLeftOut) {
  Endpoint known;
  known.node = {"127.0.0.1:1"};
  known.service = {"catalogue"};
  Endpoint stranger;
  stranger.node = {"127.0.0.1:2"};
  stranger.service = {"claims"};
  const Snapshot snapshot(Fleet(), {known, stranger});
  EXPECT_EQ(snapshot.EndpointsOf({"catalogue"}).size(), 1u);
  EXPECT_TRUE(snapshot.EndpointsOf({"claims"}).empty());
}

}  // namespace
}  // namespace tanagerledge
