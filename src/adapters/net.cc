#include "src/adapters/net.h"

#include <sys/socket.h>

#include <charconv>
#include <cstdint>

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;

using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

tl::unexpected<AddressError> Fail(std::string_view what, std::string_view why) {
  return tl::unexpected(
      AddressError{std::string(what) + ": " + std::string(why)});
}

}  // namespace

tl::expected<tcp::endpoint, AddressError> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(text, "expected ip:port");
  }
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return Fail(text, "the part before the last colon is no IP number");
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size()) {
    return Fail(text, "the port is no number from 0 to 65535");
  }
  return tcp::endpoint(ip, port);
}

tcp::endpoint CheckedAddress(const std::string& text) {
  return ParseAddress(text).value();
}

std::string FormatAddress(const tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

tl::expected<tcp::acceptor, AddressError> Listen(boost::asio::io_context& io,
                                                 const tcp::endpoint& endpoint,
                                                 PortSharing sharing) {
  const std::string address = FormatAddress(endpoint);
  boost::system::error_code error;
  tcp::acceptor acceptor(io);
  acceptor.open(endpoint.protocol(), error);
  if (error) {
    return Fail(address, error.message());
  }
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.set_option(ReusePort(sharing == PortSharing::kShared), error);
  if (error) {
    return Fail(address, error.message());
  }
  acceptor.bind(endpoint, error);
  if (error) {
    return Fail(address, error.message());
  }
  acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(address, error.message());
  }
  return acceptor;
}

tl::expected<void, AddressError> CheckUnused(const tcp::endpoint& endpoint) {
  boost::asio::io_context io;
  return Listen(io, endpoint).map([](const tcp::acceptor&) {});
}

}  // namespace tanagerledge
