// One worker's connections to the backend server beside this node.

#ifndef TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
#define TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_

#include <chrono>
#include <memory>
#include <tl/expected.hpp>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_client.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class BackendLink {
 public:
  explicit BackendLink(IoLoop& worker_loop) : loop(worker_loop) {}

  // Sends one request and waits for its answer. Never sends it twice.
  tl::expected<HttpResponse, HttpError> Send(
      const BackendId& backend,
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      const ExchangeOptions& exchange = {});

  // Whether anything listens at the backend server's address: false is proof of
  // the contrary, so a timeout counts as true.
  bool IsListening(const BackendId& backend);

  // Ends requests in flight.
  void Close();

 private:
  std::shared_ptr<HttpClient> ClientFor(const BackendId& backend);

  IoLoop& loop;
  BackendId connected_to;
  std::shared_ptr<HttpClient> client;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACKEND_LINK_H_
