// Accepts requests of the callers on this machine, routes each one to a node
// with a backend server of the service, retries where that is safe, and returns
// the answer.
//
// Everything runs on the node's loop; Handle blocks the fiber of its request.

#ifndef TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_
#define TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_

#include <peer_types.h>

#include <chrono>
#include <cstdint>
#include <functional>
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
#include "src/sidecar/backend_gateway.h"
#include "src/sidecar/body_transfers.h"
#include "src/sidecar/hedge_host.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/rollout_host.h"
#include "tanagerledge/fleet_retry_budget.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/placement.h"
#include "tanagerledge/route_cost.h"
#include "tanagerledge/stop_plan.h"
#include "tanagerledge/weighted_split.h"

namespace tanagerledge {

class QuotaHost;

struct MeshEntryConfig {
  NodeId self;
  Zone zone;
  Incarnation incarnation;
  // Service of the local backend server; calls carry it as their caller.
  ServiceName caller_service;
  double link_mbps = 0;  // Mbit/s of this node's link; 0: not counted.
  HedgeConfig hedging;
};

class MeshEntry {
 public:
  MeshEntry(IoLoop& loop,
            MeshEntryConfig config,
            const PlatformPort& platform,
            PeerTransport& peers,
            BackendGateway& gateway,
            BodyTransfers& transfers,
            EventLog& events,
            CallMetrics& metrics,
            FleetRetryConfig retry_config);

  // Answers one request of a caller; empty when the caller has disconnected.
  // Moves the request's body away.
  std::optional<HttpResponse> Handle(HttpRequest& request,
                                     DisconnectNotifier& departure);

  // The answer to a request for whose body there is no memory.
  HttpResponse RejectForMemory(const HttpRequest& request);

  // Sets the configuration that later requests use.
  void SetConfig(std::shared_ptr<const MeshConfig> next);
  // `check` says whether another node has a newer configuration. A route that
  // is unknown here may exist there.
  void SetBehindCheck(std::function<bool()> check) {
    this->is_behind = std::move(check);
  }
  // `check` says whether requests with keys must be refused, because the
  // configuration is not proven to be the newest.
  void SetUnprovenCheck(std::function<bool()> check) {
    this->is_unproven = std::move(check);
  }
  // Requests of client accounts take a token of their quotas first.
  void SetQuotas(QuotaHost& host) { this->quotas = &host; }
  // Roll-outs restrict the version that each send of a call may go to.
  void SetRollouts(RolloutHost& host) { this->rollouts = &host; }
  void SetCallerService(ServiceName service) {
    this->config.caller_service = service;
  }
  void SetEndpoints(const std::vector<Endpoint>& endpoints);
  void SetConnected(const NodeId& node, bool connected) {
    this->placement.SetConnected(node, connected);
  }
  // From now on only calls that can be answered before the node ends are
  // accepted. After caller_calls_until() only nested calls of the local backend
  // server are accepted, because it needs them to finish its work. Rejected
  // callers are asked to retry once the node has restarted.
  void OnNodeStopping(const StopPlan& plan);
  void RejectAll() { this->rejecting_all = true; }
  // Cancels all active calls. Those still queued at a node end as not run.
  void AbortCalls();
  void SetLiveNodes(std::size_t count) { this->retries.SetLiveNodes(count); }

  void AddMetrics(SidecarMetrics& all) const { this->hedges.AddMetrics(all); }

  std::size_t calls_in_progress() const { return this->active_calls.size(); }
  std::int64_t rejected_while_stopping() const { return this->rejected; }

 private:
  struct Call;
  struct Send;

  wire::CallReply RunWithinQuota(Call& call);
  wire::CallReply RunAttempts(Call& call);
  std::optional<NodeId> ChooseNode(Call& call, Instant now);
  std::optional<NodeId> ChooseByVersion(Call& call,
                                        PlacementRequest placement_request,
                                        Instant now);
  PlacementRequest ToPlacement(const Call& call, Instant now);
  std::optional<NodeId> ChooseNodeForHedge(const Call& call, Instant now);
  static void SetTimeLeft(const Call& call, wire::CallRequest& message);
  wire::CallReply Attempt(Call& call, const NodeId& node);
  wire::CallReply AttemptHedged(Call& call,
                                const NodeId& node,
                                std::chrono::microseconds delay);
  HedgeQuestion DescribeForHedge(const Call& call, bool has_other_node) const;
  Send BeginSend(Call& call, wire::CallRequest& message, const NodeId& node);
  wire::CallReply RunSend(Call& call, Send& send);
  wire::CallReply SendToPeer(const Call& call, Send& send);
  std::optional<wire::CallReply> AwaitTransfer(const Call& call,
                                               const Send& send);
  wire::CallReply QueryLostSend(const Call& call, const Send& send);
  bool PrepareRetry(Call& call, const wire::CallReply& reply);
  HttpResponse FinishCall(const Call& call, wire::CallReply& reply);
  HttpResponse RejectWhileStopping();
  HttpResponse RejectAccount(const std::string& attempt_id,
                             const MeshRoute& route,
                             Reason reason);
  void OnCallerLeft(Call& call);
  void CancelSend(Send& send);
  void CancelAtNode(const Send& send);
  // Passes the load that a node reported with a reply or a call of its own.
  void OnReply(const NodeId& node,
               const ServiceName& service,
               const wire::CallReply& reply);
  void OnPeerLoad(const NodeId& from, const wire::CallRequest& call);
  void UpdateRouteCost(const Call& call, const wire::CallReply& reply);
  std::chrono::microseconds MeanBackendTime(const MeshRoute& route) const;

  MeshEntryConfig config;
  const PlatformPort& platform;
  PeerTransport& peers;
  BackendGateway& gateway;
  BodyTransfers& transfers;
  RolloutHost* rollouts = nullptr;  // Where roll-outs are limited.
  EventLog& events;
  CallMetrics& metrics;
  std::shared_ptr<const MeshConfig> mesh;
  std::function<bool()> is_behind = [] { return false; };
  std::function<bool()> is_unproven = [] { return false; };
  QuotaHost* quotas = nullptr;
  WeightedSplit split;
  Placement placement;
  FleetRetryBudget retries;
  HedgeHost hedges;
  std::unordered_map<RouteName, RouteCost> route_costs;
  std::int64_t last_send_id;  // Unique across restarts of this node.
  std::set<std::shared_ptr<Call>> active_calls;
  std::optional<StopPlan> stop;
  bool rejecting_all = false;
  bool aborting = false;
  std::int64_t rejected = 0;  // Requests rejected since the stop began.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_MESH_ENTRY_H_
