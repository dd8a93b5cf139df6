// tanagerledge_load: load generator that sends calls to entries and reports
// their outcomes. See `tanagerledge_load --help`.

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
  tanagerledge::LoadRunReport report;
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
  return AllChecksPassed(report) ? kExitOk : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "tanagerledge_load",
      "Sends calls to entries in an open loop and counts the outcomes.");
  options.add_options()("front", "Entry address ip:port; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "call", "name:METHOD:/path:rate[:keyed]; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "duration-ms", "How long to send calls",
      cxxopts::value<int>()->default_value("5000"))(
      "one-way-delay-us", "Simulated delay between caller and entry, each way",
      cxxopts::value<int>()->default_value("0"))(
      "timeout-ms", "Timeout of each attempt",
      cxxopts::value<int>()->default_value("3000"))(
      "customers", "Number of client accounts to spread calls over",
      cxxopts::value<int>()->default_value("3"))(
      "seed", "Seed of arrival times and keys",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "back-end",
      "Fake backend server to query afterwards for the keys that ran; may be "
      "repeated",
      cxxopts::value<std::vector<std::string>>())(
      "json", "Also write the report to this file",
      cxxopts::value<std::string>()->default_value(""))("h,help",
                                                        "Show this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout
          << options.help()
          << "\nExample:\n  tanagerledge_load --front 127.0.0.1:8001 "
             "--call look:GET:/curve:50\n"
             "Exit codes: 0 all checks passed, 1 a check failed (an entry "
             "went back to an older release, a key ran twice, a key ran "
             "that was reported as not-run, or a key reported as ok did "
             "not run), 2 bad usage.\n";
      return kExitOk;
    }
    if (arguments.count("front") == 0 || arguments.count("call") == 0) {
      return Fail("--front and --call are required; see --help");
    }
    tanagerledge::LoadPlan plan;
    plan.entry_addresses = arguments["front"].as<std::vector<std::string>>();
    for (const std::string& entry : plan.entry_addresses) {
      if (const auto address = tanagerledge::ParseAddress(entry); !address) {
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
