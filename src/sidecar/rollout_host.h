// Carries out roll-outs on a node: passes orders, directives and evidence
// between the store, the other nodes, RolloutGate and RolloutController.
//
// The node in charge of a service is the first of the live readers of the
// store by rendezvous hash, so all nodes name the same one without a message.
// It sends directives, whose replies are the other nodes' counts, and writes
// the status.

#ifndef TANAGERLEDGE_SRC_SIDECAR_ROLLOUT_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_ROLLOUT_HOST_H_

#include <peer_types.h>
#include <rollout_types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/peer_transport.h"
#include "src/adapters/settings.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/store_calls.h"
#include "tanagerledge/member.h"
#include "tanagerledge/rollout_controller.h"
#include "tanagerledge/rollout_gate.h"

namespace tanagerledge {

struct RolloutHostConfig {
  NodeId self;
  Incarnation incarnation;
  // Without an exposure ratio nothing here has an effect.
  FleetBounds bounds;
};

class RolloutHost {
 public:
  RolloutHost(RolloutHostConfig config,
              IoLoop& loop,
              PeerTransport& peers,
              KeyedLogPort& store,
              const PlatformPort& platform,
              EventLog& events,
              StoreCalls& calls);

  bool enabled() const {
    return this->config.bounds.exposure_ratio.has_value();
  }

  // Records of the operator's stream. `newest`: they are all that count now.
  void OnRecords(std::span<const KeyedRecord> records, bool newest);
  void SetConfig(std::shared_ptr<const MeshConfig> next);
  // `readers`: the nodes that read the store. `hints`: nodes whose backend
  // servers are known from the node list only, without their version.
  void SetMembers(const std::vector<Member>& members,
                  std::vector<NodeId> readers);
  void SetHints(const std::vector<Endpoint>& hints);
  // Must be called about every 20 ms.
  void OnTick();

  // Answers the directive of the node in charge with this node's counts.
  std::string OnDirective(const NodeId& from, std::string_view bytes);

  // The path of a request. Choose is called before each send of it, and
  // OnReply after its reply.
  VersionChoice Choose(const ServiceName& service, bool retry);
  VersionChoice ChooseInstead(const ServiceName& service,
                              const VersionChoice& failed);
  void OnReply(const ServiceName& service,
               const NodeId& node,
               const RouteName& route,
               const VersionChoice& choice,
               const wire::CallReply& reply,
               std::chrono::microseconds took);

  // For metrics.
  std::size_t in_charge() const;
  std::int64_t exposed() const;
  std::uint64_t bad_orders() const { return this->orders_rejected; }

 private:
  struct Acknowledged {
    std::int64_t incarnation = 0;
    std::int64_t revision = 0;
    bool terminal = false;  // The node knows the last status.
  };
  struct Service {
    explicit Service(RolloutGateConfig gate_config)
        : gate(std::move(gate_config)) {}

    RolloutGate gate;
    std::vector<NodeId> hinted;  // Nodes of unknown version.
    std::optional<RolloutController> controller;
    std::optional<Instant> chosen_since;  // As the node in charge.
    Instant next_directive{};
    Instant next_status{};
    bool status_busy = false;
    RolloutPhase logged_phase = RolloutPhase::kWaiting;
    std::map<NodeId, Acknowledged> acknowledged;
    std::set<NodeId> asked;  // No reply yet.
  };

  Service& ServiceOf(const ServiceName& name);
  void SetServers(const ServiceName& name, Service& service);
  void OnOrderRecord(const KeyedRecord& record);
  // Accepts the order if the configuration has its service.
  void CheckService(const RolloutOrder& order);
  void AcceptOrder(const RolloutOrder& order,
                   std::chrono::milliseconds age,
                   std::string_view source);
  void UpdateCharge(const ServiceName& name, Service& service);
  void RunController(const ServiceName& name, Service& service);
  void SendDirective(const ServiceName& name, const Member& member);
  void OnReport(Service& service,
                const NodeId& node,
                const wire::RolloutReport& report);
  wire::RolloutReport ReportFor(Service& service,
                                const wire::RolloutDirective& question);
  void UpdateStatus(const ServiceName& name);
  void WriteStatus(const ServiceName& name, RolloutState state, LogOffset at);
  void LogPhase(const ServiceName& name, Service& service);

  RolloutHostConfig config;
  IoLoop& loop;
  PeerTransport& peers;
  KeyedLogPort& store;
  const PlatformPort& platform;
  EventLog& events;
  StoreCalls& calls;
  const Instant started;
  std::shared_ptr<const MeshConfig> mesh;
  std::vector<Member> members;
  std::vector<NodeId> readers;
  std::vector<Endpoint> hints;
  std::size_t fleet_size = 1;
  Instant last_growth{};  // Of the number of live nodes.
  std::map<ServiceName, Service> services;
  // Orders that arrived before the first configuration.
  std::map<ServiceName, RolloutOrder> unchecked_orders;
  std::map<std::string, LogOffset> processed;  // By key.
  std::uint64_t era = 0;  // Of the store, when the last record was read.
  bool orders_read = false;
  std::uint64_t orders_rejected = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_ROLLOUT_HOST_H_
