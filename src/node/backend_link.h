// One worker's HTTP connections to the node's own backend server.

#ifndef TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
#define TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_

#include <chrono>
#include <memory>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_client.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Sends requests to the backend server over a pool of kept-alive connections.
// An object belongs to the thread of its loop.
class BackendLink {
 public:
  explicit BackendLink(IoLoop& worker_loop) : loop(worker_loop) {}

  // Sends one request and waits for its answer. Never sends the request twice.
  tl::expected<HttpResponse, HttpError> Send(
      const BackendId& backend,
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      const ExchangeOptions& exchange = {});

  // The same on a connection of its own, which is closed afterwards. Leaves the
  // kept connections alone: for requests to an address that is not proven yet.
  tl::expected<HttpResponse, HttpError> SendOnce(
      const BackendId& backend,
      const HttpRequest& request,
      std::chrono::milliseconds timeout);

  // Tries to connect to the backend server's address. Returns false only when
  // the connection is refused, which proves that nothing listens there. A
  // timeout proves nothing and returns true.
  bool IsListening(const BackendId& backend);

  // Aborts the requests in flight.
  void Close();

 private:
  using Client = std::shared_ptr<HttpClient>;

  Client ClientFor(const BackendId& backend);
  Client OpenClient(const BackendId& backend);

  IoLoop& loop;
  BackendId connected_to;
  Client client;
  // All clients that may have requests in flight.
  std::vector<std::weak_ptr<HttpClient>> opened;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
