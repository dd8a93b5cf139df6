#include "tanagerledge/mesh_config.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "tanagerledge/weighted_split.h"

namespace tanagerledge {
namespace {

MeshRoute RouteTo(std::string name, std::string host, std::string prefix) {
  MeshRoute route;
  route.name = {std::move(name)};
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{{"archive"}, 1}};
  return route;
}

class MeshConfigTest : public ::testing::Test {
 protected:
  std::string NameOf(std::string_view host, std::string_view path) const {
    const MeshRoute* route = this->config.Match(host, path);
    return route == nullptr ? "" : route->name.value;
  }

  const MeshConfig config{7,
                          {RouteTo("root", "a.example", "/"),
                           RouteTo("sites", "a.example", "/sites/"),
                           RouteTo("deep", "a.example", "/sites/old/"),
                           RouteTo("other", "b.example", "/sites/")},
                          {},
                          {}};
};

TEST_F(MeshConfigTest, SeveralPrefixesMatch_LongestWins) {
  EXPECT_EQ(this->NameOf("a.example", "/sites/old/3"), "deep");
  EXPECT_EQ(this->NameOf("a.example", "/sites/new"), "sites");
  EXPECT_EQ(this->NameOf("a.example", "/else"), "root");
}

TEST_F(MeshConfigTest, PathWithoutLastSlashOfPrefix_DoesNotMatch) {
  EXPECT_EQ(this->NameOf("b.example", "/sites"), "");
  EXPECT_EQ(this->NameOf("b.example", "/sitesque/1"), "");
}

TEST_F(MeshConfigTest, HostWithPortAndUpperCase_IsTheSameHost) {
  EXPECT_EQ(this->NameOf("B.Example:8080", "/sites/1"), "other");
}

TEST_F(MeshConfigTest, SlashInQuery_IsIgnored) {
  EXPECT_EQ(this->NameOf("b.example", "/x?back=/sites/1"), "");
  EXPECT_EQ(this->NameOf("a.example", "/sites/new?to=/old/"), "sites");
}

TEST_F(MeshConfigTest, UnknownHost_HasNoRoute) {
  EXPECT_EQ(this->NameOf("c.example", "/sites/1"), "");
  EXPECT_EQ(this->NameOf("", ""), "");
}

class WeightedSplitTest : public ::testing::Test {
 protected:
  std::map<std::string, int> Count(WeightedSplit& split, int requests) const {
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
      ++counts[split.Next(this->route).value];
    }
    return counts;
  }

  MeshRoute route = [] {
    MeshRoute weighted = RouteTo("r", "a.example", "/");
    weighted.services = {{{"old"}, 70}, {{"new"}, 20}, {{"trial"}, 10}};
    return weighted;
  }();
};

TEST_F(WeightedSplitTest, OneRound_SplitsExactlyByWeight) {
  WeightedSplit split(0);
  const auto counts = this->Count(split, 100);
  EXPECT_EQ(counts.at("old"), 70);
  EXPECT_EQ(counts.at("new"), 20);
  EXPECT_EQ(counts.at("trial"), 10);
}

TEST_F(WeightedSplitTest, TwelveNodesWithFewRequestsEach_SplitByWeightInTotal) {
  std::map<std::string, int> all;
  for (std::uint64_t node = 0; node < 12; ++node) {
    WeightedSplit split(node * 7919);
    for (const auto& [service, count] : this->Count(split, 25)) {
      all[service] += count;
    }
  }
  EXPECT_NEAR(all["old"], 210, 15);
  EXPECT_NEAR(all["new"], 60, 15);
  EXPECT_NEAR(all["trial"], 30, 15);
}

TEST_F(WeightedSplitTest, WeightsChange_NewWeightsApplyAtOnce) {
  WeightedSplit split(3);
  this->Count(split, 55);
  this->route.services = {{{"old"}, 1}, {{"new"}, 9}};
  const auto counts = this->Count(split, 20);
  EXPECT_NEAR(counts.at("new"), 18, 1);
}

}  // namespace
}  // namespace tanagerledge
