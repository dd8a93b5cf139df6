// tanagerledge: command line tool for operators. See `tanagerledge --help`.

#include <chrono>
#include <iostream>
#include <memory>
#include <random>

#include "platform/store_client.h"
#include "src/adapters/net.h"
#include "src/cli/cli.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;

// The parsed addresses of the command line.
struct Addresses {
  std::unique_ptr<tcp::endpoint> log;
  std::vector<tcp::endpoint> nodes;
};

tl::expected<Addresses, AddressError> ParseAddresses(
    const CliArguments& arguments) {
  Addresses addresses;
  if (!arguments.log.empty()) {
    const auto log = ParseAddress(arguments.log);
    if (!log) {
      return tl::unexpected(log.error());
    }
    addresses.log = std::make_unique<tcp::endpoint>(*log);
  }
  for (const std::string& text : arguments.nodes) {
    const auto node = ParseAddress(text);
    if (!node) {
      return tl::unexpected(node.error());
    }
    addresses.nodes.push_back(*node);
  }
  return addresses;
}

// Runs the command in a fiber of a new I/O loop, which ends with the command.
int RunOnLoop(const Addresses& addresses, const CliArguments& arguments) {
  IoLoop loop;
  int code = kExitOk;
  loop.Spawn([&] {
    HttpNodePort nodes(loop, addresses.nodes);
    std::unique_ptr<KeyedLogPort> log;
    if (addresses.log) {
      log = platform::ConnectStore(loop, FormatAddress(*addresses.log));
    }
    CliEnvironment environment;
    environment.log = log.get();
    environment.nodes = &nodes;
    environment.out = &std::cout;
    environment.err = &std::cerr;
    environment.now = [] { return std::chrono::steady_clock::now(); };
    environment.wall_now = [] { return std::chrono::system_clock::now(); };
    environment.pause = [&](std::chrono::milliseconds time) {
      loop.SleepFor(time);
    };
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    environment.random.seed(seed);
    code = RunCli(environment, arguments);
    nodes.Close();
    if (log) {
      log->Close();
    }
    loop.Stop();
  });
  loop.Run();
  return code;
}

int Main(int argc, const char* const* argv) {
  const auto arguments = ParseArguments(argc, argv);
  if (!arguments) {
    std::cerr << "tanagerledge: " << arguments.error() << "\n";
    return kExitUsage;
  }
  const auto addresses = ParseAddresses(*arguments);
  if (!addresses) {
    std::cerr << "tanagerledge: " << addresses.error().text << "\n";
    return kExitUsage;
  }
  return RunOnLoop(*addresses, *arguments);
}

}  // namespace
}  // namespace tanagerledge

int main(int argc, char** argv) {
  return tanagerledge::Main(argc, argv);
}
