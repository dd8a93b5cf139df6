// A small HTTP/1.1 client for fibers.
//
//   HttpClient client(loop, *ParseAddress("127.0.0.1:8080"));
//   auto response = client.Send({.target = "/status"}, milliseconds(500));
//   ...
//   client.Close();  // Before the loop stops: ends requests in flight.
//
// A client talks to one address and keeps its connections for later requests.
// It belongs to the thread of its loop; several fibers may send at once.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_CLIENT_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_CLIENT_H_

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"
#include "src/adapters/net.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

struct HttpError {
  // False is a proof: no byte of the request left this process.
  bool may_have_arrived = false;
  std::string text;
};

struct HttpClientOptions {
  std::size_t max_body_bytes = 1024 * 1024;
  std::size_t max_idle_connections = 4;
  // An idle connection older than this is not used again, so that no request
  // meets a server that is just closing it. A server that states a shorter time
  // in its Keep-Alive field is believed.
  std::chrono::milliseconds max_idle_time{60000};
  std::chrono::milliseconds connect_timeout{60000};
  // Probes of the operating system end a connection whose server has gone
  // silent, also in the middle of a long wait for an answer.
  bool probe_silence = false;
};

// A connection that has carried so many requests with an id is not used again.
inline constexpr std::size_t kMostIdsOfAConnection = 1024;

// What a caller may ask of one exchange. Everything is optional.
struct ExchangeOptions {
  // Names the request in its answer. No connection carries the same id twice,
  // so that an earlier answer that comes once more is not taken for this one.
  std::string id;
  // On a new connection: for a request whose answers bear no id.
  bool force_new_connection = false;
  // False for an answer after which the connection is not used again, so that
  // it cannot come once more as the answer to another request.
  std::function<bool(const HttpResponse&)> allows_reuse;
  // False for an answer that belongs to another request: it is read past.
  std::function<bool(const HttpResponse&)> matches_request;
  // Asked when a connection is there, right before the first byte: what was
  // right when Send was called may have changed. False: nothing is sent.
  std::function<bool()> may_send;
  // Set by Send once the connection is there: ends the exchange, as lost.
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

  // Sends a request and waits for the whole response, at most `timeout` from
  // connecting to the last byte. Never sends a request twice.
  tl::expected<HttpResponse, HttpError> Send(
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      const ExchangeOptions& exchange = {});

  // Ends requests in flight; every later one fails as not sent.
  void Close();

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  // An idle connection that still stands and has not carried the id, or a new
  // one.
  tl::expected<ConnectionPtr, HttpError> Take(Instant deadline,
                                              const std::string& id);
  tl::expected<ConnectionPtr, HttpError> Connect(Instant deadline);
  tl::expected<HttpResponse, HttpError> Exchange(
      Connection& connection,
      const HttpRequest& request,
      const ExchangeOptions& exchange);
  tl::expected<HttpResponse, HttpError> ReadAnswer(Connection& connection,
                                                   bool head_only);
  void Keep(ConnectionPtr connection);

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
