#include "src/adapters/http_server.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <numeric>
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

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 999;
constexpr int kServerErrorStatus = 500;

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
  // Beast writes any number as a status, also one that is none.
  const bool has_status =
      from.status >= kFirstStatus && from.status <= kLastStatus;
  if (!has_status) {
    from = MakeResponse(kServerErrorStatus, "text/plain", "no valid status\n");
  }
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

// The safe methods of RFC 9110 but for TRACE, which nobody pipelines.
bool IsSafe(const BeastRequest& request) {
  return request.method() == http::verb::get ||
         request.method() == http::verb::head ||
         request.method() == http::verb::options;
}

// True when the bytes of a request are wrong, as opposed to a connection that
// ended or timed out.
bool IsBadRequest(error_code error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

std::size_t SizeOf(const HttpResponse& response) {
  return std::accumulate(
      response.headers.begin(), response.headers.end(), response.body.size(),
      [](std::size_t sum, const HttpHeader& header) {
        return sum + header.name.size() + header.value.size();
      });
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

// Connection ----------------------------------------------------------------

// A request that was read completely, until its response is sent.
struct HttpServer::Exchange {
  explicit Exchange(ByteAccount* account) : body_room(account) {}

  // Takes the request that `parser` has read.
  void Take(RequestParser& parser) {
    this->version = parser.get().version();
    this->keep_alive = parser.get().keep_alive();
    this->is_safe = IsSafe(parser.get());
    this->request = FromBeast(parser.release());
    this->read_at = Now();
  }

  ByteReservation body_room;  // For the body of the request.
  HttpRequest request;
  unsigned version = 0;  // 10 or 11.
  bool keep_alive = false;
  bool is_safe = false;
  Instant read_at{};  // When the request was completely read.
  DisconnectNotifier notifier;

  // For a pipelined request, whose handler has a fiber of its own.
  std::optional<HttpResponse> answer;
  std::size_t answer_bytes = 0;
  std::optional<ByteReservation> answer_room;  // Until it is being sent.
  bool finished = false;                       // The handler has returned.
  std::function<void(error_code)> on_finished;
};

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
           !(this->parser && this->parser->got_some()) &&
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

  // The caller has closed the connection, so that all requests in progress end.
  void OnCallerLeft() {
    this->caller_disconnected = true;
    if (this->foreground != nullptr) {
      this->foreground->notifier.NotifyDisconnected();
    }
    std::ranges::for_each(this->pipelined, [](const auto& exchange) {
      exchange->notifier.NotifyDisconnected();
    });
  }

  // Ends WatchCaller, which must not read while the connection's fiber does.
  void StopWatch() {
    ++this->watch_number;
    this->is_watched = false;
    error_code ignored;
    this->stream.socket().cancel(ignored);
  }

  // kLingering: the last response is written but may not have arrived.
  enum class Phase { kIdle, kReading, kHandling, kWriting, kLingering };

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  // Of the next request, set while a part of it may have been read.
  std::optional<RequestParser> parser;
  bool parse_failed = false;  // No further request can be read.
  Phase phase = Phase::kIdle;
  std::chrono::milliseconds linger_timeout = kLingerTimeout;
  bool answered = false;             // A response was sent on this connection.
  bool caller_disconnected = false;  // Before the last response.
  bool closed = false;               // Set by Close.

  // The request whose handler runs in the connection's own fiber.
  Exchange* foreground = nullptr;
  // Requests behind it that were started, in the order of their responses.
  std::vector<std::shared_ptr<Exchange>> pipelined;
  // Whether the last request that was started lets others start beside it.
  bool allows_pipelining = false;
  std::size_t waiting_response_bytes = 0;
  bool is_watched = false;
  std::uint64_t watch_number = 0;  // Makes handlers of earlier watches void.
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

void HttpServer::Serve(const ConnectionPtr& connection) {
  error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  bool open = true;
  while (open) {
    open = connection->pipelined.empty() ? this->ServeNext(connection)
                                         : this->AnswerPipelined(connection);
  }
  if (connection->phase == Connection::Phase::kLingering) {
    this->discarded.resize(kLongBodyReadBytes);
    connection->Linger(this->discarded);
  }
  connection->Close();
  this->AbortPipelined(*connection);
  this->connections.erase(connection);
}

// Reads one request and sends its response. Returns false when the connection
// must be closed.
bool HttpServer::ServeNext(const ConnectionPtr& held) {
  Connection& connection = *held;
  Exchange exchange(this->account);
  if (!this->ReadRequest(connection, exchange)) {
    return false;
  }
  connection.stream.expires_never();
  connection.phase = Connection::Phase::kHandling;
  std::optional<HttpResponse> answer = this->RunHandler(held, exchange);
  if (!answer) {
    this->ReportUnanswered(connection, exchange,
                           UnansweredRequest::Stage::kNoResponse);
    return false;
  }
  return this->WriteResponse(connection, std::move(*answer), exchange,
                             exchange.keep_alive);
}

// Continues with what WatchCaller has read of the request. Returns false when
// there is no request that can be answered.
bool HttpServer::ReadRequest(Connection& connection, Exchange& exchange) {
  connection.phase = Connection::Phase::kIdle;
  connection.stream.expires_after(this->limits.idle_timeout);
  if (!connection.parser) {
    this->StartParser(connection);
  }
  RequestParser& parser = *connection.parser;
  parser.get().body().reservation = &exchange.body_room;
  IoResult<std::size_t> read;
  if (connection.parse_failed) {
    read.error = http::make_error_code(http::error::bad_method);
  } else if (!parser.is_header_done()) {
    read = Await<std::size_t>([&](auto done) {
      http::async_read_header(connection.stream, connection.buffer, parser,
                              std::move(done));
    });
  }
  if (!read.error && !HasSupportedFraming(parser.get())) {
    read.error = http::make_error_code(http::error::bad_transfer_encoding);
  }
  if (!read.error) {
    connection.phase = Connection::Phase::kReading;
    connection.stream.expires_after(this->limits.read_timeout);
    const bool is_long = parser.content_length().value_or(0) > kLongBodyBytes;
    if (is_long) {
      connection.buffer.reserve(kLongBodyReadBytes);
    }
    read = Await<std::size_t>([&](auto done) {
      http::async_read(connection.stream, connection.buffer, parser,
                       std::move(done));
    });
    if (read.error == AccountedBody::NoRoom()) {
      exchange.Take(parser);
      connection.parser.reset();
      this->RejectBody(connection, exchange);
      return false;
    }
    if (is_long && !read.error) {
      connection.buffer.shrink_to_fit();
    }
  }
  // A connection that was closed while the last bytes arrived can't be
  // answered.
  if (read.error || connection.closed) {
    // Closing the connection at once would reset it, and the caller might lose
    // the responses to its earlier requests.
    if (connection.answered && IsBadRequest(read.error)) {
      connection.phase = Connection::Phase::kLingering;
    }
    return false;
  }
  exchange.Take(parser);
  connection.parser.reset();
  return true;
}

void HttpServer::StartParser(Connection& connection) const {
  RequestParser& parser = connection.parser.emplace();
  parser.body_limit(this->limits.max_body_bytes);
  // With this limit, no header or trailer field exceeds what Beast can store.
  // Beast would throw an exception that can't be caught here.
  parser.header_limit(std::min<std::uint32_t>(this->limits.max_header_bytes,
                                              kMaxUnparsedBytes));
  connection.buffer.max_size(kMaxUnparsedBytes);
}

// Returns false when the connection must be closed. It stays open for the
// requests that were started behind this one.
bool HttpServer::WriteResponse(Connection& connection,
                               HttpResponse&& answer,
                               const Exchange& exchange,
                               bool keep_alive) {
  ByteReservation reservation(this->account);
  reservation.HoldAtLeast(answer.body.size());
  connection.phase = Connection::Phase::kWriting;
  const bool may_stay_open = keep_alive && !this->draining && !this->closing &&
                             !connection.parse_failed;
  BeastResponse response =
      ToBeast(std::move(answer), exchange.version,
              may_stay_open || !connection.pipelined.empty(),
              exchange.request.method == "HEAD");
  connection.stream.expires_after(this->limits.read_timeout);
  const auto written = Await<std::size_t>([&](auto done) {
    http::async_write(connection.stream, response, std::move(done));
  });
  if (!written) {
    this->ReportUnanswered(connection, exchange,
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
void HttpServer::RejectBody(Connection& connection, const Exchange& exchange) {
  connection.linger_timeout = this->limits.read_timeout;
  this->WriteResponse(connection, this->respond_no_room(exchange.request),
                      exchange, false);
}

void HttpServer::ReportUnanswered(const Connection& connection,
                                  const Exchange& exchange,
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
      Now() - exchange.read_at);
  what.error = std::move(error);
  this->on_unanswered(exchange.request, what);
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
    const ConnectionPtr& connection,
    Exchange& exchange) {
  if (!this->disconnect_aware_handler) {
    return this->handler(exchange.request);
  }
  if (!connection->ReadAhead()) {
    connection->caller_disconnected = true;
    return std::nullopt;
  }
  connection->foreground = &exchange;
  connection->allows_pipelining = exchange.is_safe && exchange.keep_alive;
  this->StartPipelined(connection);
  std::optional<HttpResponse> answer;
  if (!connection->caller_disconnected) {
    answer =
        this->disconnect_aware_handler(exchange.request, exchange.notifier);
  }
  exchange.notifier.Finish();
  connection->foreground = nullptr;
  if (connection->pipelined.empty()) {
    connection->StopWatch();
  }
  if (connection->caller_disconnected) {
    return std::nullopt;
  }
  return answer;
}

// Pipelined requests ----------------------------------------------------------

// Waits for bytes behind the requests in progress.
void HttpServer::WatchCaller(const ConnectionPtr& connection) {
  if (connection->is_watched || !connection->MayReadAhead()) {
    return;
  }
  connection->is_watched = true;
  connection->stream.socket().async_wait(
      tcp::socket::wait_read,
      [this, connection, number = connection->watch_number](error_code error) {
        if (error || number != connection->watch_number) {
          return;
        }
        connection->is_watched = false;
        if (connection->ReadAhead()) {
          this->StartPipelined(connection);
        } else {
          connection->OnCallerLeft();
        }
      });
}

// Starts the requests that were read ahead, as far as they may run now.
void HttpServer::StartPipelined(const ConnectionPtr& connection) {
  while (this->StartNextPipelined(connection)) {
    // The started request made room for more bytes. The close of the caller may
    // be behind them.
    if (!connection->ReadAhead()) {
      connection->OnCallerLeft();
      return;
    }
  }
  this->WatchCaller(connection);
}

bool HttpServer::MayStartPipelined(const Connection& connection) const {
  // `pipelined` has neither the request of the connection's own fiber nor the
  // one whose response is being sent.
  const bool has_other = connection.foreground != nullptr ||
                         connection.phase == Connection::Phase::kWriting;
  return connection.allows_pipelining && !connection.parse_failed &&
         !connection.caller_disconnected && !connection.closed &&
         !this->draining && !this->closing &&
         connection.pipelined.size() + (has_other ? 1 : 0) <
             kMaxPipelinedRequests &&
         connection.waiting_response_bytes < kMaxWaitingResponseBytes;
}

// Starts the next request if it has been read completely, is of a safe method
// and has no body. The connection's fiber reads any other one after the
// responses to those before it. Returns whether a request was started.
bool HttpServer::StartNextPipelined(const ConnectionPtr& held) {
  Connection& connection = *held;
  if (connection.buffer.size() == 0 || !this->MayStartPipelined(connection)) {
    return false;
  }
  if (!connection.parser) {
    this->StartParser(connection);
  }
  RequestParser& parser = *connection.parser;
  if (!parser.is_header_done()) {
    error_code error;
    parser.eager(false);  // Stop behind the header.
    connection.buffer.consume(parser.put(connection.buffer.data(), error));
    connection.parse_failed = error && error != http::error::need_more;
  }
  if (connection.parse_failed || !parser.is_done() || !IsSafe(parser.get()) ||
      !HasSupportedFraming(parser.get())) {
    return false;
  }
  const auto exchange = std::make_shared<Exchange>(this->account);
  exchange->Take(parser);
  connection.parser.reset();
  connection.allows_pipelining = exchange->keep_alive;
  connection.pipelined.push_back(exchange);
  this->loop.SpawnHere(
      [this, held, exchange] { this->RunPipelined(held, exchange); });
  return true;
}

void HttpServer::RunPipelined(const ConnectionPtr& connection,
                              const std::shared_ptr<Exchange>& exchange) {
  if (!exchange->notifier.disconnected()) {
    exchange->answer =
        this->disconnect_aware_handler(exchange->request, exchange->notifier);
  }
  exchange->notifier.Finish();
  if (exchange->answer) {
    exchange->answer_bytes = SizeOf(*exchange->answer);
    exchange->answer_room.emplace(this->account)
        .HoldAtLeast(exchange->answer->body.size());
    connection->waiting_response_bytes += exchange->answer_bytes;
  }
  exchange->finished = true;
  if (exchange->on_finished) {
    exchange->on_finished(error_code());
  }
}

// Sends the response to the first pipelined request once it is ready. Returns
// false when the connection must be closed.
bool HttpServer::AnswerPipelined(const ConnectionPtr& held) {
  Connection& connection = *held;
  connection.phase = Connection::Phase::kHandling;
  connection.stream.expires_never();
  const std::shared_ptr<Exchange> exchange = connection.pipelined.front();
  if (!exchange->finished) {
    AwaitError([&](auto done) { exchange->on_finished = std::move(done); });
  }
  connection.pipelined.erase(connection.pipelined.begin());
  if (connection.pipelined.empty()) {
    connection.StopWatch();
  }
  connection.waiting_response_bytes -= exchange->answer_bytes;
  exchange->answer_room.reset();
  if (!exchange->answer || connection.caller_disconnected) {
    this->ReportUnanswered(connection, *exchange,
                           UnansweredRequest::Stage::kNoResponse);
    return false;
  }
  if (!this->WriteResponse(connection, std::move(*exchange->answer), *exchange,
                           exchange->keep_alive)) {
    return false;
  }
  connection.phase = Connection::Phase::kHandling;
  if (!connection.pipelined.empty()) {
    this->StartPipelined(held);
  }
  return true;
}

// Ends the requests that can't be answered because the connection was closed
// before their turn.
void HttpServer::AbortPipelined(Connection& connection) {
  if (connection.pipelined.empty()) {
    return;
  }
  connection.StopWatch();
  connection.phase = Connection::Phase::kHandling;
  const auto pipelined = connection.pipelined;
  std::ranges::for_each(pipelined, [](const auto& exchange) {
    exchange->notifier.NotifyDisconnected();
  });
  std::ranges::for_each(pipelined, [&](const auto& exchange) {
    if (!exchange->finished) {
      AwaitError([&](auto done) { exchange->on_finished = std::move(done); });
    }
    this->ReportUnanswered(connection, *exchange,
                           exchange->answer
                               ? UnansweredRequest::Stage::kWriteFailed
                               : UnansweredRequest::Stage::kNoResponse,
                           "the connection was closed before its turn");
  });
}

}  // namespace tanagerledge
