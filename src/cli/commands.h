// One function per command. Each returns an ExitCode.

#ifndef TANAGERLEDGE_SRC_CLI_COMMANDS_H_
#define TANAGERLEDGE_SRC_CLI_COMMANDS_H_

#include <optional>
#include <string>

#include "src/cli/cli.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

using CommandFunction = int (*)(CliEnvironment& environment,
                                const CliArguments& arguments);

// Notes ---------------------------------------------------------------------

int CheckNote(CliEnvironment& environment, const CliArguments& arguments);
int PublishNote(CliEnvironment& environment, const CliArguments& arguments);
int ShowHistory(CliEnvironment& environment, const CliArguments& arguments);
int ShowDifferences(CliEnvironment& environment, const CliArguments& arguments);

// Fleet ---------------------------------------------------------------------

int ShowStatus(CliEnvironment& environment, const CliArguments& arguments);
int WatchReach(CliEnvironment& environment, const CliArguments& arguments);
int ExplainNodes(CliEnvironment& environment, const CliArguments& arguments);

// Polls the reach of a release until it is in force on every node or
// arguments.timeout has passed. Prints each change, or with --json only the
// final reach.
int FollowRelease(CliEnvironment& environment,
                  const CliArguments& arguments,
                  ReleaseNumber release);

// Shared --------------------------------------------------------------------

// Parses a release number. If the text is invalid, writes a message to
// `environment.err` and returns nullopt.
std::optional<ReleaseNumber> ParseRelease(CliEnvironment& environment,
                                          const std::string& text);

// Writes an error or a notice to `environment.err` and returns `code`.
int ReportError(CliEnvironment& environment,
                const std::string& text,
                ExitCode code);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_COMMANDS_H_
