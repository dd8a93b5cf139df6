// The snapshot: longest prefix, and no endpoint outside the release.

#include "tanagerledge/snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>

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

RC_GTEST_PROP(SnapshotPropertyTest,
              AnyPrefixes_MatchIsTheLongestThatFits,
              (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto text = [&random] {
    std::string made = "/";
    for (std::uint64_t left = random() % 6; left > 0; --left) {
      made += "ab/"[random() % 3];
    }
    return made;
  };
  auto fleet = std::make_shared<FleetState>();
  std::set<std::string> prefixes;
  for (int number = 0; number < 12; ++number) {
    const RouteName name{std::to_string(number)};
    Route route;
    route.name = name;
    route.prefix = text();
    prefixes.insert(route.prefix);
    fleet->routes[name] = route;
  }
  const Snapshot snapshot(fleet, {});
  for (int call = 0; call < 20; ++call) {
    const std::string path = text();
    std::size_t longest = 0;
    for (const std::string& prefix : prefixes) {
      longest =
          path.starts_with(prefix) ? std::max(longest, prefix.size()) : longest;
    }
    const Route* route = snapshot.Match(path);
    RC_ASSERT((route == nullptr ? 0 : route->prefix.size()) == longest);
  }
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
