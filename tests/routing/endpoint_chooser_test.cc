// Endpoint choice: only endpoints that may take the call, the better ones more.

#include "tanagerledge/endpoint_chooser.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace tanagerledge {
namespace {

class EndpointChooserTest : public testing::Test {
 protected:
  EndpointChooserTest() {
    this->fleet->services = {{"claims"}};
    this->fleet->ranks[{"urgent"}] = {{"urgent"}, {}, 100, 10};
  }

  static Endpoint Ready(int number) {
    Endpoint endpoint;
    endpoint.node = {"127.0.0.1:" + std::to_string(number)};
    endpoint.service = {"claims"};
    endpoint.zone = {"z1"};
    endpoint.slots = 13;
    return endpoint;
  }

  std::optional<NodeId> Choose(const Snapshot& snapshot,
                               std::span<const NodeId> excluded = {}) {
    return this->chooser.Choose(snapshot, {"claims"}, {"urgent"}, {"skf"},
                                {"z1"}, excluded, this->now, this->rng);
  }

  std::shared_ptr<FleetState> fleet = std::make_shared<FleetState>();
  EndpointChooser chooser;
  Rng rng{7};
  Instant now{std::chrono::hours(1)};
};

TEST_F(EndpointChooserTest, OneIsDraining_OtherIsChosen) {
  Endpoint leaving = Ready(1);
  leaving.state = EndpointState::kDraining;
  const Snapshot snapshot(this->fleet, {leaving, Ready(2)});
  EXPECT_EQ(this->Choose(snapshot), NodeId{"127.0.0.1:2"});
}

TEST_F(EndpointChooserTest, AllAreExcluded_NothingIsChosen) {
  const Snapshot snapshot(this->fleet, {Ready(1)});
  const std::array excluded = {NodeId{"127.0.0.1:1"}};
  EXPECT_EQ(this->Choose(snapshot, excluded), std::nullopt);
}

}  // namespace
}  // namespace tanagerledge
