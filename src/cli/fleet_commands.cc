// Commands about the fleet. They show the state of nodes and the newest release
// on the log.

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

constexpr std::chrono::milliseconds kReachPollInterval{1000};

void Print(CliEnvironment& environment, const Json& json) {
  *environment.out << json.dump(2) << "\n";
}

// The newest release on the log, or the reason why it is not known.
struct LogStatus {
  std::optional<ReleaseNumber> newest;
  std::string digest;
  std::string unavailable_reason;
};

LogStatus QueryLog(CliEnvironment& environment) {
  LogStatus status;
  if (environment.log == nullptr) {
    status.unavailable_reason = "no --log was given";
    return status;
  }
  ReleaseReader reader(*environment.log);
  const auto caught_up = reader.CatchUp();
  if (!caught_up) {
    status.unavailable_reason = "no answer (" + caught_up.error().text + ")";
    return status;
  }
  status.newest = reader.fold().State()->release;
  status.digest = ShortDigest(reader.fold().State()->digest);
  return status;
}

tl::expected<ReachPage, std::string> QueryReach(CliEnvironment& environment,
                                                ReleaseNumber release) {
  const auto response = environment.nodes->Query("/reach?release=" +
                                                 std::to_string(release.value));
  if (!response) {
    return tl::unexpected(response.error());
  }
  return ParseReachPage(response->body);
}

void PrintNode(CliEnvironment& environment, const NodeResponse& response) {
  const nlohmann::json& body = response.body;
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
    const std::vector<tl::expected<NodeResponse, std::string>>& responses) {
  std::ranges::for_each(responses, [&](const auto& response) {
    if (response) {
      PrintNode(environment, *response);
    } else {
      *environment.out << response.error() << "\n";
    }
  });
}

// The newest release on the log; if the log is unavailable, the newest release
// that any node reports.
std::optional<ReleaseNumber> FindNewestRelease(
    const LogStatus& log,
    const std::vector<tl::expected<NodeResponse, std::string>>& responses) {
  if (log.newest) {
    return log.newest;
  }
  std::optional<ReleaseNumber> newest;
  std::ranges::for_each(responses, [&](const auto& response) {
    if (response && response->body.is_object()) {
      const ReleaseNumber release{NumberAt(response->body, "release")};
      newest = std::max(newest, std::optional(release));
    }
  });
  return newest;
}

// Returns the release given as operand, or else the newest known release. On
// failure, reports the error and returns an ExitCode.
tl::expected<ReleaseNumber, int> ChooseRelease(CliEnvironment& environment,
                                               const CliArguments& arguments) {
  if (!arguments.operands.empty()) {
    const auto release = ParseRelease(environment, arguments.operands[0]);
    if (!release) {
      return tl::unexpected(static_cast<int>(kExitUsage));
    }
    return *release;
  }
  const LogStatus log = QueryLog(environment);
  const auto newest =
      FindNewestRelease(log, environment.nodes->QueryAll("/status"));
  if (!newest) {
    return tl::unexpected(ReportError(
        environment,
        "the newest release is not known: log: " + log.unavailable_reason +
            "; no node answered",
        kExitUnavailable));
  }
  return *newest;
}

Json StatusJson(
    const LogStatus& log,
    const std::vector<tl::expected<NodeResponse, std::string>>& responses,
    const std::optional<tl::expected<ReachPage, std::string>>& reach) {
  Json json;
  json["log"] =
      log.newest
          ? Json{{"release", log.newest->value}, {"digest", log.digest}}
          : Json{{"release", nullptr}, {"reason", log.unavailable_reason}};
  json["nodes"] = Json::array();
  std::ranges::transform(responses, std::back_inserter(json["nodes"]),
                         [](const auto& response) {
                           return response ? Json(response->body)
                                           : Json{{"error", response.error()}};
                         });
  if (reach) {
    json["reach"] = *reach ? ToJson(**reach) : Json{{"error", reach->error()}};
  }
  return json;
}

}  // namespace

// Shared --------------------------------------------------------------------

int ReportError(CliEnvironment& environment,
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
    ReportError(environment, "\"" + text + "\" is not a release number",
                kExitUsage);
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
  const LogStatus log = QueryLog(environment);
  const auto responses = environment.nodes->QueryAll("/status");
  const bool any_node_responded = std::ranges::any_of(
      responses, [](const auto& response) { return response.has_value(); });
  release = release ? release : FindNewestRelease(log, responses);
  std::optional<tl::expected<ReachPage, std::string>> reach;
  if (release && any_node_responded) {
    reach = QueryReach(environment, *release);
  }
  const ExitCode code =
      log.newest || any_node_responded ? kExitOk : kExitUnavailable;
  if (arguments.json) {
    Print(environment, StatusJson(log, responses, reach));
    return code;
  }
  if (log.newest) {
    *environment.out << "log: release " << log.newest->value << " ("
                     << log.digest << ") is the newest\n";
  } else {
    *environment.out << "log: " << log.unavailable_reason
                     << "; whether there is a newer release is not known\n";
  }
  PrintNodes(environment, responses);
  if (reach) {
    *environment.out << (*reach ? ToTable(**reach) : reach->error() + "\n");
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
    return ReportError(
        environment,
        "the reach of a release is read from a node: give --node IP:PORT",
        kExitUsage);
  }
  const Instant deadline = environment.now() + arguments.timeout;
  std::string previous_line;
  bool any_node_responded = false;
  while (true) {
    const auto reach = QueryReach(environment, release);
    any_node_responded = any_node_responded || reach.has_value();
    const std::string line = reach ? ToSummaryLine(*reach) : reach.error();
    if (line != previous_line && !arguments.json) {
      *environment.out << line << std::endl;
    }
    previous_line = line;
    const bool everywhere = reach && IsEverywhere(*reach);
    if (everywhere || environment.now() >= deadline) {
      if (arguments.json) {
        Print(environment,
              reach ? ToJson(*reach) : Json{{"error", reach.error()}});
      } else if (reach && !everywhere) {
        *environment.out << ToTable(*reach);
      }
      const ExitCode timeout_code =
          any_node_responded ? kExitNotYetKnown : kExitUnavailable;
      return everywhere ? kExitOk : timeout_code;
    }
    environment.pause(kReachPollInterval);
  }
}

// Explain -------------------------------------------------------------------

int ExplainNodes(CliEnvironment& environment, const CliArguments& arguments) {
  if (environment.nodes->empty()) {
    return ReportError(environment,
                       "decisions are read from nodes: give --node IP:PORT",
                       kExitUsage);
  }
  const auto states = environment.nodes->QueryAll("/status");
  const auto responses = environment.nodes->QueryAll("/explain");
  const bool any_node_responded = std::ranges::any_of(
      responses, [](const auto& response) { return response.has_value(); });
  const ExitCode code = any_node_responded ? kExitOk : kExitUnavailable;
  if (arguments.json) {
    Json list = Json::array();
    std::ranges::transform(
        responses, std::back_inserter(list), [](const auto& response) {
          return response ? Json{{"node", response->address},
                                 {"decisions", response->body}}
                          : Json{{"error", response.error()}};
        });
    Print(environment, list);
    return code;
  }
  PrintNodes(environment, states);
  std::ranges::for_each(responses, [&](const auto& response) {
    if (response) {
      *environment.out << "decisions of " << response->address << "\n"
                       << FormatDecisions(ListAt(response->body, "decisions"),
                                          arguments.last);
    }
  });
  return code;
}

}  // namespace tanagerledge
