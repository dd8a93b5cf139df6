// Tests that the outcome reported for a publish is correct when replies of the
// log are lost: nothing may be reported as certain that is not.

#include "src/cli/publish_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PublishMachineTest : public testing::Test {
 protected:
  PublishAction Start() { return this->machine.Start(Instant{}); }

  PublishAction HandleEvent(const PublishEvent& event,
                            seconds elapsed = seconds(1)) {
    return this->machine.OnEvent(event, Instant{} + elapsed);
  }

  static PublishEvent FailedAppend(LogErrorKind kind) {
    return AppendEnded{tl::unexpected(LogError{kind, "fault", {}})};
  }

  static PublishEvent VerdictEvent(VerdictResult result,
                                   std::string id = "id") {
    Verdict verdict;
    verdict.publish_id = std::move(id);
    verdict.result = std::move(result);
    return VerdictSeen{verdict};
  }

  static PublishOutcome OutcomeOf(const PublishAction& action) {
    return std::get<Finish>(action).report.outcome;
  }

  PublishMachine machine{"id", Instant{} + seconds(10)};
};

TEST_F(PublishMachineTest, RecordAppendedAndAccepted_ReportsAccepted) {
  EXPECT_TRUE(std::holds_alternative<AppendNote>(this->Start()));
  EXPECT_TRUE(std::holds_alternative<ReadNextPage>(
      this->HandleEvent(AppendEnded{LogOffset{7}})));
  this->HandleEvent(VerdictEvent(Accepted{{3}, {}}));
  const auto action = this->HandleEvent(ReadEnded{{8}, {8}});
  ASSERT_EQ(OutcomeOf(action), PublishOutcome::kAccepted);
}

TEST_F(PublishMachineTest, ConflictVerdict_ReportsRejected) {
  this->Start();
  this->HandleEvent(AppendEnded{LogOffset{7}});
  this->HandleEvent(VerdictEvent(Conflict{}));
  EXPECT_EQ(OutcomeOf(this->HandleEvent(ReadEnded{{8}, {8}})),
            PublishOutcome::kRejected);
}

TEST_F(PublishMachineTest, AmbiguousAppend_IsReadBackBeforeRetry) {
  this->Start();
  EXPECT_TRUE(std::holds_alternative<ReadNextPage>(
      this->HandleEvent(FailedAppend(LogErrorKind::kAmbiguous))));
  EXPECT_TRUE(std::holds_alternative<AppendNote>(
      this->HandleEvent(ReadEnded{{4}, {4}})));
}

TEST_F(PublishMachineTest, SeveralVerdictsOnOneId_ReportsTheFirst) {
  this->Start();
  this->HandleEvent(FailedAppend(LogErrorKind::kAmbiguous));
  this->HandleEvent(VerdictEvent(Accepted{{3}, {}}, "other"));
  this->HandleEvent(VerdictEvent(Rejected{}));
  this->HandleEvent(VerdictEvent(Repeat{{4}, {0}}));
  EXPECT_EQ(OutcomeOf(this->HandleEvent(ReadEnded{{6}, {6}})),
            PublishOutcome::kRejected);
}

TEST_F(PublishMachineTest, LogDownUntilDeadline_ReportsNotPublished) {
  this->Start();
  EXPECT_TRUE(std::holds_alternative<Pause>(
      this->HandleEvent(FailedAppend(LogErrorKind::kUnavailable))));
  EXPECT_TRUE(
      std::holds_alternative<AppendNote>(this->HandleEvent(PauseEnded{})));
  const auto action =
      this->HandleEvent(FailedAppend(LogErrorKind::kUnavailable), seconds(11));
  EXPECT_EQ(OutcomeOf(action), PublishOutcome::kNotPublished);
}

TEST_F(PublishMachineTest, LogDownAfterAmbiguousAppend_ReportsNotYetKnown) {
  this->Start();
  this->HandleEvent(FailedAppend(LogErrorKind::kAmbiguous));
  const auto action = this->HandleEvent(ReadFailed{"down"}, seconds(11));
  EXPECT_EQ(OutcomeOf(action), PublishOutcome::kNotYetKnown);
}

TEST_F(PublishMachineTest, RefusedAppend_ReportsNotPublishedAtOnce) {
  this->Start();
  EXPECT_EQ(OutcomeOf(this->HandleEvent(FailedAppend(LogErrorKind::kRefused))),
            PublishOutcome::kNotPublished);
}

TEST_F(PublishMachineTest, RecordReadButNotJudged_ReportsNotYetKnown) {
  this->Start();
  this->HandleEvent(AppendEnded{LogOffset{7}});
  EXPECT_EQ(OutcomeOf(this->HandleEvent(ReadEnded{{8}, {8}})),
            PublishOutcome::kNotYetKnown);
}

TEST_F(PublishMachineTest,
       OwnRecordSkipped_IsMatchedByOffsetAndReportsRejected) {
  this->Start();
  this->HandleEvent(AppendEnded{LogOffset{7}});
  Verdict verdict;
  verdict.offset = {7};
  verdict.result = Skipped{"no plain word"};
  this->HandleEvent(VerdictSeen{verdict});
  EXPECT_EQ(OutcomeOf(this->HandleEvent(ReadEnded{{8}, {8}})),
            PublishOutcome::kRejected);
}

// The log fails at random: it is down, or loses the reply to an append. A
// definite outcome that the machine reports must agree with the content of the
// log.
RC_GTEST_FIXTURE_PROP(PublishMachineTest,
                      RandomFaults_ReportAgreesWithLog,
                      ()) {
  bool written = false;
  bool first_written_accepted = *rc::gen::arbitrary<bool>();
  PublishAction action = this->Start();
  for (int step = 0; !std::holds_alternative<Finish>(action); ++step) {
    const seconds elapsed(step / 4);
    if (std::holds_alternative<AppendNote>(action)) {
      const int fault = *rc::gen::inRange(0, 4);
      written = written || fault <= 1;
      if (fault == 0) {
        action = this->HandleEvent(AppendEnded{LogOffset{0}}, elapsed);
      } else {
        action = this->HandleEvent(
            FailedAppend(fault <= 2 ? LogErrorKind::kAmbiguous
                                    : LogErrorKind::kUnavailable),
            elapsed);
      }
    } else if (std::holds_alternative<ReadNextPage>(action)) {
      if (*rc::gen::inRange(0, 3) == 0) {
        action = this->HandleEvent(ReadFailed{"down"}, elapsed);
        continue;
      }
      if (written) {
        action = this->HandleEvent(
            VerdictEvent(first_written_accepted
                             ? VerdictResult(Accepted{{1}, {}})
                             : VerdictResult(Rejected{})),
            elapsed);
      }
      if (!std::holds_alternative<Finish>(action)) {
        action = this->HandleEvent(
            ReadEnded{{written ? 1U : 0U}, {written ? 1U : 0U}}, elapsed);
      }
    } else {
      action = this->HandleEvent(PauseEnded{}, elapsed);
    }
  }
  switch (OutcomeOf(action)) {
    case PublishOutcome::kAccepted:
      RC_ASSERT(written && first_written_accepted);
      break;
    case PublishOutcome::kRejected:
      RC_ASSERT(written && !first_written_accepted);
      break;
    case PublishOutcome::kNotPublished:
      RC_ASSERT(!written);
      break;
    case PublishOutcome::kNotYetKnown:
      break;
  }
}

}  // namespace
}  // namespace tanagerledge
