// How far a release has spread, zone by zone.

#ifndef TANAGERLEDGE_REACH_H_
#define TANAGERLEDGE_REACH_H_

#include <cstddef>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Why a node is not counted. Values travel between nodes: append only.
enum class LagReason {
  kBehind = 0,   // It says that an older release is in force.
  kSilent = 1,   // It lives, but its report has not come yet.
  kSuspect = 2,  // It does not answer probes.
};

struct Laggard {
  NodeId node;
  ReleaseNumber release;  // The newest known to be in force there.
  LagReason reason = LagReason::kBehind;
};

struct ZoneReach {
  Zone zone;
  std::size_t members = 0;   // Nodes of the zone that live.
  std::size_t in_force = 0;  // Of these, with the release or a newer one.
  bool answered = false;     // False: nobody in the zone could be asked.
  std::vector<Laggard>
      laggards;  // At most kMaxLaggards, furthest behind first.
};

inline constexpr std::size_t kMaxLaggards = 8;

struct ReachReport {
  ReleaseNumber release;
  std::vector<ZoneReach> zones;  // By name.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_REACH_H_
