// Tests ParseIni: line numbers, empty sections and the report of all faults.

#include "tanagerledge/ini.h"

#include <gtest/gtest.h>

#include <string>

namespace tanagerledge {
namespace {

class IniTest : public testing::Test {};

TEST_F(IniTest, SectionWithoutEntries_IsKeptWithItsLine) {
  const auto document = ParseIni("[note]\nbase = 3\n\n[withdraw route x]\n");
  ASSERT_TRUE(document.has_value());
  ASSERT_EQ(document->sections.size(), 2u);
  EXPECT_EQ(document->sections[0].entries[0].line, 2);
  EXPECT_EQ(document->sections[1].name, "withdraw route x");
  EXPECT_EQ(document->sections[1].line, 4);
}

TEST_F(IniTest, SeveralFaults_AreReportedTogetherByLine) {
  const auto document = ParseIni("early = 1\n[a]\nk = 1\nk = 2\nnonsense\n");
  ASSERT_FALSE(document.has_value());
  ASSERT_EQ(document.error().size(), 3u);
  EXPECT_EQ(document.error()[0].line, 1);
  EXPECT_EQ(document.error()[1].line, 4);
  EXPECT_EQ(document.error()[2].line, 5);
}

TEST_F(IniTest, OverlongLine_IsAFaultAndIsNotSplit) {
  const auto document = ParseIni("[a]\nk = " + std::string(5000, 'v') + "\n");
  ASSERT_FALSE(document.has_value());
  EXPECT_EQ(document.error()[0].line, 2);
}

TEST_F(IniTest, TextOverTheLimit_IsRejected) {
  EXPECT_FALSE(ParseIni("[a]\nk = 1\n", 4).has_value());
}

}  // namespace
}  // namespace tanagerledge
