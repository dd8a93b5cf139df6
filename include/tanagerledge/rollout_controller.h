// Decides about one roll-out, on the node that is in charge of it.
//
// Failure pattern: a version is bad from the start, late, under load or on one
// route, the deciding node dies halfway, or the store is away when the decision
// is due. The nodes' counts are cumulative, so the next deciding node continues
// with them; the directives stop the traffic without the store, and only the
// status is kept there.
//
// The target version first gets a small share on two backend servers or more.
// Then as few take it as reach a normal load, in turns. A bad version shows on
// two of its servers, since a single one may be broken or slow for a while.
// Near the deadline, new requests go to the target version alone for a short
// time, so that the old backend servers have nothing in progress when the
// platform stops them. The gates of the nodes limit that phase too.
//
// The class performs no I/O and reads no clock.

#ifndef TANAGERLEDGE_ROLLOUT_CONTROLLER_H_
#define TANAGERLEDGE_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tanagerledge/rollout.h"
#include "tanagerledge/rollout_verdict.h"
#include "tanagerledge/snapshot.h"

namespace tanagerledge {

struct RolloutControllerConfig {
  RolloutLimits limits;
  // Servers that look slow for this long are slow; healthy ones are 2.5 times
  // slower for 0.6 s now and then.
  std::chrono::milliseconds slow_persistence{1300};
  // The same once another server is known to be bad.
  std::chrono::milliseconds second_persistence{650};
  // Time between directives, also while a server looks bad: the rollback must
  // follow the 50th bad answer within 5 s.
  std::chrono::milliseconds period{900};
  std::chrono::milliseconds urgent_period{350};
  // Evidence of a fault that begins late is not diluted by older answers.
  std::chrono::milliseconds short_window{3000};
  std::chrono::milliseconds long_window{10000};
  std::chrono::milliseconds longest_window{30000};
  // Two servers that look bad within this time make a bad version. A single one
  // may be broken, and another one slow for a while much later.
  std::chrono::milliseconds suspicion{35000};
  // Time before the deadline at which the status is written at the latest, as a
  // part of the duration and within limits.
  double reserve_part = 0.06;
  std::chrono::milliseconds min_reserve{1500};
  std::chrono::milliseconds max_reserve{4000};
  // Length of the last phase: the calls of the old backend servers end within
  // it.
  double final_part = 0.035;
  std::chrono::milliseconds max_final{2200};
  // How long each backend server takes the concentrated share.
  std::chrono::milliseconds turn{2500};
  // The concentrated load over the mean load of the other backend servers, so
  // that slower ones get a normal load too.
  double load_factor = 1.3;
  // The part of the share that is used without a suspicion. The rest lets
  // another server be tested under load at once.
  double reserve_share = 0.2;
  // Reports of the last so long count as recent.
  std::chrono::milliseconds recent{3000};
  // How long a new deciding node waits for the status in the store.
  std::chrono::milliseconds status_wait{2000};
};

class RolloutController {
 public:
  RolloutController(RolloutControllerConfig controller_config,
                    RolloutOrder order,
                    std::chrono::milliseconds age,
                    Instant now);

  // The endpoints of the service that are neither draining nor gone.
  void SetServers(std::vector<Endpoint> servers);
  void SetFleetSize(std::size_t nodes) { this->fleet_size = nodes; }

  // Cumulative counts of a node since its start `incarnation`; rows that are
  // missing are unchanged. `phase` is the last one that the node knows.
  void OnReport(const NodeId& node,
                Incarnation incarnation,
                const RolloutEvidence& rows,
                RolloutPhase phase,
                std::chrono::milliseconds age,
                Instant now);

  // The status in the store was read; nothing if there is none.
  void OnStatusRead(const std::optional<RolloutStatus>& status);
  void OnStatusWritten(RolloutState state);
  // The store has certainly not taken the last status.
  void OnStatusNotWritten() { this->terminal_requested = false; }

  // Call it every Period(), and send the directive to all nodes after it.
  void Tick(Instant now);

  std::chrono::milliseconds Period() const;
  RolloutDirective Directive(Instant now) const;
  // The status that the store should have; nothing if it has it.
  std::optional<RolloutState> DesiredStatus() const;
  bool status_known() const { return this->status_read; }

  const RolloutOrder& order() const { return this->current_order; }
  RolloutPhase phase() const { return this->current_phase; }
  // For log lines: why the version was rejected or accepted.
  const std::string& reason() const { return this->decision; }
  RolloutEvidence Sum() const;

 private:
  struct NodeCounts {
    Incarnation incarnation;
    RolloutEvidence rows;
    Instant heard{};
  };
  struct Snapshot {
    Instant at{};
    RolloutEvidence sum;
  };

  std::chrono::milliseconds Age(Instant now) const;
  std::chrono::milliseconds DecideAt() const;
  std::chrono::milliseconds FinalLength() const;
  std::vector<NodeId> ReadyTargets() const;
  std::size_t Others() const;
  // Whether half of the fleet has reported lately.
  bool HearsHalf(Instant now) const;
  void Judge(Instant now);
  // The evidence since about `window` ago, or all of it.
  RolloutEvidence Since(std::chrono::milliseconds window,
                        const RolloutEvidence& sum,
                        Instant now) const;
  // The servers that look bad in any window.
  BadServers FindBadInWindows(const RolloutEvidence& sum,
                              double log_ratio,
                              Instant now) const;
  // How many bad servers make a bad version.
  std::size_t NeededServers() const;
  void NoteBad(const NodeId& server, const char* what, Instant now);
  void Decide(Instant now);
  void Enter(RolloutPhase phase, std::string why, Instant now);
  void ChooseServers(Instant now);

  RolloutControllerConfig config;
  RolloutOrder current_order;
  Instant ordered_at{};
  Instant began{};  // When this node took charge.
  RolloutPhase current_phase = RolloutPhase::kWaiting;
  Instant phase_began{};
  std::string decision;
  std::vector<Endpoint> servers;
  std::size_t fleet_size = 1;
  std::map<NodeId, NodeCounts> by_node;
  RolloutEvidence retired;  // Of former starts of the nodes.
  std::deque<Snapshot> history;
  std::map<NodeId, Instant> slow_since;
  std::map<NodeId, Instant> bad_since;
  std::vector<NodeId> chosen;
  double share = 0;
  bool status_read = false;
  bool terminal_requested = false;  // `completed` may be in the store already.
  std::optional<RolloutState> stored;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ROLLOUT_CONTROLLER_H_
