// The operators' command line: what it was asked, and what it may use.

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

// Scripts depend on these: a value keeps its meaning.
enum ExitCode {
  kExitOk = 0,
  kExitRejected = 1,      // The note has faults, or was rejected.
  kExitUsage = 2,         // The command line is wrong.
  kExitNotYetKnown = 3,   // Published or spreading, and not settled in time.
  kExitUnavailable = 4,   // Neither the log nor a node could answer.
  kExitNotPublished = 5,  // Proved: nothing was written. Publish again.
};

// What was asked ------------------------------------------------------------

struct CliArguments {
  std::string command;
  std::vector<std::string> operands;
  std::vector<std::string> nodes;  // Admin addresses, ip:port.
  std::string log;                 // ip:port; empty when not given.
  std::string operator_name;
  std::chrono::seconds timeout{0};
  std::size_t last = 0;
  bool json = false;
  bool watch = false;
  bool help = false;
};

// The arguments, or what is wrong with them.
tl::expected<CliArguments, std::string> ParseArguments(int argc,
                                                       const char* const* argv);

// General help, or that of one command.
std::string HelpText(std::string_view command);

// What a command may use ----------------------------------------------------

struct CliEnvironment {
  LogPort* log = nullptr;  // Null when no address was given.
  NodePort* nodes = nullptr;
  std::ostream* out = nullptr;  // Results.
  std::ostream* err = nullptr;  // Faults, and what could not be learned.
  std::function<Instant()> now;
  std::function<WallTime()> wall_now;
  std::function<void(std::chrono::milliseconds)> pause;
  std::mt19937_64 random;
};

// Runs the command; an ExitCode.
int RunCli(CliEnvironment& environment, const CliArguments& arguments);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_CLI_H_
