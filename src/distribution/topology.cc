#include "src/distribution/topology.h"

#include <xxhash.h>

#include <algorithm>

namespace tanagerledge {
namespace {

std::vector<NodeId> FirstByHash(std::vector<NodeId> nodes,
                                std::string_view purpose,
                                std::size_t count) {
  const auto kept = nodes.begin() +
                    static_cast<std::ptrdiff_t>(std::min(nodes.size(), count));
  std::ranges::partial_sort(nodes, kept, {}, [purpose](const NodeId& node) {
    return RendezvousHash(node, purpose);
  });
  nodes.erase(kept, nodes.end());
  return nodes;
}

std::optional<NodeId> RandomOther(const std::vector<NodeId>& nodes,
                                  const NodeId& self,
                                  std::mt19937_64& random) {
  const auto own = std::ranges::lower_bound(nodes, self);
  const bool has_self = own != nodes.end() && *own == self;
  const std::size_t others = nodes.size() - (has_self ? 1 : 0);
  if (others == 0) {
    return std::nullopt;
  }
  auto index = static_cast<std::ptrdiff_t>(random() % others);
  if (has_self && index >= own - nodes.begin()) {
    ++index;
  }
  return nodes[static_cast<std::size_t>(index)];
}

}  // namespace

std::uint64_t RendezvousHash(const NodeId& node, std::string_view purpose) {
  const XXH64_hash_t seed = XXH3_64bits(purpose.data(), purpose.size());
  return XXH3_64bits_withSeed(node.value.data(), node.value.size(), seed);
}

Topology::Topology(const std::vector<Member>& members) {
  for (const Member& member : members) {
    if (IsLive(member)) {
      this->zones[member.zone].nodes.push_back(member.node);
      this->all.push_back(member.node);
    }
  }
  std::ranges::sort(this->all);
  for (auto& [zone, view] : this->zones) {
    std::ranges::sort(view.nodes);
    view.readers = FirstByHash(view.nodes, "reader", kReadersPerZone);
    this->all_readers.insert(this->all_readers.end(), view.readers.begin(),
                             view.readers.end());
  }
}

const std::vector<NodeId>& Topology::InZone(const Zone& zone) const {
  static const std::vector<NodeId> kNone;
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? kNone : found->second.nodes;
}

const std::vector<NodeId>& Topology::ReadersOf(const Zone& zone) const {
  static const std::vector<NodeId> kNone;
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? kNone : found->second.readers;
}

std::vector<NodeId> Topology::Children(const Zone& zone,
                                       const NodeId& root,
                                       const NodeId& node,
                                       std::size_t fan_out) const {
  const std::vector<NodeId>& nodes = this->InZone(zone);
  const auto root_at = std::ranges::lower_bound(nodes, root);
  const auto node_at = std::ranges::lower_bound(nodes, node);
  const bool known = root_at != nodes.end() && *root_at == root &&
                     node_at != nodes.end() && *node_at == node;
  if (!known) {
    return {};
  }
  const std::size_t count = nodes.size();
  const auto root_index = static_cast<std::size_t>(root_at - nodes.begin());
  const auto node_index = static_cast<std::size_t>(node_at - nodes.begin());
  const std::size_t position = (node_index + count - root_index) % count;
  const std::size_t first = position * fan_out + 1;
  std::vector<NodeId> children;
  for (std::size_t i = first; i < std::min(first + fan_out, count); ++i) {
    children.push_back(nodes[(i + root_index) % count]);
  }
  return children;
}

std::optional<NodeId> Topology::PrimaryReaderOfNextZone(
    const Zone& zone) const {
  auto next = this->zones.upper_bound(zone);
  if (next == this->zones.end()) {
    next = this->zones.begin();
  }
  if (next == this->zones.end() || next->first == zone) {
    return std::nullopt;
  }
  return next->second.readers.front();
}

std::optional<NodeId> Topology::RandomInZone(const Zone& zone,
                                             const NodeId& self,
                                             std::mt19937_64& random) const {
  return RandomOther(this->InZone(zone), self, random);
}

std::optional<NodeId> Topology::RandomAnywhere(const NodeId& self,
                                               std::mt19937_64& random) const {
  return RandomOther(this->all, self, random);
}

}  // namespace tanagerledge
