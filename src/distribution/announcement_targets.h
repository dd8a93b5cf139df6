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

struct AnnouncementCounts {
  // Nodes of the own availability zone to announce to: a configuration is best
  // fetched from there.
  std::size_t same_zone = 4;
  // Nodes of other zones, and of the own one if there are too few others.
  std::size_t other_zones = 1;
};
// For a node that has the version from the store, as few have: a wide first
// step saves one later.
inline constexpr AnnouncementCounts kFirstAnnouncements{12, 4};

inline std::vector<NodeId> ChooseAnnouncementTargets(
    const std::vector<NodeId>& same_zone,
    const std::vector<NodeId>& other_zones,
    const AnnouncementCounts& counts,
    std::mt19937_64& random) {
  const std::size_t all = counts.same_zone + counts.other_zones;
  const std::size_t from_other = std::min(
      other_zones.size(), all - std::min(same_zone.size(), counts.same_zone));
  std::vector<NodeId> targets;
  std::ranges::sample(same_zone, std::back_inserter(targets),
                      static_cast<std::ptrdiff_t>(all - from_other), random);
  std::ranges::sample(other_zones, std::back_inserter(targets),
                      static_cast<std::ptrdiff_t>(from_other), random);
  return targets;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_ANNOUNCEMENT_TARGETS_H_
