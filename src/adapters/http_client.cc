#include "src/adapters/http_client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>

namespace tanagerledge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

http::request<http::string_body> ToBeast(const HttpRequest& from,
                                         std::string_view host) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(from.method);
  request.target(from.target);
  request.set(http::field::host, beast::string_view(host.data(), host.size()));
  std::ranges::for_each(from.headers, [&](const HttpHeader& header) {
    request.insert(header.name, header.value);
  });
  request.body() = from.body;
  request.prepare_payload();
  return request;
}

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

HttpResponse FromBeast(http::response<http::string_body>&& from) {
  HttpResponse response;
  response.status = static_cast<int>(from.result_int());
  std::ranges::transform(from.base(), std::back_inserter(response.headers),
                         [](const auto& field) {
                           return HttpHeader{ToString(field.name_string()),
                                             ToString(field.value())};
                         });
  response.body = std::move(from.body());
  return response;
}

}  // namespace

// Connection ----------------------------------------------------------------

struct HttpClient::Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  // False when the server closed it, or sent what nobody asked for.
  bool StillStands() {
    tcp::socket& socket = this->stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                   error);
    return error == boost::asio::error::would_block;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool reusable = false;
};

// Client --------------------------------------------------------------------

HttpClient::HttpClient(IoLoop& io_loop,
                       tcp::endpoint server_address,
                       HttpClientOptions client_options)
    : loop(io_loop),
      server(std::move(server_address)),
      options(client_options) {
  this->host = FormatAddress(this->server);
}

HttpClient::~HttpClient() = default;

void HttpClient::Close() {
  this->closed = true;
  this->idle.clear();
  std::ranges::for_each(
      this->busy, [](Connection* connection) { connection->stream.close(); });
}

tl::expected<HttpResponse, HttpError> HttpClient::Send(
    const HttpRequest& request,
    std::chrono::milliseconds timeout) {
  const Instant deadline = std::chrono::steady_clock::now() + timeout;
  auto connection = this->Take(deadline);
  if (!connection) {
    return tl::unexpected(connection.error());
  }
  Connection& taken = **connection;
  this->busy.insert(&taken);
  taken.stream.expires_at(deadline);
  auto response = this->Exchange(taken, request);
  this->busy.erase(&taken);
  const bool keep = taken.reusable && !this->closed &&
                    this->idle.size() < this->options.max_idle_connections;
  if (keep) {
    taken.stream.expires_never();
    this->idle.push_back(std::move(*connection));
  }
  return response;
}

tl::expected<HttpClient::ConnectionPtr, HttpError> HttpClient::Take(
    Instant deadline) {
  while (!this->idle.empty()) {
    ConnectionPtr connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (connection->StillStands()) {
      return connection;
    }
  }
  return this->Connect(deadline);
}

tl::expected<HttpClient::ConnectionPtr, HttpError> HttpClient::Connect(
    Instant deadline) {
  if (this->closed) {
    return tl::unexpected(HttpError{false, "the client is closed"});
  }
  auto connection = std::make_unique<Connection>(this->loop.context());
  this->busy.insert(connection.get());
  connection->stream.expires_at(deadline);
  const auto error = AwaitError([&](auto handler) {
    connection->stream.async_connect(this->server, std::move(handler));
  });
  this->busy.erase(connection.get());
  if (error) {
    return tl::unexpected(HttpError{
        false, "cannot connect to " + this->host + ": " + error.message()});
  }
  boost::system::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  return connection;
}

tl::expected<HttpResponse, HttpError> HttpClient::Exchange(
    Connection& connection,
    const HttpRequest& request) {
  connection.reusable = false;
  const auto message = ToBeast(request, this->host);
  const auto written = Await<std::size_t>([&](auto handler) {
    http::async_write(connection.stream, message, std::move(handler));
  });
  if (!written) {
    return tl::unexpected(HttpError{
        written.value > 0,
        "cannot send to " + this->host + ": " + written.error.message()});
  }

  http::response_parser<http::string_body> parser;
  parser.body_limit(this->options.max_body_bytes);
  const auto read = Await<std::size_t>([&](auto handler) {
    http::async_read(connection.stream, connection.buffer, parser,
                     std::move(handler));
  });
  if (!read) {
    return tl::unexpected(HttpError{
        true, "no answer from " + this->host + ": " + read.error.message()});
  }
  connection.reusable = parser.get().keep_alive();
  return FromBeast(parser.release());
}

}  // namespace tanagerledge
