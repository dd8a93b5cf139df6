// TCP addresses as text (`ip:port`, numeric only), socket options and
// listening.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_NET_H_
#define TANAGERLEDGE_SRC_ADAPTERS_NET_H_

#include <netinet/tcp.h>

#include <utility>  // Asio 1.74 needs it first under C++20.

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerledge {

struct AddressError {
  std::string text;
};

// Parses `127.0.0.1:80` or `[::1]:80`. Host names are rejected: nodes address
// each other by IP.
tl::expected<boost::asio::ip::tcp::endpoint, AddressError> ParseAddress(
    std::string_view text);

// Parses an address that has been validated before, such as one from the
// settings. Throws if it is invalid.
boost::asio::ip::tcp::endpoint CheckedAddress(const std::string& text);

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

// A TCP socket option with an integer value, such as TCP_USER_TIMEOUT.
template <int name>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, name>;

// Whether several acceptors may listen on one address (SO_REUSEPORT). The
// system then divides the connections among them, whatever process they are in.
enum class PortSharing { kExclusive, kShared };

// Opens, binds and listens. The error is the system's message; an exclusive
// address that is in use is an error.
tl::expected<boost::asio::ip::tcp::acceptor, AddressError> Listen(
    boost::asio::io_context& io,
    const boost::asio::ip::tcp::endpoint& endpoint,
    PortSharing sharing = PortSharing::kExclusive);

// Fails if something listens on the address. To be called before the first of
// several acceptors that share it.
tl::expected<void, AddressError> CheckUnused(
    const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_NET_H_
