// Which endpoint of a service a call goes to.
//
// One chooser serves all worker threads of a node. It learns from the calls of
// this node: what came back, how fast, and the load that replies report.
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

// Safe from any thread; the methods neither lock nor wait.
class EndpointChooser {
 public:
  EndpointChooser();
  ~EndpointChooser();
  EndpointChooser(const EndpointChooser&) = delete;
  EndpointChooser& operator=(const EndpointChooser&) = delete;

  // An endpoint of `service` that is neither draining, gone nor `excluded`, or
  // nothing: there is none, or calls of this rank and client account are mostly
  // refused now. `rng` belongs to the calling thread.
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

  // Its reply came. `load` is what the reply carried, or all zeros. kShed
  // means that the node or its backend server refused the call as not run.
  void OnReply(const NodeId& node,
               const RankName& rank,
               const ClientAccount& client_account,
               FinishKind kind,
               const LoadReport& load,
               std::chrono::microseconds latency,
               Instant now);

  // No reply came, or the call could not be sent.
  void OnUnreachable(const NodeId& node, Instant now);

  // Calls of this node that are at `node` now.
  int InFlight(const NodeId& node) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ENDPOINT_CHOOSER_H_
