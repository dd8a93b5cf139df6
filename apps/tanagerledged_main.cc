// tanagerledged: one node, beside one backend server.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "platform/names.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "src/adapters/logging.h"
#include "src/adapters/settings.h"
#include "src/adapters/stop_signal.h"
#include "src/node/node.h"
#include "src/sidecar/sidecar.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;

// Half of the 2 s within which a change is to be in force.
constexpr std::chrono::milliseconds kSettingsCheck{1000};

int RunNode(const tanagerledge::Settings& settings,
            const tanagerledge::StopSignal& stop) {
  const auto logging = tanagerledge::StartLogging(settings.logging_level);
  if (!logging) {
    std::cerr << logging.error().text << "\n";
    return kExitBadUsage;
  }
  tanagerledge::Node node(settings, tanagerledge::platform::ConnectStore);
  if (const auto started = node.Start(); !started) {
    std::cerr << "tanagerledged: " << started.error() << "\n";
    return kExitFailed;
  }
  while (stop.Wait() == tanagerledge::SignalKind::kReload) {
    LOG_PART(tanagerledge::Part::kNode, info)
        << "SIGHUP: settings of this kind of node are read at its start only.";
  }
  node.Shutdown();
  return kExitOk;
}

void PrintFaults(const std::string& path,
                 const std::vector<tanagerledge::TextFault>& faults) {
  std::ranges::for_each(faults, [&](const tanagerledge::TextFault& fault) {
    std::cerr << path << ":" << fault.line << ": " << fault.text << "\n";
  });
}

int RunSidecar(const std::string& path,
               const tanagerledge::Settings& settings,
               tanagerledge::SettingsWatcher& watch,
               const tanagerledge::StopSignal& stop) {
  const tanagerledge::platform::Platform platform{};
  tanagerledge::Sidecar sidecar(settings, platform,
                                tanagerledge::platform::ConnectStore);
  if (const auto started = sidecar.Start(); !started) {
    std::cerr << "tanagerledged: " << started.error() << "\n";
    return kExitFailed;
  }
  // SIGHUP tells that the file has changed, but it may also change in silence.
  while (stop.WaitFor(kSettingsCheck) != tanagerledge::SignalKind::kStop) {
    const auto next = watch.CheckForChange();
    if (next && *next) {
      sidecar.Reload(**next);
    } else if (next) {
      PrintFaults(path, next->error());  // The settings in force stay.
    }
  }
  sidecar.Shutdown();
  // Nothing is left to do but to free memory, which the system does sooner: on
  // a slow machine the grace time may be nearly over.
  std::quick_exit(kExitOk);
}

// The argument, or the path that the platform hands over.
std::optional<std::string> SettingsPath(const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") > 0) {
    return arguments["settings"].as<std::string>();
  }
  const char* path = std::getenv(tanagerledge::platform::kSettingsVariable);
  return path == nullptr ? std::nullopt : std::optional<std::string>(path);
}

}  // namespace

int main(int argc, char** argv) {
  // Before all else: a SIGHUP that comes earlier ends the process.
  const tanagerledge::StopSignal stop;
  cxxopts::Options options("tanagerledged",
                           "One node of the mesh, beside one back end.");
  options.add_options()("settings", "INI file with the node's settings",
                        cxxopts::value<std::string>())(
      "check", "Check the settings and exit")("h,help", "Show this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS.ini");
  try {
    const auto arguments = options.parse(argc, argv);
    const std::optional<std::string> path = SettingsPath(arguments);
    if (arguments.count("help") > 0 || !path) {
      std::cout << options.help()
                << "\nExample:\n  tanagerledged node-1.ini\n"
                   "Ends on SIGTERM after the calls in flight.\n";
      return arguments.count("help") > 0 ? kExitOk : kExitBadUsage;
    }
    // Made before the file is read, so that no change in between is missed.
    tanagerledge::SettingsWatcher watch(*path);
    const auto settings = tanagerledge::ReadSettings(*path);
    if (!settings) {
      PrintFaults(*path, settings.error());
      return kExitBadUsage;
    }
    if (arguments.count("check") > 0) {
      std::cout << *path << ": good\n";
      return kExitOk;
    }
    return settings->source == tanagerledge::ConfigSource::kPlatform
               ? RunSidecar(*path, *settings, watch, stop)
               : RunNode(*settings, stop);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "tanagerledged: " << error.what() << "\n";
    return kExitBadUsage;
  }
}
