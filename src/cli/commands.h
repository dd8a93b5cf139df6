// The commands, one function for each. All return an ExitCode.

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

// Follows a release until it is in force everywhere or time is up.
int FollowRelease(CliEnvironment& environment,
                  const CliArguments& arguments,
                  ReleaseNumber release);

// Shared --------------------------------------------------------------------

// A release number, or nothing and a message on `err`.
std::optional<ReleaseNumber> ParseRelease(CliEnvironment& environment,
                                          const std::string& text);

// Says on `err` what went wrong; returns `code`.
int Complain(CliEnvironment& environment,
             const std::string& text,
             ExitCode code);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_COMMANDS_H_
