// Addresses as text: `ip:port`, by number only.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_NET_H_
#define TANAGERLEDGE_SRC_ADAPTERS_NET_H_

#include <utility>  // Asio 1.74 needs it first under C++20.

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerledge {

struct AddressError {
  std::string text;
};

// Parses `127.0.0.1:80` or `[::1]:80`. Names are refused: instances talk by IP.
tl::expected<boost::asio::ip::tcp::endpoint, AddressError> ParseAddress(
    std::string_view text);

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

// Opens, binds and listens with SO_REUSEPORT, so that each worker thread has an
// acceptor of its own on one address. The error is the system's text.
tl::expected<boost::asio::ip::tcp::acceptor, AddressError> Listen(
    boost::asio::io_context& io,
    const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_NET_H_
