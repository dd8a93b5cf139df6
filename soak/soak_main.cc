// The soak as a program.

#include <signal.h>

#include <chrono>
#include <cstdint>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak.h"

int main(int argc, char** argv) {
  cxxopts::Options words("soak", "Randomized soak of real nodes on loopback");
  words.add_options()("program", "the node's program",
                      cxxopts::value<std::string>())(
      "directory", "settings and logs of the nodes go there",
      cxxopts::value<std::string>())(
      "seed", "of the faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "of faults", cxxopts::value<int>()->default_value("10"))(
      "nodes", "processes", cxxopts::value<int>()->default_value("6"))(
      "stops-only", "planned work alone: SIGTERM, SIGHUP, new configurations")(
      "h,help", "print this");
  try {
    const auto arguments = words.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << words.help();
      return 0;
    }
    tanagerledge::soak::SoakOptions options;
    options.program = arguments["program"].as<std::string>();
    options.directory = arguments["directory"].as<std::string>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.length = std::chrono::seconds(arguments["seconds"].as<int>());
    options.nodes = arguments["nodes"].as<int>();
    options.stops_only = arguments.count("stops-only") > 0;
    std::filesystem::create_directories(options.directory);
    signal(SIGPIPE, SIG_IGN);
    return tanagerledge::soak::RunSoak(options) ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
