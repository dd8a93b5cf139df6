// Tests that only eligible endpoints are chosen, and better ones more often.

#include "tanagerledge/endpoint_chooser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace tanagerledge {
namespace {

using namespace std::chrono_literals;

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

  struct Answer {
    FinishKind kind = FinishKind::kOk;
    std::chrono::microseconds latency{0};
  };

  // Sends calls one after the other, 5 ms apart. Returns the share of calls
  // that go to 127.0.0.1:1.
  template <typename AnswerOf>
  double ShareOfFirst(const Snapshot& snapshot, AnswerOf answer_of) {
    constexpr int kCalls = 400;
    int first = 0;
    for (int call = 0; call < kCalls; ++call) {
      this->now += 5ms;
      const auto node = this->Choose(snapshot);
      if (!node) {
        continue;
      }
      first += *node == Ready(1).node ? 1 : 0;
      const Answer answer = answer_of(*node);
      this->chooser.OnStart(*node);
      this->chooser.OnReply(*node, {"urgent"}, {"skf"}, answer.kind,
                            {.limit = 13}, answer.latency, this->now);
    }
    return static_cast<double>(first) / kCalls;
  }

  // Offers `calls` calls, 1 ms apart, and answers each one with `kind`. Returns
  // how many were sent.
  int CountSent(const Snapshot& snapshot, FinishKind kind, int calls) {
    int sent = 0;
    for (int call = 0; call < calls; ++call) {
      this->now += 1ms;
      const auto node = this->Choose(snapshot);
      if (node) {
        ++sent;
        this->chooser.OnStart(*node);
        this->chooser.OnReply(*node, {"urgent"}, {"skf"}, kind, {.limit = 13},
                              1ms, this->now);
      }
    }
    return sent;
  }

  std::shared_ptr<FleetState> fleet = std::make_shared<FleetState>();
  EndpointChooser chooser;
  Rng rng{7};
  Instant now{std::chrono::hours(1)};
};

TEST_F(EndpointChooserTest, OneIsDraining_OtherIsChosen) {
  Endpoint draining = Ready(1);
  draining.state = EndpointState::kDraining;
  const Snapshot snapshot(this->fleet, {draining, Ready(2)});
  EXPECT_EQ(this->Choose(snapshot), NodeId{"127.0.0.1:2"});
}

TEST_F(EndpointChooserTest, AllAreExcluded_NoneIsChosen) {
  const Snapshot snapshot(this->fleet, {Ready(1)});
  const std::array excluded = {NodeId{"127.0.0.1:1"}};
  EXPECT_EQ(this->Choose(snapshot, excluded), std::nullopt);
}

// Statistics of own calls ---------------------------------------------------

TEST_F(EndpointChooserTest, OneFailsFast_GetsAlmostNoCalls) {
  const Snapshot snapshot(this->fleet, {Ready(1), Ready(2), Ready(3)});
  const auto share = this->ShareOfFirst(snapshot, [](const NodeId& node) {
    return node == Ready(1).node ? Answer{FinishKind::kFailed, 1ms}
                                 : Answer{FinishKind::kOk, 10ms};
  });
  EXPECT_LT(share, 0.05);
}

TEST_F(EndpointChooserTest, OneIsSlowAndReportsNoLoad_GetsFewCalls) {
  const Snapshot snapshot(this->fleet, {Ready(1), Ready(2), Ready(3)});
  const auto share = this->ShareOfFirst(snapshot, [](const NodeId& node) {
    return Answer{FinishKind::kOk, node == Ready(1).node ? 100ms : 10ms};
  });
  EXPECT_LT(share, 0.1);
}

TEST_F(EndpointChooserTest, AllFail_CallsStillGoToAll) {
  const Snapshot snapshot(this->fleet, {Ready(1), Ready(2), Ready(3)});
  const auto share = this->ShareOfFirst(snapshot, [](const NodeId&) {
    return Answer{FinishKind::kFailed, 1ms};
  });
  EXPECT_GT(share, 0.2);
  EXPECT_LT(share, 0.5);
}

TEST_F(EndpointChooserTest, OneIsNew_GetsFewCallsAtFirst) {
  Endpoint new_endpoint = Ready(1);
  new_endpoint.since = this->now;
  const Snapshot snapshot(this->fleet, {new_endpoint, Ready(2), Ready(3)});
  const auto share = this->ShareOfFirst(snapshot, [](const NodeId&) {
    return Answer{FinishKind::kOk, 10ms};
  });
  EXPECT_GT(share, 0.02);
  EXPECT_LT(share, 0.25);
}

// Early refusal -------------------------------------------------------------

TEST_F(EndpointChooserTest, AllShed_MostCallsAreRefusedLocallyButSomeProbe) {
  const Snapshot snapshot(this->fleet, {Ready(1), Ready(2)});
  const int shed = this->CountSent(snapshot, FinishKind::kShed, 1'000);
  EXPECT_LT(shed, 100);
  EXPECT_GT(shed, 5);
  this->now += 5s;
  EXPECT_GT(this->CountSent(snapshot, FinishKind::kOk, 1'000), 900);
}

TEST_F(EndpointChooserTest, OneReportsADrainLevel_OtherIsChosen) {
  const Snapshot snapshot(this->fleet, {Ready(1), Ready(2)});
  const NodeId draining = Ready(1).node;
  this->chooser.OnStart(draining);
  this->chooser.OnReply(draining, {"urgent"}, {"skf"}, FinishKind::kShed,
                        {.limit = 13, .admission_level = 1'000'000}, 1ms,
                        this->now);
  for (int call = 0; call < 50; ++call) {
    EXPECT_EQ(this->Choose(snapshot), Ready(2).node);
  }
}

// Properties ----------------------------------------------------------------

RC_GTEST_PROP(EndpointChooserPropertyTest,
              AnyEndpoints_OnlyEligibleOnesOfTheServiceAreChosen,
              (std::uint64_t seed)) {
  Rng rng(seed);
  auto fleet = std::make_shared<FleetState>();
  fleet->services = {{"claims"}, {"other"}};
  std::vector<Endpoint> endpoints;
  std::set<NodeId> eligible;
  std::vector<NodeId> excluded;
  const std::uint64_t count = rng() % 40;
  for (std::uint64_t index = 0; index < count; ++index) {
    Endpoint endpoint;
    endpoint.node = {std::to_string(index)};
    endpoint.service = {rng() % 3 == 0 ? "other" : "claims"};
    endpoint.state = static_cast<EndpointState>(rng() % 4);
    endpoint.slots = static_cast<int>(rng() % 20);
    const bool is_excluded = rng() % 5 == 0;
    if (is_excluded) {
      excluded.push_back(endpoint.node);
    }
    const bool accepts_calls = endpoint.state == EndpointState::kWarming ||
                               endpoint.state == EndpointState::kReady;
    if (!is_excluded && accepts_calls &&
        endpoint.service == ServiceName{"claims"}) {
      eligible.insert(endpoint.node);
    }
    endpoints.push_back(endpoint);
  }
  const Snapshot snapshot(fleet, endpoints);
  EndpointChooser chooser;
  const Instant now{std::chrono::hours(1)};
  for (int call = 0; call < 20; ++call) {
    const auto chosen = chooser.Choose(snapshot, {"claims"}, {"urgent"},
                                       {"skf"}, {"z1"}, excluded, now, rng);
    RC_ASSERT(chosen.has_value() == !eligible.empty());
    RC_ASSERT((!chosen || eligible.contains(*chosen)));
    if (chosen) {
      chooser.OnStart(*chosen);
      chooser.OnReply(*chosen, {"urgent"}, {"skf"},
                      static_cast<FinishKind>(rng() % 2), {}, 1ms, now);
    }
  }
}

TEST_F(EndpointChooserTest,
       SeveralThreads_InFlightIsNeverNegativeAndEndsAtZero) {
  std::vector<Endpoint> endpoints;
  for (int number = 1; number <= 20; ++number) {
    endpoints.push_back(Ready(number));
  }
  const Snapshot snapshot(this->fleet, endpoints);
  std::atomic<int> negative{0};
  const auto work = [&](std::uint64_t seed) {
    Rng own(seed);
    for (int call = 0; call < 5'000; ++call) {
      const Instant at = this->now + std::chrono::microseconds(call * 100);
      const auto node = this->chooser.Choose(
          snapshot, {"claims"}, {"urgent"},
          {"firm" + std::to_string(own() % 100)}, {"z1"}, {}, at, own);
      if (!node) {
        continue;
      }
      this->chooser.OnStart(*node);
      negative += this->chooser.InFlight(*node) < 1 ? 1 : 0;
      if (own() % 4 == 0) {
        this->chooser.OnUnreachable(*node, at);
      } else {
        this->chooser.OnReply(*node, {"urgent"}, {"skf"}, FinishKind::kOk,
                              {.limit = 5, .running = 3}, 1ms, at);
      }
    }
  };
  std::vector<std::thread> threads;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    threads.emplace_back(work, seed);
  }
  std::ranges::for_each(threads, &std::thread::join);
  EXPECT_EQ(negative, 0);
  for (const Endpoint& endpoint : endpoints) {
    EXPECT_EQ(this->chooser.InFlight(endpoint.node), 0);
  }
}

}  // namespace
}  // namespace tanagerledge
