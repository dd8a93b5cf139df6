// One node on a platform that brings its own operator interface: every machine
// and adapter of a process, wired together on one loop.
//
//   Sidecar sidecar(settings, platform, connect_store);
//   if (auto started = sidecar.Start(); !started) { /* started.error() */ }
//   ...
//   sidecar.Shutdown();   // Cuts no call in flight.

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
#include "src/sidecar/config_host.h"
#include "src/sidecar/mesh_entry.h"
#include "src/sidecar/node_directory.h"
#include "src/sidecar/owner.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/sidecar_metrics.h"
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

  // Binds every address and starts the loop; the error names what failed.
  tl::expected<void, std::string> Start();

  // Takes over what may change while running; the rest needs a new start.
  void Reload(const Settings& next);

  // Leaves the fleet, ends what is under way and stops, within the grace time.
  void Shutdown();

 private:
  tl::expected<void, std::string> Listen();
  PeerHandlers MakeHandlers();
  void RunTicks();
  void OnConfig(std::shared_ptr<const MeshConfig> next);
  void OnNodeList(const NodeDirectory::Records& records);
  void ConfirmBackend();
  void ShowEndpoints();
  void KeepConnections();
  std::int64_t BytesSent(Channel channel) const;
  void LogTraffic();
  void LogUnanswered(const HttpRequest& request, const UnansweredRequest& what);
  void OnMembers(const std::vector<Member>& members);
  void TellBackend();
  std::optional<HttpResponse> OnBackendWord(const HttpRequest& request);
  HttpResponse OnReadiness() const;
  bool IsReady() const;
  void ShowMetrics();
  void RunShutdown();
  void EndCalls(const StopPlan& plan);
  void GiveUpCalls(const StopPlan& plan);
  void EndConnections(const StopPlan& plan);
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
  std::unique_ptr<KeyedLogPort> store;
  SuspectHost suspects;
  Owner owner;
  MeshEntry entry;
  MembershipHost membership;
  ConfigHost configs;
  NodeDirectory directory;
  HttpServer front;
  HttpServer control;
  HttpServer readiness;
  SidecarMetrics shown;
  HttpServer metrics_server;

  std::shared_ptr<const MeshConfig> mesh;
  std::vector<Member> members;
  std::vector<Endpoint> hints;  // Of nodes that membership has not met yet.
  Instant hints_until{};
  std::optional<Heartbeat> recalled;  // What the last start knew.
  bool confirming = false;            // The backend server is being asked.
  const Instant started;  // For the logs: how long this start has lived.
  bool stopping = false;
  std::uint64_t unanswered = 0;  // Requests; those of callers that left aside.
  // What the fleet was told last of the backend server.
  EndpointState told_state = EndpointState::kGone;
  EndpointState told_own_state = EndpointState::kGone;  // Without our stop.
  std::string told_instance;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_SIDECAR_H_
