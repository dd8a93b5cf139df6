// Decides on one node which version of a service each request may go to.
//
// Failure pattern: a target version is bad, and messages between the nodes are
// late or lost. The node therefore limits on its own what it sends there, to a
// part of the requests of its own that the service has answered. The sum over
// all nodes then stays within the fleet's limit without any message. Without a
// directive of the deciding node, which holds for some seconds, the node sends
// nothing there. A rejected version gets nothing more, whatever another
// directive says.
//
// The class performs no I/O and reads no clock.

#ifndef TANAGERLEDGE_ROLLOUT_GATE_H_
#define TANAGERLEDGE_ROLLOUT_GATE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tanagerledge/rollout.h"
#include "tanagerledge/snapshot.h"

namespace tanagerledge {

struct RolloutGateConfig {
  RolloutLimits limits;
  NodeId self;
  std::uint64_t seed = 0;
  // Two directives in a row may be lost.
  std::chrono::milliseconds directive_lifetime{2800};
  // A version that appears beside known ones gets nothing for this long: the
  // order for it may be on its way to this node.
  std::chrono::milliseconds new_version_delay{3000};
  // At its start a node learns of the versions one after the other.
  std::chrono::milliseconds start_grace{1500};
};

// The restriction of one send.
struct VersionChoice {
  std::optional<std::string> only;
  std::optional<std::string> excluded;
  std::vector<NodeId> excluded_servers;
  bool counts = false;  // Taken from this node's allowance.
  bool none = false;    // No version may get the request now.
};

class RolloutGate {
 public:
  explicit RolloutGate(RolloutGateConfig gate_config);

  // `age`: time since the order, as far as known. An older order is ignored.
  void OnOrder(const RolloutOrder& order,
               std::chrono::milliseconds age,
               Instant now);
  void OnDirective(const RolloutDirective& directive, Instant now);
  // The status of the order in the store.
  void OnStatus(const RolloutStatus& status);
  // The endpoints of the service that are neither draining nor gone, and the
  // number of live nodes.
  void SetServers(std::vector<Endpoint> servers,
                  std::size_t live_nodes,
                  Instant now);

  // The version for one send of a request. `retry`: it was sent before.
  VersionChoice Choose(bool retry, Instant now);
  // A send that counted has not reached the service.
  void ReturnAllowance() {
    this->exposed = std::max<std::int64_t>(0, this->exposed - 1);
  }
  // The choice when no backend server is left for `failed`; ends its count.
  VersionChoice ChooseInstead(const VersionChoice& failed);
  // A backend server has answered, or has not in time.
  void OnAnswer(const NodeId& node,
                const RouteName& route,
                bool failure,
                std::chrono::microseconds time);

  bool has_several_versions() const;
  const std::optional<RolloutOrder>& order() const { return this->known; }
  std::chrono::milliseconds Age(Instant now) const;
  RolloutPhase phase() const { return this->last_phase; }
  std::int64_t exposed_requests() const { return this->exposed; }

  // Evidence that changed after `revision`.
  RolloutEvidence EvidenceSince(std::int64_t seen) const;
  std::int64_t revision() const { return this->current_revision; }

 private:
  bool HasOther() const;
  bool HasTarget() const;
  bool HasAllowance(double part) const;
  VersionChoice ChooseTarget(bool concentrated) const;
  VersionChoice ChooseWithoutOrder(Instant now) const;

  RolloutGateConfig config;
  std::minstd_rand random;
  std::optional<RolloutOrder> known;
  Instant ordered_at{};
  RolloutPhase last_phase = RolloutPhase::kWaiting;
  std::optional<RolloutDirective> directive;
  Instant directive_until{};
  std::vector<Endpoint> servers;
  std::map<std::string, Instant> version_seen;
  std::optional<Instant> servers_known_since;
  bool other_seen = false;  // A server of another version, since the order.
  // Most nodes that were live at once. Nodes that see only a part of the fleet
  // would otherwise share out the slack several times.
  std::size_t fleet_size = 1;
  double rounding = 0;
  std::int64_t answered = 0;  // Requests to all versions since the order.
  std::int64_t exposed = 0;   // Sends to the target version since the order.
  struct Row {
    EvidenceCounts counts;
    std::int64_t revision = 0;
  };
  std::map<EvidenceKey, Row> evidence;
  std::int64_t current_revision = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ROLLOUT_GATE_H_
