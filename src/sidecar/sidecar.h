// One node on a platform that brings its own operator interface. Creates all
// components of the process and connects them on one event loop.
//
//   Sidecar sidecar(settings, platform, connect_store);
//   if (auto started = sidecar.Start(); !started) { /* started.error() */ }
//   ...
//   sidecar.Shutdown();   // Lets calls in flight finish.

#ifndef TANAGERLEDGE_SRC_SIDECAR_SIDECAR_H_
#define TANAGERLEDGE_SRC_SIDECAR_SIDECAR_H_

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/datagram.h"
#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/http_server.h"
#include "src/adapters/peer_transport.h"
#include "src/adapters/settings.h"
#include "src/node/call_metrics.h"
#include "src/node/membership_host.h"
#include "src/node/suspect_host.h"
#include "src/sidecar/backend_gateway.h"
#include "src/sidecar/body_transfers.h"
#include "src/sidecar/config_host.h"
#include "src/sidecar/mesh_entry.h"
#include "src/sidecar/node_directory.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/proof_host.h"
#include "src/sidecar/quota_host.h"
#include "src/sidecar/rollout_host.h"
#include "src/sidecar/sidecar_metrics.h"
#include "src/sidecar/store_calls.h"
#include "tanagerledge/byte_account.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/stop_plan.h"

namespace tanagerledge {

class Sidecar {
 public:
  Sidecar(Settings settings,
          const PlatformPort& platform,
          const StoreConnector& connect_store);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Binds all addresses and starts the loop; the error names what failed.
  tl::expected<void, std::string> Start();

  // Applies the settings that may change at run time; others need a restart.
  void Reload(const Settings& next);

  // Leaves the fleet, finishes the calls in progress and stops, within the
  // grace period.
  void Shutdown();

 private:
  tl::expected<void, std::string> Listen();
  PeerHandlers MakeHandlers();
  static void NoteFrames(PeerHandlers& all);
  void RunTicks();
  void MaybeReadNodeList(int ticks);
  void OnConfig(std::shared_ptr<const MeshConfig> next);
  // Handles the record that an earlier start of this node has written.
  void OnEarlierRecord(const wire::NodeRecord& record, bool ready);
  void OnNodeList(const NodeDirectory::Records& records);
  void ConfirmBackend();
  void UpdateEndpoints();
  void MaintainConnections();
  std::int64_t BytesSent(Channel channel) const;
  void LogTraffic();
  void LogUnanswered(const HttpRequest& request, const UnansweredRequest& what);
  void OnMembers(const std::vector<Member>& members);
  void AnnounceBackend();
  std::optional<HttpResponse> OnBackendMessage(const HttpRequest& request);
  tl::expected<void, std::string> CheckHeartbeat(
      const Heartbeat& heartbeat) const;
  HttpResponse OnReadiness() const;
  bool IsReady() const;
  void RegisterMetrics();
  void RunShutdown();
  void DrainCalls(const StopPlan& plan);
  void AbortRemainingCalls(const StopPlan& plan);
  void DrainConnections(const StopPlan& plan);
  std::size_t CallsInProgress() const;

  Settings settings;
  const PlatformPort& platform;
  PeerIdentity identity;
  EventLog events;
  std::shared_ptr<prometheus::Registry> registry;
  CallMetrics metrics;
  IoLoop loop;
  PeerCounters peer_counters;
  PeerHandlers handlers;
  PeerTransport peers;
  UdpPort datagrams;
  ByteAccount bodies;
  std::unique_ptr<KeyedLogPort> store;
  StoreCalls store_calls;
  SuspectHost suspects;
  BodyTransfers transfers;
  BackendGateway gateway;
  QuotaHost quotas;
  MeshEntry entry;
  MembershipHost membership;
  ConfigHost configs;
  ProofHost proof;
  RolloutHost rollouts;
  NodeDirectory directory;
  HttpServer front_server;
  HttpServer admin_server;
  HttpServer readiness_server;
  SidecarMetrics sidecar_metrics;
  HttpServer metrics_server;

  std::shared_ptr<const MeshConfig> mesh;
  std::vector<Member> members;
  std::vector<Endpoint> hints;  // From the node list in the store.
  Instant hints_until{};
  std::optional<Heartbeat> recorded_backend;  // Recorded by the last start.
  bool checking_health = false;               // A health check is in progress.
  const Instant started;                      // For the uptime in log lines.
  bool node_list_read = false;
  bool node_list_read_again = false;  // After the first read.
  bool stopping = false;
  // Requests without an answer, except those whose caller has disconnected.
  std::uint64_t unanswered = 0;
  // Messages of backend servers that did not change the current one.
  struct HeartbeatCounts {
    std::uint64_t rejected = 0;
    std::uint64_t stale = 0;
    std::uint64_t unconfirmed = 0;
  };
  HeartbeatCounts heartbeat_counts;
  // The state of the backend server that was last announced to the fleet.
  EndpointState announced_state = EndpointState::kGone;
  // The same, regardless of whether this node stops.
  EndpointState announced_backend_state = EndpointState::kGone;
  std::string announced_instance;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_SIDECAR_H_
