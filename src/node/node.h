// One node: every machine and adapter of a process, wired together.
//
//   Node node(settings, connect_store);
//   if (auto started = node.Start(); !started) { /* started.error() */ }
//   ...
//   node.Shutdown();   // Cuts no call in flight; returns when all has ended.
//
// Threads: one control loop, on which releases, membership and the at-most-once
// machines live, and `workers` loops on the path of calls. Workers read the
// snapshot that the control loop puts in place.

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
  // `connect_store` makes the client of the platform's log on a loop.
  Node(Settings node_settings, const StoreConnector& connect_store);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds every address and starts the threads; the error names what failed.
  tl::expected<void, std::string> Start();

  // Drains and ends everything, within the settings' drain timeout.
  void Shutdown();

 private:
  friend class Admin;
  struct WorkerThread;

  tl::expected<void, std::string> StartWorkers();
  PeerHandlers HandlersOf(WorkerThread& worker);
  void StartControl();
  void RunControlTicks();
  void CheckBackend();
  void CheckReady();

  // Events, all on the control loop.
  void OnState(std::shared_ptr<const FleetState> state);
  void OnMembers(const std::vector<Member>& members);
  void OnAnnounced(const Announcement& announcement);
  void OnBackendDrain();
  void RebuildSnapshot();
  void TellBackendState(const Announcement& announcement, EndpointState state);

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
  EndpointState told_state = EndpointState::kGone;

  // Path of calls -----------------------------------------------------------
  BackendWatch backend;
  SnapshotCell snapshots;
  EndpointChooser chooser;
  Executor executor;
  Entry entry;
  std::vector<std::unique_ptr<WorkerThread>> workers;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_NODE_H_
