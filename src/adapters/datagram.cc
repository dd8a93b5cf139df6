#include "src/adapters/datagram.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace tanagerledge {
namespace {

using boost::asio::ip::udp;

constexpr std::size_t kReceiveBytes = 2048;

std::optional<udp::endpoint> ToEndpoint(const NodeId& node) {
  const auto colon = node.value.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(
      std::string_view(node.value).substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const end = node.value.data() + node.value.size();
  const auto parsed = std::from_chars(node.value.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return udp::endpoint(address, port);
}

NodeId ToNode(const udp::endpoint& endpoint) {
  return {endpoint.address().to_string() + ":" +
          std::to_string(endpoint.port())};
}

}  // namespace

// The socket and its receive state. Shared with the pending receive handler, so
// that it outlives the port until that handler has run.
struct UdpPort::Receiver : std::enable_shared_from_this<UdpPort::Receiver> {
  explicit Receiver(boost::asio::io_context& io) : socket(io) {}

  void ReceiveNext() {
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          self->OnReceived(error, size);
        });
  }

  void OnReceived(boost::system::error_code error, std::size_t size) {
    if (!this->socket.is_open()) {
      return;
    }
    // An error here belongs to an earlier send, e.g. an ICMP "port
    // unreachable". It must not end receiving.
    if (!error) {
      this->handler(ToNode(this->sender),
                    std::string_view(this->buffer.data(), size));
    }
    if (this->socket.is_open()) {
      this->ReceiveNext();
    }
  }

  udp::socket socket;
  udp::endpoint sender;
  std::array<char, kReceiveBytes> buffer{};
  DatagramPort::Handler handler;
};

UdpPort::UdpPort(IoLoop& io_loop, NodeId local_address)
    : loop(io_loop), local(std::move(local_address)) {}

UdpPort::~UdpPort() {
  this->Close();
}

tl::expected<void, std::string> UdpPort::Open(Handler handler) {
  const auto endpoint = ToEndpoint(this->local);
  if (!endpoint) {
    return tl::unexpected("not an ip:port: " + this->local.value);
  }
  auto opened = std::make_shared<Receiver>(this->loop.context());
  boost::system::error_code error;
  opened->socket.open(udp::v4(), error);
  if (!error) {
    opened->socket.bind(*endpoint, error);
  }
  if (!error) {
    opened->socket.non_blocking(true, error);
  }
  if (error) {
    return tl::unexpected(this->local.value + ": " + error.message());
  }
  opened->handler = std::move(handler);
  opened->ReceiveNext();
  this->receiver = std::move(opened);
  return {};
}

void UdpPort::Send(const NodeId& to, std::string_view bytes) {
  const auto endpoint = ToEndpoint(to);
  if (!endpoint || !this->receiver) {
    ++this->drops;
    return;
  }
  boost::system::error_code error;
  this->receiver->socket.send_to(
      boost::asio::buffer(bytes.data(), bytes.size()), *endpoint, 0, error);
  if (error) {
    ++this->drops;
  }
}

void UdpPort::Close() {
  if (this->receiver) {
    boost::system::error_code ignored;
    this->receiver->socket.close(ignored);
    this->receiver.reset();
  }
}

}  // namespace tanagerledge
