// Command line of the soak test.

#include <signal.h>

#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak.h"

int main(int argc, char** argv) {
  cxxopts::Options options_parser("soak",
                                  "Randomized soak of real nodes on loopback");
  options_parser.add_options()("program", "path of the node's program",
                               cxxopts::value<std::string>())(
      "directory", "directory for settings and logs of the nodes",
      cxxopts::value<std::string>())(
      "seed", "seed of the random faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "duration of the faults",
      cxxopts::value<int>()->default_value("10"))(
      "nodes", "processes", cxxopts::value<int>()->default_value("6"))(
      "stops-only",
      "injects only planned work: SIGTERM, SIGHUP, new configurations")(
      "h,help", "print this");
  try {
    const auto arguments = options_parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options_parser.help();
      return 0;
    }
    tanagerledge::soak::SoakOptions options;
    options.node_program = arguments["program"].as<std::string>();
    options.directory = arguments["directory"].as<std::string>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.fault_duration =
        std::chrono::seconds(arguments["seconds"].as<int>());
    options.node_count = arguments["nodes"].as<int>();
    options.planned_stops_only = arguments.count("stops-only") > 0;
    std::filesystem::create_directories(options.directory);
    signal(SIGPIPE, SIG_IGN);
    return tanagerledge::soak::RunSoak(options) ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
