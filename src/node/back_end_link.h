// One worker's connections to the back end beside this node.

#ifndef TANAGERLEDGE_SRC_NODE_BACK_END_LINK_H_
#define TANAGERLEDGE_SRC_NODE_BACK_END_LINK_H_

#include <chrono>
#include <memory>
#include <tl/expected.hpp>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_client.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class BackEndLink {
 public:
  explicit BackEndLink(IoLoop& worker_loop) : loop(worker_loop) {}

  // Sends one request and waits for its answer. Never sends it twice.
  tl::expected<HttpResponse, HttpError> Send(
      const BackEndId& back_end,
      const HttpRequest& request,
      std::chrono::milliseconds timeout,
      const ExchangeOptions& exchange = {});

  // Whether anything listens at the back end's address: false is proof of the
  // contrary, so a timeout counts as true.
  bool Listens(const BackEndId& back_end);

  // Ends requests in flight.
  void Close();

 private:
  std::shared_ptr<HttpClient> ClientFor(const BackEndId& back_end);

  IoLoop& loop;
  BackEndId connected_to;
  std::shared_ptr<HttpClient> client;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACK_END_LINK_H_
