#include "src/adapters/http_server.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "src/adapters/accounted_body.h"
#include "src/adapters/clock.h"
#include "src/adapters/http_framing.h"

namespace tanagerledge {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

using BeastRequest = http::request<AccountedBody>;
using BeastResponse = http::response<http::string_body>;
using RequestParser = http::request_parser<AccountedBody>;

// A caller closes the connection once it has read its last response: on the
// same machine within some ms, and never if it hangs.
constexpr std::chrono::milliseconds kLingerTimeout{1000};

// Bytes of later requests that are read while a request is in progress. A close
// behind more than that is noticed only after the response.
constexpr std::size_t kMaxReadAheadBytes = 32 * 1024;

std::string ToString(beast::string_view text) {
  return std::string(text.data(), text.size());
}

HttpRequest FromBeast(BeastRequest&& from) {
  HttpRequest request;
  request.method = ToString(from.method_string());
  request.target = ToString(from.target());
  for (const auto& field : from) {
    request.headers.push_back(
        {ToString(field.name_string()), ToString(field.value())});
  }
  request.body = std::move(from.body().text);
  return request;
}

BeastResponse ToBeast(HttpResponse&& from,
                      unsigned version,
                      bool keep_alive,
                      bool head_only) {
  BeastResponse response(static_cast<http::status>(from.status), version);
  for (const HttpHeader& header : from.headers) {
    response.insert(
        beast::string_view(header.name.data(), header.name.size()),
        beast::string_view(header.value.data(), header.value.size()));
  }
  response.keep_alive(keep_alive);
  response.body() = std::move(from.body);
  response.prepare_payload();
  if (head_only) {
    response.body().clear();
  }
  return response;
}

}  // namespace

// DisconnectNotifier --------------------------------------------------------

void DisconnectNotifier::OnDisconnect(std::function<void()> action) {
  if (this->is_disconnected) {
    action();
    return;
  }
  this->on_disconnect = std::move(action);
}

void DisconnectNotifier::NotifyDisconnected() {
  if (!std::exchange(this->is_disconnected, true) && this->on_disconnect) {
    this->on_disconnect();
  }
}

void DisconnectNotifier::Finish() {
  this->is_finished = true;
  this->on_disconnect = nullptr;
}

// Connection ----------------------------------------------------------------

struct HttpServer::Connection {
  explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}

  void Close() {
    this->closed = true;
    error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    this->stream.close();
  }

  // Reads what has arrived behind the request in progress. Without that, bytes
  // of a next request would hide the close behind them. Returns false when the
  // caller has closed the connection or the connection failed.
  bool ReadAhead() {
    constexpr std::size_t kStepBytes = 512;
    error_code error;
    this->stream.socket().non_blocking(true, error);
    while (!error && this->MayReadAhead()) {
      const std::size_t read = this->stream.socket().receive(
          this->buffer.prepare(kStepBytes), 0, error);
      if (!error && read == 0) {
        return false;
      }
      this->buffer.commit(error ? 0 : read);
    }
    return !error || error == boost::asio::error::would_block;
  }

  bool MayReadAhead() const { return this->buffer.size() < kMaxReadAheadBytes; }

  bool HasUnreadBytes() {
    error_code error;
    return this->stream.socket().available(error) > 0 && !error;
  }

  // True when nothing has arrived since the last response, so that closing the
  // connection loses no request.
  bool IsIdle() {
    return this->phase == Phase::kIdle && this->answered &&
           this->buffer.size() == 0 &&
           !(this->parser != nullptr && this->parser->got_some()) &&
           !this->HasUnreadBytes();
  }

  // Waits until the caller closes the connection, which it does after reading
  // its last response. Closing a socket that has unread bytes would discard the
  // bytes it has yet to send. What it sends is read into `scratch` and dropped.
  void Linger(std::vector<char>& scratch) {
    error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(this->linger_timeout);
    IoResult<std::size_t> read;
    while (!read.error) {
      read = Await<std::size_t>([&](auto done) {
        this->stream.async_read_some(boost::asio::buffer(scratch),
                                     std::move(done));
      });
    }
  }

  // kLingering: the last response is written but may not have arrived.
  enum class Phase { kIdle, kReading, kHandling, kWriting, kLingering };

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  const RequestParser* parser = nullptr;  // Set while reading a request.
  Phase phase = Phase::kIdle;
  unsigned version = 0;  // Of the last request: 10 or 11.
  std::chrono::milliseconds linger_timeout = kLingerTimeout;
  Instant read_at{};      // When the last request was completely read.
  bool answered = false;  // A response was sent on this connection.
  bool caller_disconnected = false;  // Before its response.
  bool closed = false;               // Set by Close.
};

HttpServer::HttpServer(IoLoop& io_loop,
                       Handler request_handler,
                       HttpLimits http_limits)
    : loop(io_loop), handler(std::move(request_handler)), limits(http_limits) {}

HttpServer::HttpServer(IoLoop& io_loop,
                       DisconnectAwareHandler request_handler,
                       HttpLimits http_limits)
    : loop(io_loop),
      disconnect_aware_handler(std::move(request_handler)),
      limits(http_limits) {}

HttpServer::~HttpServer() = default;

tl::expected<tcp::endpoint, AddressError> HttpServer::Accept(
    const tcp::endpoint& endpoint,
    PortSharing sharing) {
  auto listening = Listen(this->loop.context(), endpoint, sharing);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*listening));
  this->loop.Spawn([this] {
    while (!this->draining) {
      tcp::socket socket(this->loop.context());
      const error_code error = AwaitError([&](auto done) {
        this->acceptor->async_accept(socket, std::move(done));
      });
      if (error || this->connections.size() >= this->limits.max_connections) {
        // Out of file descriptors, or at the connection limit: retry soon, but
        // not in a tight loop.
        this->loop.SleepFor(std::chrono::milliseconds(error ? 10 : 0));
        continue;
      }
      if (this->closed) {
        return;  // The connection was accepted while the server closed.
      }
      this->StartConnection(std::move(socket));
    }
  });
  return this->acceptor->local_endpoint();
}

void HttpServer::StartConnection(tcp::socket socket) {
  auto connection = std::make_shared<Connection>(std::move(socket));
  this->connections.insert(connection);
  this->loop.SpawnHere([this, connection] { this->Serve(connection); });
}

// Accepts the connections in the listener's backlog. Closing the listener would
// reset them.
void HttpServer::AcceptPending() {
  error_code error;
  this->acceptor->non_blocking(true, error);
  while (!error && this->connections.size() < this->limits.max_connections) {
    tcp::socket socket(this->loop.context());
    this->acceptor->accept(socket, error);
    if (!error) {
      this->StartConnection(std::move(socket));
    }
  }
}

void HttpServer::Drain() {
  this->draining = true;
  if (this->acceptor && this->acceptor->is_open()) {
    if (!this->closed) {
      this->AcceptPending();
    }
    error_code ignored;
    this->acceptor->close(ignored);
  }
}

void HttpServer::CloseIdle() {
  for (const auto& connection : this->connections) {
    if (connection->IsIdle()) {
      connection->Close();
    }
  }
}

void HttpServer::Close() {
  this->closed = true;
  this->Drain();
  for (const auto& connection : this->connections) {
    connection->Close();
  }
}

void HttpServer::Serve(const std::shared_ptr<Connection>& connection) {
  error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  while (this->ServeOne(connection)) {
  }
  if (connection->phase == Connection::Phase::kLingering) {
    this->discarded.resize(kLongBodyReadBytes);
    connection->Linger(this->discarded);
  }
  connection->Close();
  this->connections.erase(connection);
}

// Reads one request and sends its response. Returns false when the connection
// must be closed.
bool HttpServer::ServeOne(const std::shared_ptr<Connection>& held) {
  Connection& connection = *held;
  connection.phase = Connection::Phase::kIdle;
  // Counts the request's body until its response is written.
  ByteReservation reservation(this->account);
  RequestParser parser;
  parser.get().body().reservation = &reservation;
  parser.body_limit(this->limits.max_body_bytes);
  // With this limit, no header or trailer field exceeds what Beast can store.
  // Beast would throw an exception that can't be caught here.
  parser.header_limit(std::min<std::uint32_t>(this->limits.max_header_bytes,
                                              kMaxUnparsedBytes));
  connection.buffer.max_size(kMaxUnparsedBytes);
  connection.stream.expires_after(this->limits.idle_timeout);
  connection.parser = &parser;
  const auto header = Await<std::size_t>([&](auto done) {
    http::async_read_header(connection.stream, connection.buffer, parser,
                            std::move(done));
  });
  bool read = header && HasSupportedFraming(parser.get());
  if (read) {
    connection.phase = Connection::Phase::kReading;
    connection.version = parser.get().version();
    connection.stream.expires_after(this->limits.read_timeout);
    const bool is_long = parser.content_length().value_or(0) > kLongBodyBytes;
    if (is_long) {
      connection.buffer.reserve(kLongBodyReadBytes);
    }
    const auto body = Await<std::size_t>([&](auto done) {
      http::async_read(connection.stream, connection.buffer, parser,
                       std::move(done));
    });
    if (body.error == AccountedBody::NoRoom()) {
      connection.parser = nullptr;
      this->RejectBody(connection, FromBeast(parser.release()));
      return false;
    }
    read = static_cast<bool>(body);
    if (is_long) {
      connection.buffer.shrink_to_fit();
    }
  }
  connection.parser = nullptr;
  // A connection that was closed while the last bytes arrived can't be
  // answered.
  if (!read || connection.closed) {
    return false;
  }
  connection.stream.expires_never();
  const bool keep_alive = parser.get().keep_alive();
  HttpRequest request = FromBeast(parser.release());
  connection.phase = Connection::Phase::kHandling;
  connection.read_at = Now();
  std::optional<HttpResponse> answer = this->RunHandler(held, request);
  if (!answer) {
    this->ReportUnanswered(connection, request,
                           UnansweredRequest::Stage::kNoResponse);
    return false;
  }
  return this->WriteResponse(connection, std::move(*answer), request,
                             keep_alive && !this->draining && !this->closing);
}

// Returns false when the connection must be closed.
bool HttpServer::WriteResponse(Connection& connection,
                               HttpResponse&& answer,
                               const HttpRequest& request,
                               bool keep_alive) {
  ByteReservation reservation(this->account);
  reservation.HoldAtLeast(answer.body.size());
  connection.phase = Connection::Phase::kWriting;
  BeastResponse response = ToBeast(std::move(answer), connection.version,
                                   keep_alive, request.method == "HEAD");
  connection.stream.expires_after(this->limits.read_timeout);
  const auto written = Await<std::size_t>([&](auto done) {
    http::async_write(connection.stream, response, std::move(done));
  });
  if (!written) {
    this->ReportUnanswered(connection, request,
                           UnansweredRequest::Stage::kWriteFailed,
                           written.error.message());
  }
  connection.answered = true;
  if (written && !response.keep_alive()) {
    connection.phase = Connection::Phase::kLingering;
  }
  return written && response.keep_alive();
}

// The rest of the body is read and dropped: closing the connection at once
// would reset it, and the caller might lose the response.
void HttpServer::RejectBody(Connection& connection,
                            const HttpRequest& request) {
  connection.read_at = Now();
  connection.linger_timeout = this->limits.read_timeout;
  this->WriteResponse(connection, this->respond_no_room(request), request,
                      false);
}

void HttpServer::ReportUnanswered(const Connection& connection,
                                  const HttpRequest& request,
                                  UnansweredRequest::Stage stage,
                                  std::string error) const {
  if (!this->on_unanswered) {
    return;
  }
  UnansweredRequest what;
  what.stage = connection.caller_disconnected
                   ? UnansweredRequest::Stage::kCallerDisconnected
                   : stage;
  what.since_read = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now() - connection.read_at);
  what.error = std::move(error);
  this->on_unanswered(request, what);
}

HttpServer::ConnectionCounts HttpServer::CountConnections() const {
  ConnectionCounts all;
  std::ranges::for_each(this->connections, [&all](const auto& connection) {
    switch (connection->phase) {
      case Connection::Phase::kIdle:
        ++(connection->HasUnreadBytes() ? all.unread : all.idle);
        break;
      case Connection::Phase::kReading:
        ++all.reading;
        break;
      case Connection::Phase::kHandling:
        ++all.handling;
        break;
      case Connection::Phase::kWriting:
        ++all.writing;
        break;
      case Connection::Phase::kLingering:
        ++all.lingering;
        break;
    }
  });
  return all;
}

// Runs the handler. A DisconnectAwareHandler is notified when the caller closes
// the connection in the meantime, and not run at all if it has done so already:
// on a busy loop, a request may wait long after it was read.
std::optional<HttpResponse> HttpServer::RunHandler(
    const std::shared_ptr<Connection>& connection,
    HttpRequest& request) {
  if (!this->disconnect_aware_handler) {
    return this->handler(request);
  }
  if (!connection->ReadAhead()) {
    connection->caller_disconnected = true;
    return std::nullopt;
  }
  const auto notifier = std::make_shared<DisconnectNotifier>();
  WatchCaller(connection, notifier);
  auto answer = this->disconnect_aware_handler(request, *notifier);
  notifier->Finish();
  error_code ignored;
  connection->stream.socket().cancel(ignored);
  if (notifier->disconnected()) {
    connection->caller_disconnected = true;
    return std::nullopt;
  }
  return answer;
}

void HttpServer::WatchCaller(
    const std::shared_ptr<Connection>& connection,
    const std::shared_ptr<DisconnectNotifier>& notifier) {
  if (!connection->MayReadAhead()) {
    return;
  }
  connection->stream.socket().async_wait(
      tcp::socket::wait_read, [connection, notifier](error_code error) {
        if (error || notifier->finished()) {
          return;
        }
        if (connection->ReadAhead()) {
          WatchCaller(connection, notifier);
        } else {
          notifier->NotifyDisconnected();
        }
      });
}

}  // namespace tanagerledge
