// Tests notes: parsing, and the report of all faults of a note in a state.

#include "tanagerledge/note.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace tanagerledge {
namespace {

constexpr std::string_view kFirstNote = R"(
[note]
base = 0
title = first

[add service catalogue]

[add rank urgent]
target_ms = 100
worth = 100
floor_percent = 60

[add rank bulk]
target_ms = 2000
worth = 1
floor_percent = 5

[add route curve]
prefix = /curve
service = catalogue
rank = bulk
idempotent = yes
deadline_ms = 2000
)";

class NoteTest : public testing::Test {
 protected:
  static ParsedNote Parse(std::string_view text) {
    auto parsed = ParseNote(text);
    EXPECT_TRUE(parsed.has_value()) << parsed.error().front().text;
    return parsed.value_or(ParsedNote{});
  }

  static FleetState FirstState() {
    return ApplyNote(Parse(kFirstNote).note, FleetState()).value();
  }

  static std::vector<std::string> FaultsOf(std::string_view text) {
    const ParsedNote parsed = Parse(text);
    std::vector<std::string> texts;
    for (const NoteFault& fault :
         Validate(parsed.note, FirstState(), parsed.lines)) {
      texts.push_back(std::to_string(fault.line) + " " + ToText(fault.item) +
                      ": " + fault.text);
    }
    return texts;
  }
};

TEST_F(NoteTest, NoteOnEmptyState_GivesItsItems) {
  const FleetState state = FirstState();
  ASSERT_EQ(state.services.size(), 1u);
  EXPECT_EQ(state.ranks.at({"urgent"}).floor_percent, 60);
  EXPECT_TRUE(state.routes.at({"curve"}).idempotent);
  EXPECT_EQ(state.routes.at({"curve"}).deadline, std::chrono::seconds(2));
}

TEST_F(NoteTest, FaultsOfTheText_AreReportedTogetherByLine) {
  const auto parsed = ParseNote(
      "[note]\nbase = x\n[add rank r]\nworth = 1\ncolour = red\n"
      "[remove route q]\n[withdraw route q]\nprefix = /\n");
  ASSERT_FALSE(parsed.has_value());
  std::vector<int> lines;
  std::ranges::transform(parsed.error(), std::back_inserter(lines),
                         &TextFault::line);
  EXPECT_THAT(lines, testing::ElementsAre(2, 3, 5, 6, 8));
}

TEST_F(NoteTest, MissingOrDuplicateNoteSection_IsRejected) {
  EXPECT_FALSE(ParseNote("[add service a]\n").has_value());
  EXPECT_FALSE(ParseNote("[note]\nbase=0\n[note]\nbase=1\n").has_value());
}

TEST_F(NoteTest, FaultsAgainstTheState_AreReportedTogetherWithTheirLines) {
  const std::vector<std::string> faults = FaultsOf(
      "[note]\nbase = 1\n"
      "[withdraw service catalogue]\n"
      "[add rank urgent]\ntarget_ms = 1\nworth = 1\n"
      "[add rank third]\ntarget_ms = 1\nworth = 1\nfloor_percent = 36\n"
      "[change route absent]\nprefix=/a\nservice=catalogue\nrank=bulk\n"
      "deadline_ms=1\n"
      "[add route second]\nprefix = /curve\nservice = nowhere\nrank = none\n"
      "deadline_ms = 0\n");
  EXPECT_THAT(faults,
              testing::UnorderedElementsAre(
                  "4 rank urgent: is already in the release",
                  "11 route absent: is not in the release",
                  "16 route second: deadline_ms must be 1 to 3600000",
                  "16 route second: service 'nowhere' is not in the release",
                  "16 route second: rank 'none' is not in the release",
                  "16 route second: route 'curve' has the same prefix",
                  "3 service catalogue: is still used by route 'curve'",
                  "1 note: the floors of all ranks sum to 101 %, over 100 %"));
}

TEST_F(NoteTest, WithdrawnServiceWithItsRoute_IsAccepted) {
  EXPECT_THAT(FaultsOf("[note]\nbase = 1\n[withdraw service catalogue]\n"
                       "[withdraw route curve]\n"),
              testing::IsEmpty());
}

TEST_F(NoteTest, PrefixMovedToAnotherRoute_IsAccepted) {
  EXPECT_THAT(FaultsOf("[note]\nbase = 1\n[change route curve]\nprefix=/new\n"
                       "service=catalogue\nrank=bulk\ndeadline_ms=1\n"
                       "[add route next]\nprefix=/curve\nservice=catalogue\n"
                       "rank=bulk\ndeadline_ms=1\n"),
              testing::IsEmpty());
}

TEST_F(NoteTest, InvalidBytesInNote_AreRejectedAndNotRepeated) {
  wire::Note note;
  note.title = "a\nb";
  note.services.emplace_back().item.name = "../\x1b[31m";
  note.services.back().kind = wire::ChangeKind::ADD;
  note.ranks.emplace_back().item.name = "r";
  note.ranks.back().kind = static_cast<wire::ChangeKind::type>(77);
  const auto faults = Validate(note, FleetState());
  ASSERT_EQ(faults.size(), 3u);
  EXPECT_TRUE(std::ranges::all_of(faults, [](const NoteFault& fault) {
    return fault.text.find('\x1b') == std::string::npos &&
           fault.item.name.find('\x1b') == std::string::npos;
  }));
}

}  // namespace
}  // namespace tanagerledge
