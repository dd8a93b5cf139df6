// One worker's HTTP connections to the node's own backend server.

#ifndef TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
#define TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_

#include <chrono>
#include <memory>
#include <tl/expected.hpp>

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

  // Tries to connect to the backend server's address. Returns false only when
  // the connection is refused, which proves that nothing listens there. A
  // timeout proves nothing and returns true.
  bool IsListening(const BackendId& backend);

  // Aborts the requests in flight.
  void Close();

 private:
  std::shared_ptr<HttpClient> ClientFor(const BackendId& backend);

  IoLoop& loop;
  BackendId connected_to;
  std::shared_ptr<HttpClient> client;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
