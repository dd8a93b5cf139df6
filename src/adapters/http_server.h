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
#include <string>

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
class DisconnectNotifier {
 public:
  bool disconnected() const { return this->gone; }

  // Called once when the caller leaves; at once when it has left already. Runs
  // outside any fiber and must not wait.
  void OnDisconnect(std::function<void()> action);

  // The caller has left.
  void NotifyDisconnected();

 private:
  bool gone = false;
  std::function<void()> on_leave;
};

// A request that was read whole and whose connection ended without a whole
// answer.
struct UnansweredRequest {
  enum class Stage {
    kCallerDisconnected,  // The caller closed its connection first.
    kNoResponse,          // The handler gave none.
    kWriteFailed,         // The answer was ready; its write failed.
  };
  Stage stage = Stage::kNoResponse;
  std::chrono::milliseconds since_read{0};
  std::string error;  // Of the write.
};

class HttpServer {
 public:
  // Answers one request; runs in the connection's fiber and may wait. Nothing
  // in place of an answer closes the connection.
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest&)>;
  // The same, and it learns when its caller leaves.
  using DisconnectAwareHandler =
      std::function<std::optional<HttpResponse>(const HttpRequest&,
                                                DisconnectNotifier&)>;

  // Told of each request that ends without an answer; must not wait.
  using UnansweredObserver =
      std::function<void(const HttpRequest&, const UnansweredRequest&)>;

  // What open connections are doing.
  struct ConnectionCounts {
    std::size_t idle = 0;
    std::size_t unread = 0;   // Of the idle: bytes have come and were not read.
    std::size_t reading = 0;  // Some of a request has been read.
    std::size_t handling = 0;
    std::size_t writing = 0;
    std::size_t lingering = 0;  // The last answer is written, not yet taken.

    std::size_t unanswered() const { return this->handling + this->writing; }
  };

  HttpServer(IoLoop& loop, Handler handler, HttpLimits limits = {});
  HttpServer(IoLoop& loop,
             DisconnectAwareHandler handler,
             HttpLimits limits = {});
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
  ConnectionCounts CountConnections() const;

  void SetUnansweredObserver(UnansweredObserver observer) {
    this->on_unanswered = std::move(observer);
  }

 private:
  struct Connection;

  void TakeWaiting();
  void Take(boost::asio::ip::tcp::socket socket);
  void Serve(const std::shared_ptr<Connection>& connection);
  bool ServeOne(const std::shared_ptr<Connection>& connection);
  std::optional<HttpResponse> Answer(
      const std::shared_ptr<Connection>& connection,
      const HttpRequest& request);
  void TellUnanswered(const Connection& connection,
                      const HttpRequest& request,
                      UnansweredRequest::Stage stage,
                      std::string error = {}) const;

  IoLoop& loop;
  Handler handler;  // One of the two is set.
  DisconnectAwareHandler watchful_handler;
  UnansweredObserver on_unanswered;
  HttpLimits limits;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::set<std::shared_ptr<Connection>> connections;
  bool draining = false;
  bool closing = false;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_SERVER_H_
