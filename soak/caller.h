// Sends requests to one node and tells the ledger what became of them.

#ifndef TANAGERLEDGE_SOAK_CALLER_H_
#define TANAGERLEDGE_SOAK_CALLER_H_

#include <chrono>
#include <string>

#include "soak/ledger.h"
#include "soak/node_history.h"
#include "src/adapters/http_client.h"

namespace tanagerledge::soak {

// The routes of the soak's configurations differ in their time-outs.
inline constexpr std::chrono::milliseconds kShortTimeout{2000};
inline constexpr std::chrono::milliseconds kLongTimeout{4000};

// Who sends, and where.
struct CallerPlace {
  std::string service;  // Of the backend server there.
  std::string front;    // Of the node.
  const NodeHistory* node;
};

struct CallPlan {
  std::string id;
  bool repeatable = false;
  bool long_route = false;
  std::chrono::milliseconds deadline{1500};
};

class Caller {
 public:
  // One that keeps its connections uses them until the node is gone, as the
  // platform's clients do.
  Caller(IoLoop& loop,
         Ledger& ledger,
         CallerPlace place,
         bool keeps_connections);

  // Waits for the answer; whether it was a success.
  bool Call(const CallPlan& plan);
  void Close() { this->client.Close(); }

 private:
  Ledger& ledger;
  const CallerPlace place;
  HttpClient client;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_CALLER_H_
