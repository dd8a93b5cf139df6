// The commands against a log in memory and scripted nodes.

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

// A log whose next appends and reads can be made to fail.
class MemoryLog : public LogPort {
 public:
  tl::expected<LogOffset, LogError> Append(std::string_view,
                                           std::string_view record,
                                           milliseconds) override {
    if (this->down) {
      return this->Fail(LogErrorKind::kUnavailable);
    }
    this->records.emplace_back(record);
    if (this->lose_answers > 0) {
      --this->lose_answers;
      return this->Fail(LogErrorKind::kAmbiguous);
    }
    return LogOffset{this->records.size() - 1};
  }

  tl::expected<LogPage, LogError> Read(std::string_view,
                                       LogOffset from,
                                       std::size_t max_records,
                                       milliseconds,
                                       milliseconds) override {
    if (this->down || this->unreadable) {
      return this->Fail(LogErrorKind::kUnavailable);
    }
    if (from.value < this->first_kept) {
      return this->Fail(LogErrorKind::kExpired);
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
  int lose_answers = 0;
  std::uint64_t first_kept = 0;

 private:
  tl::unexpected<LogError> Fail(LogErrorKind kind) const {
    return tl::unexpected(LogError{kind, "log fault", {this->first_kept}});
  }
};

// A node that gives scripted pages, the last one again and again.
class ScriptedNode : public NodePort {
 public:
  bool empty() const override { return this->pages.empty(); }

  tl::expected<NodeAnswer, std::string> Ask(
      const std::string& target) override {
    auto& script = this->pages[target.substr(0, target.find('?'))];
    if (script.empty()) {
      return tl::unexpected(std::string("node n: no answer"));
    }
    NodeAnswer answer{"n", script.front()};
    if (script.size() > 1) {
      script.pop_front();
    }
    return answer;
  }

  std::vector<tl::expected<NodeAnswer, std::string>> AskAll(
      const std::string& target) override {
    if (this->empty()) {
      return {};
    }
    return {this->Ask(target)};
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

  std::string GoodNote() {
    return this->WriteNote(
        "[note]\nbase = 0\ntitle = first\n[add service curves]\n"
        "[add rank lookup]\ntarget_ms = 250\nworth = 10\nfloor_percent = 5\n"
        "[add route curve]\nprefix = /curve\nservice = curves\nrank = lookup\n"
        "idempotent = yes\ndeadline_ms = 2000\n");
  }

  // Each command starts with fresh output.
  int Run(std::vector<const char*> words) {
    this->out.str("");
    this->err.str("");
    words.insert(words.begin(), "tanagerledge");
    const auto arguments =
        ParseArguments(static_cast<int>(words.size()), words.data());
    if (!arguments) {
      this->err << arguments.error();
      return kExitUsage;
    }
    return RunCli(this->environment, *arguments);
  }

  bool Says(std::string_view text) const {
    return this->out.str().find(text) != std::string::npos ||
           this->err.str().find(text) != std::string::npos;
  }

  static json Reach(int in_force) {
    const json zone = {
        {"zone", "zone-a"}, {"members", 2}, {"in_force", in_force}};
    return {{"release", 1},
            {"zones", json::array({zone})},
            {"laggards", json::array()}};
  }

  MemoryLog log;
  ScriptedNode node;
  std::ostringstream out;
  std::ostringstream err;
  Instant clock{};
  CliEnvironment environment;
  std::filesystem::path note_path;
};

TEST_F(CommandsTest, CheckOfAGoodNote_FitsAndWritesNothing) {
  EXPECT_EQ(this->Run({"check", this->GoodNote().c_str()}), kExitOk);
  EXPECT_TRUE(this->Says("would be release 1"));
  EXPECT_TRUE(this->log.records.empty());
}

TEST_F(CommandsTest, CheckOfABadNote_ListsEveryFaultWithItsLine) {
  const auto path = this->WriteNote(
      "[note]\nbase = 0\n[add route a]\nprefix = /a\nservice = none\n"
      "rank = none\ndeadline_ms = 10\n[withdraw service gone]\n");
  EXPECT_EQ(this->Run({"check", path.c_str()}), kExitRejected);
  EXPECT_TRUE(this->Says("line 3"));
  EXPECT_TRUE(this->Says("line 8"));
}

TEST_F(CommandsTest, CheckOfAnUnreadableNote_ListsFaultsOfTheText) {
  const auto path = this->WriteNote("[note]\nbase = x\n[add nothing a]\n");
  EXPECT_EQ(this->Run({"check", path.c_str(), "--json"}), kExitRejected);
  EXPECT_GE(json::parse(this->out.str())["faults"].size(), 2u);
}

TEST_F(CommandsTest, CheckWhileTheLogIsDown_SaysThatItJudgedOnlyTheText) {
  this->log.down = true;
  EXPECT_EQ(this->Run({"check", this->GoodNote().c_str()}), kExitUnavailable);
  EXPECT_TRUE(this->Says("not judged against the releases"));
}

TEST_F(CommandsTest, Publish_IsAcceptedOnceThoughAnswersAreLost) {
  this->log.lose_answers = 1;
  EXPECT_EQ(this->Run({"publish", this->GoodNote().c_str()}), kExitOk);
  EXPECT_TRUE(this->Says("accepted: release 1"));
  EXPECT_EQ(this->log.records.size(), 1u);
}

TEST_F(CommandsTest, SecondPublishOfTheSameAdds_IsRejectedWithReasons) {
  const auto path = this->GoodNote();
  this->Run({"publish", path.c_str()});
  EXPECT_EQ(this->Run({"publish", path.c_str(), "--json"}), kExitRejected);
  const auto report = json::parse(this->out.str());
  EXPECT_EQ(report["outcome"], "rejected");
  EXPECT_FALSE(report["verdict"]["reasons"].empty());
}

TEST_F(CommandsTest, OperatorThatNoNodeAccepts_IsRefusedBeforeWriting) {
  EXPECT_EQ(this->Run({"publish", this->GoodNote().c_str(), "--operator",
                       "two words"}),
            kExitUsage);
  EXPECT_TRUE(this->log.records.empty());
}

TEST_F(CommandsTest, PublishWhileTheLogIsDown_IsProvedNotPublished) {
  this->log.down = true;
  EXPECT_EQ(this->Run({"publish", this->GoodNote().c_str()}),
            kExitNotPublished);
  EXPECT_TRUE(this->Says("nothing was written"));
}

TEST_F(CommandsTest, PublishThatCannotBeReadBack_IsNotYetKnown) {
  this->log.unreadable = true;
  EXPECT_EQ(this->Run({"publish", this->GoodNote().c_str()}), kExitNotYetKnown);
  EXPECT_TRUE(this->Says("publish id"));
}

TEST_F(CommandsTest, PublishWithWatch_FollowsTheReachUntilEverywhere) {
  this->node.pages["/reach"] = {Reach(0), Reach(1), Reach(2)};
  EXPECT_EQ(this->Run({"publish", this->GoodNote().c_str(), "--watch"}),
            kExitOk);
  EXPECT_TRUE(this->Says("1 of 2 in force"));
  EXPECT_TRUE(this->Says("2 of 2 in force"));
}

TEST_F(CommandsTest, WatchOfANodeThatKnowsNobody_SaysSo) {
  this->node.pages["/reach"] = {json{{"release", 1}, {"zones", json::array()}}};
  EXPECT_EQ(this->Run({"watch", "1", "--timeout", "1"}), kExitNotYetKnown);
  EXPECT_TRUE(this->Says("the node knows no zone to ask"));
}

TEST_F(CommandsTest, WatchOfAReleaseThatStalls_EndsAsNotYetKnown) {
  this->node.pages["/reach"] = {Reach(1)};
  EXPECT_EQ(this->Run({"watch", "1", "--timeout", "3"}), kExitNotYetKnown);
}

TEST_F(CommandsTest, StatusWhileTheLogIsDown_SaysWhatIsNotKnown) {
  this->log.down = true;
  this->node.pages["/status"] = {
      {{"node", "n"},
       {"zone", "zone-a"},
       {"ready", false},
       {"not_ready_reason", "no evidence of a floor"},
       {"release", 4},
       {"digest", "0011223344"}}};
  this->node.pages["/reach"] = {Reach(2)};
  EXPECT_EQ(this->Run({"status"}), kExitOk);
  EXPECT_TRUE(this->Says("whether there is a newer release is not known"));
  EXPECT_TRUE(this->Says("not ready: no evidence of a floor"));
}

TEST_F(CommandsTest, StatusWithNobodyToAsk_IsUnavailable) {
  this->log.down = true;
  EXPECT_EQ(this->Run({"status", "--json"}), kExitUnavailable);
  EXPECT_TRUE(json::parse(this->out.str())["log"]["release"].is_null());
}

TEST_F(CommandsTest, HistoryAndDiff_ShowWhatChanged) {
  this->Run({"publish", this->GoodNote().c_str(), "--operator", "eira"});
  const auto second = this->WriteNote(
      "[note]\nbase = 1\ntitle = longer\n[change rank lookup]\n"
      "target_ms = 300\nworth = 10\nfloor_percent = 5\n");
  this->Run({"publish", second.c_str(), "--operator", "jana"});
  EXPECT_EQ(this->Run({"history", "--last", "1"}), kExitOk);
  EXPECT_TRUE(this->Says("jana"));
  EXPECT_FALSE(this->Says("eira"));
  EXPECT_EQ(this->Run({"diff", "1", "2"}), kExitOk);
  EXPECT_TRUE(this->Says("~ rank lookup: target 250 ms"));
  EXPECT_EQ(this->Run({"diff", "1", "9"}), kExitUsage);
}

TEST_F(CommandsTest, ExpiredRecords_AreReplacedByACheckpoint) {
  this->Run({"publish", this->GoodNote().c_str()});
  ReleaseReader reader(this->log);
  ASSERT_TRUE(reader.CatchUp().has_value());
  wire::ReleaseRecord record;
  record.__set_checkpoint(reader.fold().ToCheckpoint());
  this->log.records.push_back(Encode(record));
  this->log.first_kept = 1;
  EXPECT_EQ(this->Run({"history"}), kExitOk);
  EXPECT_TRUE(this->Says("records before offset 1 have expired"));
  EXPECT_EQ(this->Run({"status"}), kExitOk);
  EXPECT_TRUE(this->Says("log: release 1"));
}

TEST_F(CommandsTest, ExplainPrintsDecisionsWithTheirReasons) {
  this->node.pages["/status"] = {json::object()};
  this->node.pages["/explain"] = {{{"decisions",
                                    {{{"at_ms", 1000},
                                      {"part", "admission"},
                                      {"what", "refused lookup"},
                                      {"reason", "queue is full"}}}}}};
  EXPECT_EQ(this->Run({"explain"}), kExitOk);
  EXPECT_TRUE(this->Says("admission refused lookup: queue is full"));
}

TEST_F(CommandsTest, PagesOfAnyShape_AreShownWithoutFailing) {
  for (const json& page :
       {json(1), json("x"), json::array({1, "a", nullptr}),
        json{{"zones", {1, {{"zone", 5}}}}}, json{{"decisions", {1, "a"}}}}) {
    this->node.pages["/status"] = {page};
    this->node.pages["/reach"] = {page};
    this->node.pages["/explain"] = {page};
    this->node.pages["/history"] = {page};
    for (const char* command : {"status", "explain", "history"}) {
      EXPECT_EQ(this->Run({command}), kExitOk);
    }
    EXPECT_EQ(this->Run({"watch", "--timeout", "1"}) == kExitOk, false);
  }
}

TEST_F(CommandsTest, WrongCommandLines_AreUsageFaults) {
  EXPECT_EQ(this->Run({"nonsense"}), kExitUsage);
  EXPECT_EQ(this->Run({"diff", "1"}), kExitUsage);
  EXPECT_EQ(this->Run({"status", "--nonsense"}), kExitUsage);
  EXPECT_EQ(this->Run({"watch", "x"}), kExitUsage);
  EXPECT_EQ(this->Run({"publish", "absent.ini"}), kExitUsage);
  EXPECT_EQ(this->Run({}), kExitUsage);
}

TEST_F(CommandsTest, HelpNamesEveryCommandAndExitCode) {
  EXPECT_EQ(this->Run({"--help"}), kExitOk);
  for (const char* word : {"check", "publish", "status", "watch", "history",
                           "diff", "explain", "Exit codes", "Examples"}) {
    EXPECT_TRUE(this->Says(word)) << word;
  }
  EXPECT_EQ(this->Run({"help", "publish"}), kExitOk);
  EXPECT_TRUE(this->Says("tanagerledge publish NOTE"));
}

}  // namespace
}  // namespace tanagerledge
