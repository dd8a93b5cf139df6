// Takes requests of the callers on this machine, finds the node to run each one
// and brings back its answer.
//
// Everything runs on the node's loop; Handle waits in the fiber of its request.

#ifndef TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_
#define TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_

#include <peer_types.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/http_server.h"
#include "src/adapters/peer_transport.h"
#include "src/node/call_metrics.h"
#include "src/sidecar/owner.h"
#include "src/sidecar/platform_port.h"
#include "tanagerledge/fleet_retry_budget.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/placement.h"
#include "tanagerledge/stop_plan.h"
#include "tanagerledge/weighted_split.h"

namespace tanagerledge {

struct MeshEntryConfig {
  NodeId self;
  Zone zone;
  Incarnation incarnation;
  ServiceName
      caller;  // Of the backend server beside this node: told to the others.
};

class MeshEntry {
 public:
  MeshEntry(MeshEntryConfig config,
            const PlatformPort& platform,
            PeerTransport& peers,
            Owner& owner,
            EventLog& events,
            CallMetrics& metrics,
            FleetRetryConfig retry_config);

  // Answers one request of a caller; nothing when the caller has left.
  std::optional<HttpResponse> Handle(const HttpRequest& request,
                                     DisconnectNotifier& departure);

  // What requests from now on go by.
  void SetConfig(std::shared_ptr<const MeshConfig> next);
  void SetCaller(ServiceName service) { this->config.caller = service; }
  void SetEndpoints(const std::vector<Endpoint>& endpoints);
  void SetConnected(const NodeId& node, bool connected) {
    this->placement.SetConnected(node, connected);
  }
  // From now on only what can be answered before the end is taken; once the
  // callers should have left, only calls of the own backend server, which needs
  // them for what it runs. Who is refused comes back to the node's next start.
  void OnNodeStopping(const StopPlan& plan);
  void RefuseAll() { this->refusing_all = true; }
  // Withdraws the calls under way: those that wait at a node have not run then.
  void GiveUp();
  void SetLiveNodes(std::size_t count) { this->retries.SetLiveNodes(count); }

  std::size_t calls_in_progress() const { return this->under_way.size(); }
  std::int64_t refused_by_stop() const { return this->refused; }

 private:
  struct Call;
  // What one call of a route takes, in the mean.
  struct RouteCost {
    double bytes = 0;    // Of the request and its answer.
    double work_us = 0;  // At the backend server.
  };

  wire::CallReply RunAttempts(Call& call);
  wire::CallReply Attempt(Call& call, const NodeId& node);
  wire::CallReply SendToPeer(Call& call, const NodeId& node);
  wire::CallReply AskAgain(Call& call, const NodeId& node);
  bool MayTryElsewhere(Call& call, const wire::CallReply& reply);
  HttpResponse Finish(const Call& call, wire::CallReply& reply);
  HttpResponse RefuseByStop();
  void Leave(Call& call);
  void Withdraw(const Call& call);
  void Learn(const Call& call, const wire::CallReply& reply);
  std::chrono::microseconds UsualWork(const MeshRoute& route);

  MeshEntryConfig config;
  const PlatformPort& platform;
  PeerTransport& peers;
  Owner& owner;
  EventLog& events;
  CallMetrics& metrics;
  std::shared_ptr<const MeshConfig> mesh;
  WeightedSplit split;
  Placement placement;
  FleetRetryBudget retries;
  std::unordered_map<RouteName, RouteCost> costs;
  std::int64_t last_send;  // Unique over the starts of this node.
  std::set<std::shared_ptr<Call>> under_way;
  std::optional<StopPlan> stop;
  bool refusing_all = false;
  bool giving_up = false;
  std::int64_t refused = 0;  // Since this node stops.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_
