// Settling a publish: what is proved and what is not, under every lost answer.

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

  PublishAction Take(const PublishEvent& event, seconds at = seconds(1)) {
    return this->machine.OnEvent(event, Instant{} + at);
  }

  static PublishEvent Failed(LogErrorKind kind) {
    return AppendEnded{tl::unexpected(LogError{kind, "fault", {}})};
  }

  static PublishEvent Judged(VerdictResult result, std::string id = "id") {
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

TEST_F(PublishMachineTest, AppendedAndAccepted_IsReportedWithItsRelease) {
  EXPECT_TRUE(std::holds_alternative<AppendNote>(this->Start()));
  EXPECT_TRUE(
      std::holds_alternative<ReadOn>(this->Take(AppendEnded{LogOffset{7}})));
  this->Take(Judged(Accepted{{3}, {}}));
  const auto action = this->Take(ReadEnded{{8}, {8}});
  ASSERT_EQ(OutcomeOf(action), PublishOutcome::kAccepted);
}

TEST_F(PublishMachineTest, ConflictAndFaults_AreRejections) {
  this->Start();
  this->Take(AppendEnded{LogOffset{7}});
  this->Take(Judged(Conflict{}));
  EXPECT_EQ(OutcomeOf(this->Take(ReadEnded{{8}, {8}})),
            PublishOutcome::kRejected);
}

TEST_F(PublishMachineTest, AmbiguousAppend_IsReadBackBeforeItIsSentAgain) {
  this->Start();
  EXPECT_TRUE(std::holds_alternative<ReadOn>(
      this->Take(Failed(LogErrorKind::kAmbiguous))));
  EXPECT_TRUE(
      std::holds_alternative<AppendNote>(this->Take(ReadEnded{{4}, {4}})));
}

TEST_F(PublishMachineTest, FirstVerdictOfTheId_IsTheOneReported) {
  this->Start();
  this->Take(Failed(LogErrorKind::kAmbiguous));
  this->Take(Judged(Accepted{{3}, {}}, "other"));
  this->Take(Judged(Rejected{}));
  this->Take(Judged(Repeat{{4}, {0}}));
  EXPECT_EQ(OutcomeOf(this->Take(ReadEnded{{6}, {6}})),
            PublishOutcome::kRejected);
}

TEST_F(PublishMachineTest, LogDownUntilTheDeadline_IsProvedNotPublished) {
  this->Start();
  EXPECT_TRUE(std::holds_alternative<Pause>(
      this->Take(Failed(LogErrorKind::kUnavailable))));
  EXPECT_TRUE(std::holds_alternative<AppendNote>(this->Take(PauseEnded{})));
  const auto action =
      this->Take(Failed(LogErrorKind::kUnavailable), seconds(11));
  EXPECT_EQ(OutcomeOf(action), PublishOutcome::kNotPublished);
}

TEST_F(PublishMachineTest, LogLostAfterAnAmbiguousAppend_IsNotYetKnown) {
  this->Start();
  this->Take(Failed(LogErrorKind::kAmbiguous));
  const auto action = this->Take(ReadFailed{"down"}, seconds(11));
  EXPECT_EQ(OutcomeOf(action), PublishOutcome::kNotYetKnown);
}

TEST_F(PublishMachineTest, RefusedAppend_EndsAtOnceAsNotPublished) {
  this->Start();
  EXPECT_EQ(OutcomeOf(this->Take(Failed(LogErrorKind::kRefused))),
            PublishOutcome::kNotPublished);
}

TEST_F(PublishMachineTest, RecordReadButNotJudged_IsNotYetKnown) {
  this->Start();
  this->Take(AppendEnded{LogOffset{7}});
  EXPECT_EQ(OutcomeOf(this->Take(ReadEnded{{8}, {8}})),
            PublishOutcome::kNotYetKnown);
}

TEST_F(PublishMachineTest, OwnRecordSkipped_IsARejectionByItsOffset) {
  this->Start();
  this->Take(AppendEnded{LogOffset{7}});
  Verdict verdict;
  verdict.offset = {7};
  verdict.result = Skipped{"no plain word"};
  this->Take(VerdictSeen{verdict});
  EXPECT_EQ(OutcomeOf(this->Take(ReadEnded{{8}, {8}})),
            PublishOutcome::kRejected);
}

// A log that errs at random: down, or swallowing answers.
RC_GTEST_FIXTURE_PROP(PublishMachineTest,
                      RandomFaults_ReportAgreesWithTheLog,
                      ()) {
  bool written = false;
  bool first_written_accepted = *rc::gen::arbitrary<bool>();
  PublishAction action = this->Start();
  for (int step = 0; !std::holds_alternative<Finish>(action); ++step) {
    const seconds at(step / 4);
    if (std::holds_alternative<AppendNote>(action)) {
      const int fault = *rc::gen::inRange(0, 4);
      written = written || fault <= 1;
      if (fault == 0) {
        action = this->Take(AppendEnded{LogOffset{0}}, at);
      } else {
        action = this->Take(Failed(fault <= 2 ? LogErrorKind::kAmbiguous
                                              : LogErrorKind::kUnavailable),
                            at);
      }
    } else if (std::holds_alternative<ReadOn>(action)) {
      if (*rc::gen::inRange(0, 3) == 0) {
        action = this->Take(ReadFailed{"down"}, at);
        continue;
      }
      if (written) {
        action = this->Take(
            Judged(first_written_accepted ? VerdictResult(Accepted{{1}, {}})
                                          : VerdictResult(Rejected{})),
            at);
      }
      if (!std::holds_alternative<Finish>(action)) {
        action =
            this->Take(ReadEnded{{written ? 1U : 0U}, {written ? 1U : 0U}}, at);
      }
    } else {
      action = this->Take(PauseEnded{}, at);
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
