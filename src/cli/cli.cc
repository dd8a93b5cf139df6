#include "src/cli/cli.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cxxopts.hpp>

#include "src/cli/commands.h"

namespace tanagerledge {
namespace {

// Commands ------------------------------------------------------------------

struct Command {
  std::string_view name;
  std::string_view operands;
  std::size_t min_operands;
  std::size_t max_operands;
  std::string_view summary;
  std::string_view example;
  CommandFunction run;
};

constexpr std::array<Command, 7> kCommands = {{
    {"check", "NOTE", 1, 1,
     "dry run: list every fault of a note, write nothing",
     "tanagerledge check note.ini --log 10.0.0.5:7100", &CheckNote},
    {"publish", "NOTE", 1, 1, "publish a note and report the outcome",
     "tanagerledge publish note.ini --log 10.0.0.5:7100 "
     "--node 10.0.1.7:7003 --watch",
     &PublishNote},
    {"status", "[RELEASE]", 0, 1,
     "show the newest release, the state of nodes, reach by zone",
     "tanagerledge status --log 10.0.0.5:7100 --node 10.0.1.7:7003",
     &ShowStatus},
    {"watch", "[RELEASE]", 0, 1,
     "follow a release until it is in force everywhere",
     "tanagerledge watch 12 --node 10.0.1.7:7003 --timeout 60", &WatchReach},
    {"history", "", 0, 0, "list who published what and when, with the verdict",
     "tanagerledge history --log 10.0.0.5:7100 --last 20", &ShowHistory},
    {"diff", "A B", 2, 2, "show what changed between two releases",
     "tanagerledge diff 11 12 --log 10.0.0.5:7100", &ShowDifferences},
    {"explain", "", 0, 0,
     "show recent decisions of nodes and why a node is not ready",
     "tanagerledge explain --node 10.0.1.7:7003 --last 50", &ExplainNodes},
}};

const Command* FindCommand(std::string_view name) {
  const auto found = std::ranges::find(kCommands, name, &Command::name);
  return found == kCommands.end() ? nullptr : &*found;
}

std::string PadRight(std::string text) {
  constexpr std::size_t kWidth = 20;
  text.resize(std::max(text.size(), kWidth), ' ');
  return text;
}

std::string Usage(const Command& command) {
  return std::string(command.name) +
         (command.operands.empty() ? "" : " " + std::string(command.operands));
}

constexpr std::string_view kOptionsHelp = R"(
Options:
  --log IP:PORT       the platform's log
  --node IP:PORT      a node's admin address; may be given several times, and
                      the first one that answers is used
  --json              print one JSON value instead of text
  --operator NAME     name of the publishing operator (default: $USER)
  --watch             with publish: follow the release until it is in force
                      everywhere
  --timeout SECONDS   how long to retry or to follow (default 30)
  --last N            with history and explain: only the newest N
  --help              show this help, or with a command the help of that
                      command

Exit codes:
  0  done; with publish: accepted; with watch: in force everywhere
  1  the note has faults or was rejected
  2  the command line is wrong
  3  not yet known: published or spreading when the timeout expired
  4  neither the log nor any node answered
  5  not published: it is certain that nothing was written
)";

// Arguments -----------------------------------------------------------------

cxxopts::Options MakeOptions() {
  constexpr const char* kDefaultTimeout = "30";
  const char* const user = std::getenv("USER");
  cxxopts::Options options("tanagerledge");
  options.add_options()("log", "", cxxopts::value<std::string>())(
      "node", "", cxxopts::value<std::vector<std::string>>())("json", "")(
      "operator", "",
      cxxopts::value<std::string>()->default_value(user == nullptr ? "unknown"
                                                                   : user))(
      "watch", "")("timeout", "",
                   cxxopts::value<unsigned>()->default_value(kDefaultTimeout))(
      "last", "", cxxopts::value<std::size_t>()->default_value("0"))(
      "help", "")("operands", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("operands");
  return options;
}

CliArguments ToArguments(const cxxopts::ParseResult& parsed) {
  CliArguments arguments;
  if (parsed.count("operands") > 0) {
    arguments.operands = parsed["operands"].as<std::vector<std::string>>();
    arguments.command = arguments.operands.front();
    arguments.operands.erase(arguments.operands.begin());
  }
  if (parsed.count("node") > 0) {
    arguments.nodes = parsed["node"].as<std::vector<std::string>>();
  }
  if (parsed.count("log") > 0) {
    arguments.log = parsed["log"].as<std::string>();
  }
  arguments.operator_name = parsed["operator"].as<std::string>();
  arguments.timeout = std::chrono::seconds(parsed["timeout"].as<unsigned>());
  arguments.last = parsed["last"].as<std::size_t>();
  arguments.json = parsed.count("json") > 0;
  arguments.watch = parsed.count("watch") > 0;
  arguments.help = parsed.count("help") > 0 || arguments.command == "help";
  return arguments;
}

}  // namespace

tl::expected<CliArguments, std::string> ParseArguments(
    int argc,
    const char* const* argv) {
  try {
    CliArguments arguments = ToArguments(MakeOptions().parse(argc, argv));
    if (arguments.help || arguments.command.empty()) {
      return arguments;
    }
    const Command* const command = FindCommand(arguments.command);
    if (command == nullptr) {
      return tl::unexpected("unknown command \"" + arguments.command +
                            "\"; see tanagerledge --help");
    }
    const std::size_t count = arguments.operands.size();
    if (count < command->min_operands || count > command->max_operands) {
      return tl::unexpected("usage: tanagerledge " + Usage(*command));
    }
    return arguments;
  } catch (const cxxopts::exceptions::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

std::string HelpText(std::string_view name) {
  const Command* const command = FindCommand(name);
  if (command != nullptr) {
    return "tanagerledge " + Usage(*command) + ": " +
           std::string(command->summary) + "\n\nExample:\n  " +
           std::string(command->example) + "\n" + std::string(kOptionsHelp);
  }
  std::string text =
      "tanagerledge publishes release notes and shows how far they have "
      "spread.\n"
      "\nCommands:\n";
  std::ranges::for_each(kCommands, [&](const Command& entry) {
    text += "  " + PadRight(Usage(entry)) + std::string(entry.summary) + "\n";
  });
  text += kOptionsHelp;
  text += "\nExamples:\n";
  std::ranges::for_each(kCommands, [&](const Command& entry) {
    text += "  " + std::string(entry.example) + "\n";
  });
  return text;
}

int RunCli(CliEnvironment& environment, const CliArguments& arguments) {
  const Command* const command = FindCommand(arguments.command);
  if (arguments.help || command == nullptr) {
    *environment.out << HelpText(arguments.command == "help" &&
                                         !arguments.operands.empty()
                                     ? arguments.operands.front()
                                     : arguments.command);
    return arguments.help ? kExitOk : kExitUsage;
  }
  return command->run(environment, arguments);
}

}  // namespace tanagerledge
