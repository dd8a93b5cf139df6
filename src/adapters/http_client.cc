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
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>

#include "src/adapters/clock.h"
#include "src/adapters/http_framing.h"

namespace tanagerledge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// A silent server is noticed after about 3 s.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbesLost = 2;
constexpr int kSilenceMs = 2500;

// Answers below this announce another one.
constexpr int kFirstFinalStatus = 200;
// Interim answers and late ones to earlier requests that are read past. A
// server that sends more does not end.
constexpr int kMostStrayAnswers = 8;

http::request<http::string_body> ToBeast(const HttpRequest& from,
                                         std::string_view host) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request;
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
  request.body() = from.body;
  if (request.method() == http::verb::trace && !from.body.empty()) {
    // For this one, prepare_payload throws.
    request.content_length(from.body.size());
  } else {
    request.prepare_payload();
  }
  return request;
}

std::string ToString(beast::string_view text) {
  return {text.data(), text.size()};
}

// The time in a field such as `Keep-Alive: timeout=5, max=100`.
std::optional<std::chrono::seconds> StatedIdleTime(beast::string_view field) {
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
  explicit Connection(boost::asio::io_context& io)
      : stream(io), buffer(kMostUnparsedBytes) {}

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

  bool HasCarried(const std::string& id) const {
    return !id.empty() &&
           std::ranges::find(this->ids, HashOf(id)) != this->ids.end();
  }

  static std::size_t HashOf(const std::string& id) {
    return std::hash<std::string>()(id);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  // Hashes of the ids that it has carried: two that agree by chance only cost
  // a connection.
  std::vector<std::size_t> ids;
  bool reusable = false;
  std::chrono::milliseconds idle_time{0};  // How long it may wait for reuse.
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
  auto connection = exchange.force_new_connection
                        ? this->Connect(deadline)
                        : this->Take(deadline, exchange.id);
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
  this->Keep(std::move(*connection));
  return response;
}

void HttpClient::Keep(ConnectionPtr connection) {
  // Bytes after the answer belong to no request: the connection is not safe.
  const bool keep = connection->reusable && connection->buffer.size() == 0 &&
                    connection->ids.size() < kMostIdsOfAConnection &&
                    !this->closed &&
                    this->idle.size() < this->options.max_idle_connections;
  if (keep) {
    connection->stream.expires_never();
    connection->idle_since = Now();
    this->idle.push_back(std::move(connection));
  }
}

tl::expected<HttpClient::ConnectionPtr, HttpError> HttpClient::Take(
    Instant deadline,
    const std::string& id) {
  const auto fits = [&id](const ConnectionPtr& connection) {
    return !connection->HasCarried(id);
  };
  while (true) {
    // The one used last is the least likely to be closed by the server.
    const auto found =
        std::find_if(this->idle.rbegin(), this->idle.rend(), fits);
    if (found == this->idle.rend()) {
      return this->Connect(deadline);
    }
    ConnectionPtr connection = std::move(*found);
    this->idle.erase(std::next(found).base());
    const auto waited = Now() - connection->idle_since;
    if (waited < connection->idle_time && connection->StillStands()) {
      return connection;
    }
  }
}

tl::expected<HttpClient::ConnectionPtr, HttpError> HttpClient::Connect(
    Instant deadline) {
  if (this->closed) {
    return tl::unexpected(HttpError{false, "the client is closed"});
  }
  auto connection = std::make_unique<Connection>(this->loop.context());
  this->busy.insert(connection.get());
  connection->stream.expires_at(
      std::min(deadline, Now() + this->options.connect_timeout));
  const auto error = AwaitError([&](auto handler) {
    connection->stream.async_connect(this->server, std::move(handler));
  });
  this->busy.erase(connection.get());
  if (error) {
    return tl::unexpected(HttpError{
        false, "cannot connect to " + this->host + ": " + error.message()});
  }
  boost::system::error_code ignored;
  tcp::socket& socket = connection->stream.socket();
  socket.set_option(tcp::no_delay(true), ignored);
  if (this->options.probe_silence) {
    socket.set_option(tcp::socket::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeAfterSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(kProbesLost), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kSilenceMs), ignored);
  }
  return connection;
}

tl::expected<HttpResponse, HttpError> HttpClient::Exchange(
    Connection& connection,
    const HttpRequest& request,
    const ExchangeOptions& exchange) {
  if (exchange.may_send && !exchange.may_send()) {
    return tl::unexpected(HttpError{false, "no longer to be sent"});
  }
  connection.reusable = false;
  if (!exchange.id.empty()) {
    connection.ids.push_back(Connection::HashOf(exchange.id));
  }
  const auto message = ToBeast(request, this->host);
  const auto written = Await<std::size_t>([&](auto handler) {
    http::async_write(connection.stream, message, std::move(handler));
  });
  if (!written) {
    return tl::unexpected(HttpError{
        written.value > 0,
        "cannot send to " + this->host + ": " + written.error.message()});
  }
  for (int strays = 0; strays <= kMostStrayAnswers; ++strays) {
    auto answer = this->ReadAnswer(connection, request.method == "HEAD");
    const bool ours =
        answer && answer->status >= kFirstFinalStatus &&
        (!exchange.matches_request || exchange.matches_request(*answer));
    if (answer && ours && exchange.allows_reuse &&
        !exchange.allows_reuse(*answer)) {
      connection.reusable = false;
    }
    if (!answer || ours) {
      return answer;
    }
    if (!connection.reusable) {
      break;
    }
  }
  connection.reusable = false;
  return tl::unexpected(
      HttpError{true, "only answers to other requests from " + this->host});
}

tl::expected<HttpResponse, HttpError> HttpClient::ReadAnswer(
    Connection& connection,
    bool head_only) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(this->options.max_body_bytes);
  parser.skip(head_only);
  connection.reusable = false;
  const auto read = Await<std::size_t>([&](auto handler) {
    http::async_read(connection.stream, connection.buffer, parser,
                     std::move(handler));
  });
  if (!read) {
    return tl::unexpected(HttpError{
        true, "no answer from " + this->host + ": " + read.error.message()});
  }
  if (!EndIsCertain(parser.get())) {
    return tl::unexpected(
        HttpError{true, "an answer in an unknown coding from " + this->host});
  }
  // One second early: the server's clock began when it sent the answer.
  const auto stated = StatedIdleTime(parser.get()[http::field::keep_alive]);
  connection.idle_time = this->options.max_idle_time;
  if (stated) {
    connection.idle_time = std::min<std::chrono::milliseconds>(
        connection.idle_time, *stated - std::chrono::seconds(1));
  }
  connection.reusable = parser.get().keep_alive();
  return FromBeast(parser.release());
}

}  // namespace tanagerledge
