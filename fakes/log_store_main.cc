// log_store: the fake log store as a program, for trying out the project on one
// machine.

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>

#include "fakes/log_store.h"

int main(int argc, char** argv) {
  cxxopts::Options options("log_store", "Fake of the platform's log store");
  options.add_options()("port", "port on loopback; 0 takes any free one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "h,help", "print this");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    tanagerledge::IoLoop loop;
    tanagerledge::LogStore store(loop);
    const auto port = store.Listen(arguments["port"].as<std::uint16_t>());
    if (!port) {
      std::cerr << "log_store: " << port.error() << "\n";
      return 1;
    }
    std::cout << "listening 127.0.0.1:" << *port << std::endl;
    boost::asio::signal_set signals(loop.context(), SIGINT, SIGTERM);
    signals.async_wait([&](const auto&, int) {
      store.Close();
      loop.Stop();
    });
    loop.Run();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "log_store: " << error.what() << "\n";
    return 2;
  }
  return 0;
}
