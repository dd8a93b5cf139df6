// tanagerledged: one node, beside one back end.

#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "src/adapters/logging.h"
#include "src/adapters/settings.h"
#include "src/adapters/stop_signal.h"
#include "src/node/node.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;

int RunNode(const tanagerledge::Settings& settings) {
  const tanagerledge::StopSignal stop;
  const auto logging = tanagerledge::StartLogging(settings.logging_level);
  if (!logging) {
    std::cerr << logging.error().text << "\n";
    return kExitBadUsage;
  }
  tanagerledge::Node node(settings);
  if (const auto started = node.Start(); !started) {
    std::cerr << "tanagerledged: " << started.error() << "\n";
    return kExitFailed;
  }
  stop.Wait();
  node.Shutdown();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tanagerledged",
                           "One node of the mesh, beside one back end.");
  options.add_options()("settings", "INI file with the node's settings",
                        cxxopts::value<std::string>())(
      "check", "Check the settings and exit")("h,help", "Show this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS.ini");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
      std::cout << options.help()
                << "\nExample:\n  tanagerledged node-1.ini\n"
                   "Ends on SIGTERM after the calls in flight.\n";
      return arguments.count("help") > 0 ? kExitOk : kExitBadUsage;
    }
    const auto path = arguments["settings"].as<std::string>();
    const auto settings = tanagerledge::ReadSettings(path);
    if (!settings) {
      for (const tanagerledge::TextFault& fault : settings.error()) {
        std::cerr << path << ":" << fault.line << ": " << fault.text << "\n";
      }
      return kExitBadUsage;
    }
    if (arguments.count("check") > 0) {
      std::cout << path << ": good\n";
      return kExitOk;
    }
    return RunNode(*settings);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "tanagerledged: " << error.what() << "\n";
    return kExitBadUsage;
  }
}
