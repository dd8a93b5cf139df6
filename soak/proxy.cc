#include "soak/proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kAddedDelay{60};
// Interval of checking whether held bytes may be forwarded.
constexpr milliseconds kHoldPollInterval{20};

}  // namespace

Proxy::Proxy(IoLoop& io_loop, std::string server)
    : loop(io_loop),
      server_address(std::move(server)),
      acceptor(Listen(io_loop.context(), ParseAddress("127.0.0.1:0").value())
                   .value()) {
  this->own_address = FormatAddress(this->acceptor.local_endpoint());
  this->loop.Spawn([this] { this->Accept(); });
}

void Proxy::Accept() {
  while (!this->closed) {
    const auto link = std::make_shared<Link>(this->loop.context());
    const error_code error = AwaitError([&](auto done) {
      this->acceptor.async_accept(link->node_socket, std::move(done));
    });
    if (error) {
      return;
    }
    this->links.insert(link);
    if (this->fault == LinkFault::kReset) {
      Reset(*link);
    }
    this->loop.SpawnHere([this, link] { this->Serve(link); });
  }
}

void Proxy::Serve(const LinkPtr& link) {
  const auto server = ParseAddress(this->server_address).value();
  const error_code error = AwaitError([&](auto done) {
    link->server_socket.async_connect(server, std::move(done));
  });
  if (error) {
    Reset(*link);
    this->links.erase(link);
    return;
  }
  this->loop.SpawnHere([this, link] {
    this->Forward(link, link->server_socket, link->node_socket, true);
  });
  this->Forward(link, link->node_socket, link->server_socket, false);
  this->links.erase(link);
}

void Proxy::Forward(const LinkPtr& link,
                    Socket& from,
                    Socket& to,
                    bool to_node) {
  constexpr std::size_t kChunk = 16 * 1024;
  std::vector<char> chunk(kChunk);
  while (true) {
    const auto read = Await<std::size_t>([&](auto done) {
      from.async_read_some(boost::asio::buffer(chunk), std::move(done));
    });
    const auto held = [&] {
      return this->fault == LinkFault::kSilence ||
             (this->fault == LinkFault::kOneWay && to_node);
    };
    while (held() && !this->closed) {
      this->loop.SleepFor(kHoldPollInterval);
    }
    if (this->fault == LinkFault::kDelay) {
      this->loop.SleepFor(kAddedDelay);
    }
    if (!read) {
      // Forwards a regular end of the stream as such, and any error as a reset.
      if (read.error != boost::asio::error::eof) {
        Reset(*link);
      }
      error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    const auto written = Await<std::size_t>([&](auto done) {
      boost::asio::async_write(
          to, boost::asio::buffer(chunk.data(), read.value), std::move(done));
    });
    if (!written) {
      Reset(*link);
      return;
    }
  }
}

void Proxy::Reset(Link& link) {
  const auto reset = [](Socket& socket) {
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  };
  reset(link.node_socket);
  reset(link.server_socket);
}

bool Proxy::DisturbedWithin(std::chrono::milliseconds window) const {
  return this->fault != LinkFault::kNone || Now() - this->fault_ended < window;
}

void Proxy::SetFault(LinkFault new_fault) {
  if (this->fault != LinkFault::kNone && new_fault == LinkFault::kNone) {
    this->fault_ended = Now();
  }
  this->fault = new_fault;
  if (new_fault == LinkFault::kReset) {
    std::ranges::for_each(this->links,
                          [](const LinkPtr& link) { Reset(*link); });
  }
}

void Proxy::Close() {
  this->closed = true;
  error_code ignored;
  this->acceptor.close(ignored);
  std::ranges::for_each(this->links, [](const LinkPtr& link) { Reset(*link); });
}

}  // namespace tanagerledge::soak
