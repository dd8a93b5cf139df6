// Tests membership under random schedules of faults: once the faults end, all
// tables converge, and no view ever goes backwards.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <tuple>

#include "tests/membership/fleet.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Fault {
  kCrash,
  kStart,
  kPause,
  kResume,
  kPartition,
  kHeal,
  kReady,
  kDrain,
  kLeave
};

struct Step {
  Fault fault = Fault::kCrash;
  std::size_t node = 0;
  int wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << static_cast<int>(step.fault) << "@" << step.node << "+"
             << step.wait_ms << "ms";
}

class MembershipPropertyTest : public testing::Test {
 protected:
  static constexpr std::size_t kNodes = 8;

  static rc::Gen<Step> AnyStep() {
    return rc::gen::build<Step>(
        rc::gen::set(&Step::fault,
                     rc::gen::map(rc::gen::inRange(0, 9),
                                  [](int i) { return static_cast<Fault>(i); })),
        rc::gen::set(&Step::node, rc::gen::inRange<std::size_t>(0, kNodes)),
        rc::gen::set(&Step::wait_ms, rc::gen::inRange(0, 6000)));
  }

  static void Apply(Fleet& fleet, const Step& step) {
    const std::size_t i = step.node;
    switch (step.fault) {
      case Fault::kCrash:
        fleet.Crash(i);
        break;
      case Fault::kStart:
        fleet.Start(i);
        break;
      case Fault::kPause:
        fleet.Pause(i);
        break;
      case Fault::kResume:
        fleet.Resume(i);
        break;
      case Fault::kPartition: {
        std::vector<int> groups;
        for (std::size_t n = 0; n < kNodes; ++n) {
          groups.push_back(n < i ? 0 : 1);
        }
        fleet.Partition(groups);
        break;
      }
      case Fault::kHeal:
        fleet.faults.connected = nullptr;
        break;
      case Fault::kReady:
        if (fleet.up(i)) {
          fleet.Announce(i, EndpointState::kReady);
        }
        break;
      case Fault::kDrain:
        if (fleet.up(i)) {
          fleet.at(i).Drain(fleet.now());
        }
        break;
      case Fault::kLeave:
        if (fleet.up(i)) {
          fleet.Leave(i);
          fleet.Crash(i);
        }
        break;
    }
  }

  static Fleet::Faults AnyFaults() {
    Fleet::Faults faults;
    faults.loss = *rc::gen::inRange(0, 40) / 100.0;
    faults.duplication = *rc::gen::inRange(0, 30) / 100.0;
    faults.max_delay = milliseconds(*rc::gen::inRange(1, 600));
    return faults;
  }

  static Fleet::Settings AnySettings() {
    return {.nodes = kNodes,
            .zones = 3,
            .seed = *rc::gen::arbitrary<std::uint64_t>()};
  }

  // The version of each member as known to node `i`. Versions are ordered in
  // time.
  using Version = std::tuple<std::uint64_t, int, bool>;
  using Versions = std::map<std::string, Version>;
  static Versions VersionsSeenBy(Fleet& fleet, std::size_t i) {
    Versions versions;
    for (const Member& member : fleet.at(i).Members(fleet.now())) {
      const auto& endpoint = member.endpoint;
      versions[member.node.value] = {
          member.incarnation.value, endpoint ? endpoint->slots : 0,
          endpoint && endpoint->state == EndpointState::kDraining};
    }
    return versions;
  }
};

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      AfterAnyFaults_TablesConverge,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunFor(seconds(5));
  fleet.faults = AnyFaults();
  const auto steps =
      *rc::gen::container<std::vector<Step>>(AnyStep()).as("steps");
  for (const Step& step : steps) {
    Apply(fleet, step);
    fleet.RunFor(milliseconds(step.wait_ms));
  }
  fleet.EndFaults();
  const Instant faults_ended = fleet.now();
  // Node 0 must run: a fleet without any live seed can't be joined, which is a
  // limit of its settings.
  fleet.Start(0);
  const auto taken =
      fleet.RunUntil([&] { return fleet.Converged(); }, seconds(150));
  RC_ASSERT(taken < seconds(150));
  // The tables must stay converged: no suspicion from the time of the faults
  // may persist. A probe that was sent during the faults by a node with long
  // timeouts may still fail and be refuted, so the check starts after 20 s.
  if (fleet.now() - faults_ended < seconds(20)) {
    fleet.RunFor(seconds(20));
  }
  for (int i = 0; i < 30; ++i) {
    fleet.RunFor(seconds(1));
    RC_ASSERT(fleet.Converged());
  }
  RC_ASSERT(fleet.largest_datagram <= kMaxDatagramBytes);
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      AnySchedule_NoViewOfALiveNodeGoesBackwards,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunFor(seconds(5));
  fleet.faults = AnyFaults();
  const auto steps =
      *rc::gen::container<std::vector<Step>>(AnyStep()).as("steps");
  std::map<std::size_t, std::pair<Membership*, Versions>> before;
  for (const Step& step : steps) {
    Apply(fleet, step);
    for (int slice = 0; slice < 4; ++slice) {
      fleet.RunFor(milliseconds(step.wait_ms / 4 + 1));
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.up(i)) {
          before.erase(i);
          continue;
        }
        auto versions = VersionsSeenBy(fleet, i);
        const auto& [machine, earlier] = before[i];
        if (machine == &fleet.at(i)) {
          for (const auto& [node, version] : earlier) {
            RC_ASSERT((!versions.contains(node) || versions[node] >= version));
          }
        }
        before[i] = {&fleet.at(i), std::move(versions)};
      }
    }
  }
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      DeadNode_TombstoneExpiresEverywhere,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunFor(seconds(5));
  const auto dead = *rc::gen::inRange<std::size_t>(1, kNodes);
  fleet.Crash(dead);
  fleet.RunFor(seconds(700));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.up(i)) {
      RC_ASSERT(!fleet.View(i, dead).has_value());
    }
  }
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      PausedBeyondTombstoneLifetime_DeadNodeStaysDead,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  const std::size_t paused_node = *rc::gen::inRange<std::size_t>(3, 5);
  const std::size_t dead = *rc::gen::inRange<std::size_t>(5, kNodes);
  fleet.Pause(paused_node);
  fleet.RunFor(milliseconds(*rc::gen::inRange(0, 20000)));
  fleet.Crash(dead);
  fleet.RunFor(seconds(*rc::gen::inRange(630, 700)));
  fleet.Resume(paused_node);
  for (int i = 0; i < 200; ++i) {
    fleet.RunFor(milliseconds(500));
    for (std::size_t other = 0; other < 3; ++other) {
      const auto view = fleet.View(other, dead);
      RC_ASSERT((!view || view->state != MemberState::kAlive));
    }
  }
  RC_ASSERT(fleet.Converged() || !fleet.View(paused_node, dead));
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      IsolatedNode_KeepsItsTableAndRejoins,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  std::vector<int> groups(kNodes, 0);
  const std::size_t isolated_node = *rc::gen::inRange<std::size_t>(0, kNodes);
  groups[isolated_node] = 1;
  fleet.Partition(groups);
  const int cut_seconds = *rc::gen::inRange(5, 240);
  for (int i = 0; i < cut_seconds; ++i) {
    fleet.RunFor(seconds(1));
    for (const Member& member : fleet.at(isolated_node).Members(fleet.now())) {
      RC_ASSERT(member.state == MemberState::kAlive ||
                member.state == MemberState::kSuspect);
    }
  }
  RC_ASSERT(fleet.at(isolated_node).isolated());
  fleet.EndFaults();
  RC_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(90)) <
            seconds(90));
}

}  // namespace
}  // namespace tanagerledge
