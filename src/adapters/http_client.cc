#include "src/adapters/http_client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <functional>
#include <iterator>
#include <limits>
#include <optional>

#include "src/adapters/accounted_body.h"
#include "src/adapters/clock.h"
#include "src/adapters/http_framing.h"

namespace tanagerledge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// With these values, an unreachable server is detected after about 3 s.
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveMaxLostProbes = 2;
constexpr int kUserTimeoutMs = 2500;

// No response has a lower status, though it can be written with three digits.
constexpr int kFirstStatus = 100;
// Responses with a lower status are interim (1xx): another one follows.
constexpr int kFirstFinalStatus = 200;
// Number of interim responses and late responses to earlier requests that are
// skipped. The limit ends exchanges with a server that sends them endlessly.
constexpr int kMaxStrayResponses = 8;

using BodyView = http::span_body<const char>;

http::request<BodyView> ToBeast(const HttpRequest& from,
                                std::string_view body,
                                std::string_view host) {
  constexpr unsigned kHttp11 = 11;
  http::request<BodyView> request;
  request.version(kHttp11);
  request.method_string(from.method);
  request.target(from.target);
  request.set(http::field::host, beast::string_view(host.data(), host.size()));
  std::ranges::for_each(from.headers, [&](const HttpHeader& header) {
    if (beast::iequals(header.name, "host")) {
      request.set(http::field::host, header.value);
    } else {
      request.insert(header.name, header.value);
    }
  });
  request.body() = {body.data(), body.size()};
  if (request.method() == http::verb::trace && !body.empty()) {
    // prepare_payload throws for a TRACE request with a body.
    request.content_length(body.size());
  } else {
    request.prepare_payload();
  }
  return request;
}

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

// The time in a field such as `Keep-Alive: timeout=5, max=100`.
std::optional<std::chrono::seconds> KeepAliveTimeout(beast::string_view field) {
  constexpr std::string_view kKey = "timeout=";
  const std::string_view text(field.data(), field.size());
  const std::size_t at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const std::string_view digits = text.substr(at + kKey.size());
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return code == std::errc() && seconds >= 0
             ? std::optional(std::chrono::seconds(seconds))
             : std::nullopt;
}

HttpResponse FromBeast(http::response<AccountedBody>&& from) {
  HttpResponse response;
  response.status = static_cast<int>(from.result_int());
  std::ranges::transform(from.base(), std::back_inserter(response.headers),
                         [](const auto& field) {
                           return HttpHeader{ToString(field.name_string()),
                                             ToString(field.value())};
                         });
  response.body = std::move(from.body().text);
  return response;
}

}  // namespace

// Connection ----------------------------------------------------------------

struct HttpClient::Connection {
  explicit Connection(boost::asio::io_context& io)
      : stream(io), buffer(kMaxUnparsedBytes) {}

  // False when the server has closed the connection or sent unexpected data.
  bool IsOpen() {
    tcp::socket& socket = this->stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                   error);
    return error == boost::asio::error::would_block;
  }

  bool HasUsedId(const std::string& id) const {
    return !id.empty() && std::ranges::find(this->used_ids, HashOf(id)) !=
                              this->used_ids.end();
  }

  static std::size_t HashOf(const std::string& id) {
    return std::hash<std::string>()(id);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  // Hashes of the request ids that were sent on it. A hash collision only costs
  // a new connection.
  std::vector<std::size_t> used_ids;
  bool reusable = false;
  std::chrono::milliseconds max_reuse_idle_time{0};
  Instant idle_since{};
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
    std::chrono::milliseconds timeout,
    const ExchangeOptions& exchange) {
  const Instant deadline = Now() + timeout;
  auto connection = this->AcquireConnection(deadline, exchange.id);
  if (!connection) {
    return tl::unexpected(connection.error());
  }
  Connection& taken = **connection;
  this->busy.insert(&taken);
  taken.stream.expires_at(deadline);
  if (exchange.cancel != nullptr) {
    *exchange.cancel = [&taken] { taken.stream.close(); };
  }
  auto response = this->Exchange(taken, request, exchange);
  if (exchange.cancel != nullptr) {
    *exchange.cancel = nullptr;
  }
  this->busy.erase(&taken);
  this->ReleaseConnection(std::move(*connection));
  return response;
}

void HttpClient::ReleaseConnection(ConnectionPtr connection) {
  // Bytes after the response belong to no request, so that the connection can't
  // be reused safely.
  const bool reuse = connection->reusable && connection->buffer.size() == 0 &&
                     connection->used_ids.size() < kMaxIdsPerConnection &&
                     !this->closed &&
                     this->idle.size() < this->options.max_idle_connections;
  if (reuse) {
    connection->stream.expires_never();
    connection->idle_since = Now();
    this->WatchIdleConnection(connection);
    this->idle.push_back(std::move(connection));
  }
}

void HttpClient::WatchIdleConnection(const ConnectionPtr& connection) {
  connection->stream.socket().async_wait(
      tcp::socket::wait_read, [this, watched = std::weak_ptr(connection)](
                                  boost::system::error_code error) {
        // An idle connection lives no longer than this client.
        const ConnectionPtr open = watched.lock();
        if (!error && open && !this->busy.contains(open.get())) {
          std::erase(this->idle, open);
        }
      });
}

tl::expected<HttpClient::ConnectionPtr, HttpError>
HttpClient::AcquireConnection(Instant deadline, const std::string& id) {
  const auto fits = [&id](const ConnectionPtr& connection) {
    return !connection->HasUsedId(id);
  };
  while (true) {
    // The most recently used one is the least likely to be closed by the
    // server.
    const auto found =
        std::find_if(this->idle.rbegin(), this->idle.rend(), fits);
    if (found == this->idle.rend()) {
      return this->Connect(deadline);
    }
    ConnectionPtr connection = std::move(*found);
    this->idle.erase(std::next(found).base());
    boost::system::error_code ignored;
    connection->stream.socket().cancel(ignored);  // Ends the wait for bytes.
    const auto waited = Now() - connection->idle_since;
    if (waited < connection->max_reuse_idle_time && connection->IsOpen()) {
      return connection;
    }
  }
}

tl::expected<HttpClient::ConnectionPtr, HttpError> HttpClient::Connect(
    Instant deadline) {
  if (this->closed) {
    return tl::unexpected(HttpError{false, false, "the client is closed"});
  }
  auto connection = std::make_shared<Connection>(this->loop.context());
  this->busy.insert(connection.get());
  connection->stream.expires_at(
      std::min(deadline, Now() + this->options.connect_timeout));
  const auto error = AwaitError([&](auto handler) {
    connection->stream.async_connect(this->server, std::move(handler));
  });
  this->busy.erase(connection.get());
  if (error) {
    return tl::unexpected(
        HttpError{false, false,
                  "cannot connect to " + this->host + ": " + error.message()});
  }
  boost::system::error_code ignored;
  tcp::socket& socket = connection->stream.socket();
  socket.set_option(tcp::no_delay(true), ignored);
  if (this->options.tcp_keepalive) {
    socket.set_option(tcp::socket::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepaliveIntervalSeconds),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepaliveIntervalSeconds),
                      ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepaliveMaxLostProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
  }
  return connection;
}

tl::expected<HttpResponse, HttpError> HttpClient::Exchange(
    Connection& connection,
    const HttpRequest& request,
    const ExchangeOptions& exchange) {
  if (exchange.may_send && !exchange.may_send()) {
    return tl::unexpected(
        HttpError{false, false, "cancelled before it was sent"});
  }
  connection.reusable = false;
  if (!exchange.id.empty()) {
    connection.used_ids.push_back(Connection::HashOf(exchange.id));
  }
  const auto message =
      ToBeast(request, exchange.body.value_or(request.body), this->host);
  const auto written = Await<std::size_t>([&](auto handler) {
    http::async_write(connection.stream, message, std::move(handler));
  });
  if (!written) {
    return tl::unexpected(HttpError{
        written.value > 0, false,
        "cannot send to " + this->host + ": " + written.error.message()});
  }
  for (int stray_responses = 0; stray_responses <= kMaxStrayResponses;
       ++stray_responses) {
    auto response = this->ReadResponse(connection, request.method == "HEAD",
                                       exchange.response_room);
    const bool is_own_response =
        response && response->status >= kFirstFinalStatus &&
        (!exchange.matches_request || exchange.matches_request(*response));
    if (response && is_own_response && exchange.allows_reuse &&
        !exchange.allows_reuse(*response)) {
      connection.reusable = false;
    }
    if (!response || is_own_response) {
      return response;
    }
    if (!connection.reusable) {
      break;
    }
  }
  connection.reusable = false;
  return tl::unexpected(HttpError{
      true, false, "only responses to other requests from " + this->host});
}

tl::expected<HttpResponse, HttpError> HttpClient::ReadResponse(
    Connection& connection,
    bool head_only,
    ByteReservation* room) {
  http::response_parser<AccountedBody> parser;
  // Beast checks its own limit only for responses without a length.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  parser.get().body().max_bytes = this->options.max_body_bytes;
  parser.get().body().max_stated_bytes =
      this->options.max_stated_body_bytes.value_or(
          this->options.max_body_bytes);
  parser.get().body().reservation = room;
  parser.skip(head_only);
  connection.reusable = false;
  const auto read = Await<std::size_t>([&](auto handler) {
    http::async_read(connection.stream, connection.buffer, parser,
                     std::move(handler));
  });
  if (!read) {
    const bool too_long = read.error == AccountedBody::NoRoom() ||
                          read.error == http::error::body_limit;
    return tl::unexpected(HttpError{
        true, too_long,
        "no answer from " + this->host + ": " + read.error.message()});
  }
  if (!HasSupportedFraming(parser.get())) {
    return tl::unexpected(HttpError{
        true, false,
        "response with an unsupported transfer coding from " + this->host});
  }
  if (parser.get().result_int() < kFirstStatus) {
    return tl::unexpected(HttpError{
        true, false, "response with an invalid status from " + this->host});
  }
  // Stop reusing it one second earlier: the server's timer started when it sent
  // the response.
  const auto stated = KeepAliveTimeout(parser.get()[http::field::keep_alive]);
  connection.max_reuse_idle_time = this->options.max_idle_time;
  if (stated) {
    connection.max_reuse_idle_time = std::min<std::chrono::milliseconds>(
        connection.max_reuse_idle_time, *stated - std::chrono::seconds(1));
  }
  connection.reusable = parser.get().keep_alive();
  return FromBeast(parser.release());
}

}  // namespace tanagerledge
