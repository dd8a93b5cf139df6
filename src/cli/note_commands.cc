// Commands about notes and releases. All of them read the log; only `publish`
// writes to it.

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <sstream>
#include <variant>

#include "src/adapters/codec.h"
#include "src/cli/commands.h"
#include "src/cli/describe.h"
#include "src/cli/publish_machine.h"
#include "src/cli/reach_page.h"
#include "src/cli/release_reader.h"
#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kAppendTimeout{5000};
constexpr std::chrono::milliseconds kMaxReadWait{500};

// Notes ---------------------------------------------------------------------

tl::expected<std::string, std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return tl::unexpected("cannot read " + path);
  }
  std::string text(kMaxIniBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

void Print(CliEnvironment& environment, const Json& json) {
  *environment.out << json.dump(2) << "\n";
}

int ReportTextFaults(CliEnvironment& environment,
                     const CliArguments& arguments,
                     const std::vector<TextFault>& faults) {
  if (arguments.json) {
    Json list = Json::array();
    std::ranges::transform(
        faults, std::back_inserter(list), [](const TextFault& fault) {
          return Json{{"line", fault.line}, {"text", fault.text}};
        });
    Print(environment, {{"verdict", "faults"}, {"faults", list}});
    return kExitRejected;
  }
  std::ranges::for_each(faults, [&](const TextFault& fault) {
    *environment.out << arguments.operands[0] << ":" << fault.line << ": "
                     << fault.text << "\n";
  });
  *environment.out << FormatCount(faults.size(), "fault")
                   << "; nothing was written\n";
  return kExitRejected;
}

// Returns the parsed note. On failure, reports the faults and returns an
// ExitCode.
tl::expected<ParsedNote, int> LoadNote(CliEnvironment& environment,
                                       const CliArguments& arguments) {
  const auto text = ReadFile(arguments.operands[0]);
  if (!text) {
    return tl::unexpected(ReportError(environment, text.error(), kExitUsage));
  }
  auto parsed = ParseNote(*text);
  if (!parsed) {
    return tl::unexpected(
        ReportTextFaults(environment, arguments, parsed.error()));
  }
  return parsed.value();
}

std::string NewPublishId(std::mt19937_64& random) {
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr std::size_t kDigits = 32;
  std::uniform_int_distribution<std::size_t> digit(0, kHex.size() - 1);
  std::string id;
  std::generate_n(std::back_inserter(id), kDigits,
                  [&] { return kHex[digit(random)]; });
  return id;
}

wire::Publish MakePublish(CliEnvironment& environment,
                          const CliArguments& arguments,
                          const wire::Note& note) {
  wire::Publish publish;
  publish.publish_id = NewPublishId(environment.random);
  publish.operator_name = arguments.operator_name;
  publish.published_at_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          environment.wall_now().time_since_epoch())
          .count();
  publish.note = note;
  return publish;
}

std::string ToRecord(const wire::Publish& publish) {
  wire::ReleaseRecord record;
  record.__set_publish(publish);
  return Encode(record);
}

bool RequireLog(CliEnvironment& environment) {
  if (environment.log == nullptr) {
    ReportError(environment, "this command needs the log: give --log IP:PORT",
                kExitUsage);
  }
  return environment.log != nullptr;
}

int ReportLogError(CliEnvironment& environment, const LogError& error) {
  return ReportError(
      environment,
      "the log cannot be read (" + error.text + "); its content is not known",
      kExitUnavailable);
}

void PrintReasons(CliEnvironment& environment,
                  const std::vector<std::string>& reasons) {
  std::ranges::for_each(reasons, [&](const std::string& reason) {
    *environment.out << "  " << reason << "\n";
  });
}

// Check ---------------------------------------------------------------------

int ReportTextOnlyCheck(CliEnvironment& environment,
                        const CliArguments& arguments,
                        const std::string& reason,
                        ExitCode code) {
  if (arguments.json) {
    Print(environment, {{"verdict", "text-only"}, {"reason", reason}});
  } else {
    *environment.out << "the text has no faults; it was not judged against the "
                        "releases: "
                     << reason << "\n";
  }
  return code;
}

int ReportDryRun(CliEnvironment& environment,
                 const CliArguments& arguments,
                 const ParsedNote& parsed,
                 const Verdict& verdict) {
  const bool fits = std::holds_alternative<Accepted>(verdict.result);
  const auto reasons = ReasonsOf(verdict.result, parsed.lines);
  if (arguments.json) {
    Print(environment, {{"verdict", VerdictName(verdict.result)},
                        {"release", ReleaseOf(verdict.result).value},
                        {"reasons", reasons}});
  } else if (fits) {
    *environment.out << "fits: published now it would be release "
                     << ReleaseOf(verdict.result).value << "\n";
  } else {
    *environment.out << "would be rejected (" << VerdictName(verdict.result)
                     << "):\n";
    PrintReasons(environment, reasons);
  }
  return fits ? kExitOk : kExitRejected;
}

// Publish -------------------------------------------------------------------

// Executes the actions of a PublishMachine until it finishes.
class Publisher {
 public:
  Publisher(CliEnvironment& cli_environment,
            const wire::Publish& publish,
            std::chrono::milliseconds timeout)
      : environment(cli_environment),
        reader(*cli_environment.log),
        record(ToRecord(publish)),
        append_timeout(std::min(timeout, kAppendTimeout)) {}

  PublishReport Run(PublishMachine& machine) {
    PublishAction action = machine.Start(this->environment.now());
    while (!std::holds_alternative<Finish>(action)) {
      const auto events = std::visit(
          [this](const auto& alternative) {
            return this->Execute(alternative);
          },
          action);
      std::ranges::for_each(events, [&](const PublishEvent& event) {
        action = machine.OnEvent(event, this->environment.now());
      });
    }
    return std::get<Finish>(action).report;
  }

 private:
  using Events = std::vector<PublishEvent>;

  Events Execute(const AppendNote&) {
    return {AppendEnded{this->environment.log->Append(
        kReleaseStream, this->record, this->append_timeout)}};
  }

  Events Execute(const ReadNextPage&) {
    const auto progress = this->reader.ReadPage(kMaxReadWait);
    if (!progress) {
      return {ReadFailed{progress.error().text}};
    }
    Events events;
    std::ranges::transform(
        progress->verdicts, std::back_inserter(events),
        [](const Verdict& verdict) { return VerdictSeen{verdict}; });
    events.push_back(ReadEnded{progress->next, progress->end});
    return events;
  }

  Events Execute(const Pause& pause) {
    this->environment.pause(pause.duration);
    return {PauseEnded{}};
  }

  Events Execute(const Finish&) { return {}; }

  CliEnvironment& environment;
  ReleaseReader reader;
  std::string record;
  std::chrono::milliseconds append_timeout;
};

// Returns the reason why every node would skip the record without judging it,
// or nullopt if nodes would judge it.
std::optional<std::string> FindSkipReason(const wire::Publish& publish) {
  Fold trial;
  const auto verdict = trial.Apply(trial.next_offset(), ToRecord(publish));
  const auto* skipped =
      verdict ? std::get_if<Skipped>(&verdict->result) : nullptr;
  return skipped ? std::optional(skipped->text) : std::nullopt;
}

struct OutcomeInfo {
  std::string_view name;
  std::string_view text;
  ExitCode code;
};

// Indexed by PublishOutcome.
constexpr std::array<OutcomeInfo, 4> kOutcomeInfos = {{
    {"accepted", "accepted", kExitOk},
    {"rejected", "rejected; no release was created", kExitRejected},
    {"not-published", "not published: nothing was written. Publish again",
     kExitNotPublished},
    {"not-yet-known",
     "not yet known: the note may be on the log. It is judged at most once;\n"
     "look for the publish id in `tanagerledge history` before you publish the "
     "note again",
     kExitNotYetKnown},
}};

ExitCode ReportPublish(CliEnvironment& environment,
                       const CliArguments& arguments,
                       const ParsedNote& parsed,
                       const std::string& publish_id,
                       const PublishReport& report) {
  const auto& info = kOutcomeInfos[static_cast<std::size_t>(report.outcome)];
  if (arguments.json) {
    Json json = {{"outcome", info.name}, {"publish_id", publish_id}};
    if (report.verdict) {
      json["verdict"] = ToJson(*report.verdict, parsed.lines);
    } else {
      json["reason"] = report.reason;
    }
    Print(environment, json);
    return info.code;
  }
  *environment.out << info.text;
  if (report.outcome == PublishOutcome::kAccepted) {
    *environment.out << ": release " << ReleaseOf(report.verdict->result).value;
  }
  *environment.out << "\n";
  if (report.verdict) {
    PrintReasons(environment, ReasonsOf(report.verdict->result, parsed.lines));
  } else {
    *environment.out << "  publish id " << publish_id
                     << "\n  last error: " << report.reason << "\n";
  }
  return info.code;
}

// History -------------------------------------------------------------------

void PrintVerdict(CliEnvironment& environment, const Verdict& verdict) {
  const ReleaseNumber release = ReleaseOf(verdict.result);
  *environment.out << ToText(verdict.published_at) << "  "
                   << VerdictName(verdict.result)
                   << (release.value > 0
                           ? " release " + std::to_string(release.value)
                           : std::string())
                   << "  " << verdict.operator_name << "  " << verdict.title
                   << "  [" << verdict.publish_id << "]\n";
  PrintReasons(environment, ReasonsOf(verdict.result));
}

// Shows the history that one node keeps. Used if the log is unavailable.
int ShowNodeHistory(CliEnvironment& environment,
                    const CliArguments& arguments,
                    const std::string& reason) {
  const auto response = environment.nodes->Query("/history");
  if (!response) {
    return ReportError(environment, reason + "; " + response.error(),
                       kExitUnavailable);
  }
  ReportError(
      environment,
      reason + "; this is what node " + response->address + " remembers",
      kExitOk);
  if (arguments.json) {
    *environment.out << response->body.dump(2) << "\n";
    return kExitOk;
  }
  const auto verdicts = ListAt(response->body, "verdicts");
  std::ranges::for_each(verdicts, [&](const nlohmann::json& verdict) {
    const WallTime at{std::chrono::milliseconds(NumberAt(verdict, "at_ms"))};
    *environment.out << ToText(at) << "  " << TextAt(verdict, "verdict") << "  "
                     << TextAt(verdict, "operator") << "  "
                     << TextAt(verdict, "title") << "  ["
                     << TextAt(verdict, "publish_id") << "]\n";
  });
  return kExitOk;
}

// Shows the audit log of every node, with events that are not on the log:
// changes of readiness, activated releases and quarantine.
void ShowNodeAudits(CliEnvironment& environment,
                    const CliArguments& arguments) {
  const auto responses = environment.nodes->QueryAll("/history");
  std::ranges::for_each(responses, [&](const auto& response) {
    if (response) {
      *environment.out << "audit of node " << response->address << "\n"
                       << FormatDecisions(ListAt(response->body, "audit"),
                                          arguments.last);
    } else {
      ReportError(environment, response.error(), kExitUnavailable);
    }
  });
}

}  // namespace

int CheckNote(CliEnvironment& environment, const CliArguments& arguments) {
  const auto parsed = LoadNote(environment, arguments);
  if (!parsed) {
    return parsed.error();
  }
  if (environment.log == nullptr) {
    return ReportTextOnlyCheck(environment, arguments, "no --log was given",
                               kExitOk);
  }
  ReleaseReader reader(*environment.log);
  const auto caught_up = reader.CatchUp();
  if (!caught_up) {
    return ReportTextOnlyCheck(environment, arguments, caught_up.error().text,
                               kExitUnavailable);
  }
  Fold trial = reader.fold();
  const auto publish = MakePublish(environment, arguments, parsed->note);
  const auto verdict = trial.Apply(trial.next_offset(), ToRecord(publish));
  if (!verdict) {
    return ReportTextOnlyCheck(
        environment, arguments,
        "the stream requires a newer version of this program",
        kExitUnavailable);
  }
  return ReportDryRun(environment, arguments, *parsed, *verdict);
}

int PublishNote(CliEnvironment& environment, const CliArguments& arguments) {
  if (!RequireLog(environment)) {
    return kExitUsage;
  }
  const auto parsed = LoadNote(environment, arguments);
  if (!parsed) {
    return parsed.error();
  }
  const auto publish = MakePublish(environment, arguments, parsed->note);
  if (const auto reason = FindSkipReason(publish)) {
    return ReportError(environment, *reason + "; nothing was written",
                       kExitUsage);
  }
  PublishMachine machine(publish.publish_id,
                         environment.now() + arguments.timeout);
  const PublishReport report =
      Publisher(environment, publish, arguments.timeout).Run(machine);
  const ExitCode code = ReportPublish(environment, arguments, *parsed,
                                      publish.publish_id, report);
  if (code != kExitOk || !arguments.watch) {
    return code;
  }
  return FollowRelease(environment, arguments,
                       ReleaseOf(report.verdict->result));
}

int ShowHistory(CliEnvironment& environment, const CliArguments& arguments) {
  if (environment.log == nullptr) {
    return ShowNodeHistory(environment, arguments, "no --log was given");
  }
  ReleaseReader reader(*environment.log);
  const auto caught_up = reader.CatchUp();
  if (!caught_up) {
    return ShowNodeHistory(
        environment, arguments,
        "the log cannot be read (" + caught_up.error().text + ")");
  }
  std::vector<Verdict> verdicts = reader.verdicts();
  if (arguments.last > 0 && arguments.last < verdicts.size()) {
    verdicts.erase(
        verdicts.begin(),
        verdicts.end() - static_cast<std::ptrdiff_t>(arguments.last));
  }
  if (arguments.json) {
    Json list = Json::array();
    std::ranges::transform(
        verdicts, std::back_inserter(list),
        [](const Verdict& verdict) { return ToJson(verdict); });
    Print(environment, list);
    return kExitOk;
  }
  if (reader.first_kept().value > 0) {
    *environment.out << "records before offset " << reader.first_kept().value
                     << " have expired\n";
  }
  std::ranges::for_each(verdicts, [&](const Verdict& verdict) {
    PrintVerdict(environment, verdict);
  });
  ShowNodeAudits(environment, arguments);
  if (verdicts.empty()) {
    *environment.out << "nothing has been published yet\n";
  }
  return kExitOk;
}

int ShowDifferences(CliEnvironment& environment,
                    const CliArguments& arguments) {
  const auto first = ParseRelease(environment, arguments.operands[0]);
  const auto second = ParseRelease(environment, arguments.operands[1]);
  if (!first || !second || !RequireLog(environment)) {
    return kExitUsage;
  }
  ReleaseReader reader(*environment.log);
  reader.RetainStates({*first, *second});
  const auto caught_up = reader.CatchUp();
  if (!caught_up) {
    return ReportLogError(environment, caught_up.error());
  }
  const auto before = reader.StateOf(*first);
  const auto after = reader.StateOf(*second);
  if (!before || !after) {
    const ReleaseNumber missing = before ? *second : *first;
    return ReportError(
        environment,
        "release " + std::to_string(missing.value) +
            " is not on the log (newest: " +
            std::to_string(reader.fold().State()->release.value) + ")",
        kExitUsage);
  }
  const auto differences = Compare(*before, *after);
  if (arguments.json) {
    Json list = Json::array();
    std::ranges::transform(
        differences, std::back_inserter(list),
        [](const Difference& difference) { return ToJson(difference); });
    Print(environment, list);
    return kExitOk;
  }
  std::ranges::for_each(differences, [&](const Difference& difference) {
    *environment.out << ToText(difference) << "\n";
  });
  *environment.out << FormatCount(differences.size(), "difference") << "\n";
  return kExitOk;
}

}  // namespace tanagerledge
