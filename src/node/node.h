// One node of the mesh: builds the state machines and adapters of the process
// and wires them together.
//
//   Node node(settings, connect_store);
//   if (auto started = node.Start(); !started) { /* started.error() */ }
//   ...
//   node.Shutdown();   // Lets calls in flight finish and stops all threads.
//
// Threads: one control loop runs releases, membership and the at-most-once
// state machines. `workers` loops handle calls. Workers read the snapshot that
// the control loop publishes.

#ifndef TANAGERLEDGE_SRC_NODE_NODE_H_
#define TANAGERLEDGE_SRC_NODE_NODE_H_

#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/datagram.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/http_server.h"
#include "src/adapters/peer_transport.h"
#include "src/adapters/settings.h"
#include "src/node/backend_watch.h"
#include "src/node/call_metrics.h"
#include "src/node/decision_log.h"
#include "src/node/entry.h"
#include "src/node/executor.h"
#include "src/node/membership_host.h"
#include "src/node/once_host.h"
#include "src/node/release_host.h"
#include "src/node/snapshot_cell.h"
#include "src/node/suspect_host.h"

namespace tanagerledge {

class Node {
 public:
  // `connect_store` creates the client of the platform's log on a given loop.
  Node(Settings node_settings, const StoreConnector& connect_store);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds all addresses and starts the threads. The error names the address
  // that failed.
  tl::expected<void, std::string> Start();

  // Drains the node and stops all threads. Waits for calls in progress, but no
  // longer than the drain timeout of the settings, then closes all connections.
  void Shutdown();

 private:
  friend class Admin;
  struct WorkerThread;

  tl::expected<void, std::string> StartWorkers();
  PeerHandlers MakePeerHandlers(WorkerThread& worker);
  void StartControl();
  void RunControlTicks();
  void CheckBackend();
  void UpdateReadiness();

  // Events. All of them run on the control loop.
  void OnState(std::shared_ptr<const FleetState> state);
  void OnMembers(const std::vector<Member>& members);
  void OnAnnounced(const Announcement& announcement);
  void OnBackendDrain();
  void RebuildSnapshot();
  void AdvertiseBackend(const Announcement& announcement, EndpointState state);

  const Settings settings;
  PeerIdentity identity;
  PeerCounters peer_counters;
  DecisionLog decisions;
  DecisionLog audit;
  std::shared_ptr<prometheus::Registry> registry;
  CallMetrics call_metrics;

  // Control loop ------------------------------------------------------------
  IoLoop control;
  PeerHandlers no_handlers;  // The control loop accepts no peers.
  PeerTransport control_peers;
  std::unique_ptr<KeyedLogPort> log;
  UdpPort datagrams;
  SuspectHost suspects;
  OnceHost once;
  std::unique_ptr<MembershipHost> membership;
  std::unique_ptr<ReleaseHost> releases;
  std::unique_ptr<class Admin> admin;
  std::unique_ptr<HttpServer> admin_server;
  std::shared_ptr<const FleetState> state;
  std::vector<Member> members;
  // The state of the backend server that membership last advertised.
  EndpointState advertised_state = EndpointState::kGone;

  // Calls -------------------------------------------------------------------
  BackendWatch backend;
  SnapshotCell snapshots;
  EndpointChooser chooser;
  Executor executor;
  Entry entry;
  std::vector<std::unique_ptr<WorkerThread>> workers;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_NODE_H_
