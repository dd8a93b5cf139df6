// Who passes releases to whom: readers of each zone, a tree inside each zone
// and a ring of zones. A function of the live members alone, so nodes that see
// the same members agree; where they do not, repair makes up for it.

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

// Orders nodes for one purpose: the smallest value comes first.
std::uint64_t RendezvousHash(const NodeId& node, std::string_view purpose);

class Topology {
 public:
  // Members that are neither dead nor gone count as live.
  explicit Topology(const std::vector<Member>& members);

  // Sorted; empty for a zone without live members.
  const std::vector<NodeId>& InZone(const Zone& zone) const;

  // The zone's readers of the log, the first in charge first.
  const std::vector<NodeId>& ReadersOf(const Zone& zone) const;
  const std::vector<NodeId>& readers() const { return this->all_readers; }

  // Whom `node` passes records on to, in its zone's tree under `root`.
  std::vector<NodeId> Children(const Zone& zone,
                               const NodeId& root,
                               const NodeId& node,
                               std::size_t fan_out) const;

  // The reader in charge of the zone after this one in the ring.
  std::optional<NodeId> HeadOfNextZone(const Zone& zone) const;

  // A random live node other than `self`, in the zone or anywhere.
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
