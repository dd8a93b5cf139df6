// Commands about the fleet: what nodes say, beside what the log says.

#include <algorithm>
#include <charconv>
#include <iterator>
#include <ostream>

#include "src/cli/commands.h"
#include "src/cli/describe.h"
#include "src/cli/reach_page.h"
#include "src/cli/release_reader.h"

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kReachPeriod{1000};

void Print(CliEnvironment& environment, const Json& json) {
  *environment.out << json.dump(2) << "\n";
}

// What the log says is the newest release, and why when it says nothing.
struct LogKnowledge {
  std::optional<ReleaseNumber> newest;
  std::string digest;
  std::string why_unknown;
};

LogKnowledge AskLog(CliEnvironment& environment) {
  LogKnowledge known;
  if (environment.log == nullptr) {
    known.why_unknown = "no --log was given";
    return known;
  }
  ReleaseReader reader(*environment.log);
  const auto caught_up = reader.CatchUp();
  if (!caught_up) {
    known.why_unknown = "no answer (" + caught_up.error().text + ")";
    return known;
  }
  known.newest = reader.fold().State()->release;
  known.digest = ShortText(reader.fold().State()->digest);
  return known;
}

tl::expected<ReachPage, std::string> AskReach(CliEnvironment& environment,
                                              ReleaseNumber release) {
  const auto answer =
      environment.nodes->Ask("/reach?release=" + std::to_string(release.value));
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return ParseReachPage(answer->body);
}

void PrintNode(CliEnvironment& environment, const NodeAnswer& answer) {
  const nlohmann::json& body = answer.body;
  *environment.out << "node " << TextAt(body, "node") << " in "
                   << TextAt(body, "zone") << ": release "
                   << TextAt(body, "release") << " ("
                   << TextAt(body, "digest").substr(0, 8) << "), ";
  if (TextAt(body, "ready") == "true") {
    *environment.out << "ready\n";
  } else {
    *environment.out << "not ready: " << TextAt(body, "not_ready_reason")
                     << "\n";
  }
}

void PrintNodes(
    CliEnvironment& environment,
    const std::vector<tl::expected<NodeAnswer, std::string>>& answers) {
  std::ranges::for_each(answers, [&](const auto& answer) {
    if (answer) {
      PrintNode(environment, *answer);
    } else {
      *environment.out << answer.error() << "\n";
    }
  });
}

// The release to show: the one asked for, or the newest that anybody knows.
std::optional<ReleaseNumber> NewestKnown(
    const LogKnowledge& log,
    const std::vector<tl::expected<NodeAnswer, std::string>>& answers) {
  if (log.newest) {
    return log.newest;
  }
  std::optional<ReleaseNumber> newest;
  std::ranges::for_each(answers, [&](const auto& answer) {
    if (answer && answer->body.is_object()) {
      const ReleaseNumber release{NumberAt(answer->body, "release")};
      newest = std::max(newest, std::optional(release));
    }
  });
  return newest;
}

// The operand, or the newest release that log or nodes know; or an ExitCode
// when it has been reported why there is none.
tl::expected<ReleaseNumber, int> ChooseRelease(CliEnvironment& environment,
                                               const CliArguments& arguments) {
  if (!arguments.operands.empty()) {
    const auto release = ParseRelease(environment, arguments.operands[0]);
    if (!release) {
      return tl::unexpected(static_cast<int>(kExitUsage));
    }
    return *release;
  }
  const LogKnowledge log = AskLog(environment);
  const auto newest = NewestKnown(log, environment.nodes->AskAll("/status"));
  if (!newest) {
    return tl::unexpected(Complain(
        environment,
        "no newest release: the log: " + log.why_unknown + "; no node answered",
        kExitUnavailable));
  }
  return *newest;
}

Json StatusJson(
    const LogKnowledge& log,
    const std::vector<tl::expected<NodeAnswer, std::string>>& answers,
    const std::optional<tl::expected<ReachPage, std::string>>& reach) {
  Json json;
  json["log"] =
      log.newest ? Json{{"release", log.newest->value}, {"digest", log.digest}}
                 : Json{{"release", nullptr}, {"reason", log.why_unknown}};
  json["nodes"] = Json::array();
  std::ranges::transform(
      answers, std::back_inserter(json["nodes"]), [](const auto& answer) {
        return answer ? Json(answer->body) : Json{{"error", answer.error()}};
      });
  if (reach) {
    json["reach"] = *reach ? ToJson(**reach) : Json{{"error", reach->error()}};
  }
  return json;
}

}  // namespace

// Shared --------------------------------------------------------------------

int Complain(CliEnvironment& environment,
             const std::string& text,
             ExitCode code) {
  *environment.err << "tanagerledge: " << text << "\n";
  return code;
}

std::optional<ReleaseNumber> ParseRelease(CliEnvironment& environment,
                                          const std::string& text) {
  ReleaseNumber release;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, release.value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    Complain(environment, "\"" + text + "\" is no release number", kExitUsage);
    return std::nullopt;
  }
  return release;
}

// Status --------------------------------------------------------------------

int ShowStatus(CliEnvironment& environment, const CliArguments& arguments) {
  std::optional<ReleaseNumber> release;
  if (!arguments.operands.empty()) {
    release = ParseRelease(environment, arguments.operands[0]);
    if (!release) {
      return kExitUsage;
    }
  }
  const LogKnowledge log = AskLog(environment);
  const auto answers = environment.nodes->AskAll("/status");
  const bool node_answered = std::ranges::any_of(
      answers, [](const auto& answer) { return answer.has_value(); });
  release = release ? release : NewestKnown(log, answers);
  std::optional<tl::expected<ReachPage, std::string>> reach;
  if (release && node_answered) {
    reach = AskReach(environment, *release);
  }
  const ExitCode code =
      log.newest || node_answered ? kExitOk : kExitUnavailable;
  if (arguments.json) {
    Print(environment, StatusJson(log, answers, reach));
    return code;
  }
  if (log.newest) {
    *environment.out << "log: release " << log.newest->value << " ("
                     << log.digest << ") is the newest\n";
  } else {
    *environment.out << "log: " << log.why_unknown
                     << "; whether there is a newer release is not known\n";
  }
  PrintNodes(environment, answers);
  if (reach) {
    *environment.out << (*reach ? TableOf(**reach) : reach->error() + "\n");
  }
  return code;
}

// Watch ---------------------------------------------------------------------

int WatchReach(CliEnvironment& environment, const CliArguments& arguments) {
  const auto release = ChooseRelease(environment, arguments);
  return release ? FollowRelease(environment, arguments, *release)
                 : release.error();
}

int FollowRelease(CliEnvironment& environment,
                  const CliArguments& arguments,
                  ReleaseNumber release) {
  if (environment.nodes->empty()) {
    return Complain(environment,
                    "reach is asked of a node: give --node IP:PORT",
                    kExitUsage);
  }
  const Instant deadline = environment.now() + arguments.timeout;
  std::string last_line;
  bool answered = false;
  while (true) {
    const auto reach = AskReach(environment, release);
    answered = answered || reach.has_value();
    const std::string line = reach ? LineOf(*reach) : reach.error();
    if (line != last_line && !arguments.json) {
      *environment.out << line << std::endl;
    }
    last_line = line;
    const bool everywhere = reach && IsEverywhere(*reach);
    if (everywhere || environment.now() >= deadline) {
      if (arguments.json) {
        Print(environment,
              reach ? ToJson(*reach) : Json{{"error", reach.error()}});
      } else if (reach && !everywhere) {
        *environment.out << TableOf(*reach);
      }
      const ExitCode late = answered ? kExitNotYetKnown : kExitUnavailable;
      return everywhere ? kExitOk : late;
    }
    environment.pause(kReachPeriod);
  }
}

// Explain -------------------------------------------------------------------

int ExplainNodes(CliEnvironment& environment, const CliArguments& arguments) {
  if (environment.nodes->empty()) {
    return Complain(environment, "decisions are kept by nodes: give --node",
                    kExitUsage);
  }
  const auto states = environment.nodes->AskAll("/status");
  const auto answers = environment.nodes->AskAll("/explain");
  const bool answered = std::ranges::any_of(
      answers, [](const auto& answer) { return answer.has_value(); });
  const ExitCode code = answered ? kExitOk : kExitUnavailable;
  if (arguments.json) {
    Json list = Json::array();
    std::ranges::transform(answers, std::back_inserter(list),
                           [](const auto& answer) {
                             return answer ? Json{{"node", answer->address},
                                                  {"decisions", answer->body}}
                                           : Json{{"error", answer.error()}};
                           });
    Print(environment, list);
    return code;
  }
  PrintNodes(environment, states);
  std::ranges::for_each(answers, [&](const auto& answer) {
    if (answer) {
      *environment.out << "decisions of " << answer->address << "\n"
                       << DecisionLines(ListAt(answer->body, "decisions"),
                                        arguments.last);
    }
  });
  return code;
}

}  // namespace tanagerledge
