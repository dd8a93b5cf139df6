// Reports which nodes have a release in force, per zone.

#ifndef TANAGERLEDGE_REACH_H_
#define TANAGERLEDGE_REACH_H_

#include <cstddef>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Why a node is not counted. The values are part of the wire format: append
// only.
enum class LagReason {
  kBehind = 0,   // It reports an older release.
  kSilent = 1,   // It is live, but its report hasn't arrived yet.
  kSuspect = 2,  // It doesn't answer probes.
};

struct Laggard {
  NodeId node;
  ReleaseNumber release;  // Newest release known to be in force there.
  LagReason reason = LagReason::kBehind;
};

struct ZoneReach {
  Zone zone;
  std::size_t members = 0;   // Live nodes of the zone.
  std::size_t in_force = 0;  // Those with this release or a newer one.
  bool answered = false;     // False if no node of the zone replied.
  // At most kMaxLaggards, the oldest release first.
  std::vector<Laggard> laggards;
};

inline constexpr std::size_t kMaxLaggards = 8;

struct ReachReport {
  ReleaseNumber release;
  std::vector<ZoneReach> zones;  // Sorted by zone name.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_REACH_H_
