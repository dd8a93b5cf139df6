// A small HTTP/1.1 server on Beast: a fiber for each connection, keep-alive.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_SERVER_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_SERVER_H_

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"
#include "src/adapters/net.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace tanagerledge {

// Limits on what one caller may hold.
struct HttpLimits {
  std::size_t max_body_bytes = 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds idle_timeout{60000};
  std::size_t max_connections = 4096;
};

// Tells a handler that the caller closed its connection before the answer.
class Departure {
 public:
  bool left() const { return this->gone; }

  // Called once when the caller leaves; at once when it has left already. Runs
  // outside any fiber and must not wait.
  void OnLeave(std::function<void()> action);

  // The caller has left.
  void Announce();

 private:
  bool gone = false;
  std::function<void()> on_leave;
};

class HttpServer {
 public:
  // Answers one request; runs in the connection's fiber and may wait. Nothing
  // in place of an answer closes the connection.
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest&)>;
  // The same, and it learns when its caller leaves.
  using WatchfulHandler =
      std::function<std::optional<HttpResponse>(const HttpRequest&,
                                                Departure&)>;

  HttpServer(IoLoop& loop, Handler handler, HttpLimits limits = {});
  HttpServer(IoLoop& loop, WatchfulHandler handler, HttpLimits limits = {});
  ~HttpServer();

  // Accepts on the address; several loops may share it. Returns what was bound.
  tl::expected<boost::asio::ip::tcp::endpoint, AddressError> Accept(
      const boost::asio::ip::tcp::endpoint& endpoint);

  // For requests that are read from now on.
  void SetLimits(HttpLimits next) { this->limits = next; }

  // Answers from now on end their connection, new connections are still taken.
  void CloseAfterAnswer() { this->closing = true; }

  // No new connections; each open one ends with its next answer, so that a
  // request that is already on its way is still answered.
  void Drain();

  // Closes the connections on which nothing has come since the last answer.
  void CloseIdle();

  // Cuts what is left.
  void Close();

  std::size_t open_connections() const { return this->connections.size(); }
  // Requests that have been read whole and are not answered to the last byte.
  std::size_t unanswered() const;
  // Connections whose last answer is written and may not have arrived.
  std::size_t lingering() const;

 private:
  struct Connection;

  void TakeWaiting();
  void Take(boost::asio::ip::tcp::socket socket);
  void Serve(const std::shared_ptr<Connection>& connection);
  bool ServeOne(const std::shared_ptr<Connection>& connection);
  std::optional<HttpResponse> Answer(
      const std::shared_ptr<Connection>& connection,
      const HttpRequest& request);

  IoLoop& loop;
  Handler handler;  // One of the two is set.
  WatchfulHandler watchful_handler;
  HttpLimits limits;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::set<std::shared_ptr<Connection>> connections;
  bool draining = false;
  bool closing = false;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_SERVER_H_
