#include "fakes/reserved_address.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <mutex>
#include <stdexcept>
#include <vector>

#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

// Below the range that the system uses for outgoing connections.
constexpr int kFirstPort = 10'000;
constexpr int kPorts = 20'000;
constexpr char kHost[] = "127.0.0.1";
// A socket that is bound to the port at this address marks it as reserved.
constexpr char kReservationHost[] = "127.0.0.2";

// Binds without SO_REUSEADDR; returns false if the address is in use.
template <typename Protocol>
bool Bind(typename Protocol::socket& socket, const char* host, int port) {
  boost::system::error_code error;
  socket.open(Protocol::v4(), error);
  if (!error) {
    socket.bind(
        {boost::asio::ip::make_address(host), static_cast<std::uint16_t>(port)},
        error);
  }
  return !error;
}

class Reservations {
 public:
  std::string Next() {
    const std::scoped_lock lock(this->mutex);
    for (int tried = 0; tried < kPorts; ++tried) {
      const int port = kFirstPort + this->next;
      this->next = (this->next + 1) % kPorts;
      tcp::socket reservation(this->io);
      if (Bind<tcp>(reservation, kReservationHost, port) && IsUnused(port)) {
        this->held.push_back(std::move(reservation));
        return std::string(kHost) + ":" + std::to_string(port);
      }
    }
    throw std::runtime_error("no unreserved port is left");
  }

 private:
  // A port that was just released may still be in use.
  bool IsUnused(int port) {
    udp::socket datagrams(this->io);
    return Bind<udp>(datagrams, kHost, port) &&
           Listen(this->io, {boost::asio::ip::make_address(kHost),
                             static_cast<std::uint16_t>(port)})
               .has_value();
  }

  std::mutex mutex;
  boost::asio::io_context io;
  std::vector<tcp::socket> held;
  // Processes begin at different ports, which saves them failed attempts.
  int next = static_cast<int>(getpid()) * 64 % kPorts;
};

}  // namespace

std::string ReserveAddress() {
  static Reservations reservations;
  return reservations.Next();
}

}  // namespace tanagerledge
