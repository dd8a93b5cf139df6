// A small HTTP/1.1 client for use in fibers, with a connection pool.
//
//   HttpClient client(loop, *ParseAddress("127.0.0.1:8080"));
//   auto response = client.Send({.target = "/status"}, milliseconds(500));
//   ...
//   client.Close();  // Cancels requests in flight; call it before loop.Stop().
//
// A client connects to one address and reuses its connections. All calls must
// be made on the loop's thread; several fibers may send at the same time.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_CLIENT_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_CLIENT_H_

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"
#include "src/adapters/net.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/byte_account.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct HttpError {
  // False only when it is certain that no byte of the request left this
  // process.
  bool may_have_arrived = false;
  // The response is too long, or there is no room for it in memory.
  bool response_too_long = false;
  std::string text;
};

struct HttpClientOptions {
  std::size_t max_body_bytes = 1024 * 1024;
  // The same for a response that states its length; unset: no difference.
  std::optional<std::size_t> max_stated_body_bytes = std::nullopt;
  std::size_t max_idle_connections = 4;
  // A connection that was idle for longer than this is not reused, so that a
  // request doesn't race with the server closing it. A shorter time in the
  // server's Keep-Alive field takes precedence.
  std::chrono::milliseconds max_idle_time{60000};
  std::chrono::milliseconds connect_timeout{60000};
  // Enables TCP keepalive, so that a connection to an unreachable server is
  // closed even during a long wait for a response.
  bool tcp_keepalive = false;
};

// A connection that has carried this many requests with an id is not reused.
inline constexpr std::size_t kMaxIdsPerConnection = 1024;

// Options of one request/response exchange. All are optional.
struct ExchangeOptions {
  // Identifies the request in its response. A connection is not used twice for
  // the same id, so that a duplicate of an earlier response is not taken for
  // the response to this request.
  std::string id;
  // Sent in place of the request's own body, without a copy; must outlive the
  // exchange.
  std::optional<std::string_view> body;
  // Reserves the room for the response's body; null: no limit but the client's.
  ByteReservation* response_room = nullptr;
  // False for a response after which the connection must not be reused, so that
  // a duplicate of it can't be taken for the response to another request.
  std::function<bool(const HttpResponse&)> allows_reuse;
  // False for a response to another request: it is skipped.
  std::function<bool(const HttpResponse&)> matches_request;
  // Checked once a connection is available, right before the first byte is
  // sent, because the request may have become obsolete since Send was called.
  // If it returns false, nothing is sent.
  std::function<bool()> may_send;
  // Set by Send while the exchange is in progress. Calling it aborts the
  // exchange, which then fails like a lost connection.
  std::function<void()>* cancel = nullptr;
};

class HttpClient {
 public:
  HttpClient(IoLoop& loop,
             boost::asio::ip::tcp::endpoint server,
             HttpClientOptions options = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  // Sends a request and waits for the complete response. `timeout` covers
  // everything from connecting to the last byte. Never retries.
  tl::expected<HttpResponse, HttpError> Send(
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      const ExchangeOptions& exchange = {});

  // Cancels requests in flight; every later request fails as not sent.
  void Close();

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Returns an idle connection that is still open and was not used for `id`, or
  // a new one.
  tl::expected<ConnectionPtr, HttpError> AcquireConnection(
      Instant deadline,
      const std::string& id);
  tl::expected<ConnectionPtr, HttpError> Connect(Instant deadline);
  tl::expected<HttpResponse, HttpError> Exchange(
      Connection& connection,
      const HttpRequest& request,
      const ExchangeOptions& exchange);
  tl::expected<HttpResponse, HttpError> ReadResponse(Connection& connection,
                                                     bool head_only,
                                                     ByteReservation* room);
  // Returns the connection to the pool, or closes it if it can't be reused.
  void ReleaseConnection(ConnectionPtr connection);
  // Closes an idle connection as soon as the server closes it or sends bytes,
  // which belong to no request: a faulty server may send them without end.
  void WatchIdleConnection(const ConnectionPtr& connection);

  IoLoop& loop;
  boost::asio::ip::tcp::endpoint server;
  std::string host;
  HttpClientOptions options;
  std::vector<ConnectionPtr> idle;
  std::set<Connection*> busy;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_CLIENT_H_
