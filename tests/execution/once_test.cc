// Tests at-most-once execution: no second run and no false answer under any
// fault, and each mode of operation separately.

#include "tanagerledge/once.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <iostream>

#include "src/adapters/codec.h"
#include "src/execution/once_wire.h"
#include "tests/execution/once_simulation.h"

namespace tanagerledge {
namespace {

using LogState = OnceSimulation::LogState;

// Without faults ------------------------------------------------------------

class OnceTest : public testing::Test {
 protected:
  OnceTest() : simulation(NoFaults()) { this->simulation.RunFor(seconds(3)); }

  static OnceSimulation::Options NoFaults() {
    OnceSimulation::Options options;
    options.skewed_clocks = false;
    options.refusal = 0;
    return options;
  }

  // Sends a new call to a live node and waits.
  std::size_t Call(microseconds wait = milliseconds(1600)) {
    const std::size_t call = this->simulation.NewCall();
    std::size_t node = 0;
    while (!this->simulation.IsUp(node)) {
      ++node;
    }
    this->simulation.Send(call, node);
    this->simulation.RunFor(wait);
    return call;
  }

  bool IsServed(std::size_t call) const {
    const OnceSimulation::Call& made = this->simulation.calls[call];
    return made.runs == 1 && made.answered;
  }

  OnceSimulation simulation;
};

TEST_F(OnceTest, LogAvailable_CallRunsOnceWithin150Ms) {
  const std::size_t call = this->Call(milliseconds(150));
  EXPECT_TRUE(this->IsServed(call));
}

TEST_F(OnceTest, RepeatToAnotherNode_GetsTheStoredOutcome) {
  const std::size_t call = this->Call();
  this->simulation.Send(call, 2);
  this->simulation.RunFor(seconds(1));
  EXPECT_EQ(this->simulation.calls[call].runs, 1);
  EXPECT_EQ(this->simulation.calls[call].unknown, 0);
}

TEST_F(OnceTest, BackendRefuses_RepeatRunsOnce) {
  this->simulation.SetRefusal(1);
  const std::size_t call = this->Call();
  EXPECT_EQ(this->simulation.calls[call].tickets, 1);
  EXPECT_EQ(this->simulation.calls[call].runs, 0);
  EXPECT_FALSE(this->simulation.calls[call].answered);
  this->simulation.SetRefusal(0);
  this->simulation.Send(call, 2);
  this->simulation.RunFor(seconds(1));
  EXPECT_TRUE(this->IsServed(call));
  EXPECT_EQ(this->simulation.calls[call].unknown, 0);
}

TEST_F(OnceTest, LogDown_CallsRunUnderDeputyPromise) {
  this->simulation.SetLog(LogState::kDown);
  EXPECT_TRUE(this->IsServed(this->Call()));
  EXPECT_EQ(this->simulation.PartitionAt(this->simulation.Owner()).mode(),
            OnceMode::kOffLog);
  EXPECT_TRUE(this->IsServed(this->Call(milliseconds(100))));
}

TEST_F(OnceTest, LogRecovers_OwnerSettlesPromiseAndReturnsToLog) {
  this->simulation.SetLog(LogState::kDown);
  this->Call();
  this->simulation.SetLog(LogState::kUp);
  this->simulation.RunFor(seconds(2));
  const std::size_t owner = this->simulation.Owner();
  EXPECT_EQ(this->simulation.PartitionAt(owner).mode(), OnceMode::kLogged);
  EXPECT_TRUE(this->IsServed(this->Call()));
}

TEST_F(OnceTest, LogSlow_CallsStayInTime) {
  this->simulation.SetLog(LogState::kSlow);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(this->IsServed(this->Call()));
  }
}

TEST_F(OnceTest, DeputyDeadWhenLogGoesDown_CallIsRefused) {
  this->simulation.Crash(this->simulation.Deputy());
  this->simulation.SetLog(LogState::kDown);
  const std::size_t call = this->Call();
  EXPECT_EQ(this->simulation.calls[call].runs, 0);
  EXPECT_EQ(this->simulation.calls[call].unknown, 1);
}

TEST_F(OnceTest, OwnerDies_DeputyTakesOverWithAllOutcomes) {
  const std::size_t before = this->Call();
  this->simulation.Crash(this->simulation.Owner());
  this->simulation.RunFor(seconds(1));
  EXPECT_TRUE(this->IsServed(this->Call()));
  this->simulation.Send(before, 3);
  this->simulation.RunFor(seconds(1));
  EXPECT_EQ(this->simulation.calls[before].runs, 1);
  EXPECT_EQ(this->simulation.calls[before].unknown, 0);
}

TEST_F(OnceTest, OwnerDiesOffLog_ItsKeysDoNotRunAgain) {
  this->simulation.SetLog(LogState::kDown);
  const std::size_t call = this->simulation.NewCall();
  this->simulation.Send(call, 3);
  this->simulation.RunFor(seconds(1));
  const std::size_t owner = this->simulation.Owner();
  this->simulation.Crash(owner);
  this->simulation.SetLog(LogState::kUp);
  this->simulation.RunFor(seconds(1));
  this->simulation.Restart(owner);
  this->simulation.RunFor(seconds(3));
  this->simulation.Send(call, 2);
  this->simulation.RunFor(seconds(5));
  EXPECT_EQ(this->simulation.calls[call].runs, 1);
  EXPECT_NE(this->simulation.Owner(), this->simulation.size());
  EXPECT_TRUE(this->IsServed(this->Call()));
}

// The owner and the deputy are isolated from all other nodes and from the log.
// They may continue until the limit. After that, no key may be served on both
// sides.
TEST_F(OnceTest, IsolatedLongerThanLimit_OnlyOneSideServes) {
  const std::size_t owner = this->simulation.Owner();
  const std::size_t deputy = this->simulation.Deputy();
  for (const std::size_t node : {owner, deputy}) {
    this->simulation.SetNetworkSegment(node, 1);
    this->simulation.SetLogReachable(node, false);
  }
  const std::size_t early = this->simulation.NewCall();
  this->simulation.Send(early, owner);
  this->simulation.RunFor(seconds(2));
  EXPECT_TRUE(this->IsServed(early));
  this->simulation.RunFor(seconds(20));
  for (int i = 0; i < 10; ++i) {
    const std::size_t call = this->simulation.NewCall();
    for (std::size_t node = 0; node < this->simulation.size(); ++node) {
      this->simulation.Send(call, node);
    }
    this->simulation.RunFor(seconds(2));
    EXPECT_TRUE(this->IsServed(call));
  }
}

TEST_F(OnceTest, RecordsExpired_RestartedNodesServeCalls) {
  this->Call();
  this->simulation.RunFor(seconds(70));
  this->simulation.ExpireAllBut(10);
  for (std::size_t node = 0; node < this->simulation.size(); ++node) {
    this->simulation.Crash(node);
    this->simulation.Restart(node);
  }
  this->simulation.RunFor(seconds(20));
  EXPECT_TRUE(this->IsServed(this->Call()));
}

// One partition ---------------------------------------------------------------

// Tests a single partition; the test acts as its log and its peers.
class OncePartitionTest : public testing::Test {
 protected:
  OncePartitionTest() {
    this->partition.SetCandidates({{"a:1"}, {"b:1"}}, {{"a:1"}, {"b:1"}});
    this->ReadBack({});
    this->Advance(seconds(1));
  }

  // Advances the time and reads back all appended records.
  void Advance(milliseconds span) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(50)) {
      this->time.now += milliseconds(50);
      this->time.wall += milliseconds(50);
      this->partition.OnTick(this->time);
      this->ProcessActions();
    }
  }

  void ProcessActions() {
    for (const OnceAction& action : this->partition.TakeActions()) {
      if (const auto* append = std::get_if<OnceAppend>(&action)) {
        if (!this->log_is_down) {
          this->ReadBack(append->record);
        }
      } else {
        this->RecordAnswer(std::get<OnceSend>(action).message);
      }
    }
  }

  void ReadBack(const std::string& record) {
    std::vector<LogRecord> page;
    if (!record.empty()) {
      page.push_back({this->partition.next(), record});
    }
    this->partition.OnRecords(page, true, this->time);
  }

  void RecordAnswer(const wire::OnceMessage& message) {
    if (message.__isset.answer) {
      this->answers.push_back(static_cast<ClaimAnswer>(message.answer.answer));
    }
  }

  void Deliver(wire::OnceMessage message) {
    message.start = 1;
    this->partition.OnMessage({"b:1"}, message, this->time);
    this->ProcessActions();
  }

  wire::OnceAttempt Attempt(int number) {
    return ToWire(
        OnceAttempt{{{"b:1"}, 1}, static_cast<std::uint64_t>(number)});
  }

  void Claim(int number) {
    wire::OnceMessage message;
    wire::OnceClaim claim;
    claim.key = ToWire(this->key);
    claim.attempt = this->Attempt(number);
    claim.remaining_us = 1'000'000;
    message.__set_claim(claim);
    this->Deliver(message);
    this->Advance(milliseconds(200));
  }

  void FinishNotRun(int number) {
    wire::OnceMessage message;
    wire::OnceFinish finish;
    finish.key = ToWire(this->key);
    finish.attempt = this->Attempt(number);
    finish.result = ToWire({Outcome::kNotRun, Reason::kDeadline, {}, false});
    message.__set_finish(finish);
    this->Deliver(message);
  }

  // Node b, the deputy of this node, takes over the seat.
  void LoseSeat() {
    wire::OnceRecord record;
    record.epoch = this->partition.state().epoch();
    record.author = ToWire(OnceProcess{{"b:1"}, 1});
    wire::OnceSeatChange change;
    change.cause = static_cast<int>(SeatCause::kDeputy);
    change.previous = record.epoch;
    change.seat.owner = record.author;
    record.__set_change(change);
    this->ReadBack(Encode(record));
  }

  OncePartition partition{0, {{"a:1"}, 1}, {}};
  OnceTime time{Instant(seconds(100)), WallTime(seconds(1'790'000'000))};
  OnceKeyId key{1, 8, 3};
  bool log_is_down = false;
  std::vector<ClaimAnswer> answers;
};

TEST_F(OncePartitionTest, SeatLostBeforeNotRunIsLogged_KeyStaysTaken) {
  this->Deliver({});
  this->Advance(seconds(2));
  ASSERT_TRUE(this->partition.IsOwner());
  this->Claim(16);
  ASSERT_EQ(this->answers.back(), ClaimAnswer::kGranted);
  this->log_is_down = true;
  this->FinishNotRun(16);
  this->LoseSeat();
  const auto* entry = this->partition.state().keys.Find(this->key);
  ASSERT_NE(entry, nullptr);
  EXPECT_EQ(entry->number, 16u);
}

TEST_F(OncePartitionTest, ProposalResendNotWritten_FirstCopyMayBeLogged) {
  OncePartition fresh(0, {{"a:1"}, 1}, {});
  fresh.SetCandidates({{"a:1"}}, {{"a:1"}});
  std::vector<std::int64_t> proposal_numbers;
  for (int i = 0; i < 60; ++i) {
    this->time.now += milliseconds(50);
    fresh.OnRecords({}, true, this->time);
    fresh.OnTick(this->time);
    for (const OnceAction& action : fresh.TakeActions()) {
      if (const auto* append = std::get_if<OnceAppend>(&action)) {
        proposal_numbers.push_back(append->proposal);
      }
    }
    // The first copy has no result yet; the second is known not to be written.
    if (proposal_numbers.size() == 2) {
      fresh.OnAppendResult(proposal_numbers.back(),
                           AppendResult::kNothingWritten);
    }
  }
  ASSERT_GE(proposal_numbers.size(), 3u);
  EXPECT_EQ(proposal_numbers.front(), proposal_numbers.back());
}

TEST_F(OncePartitionTest, NotRunLogged_KeyIsAvailableAgain) {
  this->Claim(16);
  this->FinishNotRun(16);
  this->Advance(seconds(1));
  this->Claim(17);
  EXPECT_EQ(this->answers.back(), ClaimAnswer::kGranted);
  EXPECT_EQ(this->partition.state().keys.Find(this->key)->number, 17u);
}

// Random schedules ----------------------------------------------------------

class OnceScheduleTest : public testing::Test {
 protected:
  struct Totals {
    int calls = 0;
    int runs = 0;
    int second_runs = 0;
    std::uint64_t false_answers = 0;
    int unserved_after_healing = 0;
  };

  // Injects or repairs one fault. The most critical situations are frequent:
  // the log goes down during an append, or only the owner is isolated.
  static void InjectFault(OnceSimulation& simulation) {
    const std::size_t node = simulation.Below(simulation.size());
    const std::size_t owner = simulation.Owner();
    const std::size_t target =
        owner < simulation.size() && simulation.Chance() < 0.5 ? owner : node;
    switch (simulation.Below(14)) {
      case 0:
      case 1:
        simulation.SetLog(LogState::kDown);
        break;
      case 2:
        simulation.SetLog(LogState::kSlow);
        break;
      case 3:
      case 4:
        simulation.SetLog(LogState::kUp);
        break;
      case 5:
        simulation.Crash(target);
        break;
      case 6:
        simulation.Crash(target);
        simulation.Restart(target);
        break;
      case 7:
        simulation.Pause(target, milliseconds(simulation.Below(8000)));
        break;
      case 8:
        simulation.SetNetworkSegment(target,
                                     static_cast<int>(simulation.Below(2)));
        break;
      case 9:
        simulation.SetLogReachable(target, simulation.Chance() < 0.4);
        break;
      case 10:
        simulation.Restart(node);
        break;
      case 11:
        simulation.SetLogReachable(node, true);
        simulation.SetNetworkSegment(node, 0);
        break;
      case 12:
        simulation.ExpireAllBut(simulation.Below(200));
        break;
      default:
        for (std::size_t i = 0; i < simulation.size(); ++i) {
          simulation.Restart(i);
        }
    }
  }

  static void Run(std::uint64_t seed, Totals& totals) {
    OnceSimulation::Options options;
    options.seed = seed;
    options.nodes = 3 + static_cast<int>(seed % 3);
    options.loss = 0.01 * static_cast<double>(seed % 7);
    options.append_loss = 0.2;
    options.crash_in_run = 0.01;
    // Keys without a creation time are safe only within the resend window, so
    // they are used only if the window is longer than the schedule.
    const bool has_opaque_keys = seed % 2 == 0;
    options.timing.resend_window = seconds(has_opaque_keys ? 300 : 20);
    OnceSimulation simulation(options);
    simulation.RunFor(seconds(2));
    constexpr int kSteps = 150;
    for (int step = 0; step < kSteps; ++step) {
      if (simulation.Chance() < 0.3) {
        InjectFault(simulation);
      }
      if (simulation.Chance() < 0.5) {
        simulation.NewCall(!has_opaque_keys || simulation.Chance() < 0.5);
      }
      // Callers repeat mostly recent calls.
      const std::size_t made = simulation.calls.size();
      for (std::size_t i = 0; made > 0 && i < 3; ++i) {
        const std::size_t back =
            simulation.Below(std::min<std::size_t>(made, 12));
        simulation.Send(made - 1 - back, simulation.Below(simulation.size()));
      }
      simulation.RunFor(milliseconds(simulation.Below(300)));
    }
    simulation.Heal();
    // The maximum time without the log, twice, and the following period in
    // which keys are answered as unknown. After that a new key must be served.
    simulation.RunFor(seconds(30));
    const std::size_t fresh = simulation.NewCall();
    for (int i = 0; i < 5; ++i) {
      simulation.Send(fresh, simulation.Below(simulation.size()));
      simulation.RunFor(seconds(2));
    }
    for (std::size_t call = 0; call < simulation.calls.size(); ++call) {
      simulation.Send(call, simulation.Below(simulation.size()));
    }
    simulation.RunFor(seconds(3));
    Summarize(simulation, fresh, totals);
  }

  static void Summarize(const OnceSimulation& simulation,
                        std::size_t fresh,
                        Totals& totals) {
    for (const OnceSimulation::Call& call : simulation.calls) {
      ++totals.calls;
      totals.runs += call.runs > 0 ? 1 : 0;
      totals.second_runs += call.runs > 1 ? 1 : 0;
    }
    totals.false_answers += simulation.false_answers;
    totals.unserved_after_healing += simulation.calls[fresh].answered ? 0 : 1;
  }

  static Totals RunSeeds(std::uint64_t first, std::uint64_t count) {
    Totals totals;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      const Totals before = totals;
      Run(seed, totals);
      EXPECT_EQ(totals.second_runs, before.second_runs) << "seed " << seed;
      EXPECT_EQ(totals.false_answers, before.false_answers) << "seed " << seed;
      EXPECT_EQ(totals.unserved_after_healing, before.unserved_after_healing)
          << "seed " << seed;
    }
    std::cout << "calls " << totals.calls << ", ran " << totals.runs << "\n";
    return totals;
  }
};

TEST_F(OnceScheduleTest, RandomFaults_NoSecondRunNoFalseAnswer) {
  const Totals totals = RunSeeds(1, 250);
  EXPECT_GT(totals.runs, totals.calls / 4);
}

// Seeds that failed in the past. 1045 produced a second run: an owner that had
// lost its seat made a key available again although its `not-run` was not on
// the log. 5151 produced a second run: an owner assumed that its proposal was
// not written because a resend of it was not written, and went off the log
// while the first copy was still in transit.
TEST_F(OnceScheduleTest, PreviouslyFailingSeeds_Pass) {
  RunSeeds(1045, 1);
  RunSeeds(5151, 1);
}

}  // namespace
}  // namespace tanagerledge
