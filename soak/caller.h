// Client that sends requests to one node and records them and their outcomes in
// the ledger.

#ifndef TANAGERLEDGE_SOAK_CALLER_H_
#define TANAGERLEDGE_SOAK_CALLER_H_

#include <chrono>
#include <string>

#include "soak/ledger.h"
#include "soak/node_history.h"
#include "src/adapters/http_client.h"

namespace tanagerledge::soak {

// Timeouts of the routes in the soak's configurations.
inline constexpr std::chrono::milliseconds kShortTimeout{2000};
inline constexpr std::chrono::milliseconds kLongTimeout{4000};

// Identifies a caller: its service and the node that it sends its requests to.
struct CallerIdentity {
  std::string service;  // Service of the node's backend server.
  std::string front;    // Address of the node's entry for callers.
  const NodeHistory* node;
};

struct CallOptions {
  std::string id;
  bool idempotent = false;
  bool long_route = false;
  std::chrono::milliseconds deadline{1500};
};

class Caller {
 public:
  // With `keeps_connections`, the caller keeps its connections open and reuses
  // them until the node ends, like the platform's clients. Otherwise it opens a
  // new connection for each request.
  Caller(IoLoop& loop,
         Ledger& ledger,
         CallerIdentity identity,
         bool keeps_connections);

  // Sends a request and waits for its answer. Returns true when it succeeded.
  bool Call(const CallOptions& call);
  void Close() { this->client.Close(); }

 private:
  Ledger& ledger;
  const CallerIdentity identity;
  HttpClient client;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_CALLER_H_
