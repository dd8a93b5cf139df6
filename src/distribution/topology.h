// Computes which node forwards releases to which: each zone has a few readers
// of the log and a forwarding tree, and the zones form a ring. The topology
// depends only on the live members, so nodes that see the same members agree.
// While their views differ, the repair between peers delivers what was missed.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_TOPOLOGY_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_TOPOLOGY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "tanagerledge/member.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

inline constexpr std::size_t kReadersPerZone = 2;

// Rendezvous hashing: for one purpose, the node with the smallest value is
// chosen first.
std::uint64_t RendezvousHash(const NodeId& node, std::string_view purpose);

class Topology {
 public:
  // Only live members count: those that are neither dead nor gone.
  explicit Topology(const std::vector<Member>& members);

  // Sorted; empty for a zone without live members.
  const std::vector<NodeId>& InZone(const Zone& zone) const;

  // The zone's readers of the log, the primary reader first.
  const std::vector<NodeId>& ReadersOf(const Zone& zone) const;
  const std::vector<NodeId>& readers() const { return this->all_readers; }

  // The nodes that `node` forwards records to in its zone's tree under `root`.
  std::vector<NodeId> Children(const Zone& zone,
                               const NodeId& root,
                               const NodeId& node,
                               std::size_t fan_out) const;

  // The primary reader of the next zone in the ring.
  std::optional<NodeId> PrimaryReaderOfNextZone(const Zone& zone) const;

  // A random live node other than `self`, in the zone or in any zone.
  std::optional<NodeId> RandomInZone(const Zone& zone,
                                     const NodeId& self,
                                     std::mt19937_64& random) const;
  std::optional<NodeId> RandomAnywhere(const NodeId& self,
                                       std::mt19937_64& random) const;

  std::size_t size() const { return this->all.size(); }

 private:
  struct ZoneView {
    std::vector<NodeId> nodes;
    std::vector<NodeId> readers;
  };

  std::map<Zone, ZoneView> zones;
  std::vector<NodeId> all;
  std::vector<NodeId> all_readers;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_TOPOLOGY_H_
