// tanagerledged: runs one node of the mesh, next to one backend server.

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
#include "src/adapters/crash_log.h"
#include "src/adapters/logging.h"
#include "src/adapters/settings.h"
#include "src/adapters/stop_signal.h"
#include "src/node/node.h"
#include "src/sidecar/sidecar.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;
constexpr std::size_t kBytesPerMebibyte = 1024 * 1024;
constexpr std::size_t kMinMemoryMb = 16;
constexpr std::size_t kMaxMemoryMb = 1024 * 1024;

// A changed settings file must be in force within 2 s; checking twice as often
// leaves time to apply it.
constexpr std::chrono::milliseconds kSettingsCheckInterval{1000};

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
        << "SIGHUP ignored: this kind of node reads its settings only at "
           "start.";
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
  // SIGHUP triggers a check at once; the file may also change without a signal.
  while (stop.WaitFor(kSettingsCheckInterval) !=
         tanagerledge::SignalKind::kStop) {
    const auto next = watch.CheckForChange();
    if (next && *next) {
      sidecar.Reload(**next);
    } else if (next) {
      PrintFaults(path, next->error());  // Keeps the current settings.
    }
  }
  sidecar.Shutdown();
  // Skips the destructors. They would only free memory, which the system does
  // faster, and on a slow machine the grace period may be nearly over.
  std::quick_exit(kExitOk);
}

// Path of the settings file: the command line argument, or else the environment
// variable that the platform sets.
std::optional<std::string> SettingsPath(const cxxopts::ParseResult& arguments) {
  if (arguments.count("settings") > 0) {
    return arguments["settings"].as<std::string>();
  }
  const char* path = std::getenv(tanagerledge::platform::kSettingsVariable);
  return path == nullptr ? std::nullopt : std::optional<std::string>(path);
}

}  // namespace

int main(int argc, char** argv) {
  // Must come first: a SIGHUP that arrives before StopSignal has blocked it
  // ends the process.
  const tanagerledge::StopSignal stop;
  cxxopts::Options options(
      "tanagerledged",
      "Runs one node of the mesh, next to one backend server.");
  options.add_options()("settings", "INI file with the node's settings",
                        cxxopts::value<std::string>())(
      "memory-mb", "Memory that the process may use, in MiB",
      cxxopts::value<std::size_t>()->default_value(std::to_string(
          tanagerledge::kDefaultMemoryBytes / kBytesPerMebibyte)))(
      "check", "Check the settings and exit")("h,help", "Show this help");
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS.ini");
  try {
    const auto arguments = options.parse(argc, argv);
    const std::optional<std::string> path = SettingsPath(arguments);
    if (arguments.count("help") > 0 || !path) {
      std::cout << options.help()
                << "\nExample:\n  tanagerledged node-1.ini\n"
                   "Exits on SIGTERM once the calls in flight have finished.\n";
      return arguments.count("help") > 0 ? kExitOk : kExitBadUsage;
    }
    // Created before the file is read, so that a change in between is noticed.
    tanagerledge::SettingsWatcher watch(*path);
    auto settings = tanagerledge::ReadSettings(*path);
    if (!settings) {
      PrintFaults(*path, settings.error());
      return kExitBadUsage;
    }
    const auto memory_mb = arguments["memory-mb"].as<std::size_t>();
    if (memory_mb < kMinMemoryMb || memory_mb > kMaxMemoryMb) {
      std::cerr << "tanagerledged: --memory-mb must be from " << kMinMemoryMb
                << " to " << kMaxMemoryMb << "\n";
      return kExitBadUsage;
    }
    settings->memory_bytes = memory_mb * kBytesPerMebibyte;
    if (arguments.count("check") > 0) {
      std::cout << *path << ": good\n";
      return kExitOk;
    }
    tanagerledge::StartCrashLog(settings->address.value);
    return settings->source == tanagerledge::ConfigSource::kPlatform
               ? RunSidecar(*path, *settings, watch, stop)
               : RunNode(*settings, stop);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "tanagerledged: " << error.what() << "\n";
    return kExitBadUsage;
  }
}
