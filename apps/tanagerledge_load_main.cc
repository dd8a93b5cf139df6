// tanagerledge_load: sends calls to entries and tells what became of them.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/adapters/net.h"
#include "src/adapters/stop_signal.h"
#include "src/load/load_run.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;
constexpr int kMaxDurationMs = 600'000;

int Fail(const std::string& text) {
  std::cerr << "tanagerledge_load: " << text << "\n";
  return kExitBadUsage;
}

int RunPlan(const tanagerledge::LoadPlan& plan, const std::string& json_path) {
  tanagerledge::LoadReportTotal report;
  {
    tanagerledge::IoLoop loop;
    tanagerledge::LoadRun run(loop, plan);
    loop.Spawn([&] {
      report = run.Run();
      loop.Stop();
    });
    loop.Run();
  }
  std::cout << ToTable(report, plan.duration);
  if (!json_path.empty()) {
    std::ofstream file(json_path);
    file << ToJson(report).dump(2) << "\n";
  }
  return AllHeld(report) ? kExitOk : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("tanagerledge_load",
                           "Sends calls to entries, open loop, and counts.");
  options.add_options()("front", "Entry address ip:port; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "call", "name:METHOD:/path:rate[:keyed]; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "duration-ms", "How long calls are sent",
      cxxopts::value<int>()->default_value("5000"))(
      "one-way-delay-us", "From caller to entry, each way",
      cxxopts::value<int>()->default_value("0"))(
      "timeout-ms", "For one answer",
      cxxopts::value<int>()->default_value("3000"))(
      "customers", "Customers that calls are spread over",
      cxxopts::value<int>()->default_value("3"))(
      "seed", "Of arrivals and keys",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "back-end", "Back end stand-in to ask afterwards which keys ran",
      cxxopts::value<std::vector<std::string>>())(
      "json", "Also write the report to this file",
      cxxopts::value<std::string>()->default_value(""))("h,help",
                                                        "Show this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help()
                << "\nExample:\n  tanagerledge_load --front 127.0.0.1:8001 "
                   "--call look:GET:/curve:50\n"
                   "Exit codes: 0 good, 1 a promise did not hold (an entry "
                   "went back to an older release, a key ran twice, or ran "
                   "though refused as not-run), 2 bad usage.\n";
      return kExitOk;
    }
    if (arguments.count("front") == 0 || arguments.count("call") == 0) {
      return Fail("--front and --call are needed; see --help");
    }
    tanagerledge::LoadPlan plan;
    plan.fronts = arguments["front"].as<std::vector<std::string>>();
    for (const std::string& front : plan.fronts) {
      if (const auto address = tanagerledge::ParseAddress(front); !address) {
        return Fail(address.error().text);
      }
    }
    for (const std::string& text :
         arguments["call"].as<std::vector<std::string>>()) {
      const auto kind = tanagerledge::ParseCallKind(text);
      if (!kind) {
        return Fail(kind.error());
      }
      plan.kinds.push_back(*kind);
    }
    if (arguments.count("back-end") > 0) {
      plan.backends = arguments["back-end"].as<std::vector<std::string>>();
    }
    const int duration = arguments["duration-ms"].as<int>();
    const int client_accounts = arguments["customers"].as<int>();
    if (duration < 1 || duration > kMaxDurationMs || client_accounts < 1) {
      return Fail("--duration-ms must be 1 to 600000, --customers at least 1");
    }
    plan.duration = std::chrono::milliseconds(duration);
    plan.client_accounts = client_accounts;
    plan.one_way_delay =
        std::chrono::microseconds(arguments["one-way-delay-us"].as<int>());
    plan.timeout = std::chrono::milliseconds(arguments["timeout-ms"].as<int>());
    plan.seed = arguments["seed"].as<std::uint64_t>();
    return RunPlan(plan, arguments["json"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail(error.what());
  }
}
