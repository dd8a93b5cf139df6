// Tests that the longest prefix wins and that endpoints of services outside the
// release are left out.

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
              AnyPrefixes_LongestMatchingPrefixWins,
              (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  const auto random_text = [&random] {
    std::string text = "/";
    for (std::uint64_t remaining = random() % 6; remaining > 0; --remaining) {
      text += "ab/"[random() % 3];
    }
    return text;
  };
  auto fleet = std::make_shared<FleetState>();
  std::set<std::string> prefixes;
  for (int number = 0; number < 12; ++number) {
    const RouteName name{std::to_string(number)};
    Route route;
    route.name = name;
    route.prefix = random_text();
    prefixes.insert(route.prefix);
    fleet->routes[name] = route;
  }
  const Snapshot snapshot(fleet, {});
  for (int call = 0; call < 20; ++call) {
    const std::string path = random_text();
    std::size_t longest = 0;
    for (const std::string& prefix : prefixes) {
      longest =
          path.starts_with(prefix) ? std::max(longest, prefix.size()) : longest;
    }
    const Route* route = snapshot.Match(path);
    RC_ASSERT((route == nullptr ? 0 : route->prefix.size()) == longest);
  }
}

TEST_F(SnapshotTest, EndpointOfUnknownService_IsLeftOut) {
  Endpoint known;
  known.node = {"127.0.0.1:1"};
  known.service = {"catalogue"};
  Endpoint unlisted;
  unlisted.node = {"127.0.0.1:2"};
  unlisted.service = {"claims"};
  const Snapshot snapshot(Fleet(), {known, unlisted});
  EXPECT_EQ(snapshot.EndpointsOf({"catalogue"}).size(), 1u);
  EXPECT_TRUE(snapshot.EndpointsOf({"claims"}).empty());
}

}  // namespace
}  // namespace tanagerledge
