// Property tests: invariants under random schedules of message loss,
// duplication, pauses, crashes, restarts, outages of the log and expiry.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

#include "tests/distribution/fleet_driver.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing_fleet::AddServiceNote;
using testing_fleet::FleetDriver;
using testing_fleet::FleetOptions;
using testing_fleet::PublishRecord;
using testing_fleet::ServiceRecord;

// Schedule ----------------------------------------------------------------

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : random(seed), fleet(Options(this->random)) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      (this->*kSteps[this->random() % kSteps.size()])();
      this->fleet.RunFor(milliseconds(this->random() % 800));
    }
  }

  // Ends all faults and checks that every node serves the same state in time.
  void Heal() {
    this->fleet.log.down = false;
    this->RestartAll();
    const Fold expected = this->FoldOfLog();
    const ReleaseNumber last = expected.State()->release;
    // No append is applied twice or lost, and an invalid note changes nothing.
    RC_ASSERT(last.value == this->published);
    RC_ASSERT(expected.State()->services.size() == this->published);
    RC_ASSERT(this->fleet.RunUntil([&] { return this->fleet.AllServe(last); },
                                   seconds(60)));
    if (!this->fleet.violations.empty()) {
      RC_FAIL(this->fleet.violations.front());
    }
  }

 private:
  static FleetOptions Options(std::mt19937_64& random) {
    FleetOptions options;
    options.seed = random();
    options.zones = 1 + random() % 3;
    options.nodes_per_zone = 2 + random() % 4;
    options.loss = static_cast<double>(random() % 3) / 10;
    options.duplication = static_cast<double>(random() % 3) / 10;
    options.jitter = milliseconds(random() % 50);
    options.config.checkpoint_records = 8;
    return options;
  }

  // Computes the expected fold directly from the whole log.
  Fold FoldOfLog() const {
    Fold fold;
    for (std::size_t i = 0; i < this->fleet.log.records.size(); ++i) {
      fold.Apply({i}, this->fleet.log.records[i]);
    }
    return fold;
  }

  std::size_t RandomNode() { return this->random() % this->fleet.nodes.size(); }

  void PublishValid() {
    if (!this->fleet.log.down) {
      this->fleet.Append(ServiceRecord(++this->published));
    }
  }

  // Repeats an append, as a publisher does when the reply was lost.
  void PublishTwice() {
    if (!this->fleet.log.down) {
      const std::string record = ServiceRecord(++this->published);
      this->fleet.Append(record);
      this->fleet.RunFor(milliseconds(this->random() % 50));
      this->fleet.Append(record);
    }
  }

  void PublishInvalid() {
    if (!this->fleet.log.down) {
      wire::Note note = AddServiceNote(0, "fine");
      note.routes.emplace_back().item.name = "dangling";
      this->fleet.Append(PublishRecord("bad-" + std::to_string(this->random()),
                                       std::move(note)));
    }
  }

  void AppendNoise() {
    if (!this->fleet.log.down) {
      this->fleet.Append(std::string(this->random() % 40, '\x7f'));
    }
  }

  void CrashSome() {
    for (std::size_t i = 0; i < this->fleet.nodes.size(); ++i) {
      if (this->random() % 3 == 0) {
        this->fleet.Kill(i);
      }
    }
    if (this->random() % 2 == 0) {
      this->fleet.UpdateMembers();
    }
  }

  void CrashAll() {
    for (std::size_t i = 0; i < this->fleet.nodes.size(); ++i) {
      this->fleet.Kill(i);
    }
  }

  void RestartAll() {
    for (std::size_t i = 0; i < this->fleet.nodes.size(); ++i) {
      if (this->fleet.nodes[i].machine == nullptr) {
        this->fleet.Start(i);
      }
    }
    this->fleet.UpdateMembers();
  }

  void PauseOne() {
    const milliseconds time(this->random() % 9000);
    this->fleet.Pause(this->RandomNode(), time);
  }

  void ToggleLog() { this->fleet.log.down = !this->fleet.log.down; }

  // Expires only records that a checkpoint in the log covers: if others expired
  // while no node is alive, the state could not be recovered.
  void ExpireCovered() {
    for (std::size_t i = this->fleet.log.records.size(); i-- > 0;) {
      const auto record =
          Decode<wire::ReleaseRecord>(this->fleet.log.records[i]);
      if (record && record->__isset.checkpoint) {
        const auto through =
            static_cast<std::size_t>(record->checkpoint.through_offset);
        this->fleet.log.first_kept =
            std::max(this->fleet.log.first_kept, through + 1);
        return;
      }
    }
  }

  using Step = void (Schedule::*)();
  static constexpr std::array<Step, 11> kSteps = {
      &Schedule::PublishValid, &Schedule::PublishValid,
      &Schedule::PublishTwice, &Schedule::PublishInvalid,
      &Schedule::AppendNoise,  &Schedule::CrashSome,
      &Schedule::CrashAll,     &Schedule::RestartAll,
      &Schedule::PauseOne,     &Schedule::ToggleLog,
      &Schedule::ExpireCovered};

  std::mt19937_64 random;
  FleetDriver fleet;
  std::size_t published = 0;
};

// Properties ------------------------------------------------------------------

RC_GTEST_PROP(DistributionProperty,
              AnyFaults_NoNodeServesAnOlderReleaseAndAllConverge,
              ()) {
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  Schedule schedule(seed);
  schedule.Run(*rc::gen::inRange(5, 40));
  schedule.Heal();
}

// Two to fifty operators publish at the same time on the same base release.
RC_GTEST_PROP(DistributionProperty,
              ConcurrentPublishes_EachGetsTheRightVerdict,
              ()) {
  const auto operators = *rc::gen::inRange<std::size_t>(2, 51);
  const auto services =
      *rc::gen::container<std::vector<int>>(operators, rc::gen::inRange(0, 40));
  Fold fold;
  std::set<int> taken;
  for (std::size_t i = 0; i < operators; ++i) {
    const std::string service = "s" + std::to_string(services[i]);
    const auto verdict = fold.Apply(
        {i},
        PublishRecord("p" + std::to_string(i), AddServiceNote(0, service)));
    RC_ASSERT(verdict.has_value());
    const bool first = taken.insert(services[i]).second;
    RC_ASSERT(std::holds_alternative<Accepted>(verdict->result) == first);
    RC_ASSERT(std::holds_alternative<Conflict>(verdict->result) == !first);
  }
  RC_ASSERT(fold.State()->services.size() == taken.size());
}

// A fold that starts at any checkpoint ends in the same state as one that
// applied all records.
RC_GTEST_PROP(DistributionProperty,
              FoldFromAnyCheckpoint_EndsInTheSameState,
              ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 60);
  const auto cut = *rc::gen::inRange<std::size_t>(0, count);
  const auto picks =
      *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(0, 12));
  Fold whole;
  Fold joined;
  for (std::size_t i = 0; i < count; ++i) {
    if (i == cut && i > 0) {
      RC_ASSERT(joined.Adopt(whole.ToCheckpoint()) == AdoptResult::kAdopted);
    }
    wire::Note note = AddServiceNote(static_cast<std::int64_t>(i) / 2,
                                     "s" + std::to_string(picks[i] % 6));
    note.services[0].kind =
        picks[i] < 8 ? wire::ChangeKind::ADD : wire::ChangeKind::WITHDRAW;
    const std::string record =
        PublishRecord("p" + std::to_string(picks[i]), std::move(note));
    const auto verdict = whole.Apply({i}, record);
    if (i >= cut) {
      RC_ASSERT(joined.Apply({i}, record) == verdict);
    }
  }
  RC_ASSERT(joined.ToCheckpoint() == whole.ToCheckpoint());
}

// Nine of ten nodes restart at the same time.
class MassRestartTest : public testing::Test {};

TEST_F(MassRestartTest, NineOfTenRestart_TransfersAndLogReadsStayBounded) {
  FleetOptions options;
  options.nodes_per_zone = 40;
  FleetDriver fleet(options);
  for (std::size_t i = 1; i <= 100; ++i) {
    fleet.Append(ServiceRecord(i));
  }
  ASSERT_TRUE(
      fleet.RunUntil([&] { return fleet.AllServe({100}); }, seconds(18)));
  const std::size_t reads_before = fleet.log.reads;
  const Instant start = fleet.Now();
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i % 10 != 0) {
      fleet.Kill(i);
      fleet.Start(i);
    }
  }
  ASSERT_TRUE(
      fleet.RunUntil([&] { return fleet.AllServe({100}); }, seconds(18)));
  const auto elapsed = fleet.Now() - start;
  const auto rounds =
      static_cast<std::size_t>(elapsed / options.config.log_end_interval + 2);
  const std::size_t readers = fleet.nodes.size() / 40 * kReadersPerZone;
  EXPECT_LE(fleet.log.reads - reads_before, readers * (2 * rounds));
  for (const auto& node : fleet.nodes) {
    EXPECT_LE(node.max_transfers, options.config.max_state_transfers);
  }
  EXPECT_TRUE(fleet.violations.empty());
}

}  // namespace
}  // namespace tanagerledge
