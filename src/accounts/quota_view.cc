#include "tanagerledge/quota_view.h"

#include <xxhash.h>

#include <algorithm>

#include "src/execution/rendezvous.h"

namespace tanagerledge {
namespace {

// Any number that is the same on all nodes.
constexpr std::uint64_t kRendezvousKey = 0x71756f746173;

// The same as the first of BestNodesFor, without a copy of each name: a change
// of the members names the owners of all groups again.
const NodeId& BestOf(const std::vector<NodeId>& nodes,
                     std::uint64_t key,
                     const NodeId& fallback) {
  const auto best =
      std::ranges::max_element(nodes, {}, [key](const NodeId& node) {
        return XXH3_64bits_withSeed(node.value.data(), node.value.size(), key);
      });
  return best == nodes.end() ? fallback : *best;
}

}  // namespace

std::size_t QuotaGroupOf(std::string_view account) {
  return XXH3_64bits(account.data(), account.size()) % kQuotaGroups;
}

QuotaOwners OwnersIn(const QuotaView& view) {
  QuotaOwners owners;
  for (std::size_t group = 0; group < kQuotaGroups; ++group) {
    const std::uint64_t key = kRendezvousKey + group;
    owners.asked[group] = BestOf(view.reachable, key, view.self);
    owners.owned[group] = BestOf(view.live, key, view.self) == view.self;
  }
  return owners;
}

bool IsAmongFirst(const QuotaView& view, std::size_t group, std::size_t count) {
  const auto first = BestNodesFor(kRendezvousKey + group, view.live, count);
  return std::ranges::find(first, view.self) != first.end();
}

}  // namespace tanagerledge
