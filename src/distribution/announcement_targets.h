// Chooses the nodes to which a node announces a version that it has put into
// force.
//
// Each node announces each version to a few nodes at random, so a node that
// nobody serves, while most others are, receives several announcements from
// different nodes. Whoever receives none learns of the version from the probes
// of membership, which carry it too. The cost per node does not grow with the
// fleet.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_ANNOUNCEMENT_TARGETS_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_ANNOUNCEMENT_TARGETS_H_

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <random>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Nodes of the own availability zone to announce to: a configuration is best
// fetched from there.
inline constexpr std::size_t kSameZoneAnnouncements = 4;
// Nodes of other zones, and of the own one if there are too few others.
inline constexpr std::size_t kOtherZoneAnnouncements = 2;

inline std::vector<NodeId> ChooseAnnouncementTargets(
    const std::vector<NodeId>& same_zone,
    const std::vector<NodeId>& other_zones,
    std::mt19937_64& random) {
  constexpr std::size_t kAll = kSameZoneAnnouncements + kOtherZoneAnnouncements;
  const std::size_t from_other =
      std::min(other_zones.size(),
               kAll - std::min(same_zone.size(), kSameZoneAnnouncements));
  std::vector<NodeId> targets;
  std::ranges::sample(same_zone, std::back_inserter(targets),
                      static_cast<std::ptrdiff_t>(kAll - from_other), random);
  std::ranges::sample(other_zones, std::back_inserter(targets),
                      static_cast<std::ptrdiff_t>(from_other), random);
  return targets;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_ANNOUNCEMENT_TARGETS_H_
