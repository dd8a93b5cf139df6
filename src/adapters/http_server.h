// A small HTTP/1.1 server on Beast with one fiber per connection and
// keep-alive. With a DisconnectAwareHandler, pipelined requests of safe methods
// are handled at the same time, each further one in a fiber of its own. The
// responses are sent in the order of the requests.
//
//   HttpServer server(loop, HttpServer::Handler([](const HttpRequest& request)
//   {
//     return std::optional(MakeResponse(200, "text/plain", "hello"));
//   }));
//   auto bound = server.Accept(*ParseAddress("127.0.0.1:8080"));
//   ...
//   server.Drain();  // Let open connections finish.
//   server.Close();  // Before loop.Stop().
//
// All calls must be made on the loop's thread, except before the loop runs.

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
#include <vector>

#include "tanagerledge/byte_account.h"

namespace tanagerledge {

// Limits per connection, and the maximum number of connections.
struct HttpLimits {
  std::size_t max_body_bytes = 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds idle_timeout{60000};
  std::size_t max_connections = 4096;
};

// Notifies a handler when the caller closes its connection before the response.
// A caller that closes only its sending direction counts as disconnected too:
// no client of a mesh does that and then waits, and the two look alike.
class DisconnectNotifier {
 public:
  bool disconnected() const { return this->is_disconnected; }

  // Sets a callback that runs once when the caller disconnects; immediately if
  // it has already disconnected. It runs outside any fiber and must not wait.
  void OnDisconnect(std::function<void()> action);

  // Called by the server when the caller has disconnected.
  void NotifyDisconnected();

  // Called by the server when the handler has returned.
  void Finish() { this->on_disconnect = nullptr; }

 private:
  bool is_disconnected = false;
  std::function<void()> on_disconnect;
};

// Bounds for the pipelined requests of one connection. While one of them is
// reached, no further request is read.
inline constexpr std::size_t kMaxPipelinedRequests = 16;
inline constexpr std::size_t kMaxWaitingResponseBytes = 256 * 1024;

// Describes a request that was read completely but whose connection ended
// before a complete response was sent.
struct UnansweredRequest {
  enum class Stage {
    kCallerDisconnected,  // The caller closed its connection first.
    kNoResponse,          // The handler returned no response.
    kWriteFailed,         // Writing the response failed.
  };
  Stage stage = Stage::kNoResponse;
  std::chrono::milliseconds since_read{0};
  std::string error;  // Of the failed write.
};

class HttpServer {
 public:
  // Handles one request; runs in the connection's fiber and may wait. Returning
  // nullopt closes the connection without a response.
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest&)>;
  // A handler that is notified when its caller disconnects.
  // It may move the request's body away. Handlers of pipelined requests of one
  // connection run at the same time.
  using DisconnectAwareHandler =
      std::function<std::optional<HttpResponse>(HttpRequest&,
                                                DisconnectNotifier&)>;

  // Makes the response to a request whose body finds no room in memory; must
  // not wait. The request has no body.
  using NoRoomResponder = std::function<HttpResponse(const HttpRequest&)>;

  // Called for each request that ends without a response; must not wait.
  using UnansweredObserver =
      std::function<void(const HttpRequest&, const UnansweredRequest&)>;

  // Number of open connections by state.
  struct ConnectionCounts {
    std::size_t idle = 0;
    std::size_t unread = 0;   // Idle, but with unread bytes in the socket.
    std::size_t reading = 0;  // Part of a request has been read.
    std::size_t handling = 0;
    std::size_t writing = 0;
    std::size_t lingering = 0;  // The last response may not have arrived yet.

    std::size_t unanswered() const { return this->handling + this->writing; }
  };

  HttpServer(IoLoop& loop, Handler handler, HttpLimits limits = {});
  HttpServer(IoLoop& loop,
             DisconnectAwareHandler handler,
             HttpLimits limits = {});
  ~HttpServer();

  // Starts accepting connections on the address. Returns the bound address.
  tl::expected<boost::asio::ip::tcp::endpoint, AddressError> Accept(
      const boost::asio::ip::tcp::endpoint& endpoint,
      PortSharing sharing = PortSharing::kExclusive);

  // Sets the limits for requests that are read from now on.
  void SetLimits(HttpLimits next) { this->limits = next; }

  // From now on, closes each connection after its next response. New
  // connections are still accepted.
  void CloseAfterAnswer() { this->closing = true; }

  // Stops accepting connections and closes each open one after its next
  // response, so that requests already in transit are still answered.
  void Drain();

  // Closes connections that have received nothing since their last response.
  void CloseIdle();

  // Closes all connections immediately.
  void Close();

  std::size_t open_connections() const { return this->connections.size(); }
  ConnectionCounts CountConnections() const;

  // Counts bodies in the account, which must outlive the server. A request
  // whose body finds no room is answered by `responder` before its body is
  // read, and its connection is closed.
  void SetByteAccount(ByteAccount& byte_account, NoRoomResponder responder) {
    this->account = &byte_account;
    this->respond_no_room = std::move(responder);
  }

  void SetUnansweredObserver(UnansweredObserver observer) {
    this->on_unanswered = std::move(observer);
  }

 private:
  struct Connection;
  struct Exchange;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void AcceptPending();
  void StartConnection(boost::asio::ip::tcp::socket socket);
  void Serve(const ConnectionPtr& connection);
  bool ServeNext(const ConnectionPtr& connection);
  bool ReadRequest(Connection& connection, Exchange& exchange);
  void StartParser(Connection& connection) const;
  std::optional<HttpResponse> RunHandler(const ConnectionPtr& connection,
                                         Exchange& exchange);
  bool WriteResponse(Connection& connection,
                     HttpResponse&& answer,
                     const Exchange& exchange,
                     bool keep_alive);
  void RejectBody(Connection& connection, const Exchange& exchange);
  void ReportUnanswered(const Connection& connection,
                        const Exchange& exchange,
                        UnansweredRequest::Stage stage,
                        std::string error = {}) const;

  // Pipelined requests.
  void WatchCaller(const ConnectionPtr& connection);
  void StartPipelined(const ConnectionPtr& connection);
  bool StartNextPipelined(const ConnectionPtr& connection);
  bool MayStartPipelined(const Connection& connection) const;
  void RunPipelined(const ConnectionPtr& connection,
                    const std::shared_ptr<Exchange>& exchange);
  bool AnswerPipelined(const ConnectionPtr& connection);
  void AbortPipelined(Connection& connection);

  IoLoop& loop;
  Handler handler;  // Exactly one of the two handlers is set.
  DisconnectAwareHandler disconnect_aware_handler;
  UnansweredObserver on_unanswered;
  ByteAccount* account = nullptr;  // Null: bodies are not counted.
  NoRoomResponder respond_no_room;
  HttpLimits limits;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::set<ConnectionPtr> connections;
  std::vector<char> discarded;  // Bytes that nobody needs are read into this.
  bool draining = false;
  bool closing = false;
  bool closed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_SERVER_H_
