// Load balancer: chooses the endpoint of a service for each call.
//
// One chooser serves all worker threads of a node. It uses statistics of the
// calls of this node: their results, their latencies and the load that their
// replies report.
//
//   const auto node = chooser.Choose(snapshot, service, rank, client_account,
//                                    zone, {}, now, rng);
//   if (!node) { /* refuse the call here: not run */ }
//   chooser.OnStart(*node);
//   ... exactly one of ...
//   chooser.OnReply(*node, rank, client_account, kind, load, latency, now);
//   chooser.OnUnreachable(*node, now);

#ifndef TANAGERLEDGE_ENDPOINT_CHOOSER_H_
#define TANAGERLEDGE_ENDPOINT_CHOOSER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <span>

#include "tanagerledge/load.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

using Rng = std::mt19937_64;

// Thread safe. The methods take no locks and never block.
class EndpointChooser {
 public:
  EndpointChooser();
  ~EndpointChooser();
  EndpointChooser(const EndpointChooser&) = delete;
  EndpointChooser& operator=(const EndpointChooser&) = delete;

  // An endpoint of `service` that is not draining, gone or in `excluded`.
  // Returns nothing if there is none, or if most calls of this rank and client
  // account are refused now and this one is throttled. `rng` belongs to the
  // calling thread.
  std::optional<NodeId> Choose(const Snapshot& snapshot,
                               const ServiceName& service,
                               const RankName& rank,
                               const ClientAccount& client_account,
                               const Zone& own_zone,
                               std::span<const NodeId> excluded,
                               Instant now,
                               Rng& rng);

  // A call was sent to the node.
  void OnStart(const NodeId& node);

  // The reply has arrived. `load` is the report in the reply, or all zeros if
  // it has none. kShed means that the node or its backend server refused the
  // call and did not run it.
  void OnReply(const NodeId& node,
               const RankName& rank,
               const ClientAccount& client_account,
               FinishKind kind,
               const LoadReport& load,
               std::chrono::microseconds latency,
               Instant now);

  // No reply arrived, or the call could not be sent.
  void OnUnreachable(const NodeId& node, Instant now);

  // Number of calls of this node that are in flight to `node`.
  int InFlight(const NodeId& node) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ENDPOINT_CHOOSER_H_
