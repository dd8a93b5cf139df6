// Tests of the commands with an in-memory log and scripted nodes.

#include <gtest/gtest.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "src/adapters/codec.h"
#include "src/cli/cli.h"
#include "src/cli/release_reader.h"

namespace tanagerledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An in-memory log that can be made to fail: `down` fails appends and reads,
// `unreadable` fails reads, and the next `lose_append_replies` appends are
// written but report an ambiguous result. Records before `first_kept` have
// expired.
class InMemoryLog : public LogPort {
 public:
  tl::expected<LogOffset, LogError> Append(std::string_view,
                                           std::string_view record,
                                           milliseconds) override {
    if (this->down) {
      return this->MakeError(LogErrorKind::kUnavailable);
    }
    this->records.emplace_back(record);
    if (this->lose_append_replies > 0) {
      --this->lose_append_replies;
      return this->MakeError(LogErrorKind::kAmbiguous);
    }
    return LogOffset{this->records.size() - 1};
  }

  tl::expected<LogPage, LogError> Read(std::string_view,
                                       LogOffset from,
                                       std::size_t max_records,
                                       milliseconds,
                                       milliseconds) override {
    if (this->down || this->unreadable) {
      return this->MakeError(LogErrorKind::kUnavailable);
    }
    if (from.value < this->first_kept) {
      return this->MakeError(LogErrorKind::kExpired);
    }
    LogPage page;
    page.end = {this->records.size()};
    for (std::uint64_t next = from.value;
         next < page.end.value && page.records.size() < max_records; ++next) {
      page.records.push_back({{next}, this->records[next]});
    }
    return page;
  }

  std::vector<std::string> records;
  bool down = false;
  bool unreadable = false;
  int lose_append_replies = 0;
  std::uint64_t first_kept = 0;

 private:
  tl::unexpected<LogError> MakeError(LogErrorKind kind) const {
    return tl::unexpected(LogError{kind, "log fault", {this->first_kept}});
  }
};

// A node that returns scripted pages in order and then repeats the last one.
class ScriptedNode : public NodePort {
 public:
  bool empty() const override { return this->pages.empty(); }

  tl::expected<NodeResponse, std::string> Query(
      const std::string& target) override {
    auto& queue = this->pages[target.substr(0, target.find('?'))];
    if (queue.empty()) {
      return tl::unexpected(std::string("node n: no answer"));
    }
    NodeResponse response{"n", queue.front()};
    if (queue.size() > 1) {
      queue.pop_front();
    }
    return response;
  }

  std::vector<tl::expected<NodeResponse, std::string>> QueryAll(
      const std::string& target) override {
    if (this->empty()) {
      return {};
    }
    return {this->Query(target)};
  }

  std::map<std::string, std::deque<json>> pages;
};

class CommandsTest : public testing::Test {
 protected:
  CommandsTest() {
    this->environment.log = &this->log;
    this->environment.nodes = &this->node;
    this->environment.out = &this->out;
    this->environment.err = &this->err;
    this->environment.now = [this] { return this->clock; };
    this->environment.wall_now = [] { return WallTime{}; };
    this->environment.pause = [this](milliseconds time) {
      this->clock += time;
    };
    this->note_path = std::filesystem::temp_directory_path() /
                      ("tanagerledge-note-" + std::to_string(getpid()));
  }

  ~CommandsTest() override { std::filesystem::remove(this->note_path); }

  std::string WriteNote(const std::string& text) {
    std::ofstream(this->note_path) << text;
    return this->note_path;
  }

  std::string WriteValidNote() {
    return this->WriteNote(
        "[note]\nbase = 0\ntitle = first\n[add service curves]\n"
        "[add rank lookup]\ntarget_ms = 250\nworth = 10\nfloor_percent = 5\n"
        "[add route curve]\nprefix = /curve\nservice = curves\nrank = lookup\n"
        "idempotent = yes\ndeadline_ms = 2000\n");
  }

  // Clears the output, runs the command and returns its exit code.
  int RunCommand(std::vector<const char*> args) {
    this->out.str("");
    this->err.str("");
    args.insert(args.begin(), "tanagerledge");
    const auto arguments =
        ParseArguments(static_cast<int>(args.size()), args.data());
    if (!arguments) {
      this->err << arguments.error();
      return kExitUsage;
    }
    return RunCli(this->environment, *arguments);
  }

  bool OutputContains(std::string_view text) const {
    return this->out.str().find(text) != std::string::npos ||
           this->err.str().find(text) != std::string::npos;
  }

  static json MakeReachPage(int in_force) {
    const json zone = {
        {"zone", "zone-a"}, {"members", 2}, {"in_force", in_force}};
    return {{"release", 1},
            {"zones", json::array({zone})},
            {"laggards", json::array()}};
  }

  InMemoryLog log;
  ScriptedNode node;
  std::ostringstream out;
  std::ostringstream err;
  Instant clock{};
  CliEnvironment environment;
  std::filesystem::path note_path;
};

TEST_F(CommandsTest, CheckOfValidNote_ReportsNextReleaseAndWritesNothing) {
  EXPECT_EQ(this->RunCommand({"check", this->WriteValidNote().c_str()}),
            kExitOk);
  EXPECT_TRUE(this->OutputContains("would be release 1"));
  EXPECT_TRUE(this->log.records.empty());
}

TEST_F(CommandsTest, CheckOfInvalidNote_ListsEveryFaultWithItsLine) {
  const auto path = this->WriteNote(
      "[note]\nbase = 0\n[add route a]\nprefix = /a\nservice = none\n"
      "rank = none\ndeadline_ms = 10\n[withdraw service gone]\n");
  EXPECT_EQ(this->RunCommand({"check", path.c_str()}), kExitRejected);
  EXPECT_TRUE(this->OutputContains("line 3"));
  EXPECT_TRUE(this->OutputContains("line 8"));
}

TEST_F(CommandsTest, CheckOfMalformedNote_ListsFaultsOfTheText) {
  const auto path = this->WriteNote("[note]\nbase = x\n[add nothing a]\n");
  EXPECT_EQ(this->RunCommand({"check", path.c_str(), "--json"}), kExitRejected);
  EXPECT_GE(json::parse(this->out.str())["faults"].size(), 2u);
}

TEST_F(CommandsTest, CheckWithLogDown_ReportsThatOnlyTheTextWasChecked) {
  this->log.down = true;
  EXPECT_EQ(this->RunCommand({"check", this->WriteValidNote().c_str()}),
            kExitUnavailable);
  EXPECT_TRUE(this->OutputContains("not judged against the releases"));
}

TEST_F(CommandsTest, PublishWithLostAppendReply_IsAcceptedOnce) {
  this->log.lose_append_replies = 1;
  EXPECT_EQ(this->RunCommand({"publish", this->WriteValidNote().c_str()}),
            kExitOk);
  EXPECT_TRUE(this->OutputContains("accepted: release 1"));
  EXPECT_EQ(this->log.records.size(), 1u);
}

TEST_F(CommandsTest, SecondPublishOfSameNote_IsRejectedWithReasons) {
  const auto path = this->WriteValidNote();
  this->RunCommand({"publish", path.c_str()});
  EXPECT_EQ(this->RunCommand({"publish", path.c_str(), "--json"}),
            kExitRejected);
  const auto report = json::parse(this->out.str());
  EXPECT_EQ(report["outcome"], "rejected");
  EXPECT_FALSE(report["verdict"]["reasons"].empty());
}

TEST_F(CommandsTest, PublishWithInvalidOperatorName_IsRejectedBeforeWriting) {
  EXPECT_EQ(this->RunCommand({"publish", this->WriteValidNote().c_str(),
                              "--operator", "two words"}),
            kExitUsage);
  EXPECT_TRUE(this->log.records.empty());
}

TEST_F(CommandsTest, PublishWithLogDown_ReportsNotPublished) {
  this->log.down = true;
  EXPECT_EQ(this->RunCommand({"publish", this->WriteValidNote().c_str()}),
            kExitNotPublished);
  EXPECT_TRUE(this->OutputContains("nothing was written"));
}

TEST_F(CommandsTest, PublishWithUnreadableLog_ReportsNotYetKnown) {
  this->log.unreadable = true;
  EXPECT_EQ(this->RunCommand({"publish", this->WriteValidNote().c_str()}),
            kExitNotYetKnown);
  EXPECT_TRUE(this->OutputContains("publish id"));
}

TEST_F(CommandsTest, PublishWithWatch_FollowsReachUntilInForceEverywhere) {
  this->node.pages["/reach"] = {MakeReachPage(0), MakeReachPage(1),
                                MakeReachPage(2)};
  EXPECT_EQ(
      this->RunCommand({"publish", this->WriteValidNote().c_str(), "--watch"}),
      kExitOk);
  EXPECT_TRUE(this->OutputContains("1 of 2 in force"));
  EXPECT_TRUE(this->OutputContains("2 of 2 in force"));
}

TEST_F(CommandsTest, WatchOfNodeWithoutZones_ReportsThatNoZoneIsKnown) {
  this->node.pages["/reach"] = {json{{"release", 1}, {"zones", json::array()}}};
  EXPECT_EQ(this->RunCommand({"watch", "1", "--timeout", "1"}),
            kExitNotYetKnown);
  EXPECT_TRUE(this->OutputContains("the node knows no zone to ask"));
}

TEST_F(CommandsTest, WatchOfStalledRelease_TimesOutAsNotYetKnown) {
  this->node.pages["/reach"] = {MakeReachPage(1)};
  EXPECT_EQ(this->RunCommand({"watch", "1", "--timeout", "3"}),
            kExitNotYetKnown);
}

TEST_F(CommandsTest, StatusWithLogDown_ReportsThatNewestReleaseIsNotKnown) {
  this->log.down = true;
  this->node.pages["/status"] = {
      {{"node", "n"},
       {"zone", "zone-a"},
       {"ready", false},
       {"not_ready_reason", "no evidence of a floor"},
       {"release", 4},
       {"digest", "0011223344"}}};
  this->node.pages["/reach"] = {MakeReachPage(2)};
  EXPECT_EQ(this->RunCommand({"status"}), kExitOk);
  EXPECT_TRUE(
      this->OutputContains("whether there is a newer release is not known"));
  EXPECT_TRUE(this->OutputContains("not ready: no evidence of a floor"));
}

TEST_F(CommandsTest, StatusWithoutLogAndNodes_ReportsUnavailable) {
  this->log.down = true;
  EXPECT_EQ(this->RunCommand({"status", "--json"}), kExitUnavailable);
  EXPECT_TRUE(json::parse(this->out.str())["log"]["release"].is_null());
}

TEST_F(CommandsTest, HistoryAndDiffOfTwoReleases_ShowWhatChanged) {
  this->RunCommand(
      {"publish", this->WriteValidNote().c_str(), "--operator", "eira"});
  const auto second = this->WriteNote(
      "[note]\nbase = 1\ntitle = longer\n[change rank lookup]\n"
      "target_ms = 300\nworth = 10\nfloor_percent = 5\n");
  this->RunCommand({"publish", second.c_str(), "--operator", "jana"});
  EXPECT_EQ(this->RunCommand({"history", "--last", "1"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("jana"));
  EXPECT_FALSE(this->OutputContains("eira"));
  EXPECT_EQ(this->RunCommand({"diff", "1", "2"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("~ rank lookup: target 250 ms"));
  EXPECT_EQ(this->RunCommand({"diff", "1", "9"}), kExitUsage);
}

TEST_F(CommandsTest, HistoryAndStatusWithExpiredRecords_StartFromCheckpoint) {
  this->RunCommand({"publish", this->WriteValidNote().c_str()});
  ReleaseReader reader(this->log);
  ASSERT_TRUE(reader.CatchUp().has_value());
  wire::ReleaseRecord record;
  record.__set_checkpoint(reader.fold().ToCheckpoint());
  this->log.records.push_back(Encode(record));
  this->log.first_kept = 1;
  EXPECT_EQ(this->RunCommand({"history"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("records before offset 1 have expired"));
  EXPECT_EQ(this->RunCommand({"status"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("log: release 1"));
}

TEST_F(CommandsTest, Explain_PrintsDecisionsWithTheirReasons) {
  this->node.pages["/status"] = {json::object()};
  this->node.pages["/explain"] = {{{"decisions",
                                    {{{"at_ms", 1000},
                                      {"part", "admission"},
                                      {"what", "refused lookup"},
                                      {"reason", "queue is full"}}}}}};
  EXPECT_EQ(this->RunCommand({"explain"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("admission refused lookup: queue is full"));
}

TEST_F(CommandsTest, NodePagesOfUnexpectedShape_AreShownWithoutFailing) {
  for (const json& page :
       {json(1), json("x"), json::array({1, "a", nullptr}),
        json{{"zones", {1, {{"zone", 5}}}}}, json{{"decisions", {1, "a"}}}}) {
    this->node.pages["/status"] = {page};
    this->node.pages["/reach"] = {page};
    this->node.pages["/explain"] = {page};
    this->node.pages["/history"] = {page};
    for (const char* command : {"status", "explain", "history"}) {
      EXPECT_EQ(this->RunCommand({command}), kExitOk);
    }
    EXPECT_EQ(this->RunCommand({"watch", "--timeout", "1"}) == kExitOk, false);
  }
}

TEST_F(CommandsTest, InvalidCommandLines_ReturnUsageError) {
  EXPECT_EQ(this->RunCommand({"nonsense"}), kExitUsage);
  EXPECT_EQ(this->RunCommand({"diff", "1"}), kExitUsage);
  EXPECT_EQ(this->RunCommand({"status", "--nonsense"}), kExitUsage);
  EXPECT_EQ(this->RunCommand({"watch", "x"}), kExitUsage);
  EXPECT_EQ(this->RunCommand({"publish", "absent.ini"}), kExitUsage);
  EXPECT_EQ(this->RunCommand({}), kExitUsage);
}

TEST_F(CommandsTest, Help_ListsEveryCommandAndExitCodes) {
  EXPECT_EQ(this->RunCommand({"--help"}), kExitOk);
  for (const char* word : {"check", "publish", "status", "watch", "history",
                           "diff", "explain", "Exit codes", "Examples"}) {
    EXPECT_TRUE(this->OutputContains(word)) << word;
  }
  EXPECT_EQ(this->RunCommand({"help", "publish"}), kExitOk);
  EXPECT_TRUE(this->OutputContains("tanagerledge publish NOTE"));
}

}  // namespace
}  // namespace tanagerledge
