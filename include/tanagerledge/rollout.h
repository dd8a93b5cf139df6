// Types of roll-outs: an operator orders that a service goes over to another
// version of its backend servers, and the fleet finds out whether that version
// is good while it gets a small share of the requests.

#ifndef TANAGERLEDGE_ROLLOUT_H_
#define TANAGERLEDGE_ROLLOUT_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

struct RolloutOrder {
  ServiceName service;
  std::string new_version;
  std::chrono::milliseconds duration{0};
  // Where the store holds the order. Offsets are assigned again in each era.
  LogOffset offset;
  std::uint64_t era = 0;

  bool operator==(const RolloutOrder&) const = default;
};

inline bool IsNewer(const RolloutOrder& order, const RolloutOrder& than) {
  return std::tie(order.era, order.offset) > std::tie(than.era, than.offset);
}

// Whether the order is the other one, which was written again after the store
// came back from a copy.
inline bool IsRewritten(const RolloutOrder& order, const RolloutOrder& of) {
  return order.era > of.era && order.service == of.service &&
         order.new_version == of.new_version && order.duration == of.duration;
}

// The state that the store holds for the operator.
enum class RolloutState { kInProgress, kCompleted, kRolledBack };

struct RolloutStatus {
  RolloutState state = RolloutState::kInProgress;
  std::string new_version;
  // The order that the status belongs to.
  LogOffset order_offset;
  std::uint64_t order_era = 0;
};

inline bool BelongsTo(const RolloutStatus& status, const RolloutOrder& order) {
  return status.new_version == order.new_version &&
         status.order_offset == order.offset && status.order_era == order.era;
}

// The values are sent between nodes: only append new ones.
enum class RolloutPhase {
  kWaiting = 0,     // No backend server of the target version is ready.
  kCanary = 1,      // The target version gets a small share.
  kFinal = 2,       // New requests go to the target version alone.
  kRejected = 3,    // Decided as bad; the status is not written yet.
  kCompleted = 4,   // Written.
  kRolledBack = 5,  // Written.
};

inline bool IsTerminal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

// The fleet's limits for a version that may be bad.
struct RolloutLimits {
  double exposure_ratio = 0;  // Of the service's requests.
  double exposure_slack = 0;  // Requests beyond that.
};

// The parts of the ratio that the nodes use before the last phase, and in all.
// The rest is room for sends that are not known to have reached the service.
inline constexpr double kCanaryPart = 0.55;
inline constexpr double kTotalPart = 0.93;

struct RolloutDirective {
  RolloutOrder order;
  std::chrono::milliseconds age{0};  // Time since the order.
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;             // Of the requests, to the target version.
  std::vector<NodeId> servers;  // Those that take the share.
  std::size_t fleet_size = 1;   // Most nodes that were live at once.
};

// Evidence --------------------------------------------------------------------

// Three bins for each doubling, from 1 ms to 8 s and more.
inline constexpr std::size_t kTimeBins = 40;

struct EvidenceCounts {
  std::int64_t answers = 0;
  std::int64_t failures = 0;  // Of the answers.
  std::array<std::int64_t, kTimeBins> times{};

  void Add(bool failure, std::chrono::microseconds time);
  EvidenceCounts& operator+=(const EvidenceCounts& other);
  EvidenceCounts& operator-=(const EvidenceCounts& other);
};

struct EvidenceKey {
  NodeId server;  // Empty for all backend servers of other versions.
  RouteName route;

  auto operator<=>(const EvidenceKey&) const = default;
};

using RolloutEvidence = std::map<EvidenceKey, EvidenceCounts>;

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ROLLOUT_H_
