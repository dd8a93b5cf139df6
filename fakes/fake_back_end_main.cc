// fake_back_end: a fake backend server for demos and tests.

#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "fakes/backend.h"
#include "src/adapters/stop_signal.h"

namespace {

constexpr std::chrono::milliseconds kDrainTimeout{10000};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fake_back_end",
                           "A fake backend server for demos and tests.");
  options.add_options()("service", "Service name",
                        cxxopts::value<std::string>())(
      "address", "Where to listen, ip:port",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "admin", "Admin address of its node",
      cxxopts::value<std::string>()->default_value(""))(
      "slots", "Maximum number of concurrent calls",
      cxxopts::value<int>()->default_value("13"))(
      "service-time-us", "Mean service time in microseconds",
      cxxopts::value<int>()->default_value("20000"))(
      "warm-up-ms", "Time after the start during which it is slower",
      cxxopts::value<int>()->default_value("0"))(
      "seed", "Seed of the random service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "trace", "Print a line for each run with an idempotency key")(
      "h,help", "Show this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("service") == 0) {
      std::cout << options.help();
      return arguments.count("help") > 0 ? 0 : 2;
    }
    tanagerledge::FakeBackendConfig config;
    config.service.value = arguments["service"].as<std::string>();
    config.address = arguments["address"].as<std::string>();
    config.admin_address = arguments["admin"].as<std::string>();
    config.slots = arguments["slots"].as<int>();
    config.service_time =
        std::chrono::microseconds(arguments["service-time-us"].as<int>());
    config.warm_up =
        std::chrono::milliseconds(arguments["warm-up-ms"].as<int>());
    config.seed = arguments["seed"].as<std::uint64_t>();
    config.trace = arguments.count("trace") > 0;
    const tanagerledge::StopSignal stop;
    tanagerledge::IoLoop loop;
    tanagerledge::FakeBackend backend(loop, config);
    const auto bound = backend.Start();
    if (!bound) {
      std::cerr << "fake_back_end: " << bound.error() << "\n";
      return 1;
    }
    std::cout << "listening " << *bound << std::endl;
    loop.Start();
    stop.Wait();
    loop.Spawn([&] {
      backend.Drain(kDrainTimeout);
      backend.Close();
      loop.Stop();
    });
    loop.Join();
    return 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "fake_back_end: " << error.what() << "\n";
    return 2;
  }
}
