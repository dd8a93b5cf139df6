// Tests the fold: verdicts, checkpoints and the digest chain.

#include "tanagerledge/fold.h"

#include <gtest/gtest.h>

#include <string>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

class FoldTest : public testing::Test {
 protected:
  static wire::Publish AddService(std::string id,
                                  std::int64_t base,
                                  std::string service) {
    wire::Publish publish;
    publish.publish_id = std::move(id);
    publish.operator_name = "eira";
    publish.note.base = base;
    wire::ServiceChange& change = publish.note.services.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item.name = std::move(service);
    return publish;
  }

  static std::string Record(const wire::Publish& publish) {
    wire::ReleaseRecord record;
    record.__set_publish(publish);
    return Encode(record);
  }

  Verdict Publish(const wire::Publish& publish) {
    return this->fold.Apply(this->fold.next_offset(), Record(publish)).value();
  }

  Fold fold;
};

TEST_F(FoldTest, CompatibleNotesOnOneBase_AreBothAccepted) {
  this->Publish(AddService("p1", 0, "a"));
  const Verdict second = this->Publish(AddService("p2", 0, "b"));
  EXPECT_TRUE(std::holds_alternative<Accepted>(second.result));
  EXPECT_EQ(this->fold.State()->release.value, 2u);
}

TEST_F(FoldTest, ItemChangedSinceTheBase_IsAConflictThatNamesIt) {
  this->Publish(AddService("p1", 0, "a"));
  wire::Publish late = AddService("p2", 0, "a");
  late.note.services[0].kind = wire::ChangeKind::WITHDRAW;
  const Verdict verdict = this->Publish(late);
  const Conflict expected{{{{ItemKind::kService, "a"}, {1}}}};
  EXPECT_EQ(std::get<Conflict>(verdict.result), expected);
}

TEST_F(FoldTest, RepeatedPublishId_IsARepeatAndChangesNothing) {
  this->Publish(AddService("p1", 0, "a"));
  const auto before = this->fold.State();
  const Verdict verdict = this->Publish(AddService("p1", 0, "a"));
  EXPECT_EQ(std::get<Repeat>(verdict.result), (Repeat{{0}, {1}}));
  EXPECT_EQ(this->fold.State(), before);
}

TEST_F(FoldTest, RepeatOfForgottenPublishId_IsAConflict) {
  this->Publish(AddService("p1", 0, "a"));
  for (std::size_t i = 0; i < kMaxJudgedPublishes; ++i) {
    this->Publish(AddService("q" + std::to_string(i), 99'999, "x"));
  }
  const Verdict verdict = this->Publish(AddService("p1", 0, "a"));
  EXPECT_TRUE(std::holds_alternative<Conflict>(verdict.result));
}

TEST_F(FoldTest, UndecodableRecord_IsSkippedWithAVerdict) {
  const auto verdict = this->fold.Apply({0}, "\xff\xff\xffnonsense");
  ASSERT_TRUE(verdict.has_value());
  EXPECT_TRUE(std::holds_alternative<Skipped>(verdict->result));
  EXPECT_EQ(this->fold.next_offset().value, 1u);
}

TEST_F(FoldTest, AdoptedCheckpoint_GivesTheSameFold) {
  this->Publish(AddService("p1", 0, "a"));
  this->Publish(AddService("p2", 5, "refused"));
  Fold other;
  EXPECT_EQ(other.Adopt(this->fold.ToCheckpoint()), AdoptResult::kAdopted);
  EXPECT_EQ(other.ToCheckpoint(), this->fold.ToCheckpoint());
  EXPECT_EQ(other.FindJudged("p1")->release, 1);
  EXPECT_EQ(other.FindJudged("p2")->release, 0);
  EXPECT_FALSE(other.FindJudged("p3").has_value());
  const std::string record = Record(AddService("p3", 1, "b"));
  EXPECT_EQ(other.Apply({2}, record), this->fold.Apply({2}, record));
  EXPECT_EQ(other.State()->digest, this->fold.State()->digest);
}

TEST_F(FoldTest, OlderCheckpoint_DoesNotMoveTheFoldBack) {
  this->Publish(AddService("p1", 0, "a"));
  const wire::Checkpoint old = this->fold.ToCheckpoint();
  this->Publish(AddService("p2", 0, "b"));
  EXPECT_EQ(this->fold.Adopt(old), AdoptResult::kNotNewer);
  EXPECT_EQ(this->fold.State()->release.value, 2u);
}

TEST_F(FoldTest, CheckpointOfAnotherHistory_IsDivergedAndChangesNothing) {
  this->Publish(AddService("p1", 0, "a"));
  Fold other_history;
  other_history.Apply({0}, Record(AddService("s1", 0, "z")));
  other_history.Apply({1}, "noise");
  const auto before = this->fold.State();
  EXPECT_EQ(this->fold.Adopt(other_history.ToCheckpoint()),
            AdoptResult::kDiverged);
  EXPECT_EQ(this->fold.State(), before);
}

TEST_F(FoldTest, CheckpointWithADanglingRoute_IsInvalid) {
  wire::Checkpoint checkpoint = this->fold.ToCheckpoint();
  checkpoint.through_offset = 3;
  wire::RouteItem& route = checkpoint.state.routes.emplace_back();
  route.name = "r";
  route.prefix = "/";
  route.service_name = "absent";
  route.rank = "absent";
  route.deadline_ms = 1;
  EXPECT_EQ(this->fold.Adopt(checkpoint), AdoptResult::kInvalid);
}

TEST_F(FoldTest, UnsupportedRulesVersion_StopsTheFoldThere) {
  wire::ReleaseRecord record;
  record.rule_change.rules = kMaxFoldRulesVersion + 1;
  record.__isset.rule_change = true;
  Fold newer(kMaxFoldRulesVersion + 1);
  this->fold.Apply({0}, record);
  newer.Apply({0}, record);
  const std::string publish = Record(AddService("p1", 0, "a"));
  EXPECT_FALSE(this->fold.Apply({1}, publish).has_value());
  EXPECT_TRUE(this->fold.needs_upgrade());
  EXPECT_TRUE(newer.Apply({1}, publish).has_value());
}

}  // namespace
}  // namespace tanagerledge
