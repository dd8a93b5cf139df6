// Membership under random schedules of faults: whatever happened, once faults
// end every table is right again, and no view ever went backwards.

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
  kCut,
  kMend,
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
      case Fault::kCut: {
        std::vector<int> groups;
        for (std::size_t n = 0; n < kNodes; ++n) {
          groups.push_back(n < i ? 0 : 1);
        }
        fleet.Cut(groups);
        break;
      }
      case Fault::kMend:
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

  // What node `i` believes of each other, in the order of its own words.
  using Word = std::tuple<std::uint64_t, int, bool>;
  using Words = std::map<std::string, Word>;
  static Words WordsSeenBy(Fleet& fleet, std::size_t i) {
    Words words;
    for (const Member& member : fleet.at(i).Members(fleet.now())) {
      const auto& endpoint = member.endpoint;
      words[member.node.value] = {
          member.incarnation.value, endpoint ? endpoint->slots : 0,
          endpoint && endpoint->state == EndpointState::kDraining};
    }
    return words;
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
  const Instant mended = fleet.now();
  // A fleet of which all seeds are gone cannot be joined: that is settings.
  fleet.Start(0);
  const auto taken =
      fleet.RunUntil([&] { return fleet.Converged(); }, seconds(150));
  RC_ASSERT(taken < seconds(150));
  // And it stays so: no accusation of before lives on somewhere. A probe sent
  // during the faults, by a patient node, may still fail and be refuted.
  if (fleet.now() - mended < seconds(20)) {
    fleet.RunFor(seconds(20));
  }
  for (int i = 0; i < 30; ++i) {
    fleet.RunFor(seconds(1));
    RC_ASSERT(fleet.Converged());
  }
  RC_ASSERT(fleet.largest_datagram <= kMaxDatagramBytes);
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      AnySchedule_NoViewOfALivingNodeGoesBack,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunFor(seconds(5));
  fleet.faults = AnyFaults();
  const auto steps =
      *rc::gen::container<std::vector<Step>>(AnyStep()).as("steps");
  std::map<std::size_t, std::pair<Membership*, Words>> before;
  for (const Step& step : steps) {
    Apply(fleet, step);
    for (int slice = 0; slice < 4; ++slice) {
      fleet.RunFor(milliseconds(step.wait_ms / 4 + 1));
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.up(i)) {
          before.erase(i);
          continue;
        }
        auto words = WordsSeenBy(fleet, i);
        const auto& [machine, earlier] = before[i];
        if (machine == &fleet.at(i)) {
          for (const auto& [node, word] : earlier) {
            RC_ASSERT(!words.contains(node) || words[node] >= word);
          }
        }
        before[i] = {&fleet.at(i), std::move(words)};
      }
    }
  }
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      DeadForLong_TombstonesEndEverywhere,
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
                      PausedPastTombstones_NobodyGoneComesBack,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  const std::size_t sleeper = *rc::gen::inRange<std::size_t>(3, 5);
  const std::size_t dead = *rc::gen::inRange<std::size_t>(5, kNodes);
  fleet.Pause(sleeper);
  fleet.RunFor(milliseconds(*rc::gen::inRange(0, 20000)));
  fleet.Crash(dead);
  fleet.RunFor(seconds(*rc::gen::inRange(630, 700)));
  fleet.Resume(sleeper);
  for (int i = 0; i < 200; ++i) {
    fleet.RunFor(milliseconds(500));
    for (std::size_t other = 0; other < 3; ++other) {
      const auto view = fleet.View(other, dead);
      RC_ASSERT(!view || view->state != MemberState::kAlive);
    }
  }
  RC_ASSERT(fleet.Converged() || !fleet.View(sleeper, dead));
}

RC_GTEST_FIXTURE_PROP(MembershipPropertyTest,
                      NodeCutOffAlone_KeepsItsTableAndIsFoundAgain,
                      ()) {
  Fleet fleet(AnySettings());
  fleet.RunUntil([&] { return fleet.Converged(); }, seconds(30));
  std::vector<int> groups(kNodes, 0);
  const std::size_t alone = *rc::gen::inRange<std::size_t>(0, kNodes);
  groups[alone] = 1;
  fleet.Cut(groups);
  const int cut_seconds = *rc::gen::inRange(5, 240);
  for (int i = 0; i < cut_seconds; ++i) {
    fleet.RunFor(seconds(1));
    for (const Member& member : fleet.at(alone).Members(fleet.now())) {
      RC_ASSERT(member.state == MemberState::kAlive ||
                member.state == MemberState::kSuspect);
    }
  }
  RC_ASSERT(fleet.at(alone).isolated());
  fleet.EndFaults();
  RC_ASSERT(fleet.RunUntil([&] { return fleet.Converged(); }, seconds(90)) <
            seconds(90));
}

}  // namespace
}  // namespace tanagerledge
