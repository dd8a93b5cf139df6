// Command line tool for operators: argument parsing, help text, and the entry
// point that runs one command. I/O and clocks come from CliEnvironment, so that
// tests can run commands without a network.

#ifndef TANAGERLEDGE_SRC_CLI_CLI_H_
#define TANAGERLEDGE_SRC_CLI_CLI_H_

#include <chrono>
#include <functional>
#include <iosfwd>
#include <random>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/cli/node_query.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

// Exit codes ----------------------------------------------------------------

// Scripts depend on these values: the meaning of a value must not change.
enum ExitCode {
  kExitOk = 0,
  kExitRejected = 1,      // The note has faults or was rejected.
  kExitUsage = 2,         // The command line is wrong.
  kExitNotYetKnown = 3,   // Published or spreading when the timeout expired.
  kExitUnavailable = 4,   // Neither the log nor any node responded.
  kExitNotPublished = 5,  // Certain: nothing was written. Publish again.
};

// Arguments -----------------------------------------------------------------

struct CliArguments {
  std::string command;
  std::vector<std::string> operands;
  std::vector<std::string> nodes;  // Admin addresses of nodes, ip:port.
  std::string log;                 // ip:port; empty when not given.
  std::string operator_name;       // Recorded as the author of a note.
  std::chrono::seconds timeout{0};
  std::size_t last = 0;  // Show only the newest `last` entries; 0: all.
  bool json = false;
  bool watch = false;
  bool help = false;
};

// Returns the parsed arguments, or a message that says why they are invalid.
tl::expected<CliArguments, std::string> ParseArguments(int argc,
                                                       const char* const* argv);

// Returns the help text of `command`, or the general help if there is no such
// command.
std::string HelpText(std::string_view command);

// Environment ---------------------------------------------------------------

// Everything outside of the process that a command uses.
struct CliEnvironment {
  LogPort* log = nullptr;  // Null if --log was not given.
  NodePort* nodes = nullptr;
  std::ostream* out = nullptr;  // Results.
  std::ostream* err = nullptr;  // Errors and unavailable data sources.
  std::function<Instant()> now;
  std::function<WallTime()> wall_now;
  std::function<void(std::chrono::milliseconds)> pause;
  std::mt19937_64 random;
};

// Runs the command and returns an ExitCode.
int RunCli(CliEnvironment& environment, const CliArguments& arguments);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_CLI_H_
