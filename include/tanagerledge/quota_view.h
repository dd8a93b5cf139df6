// Which node grants the tokens of which accounts, as this node sees it.
//
// Accounts are divided into groups by a hash of their names. The owner of a
// group is the best live member by rendezvous hash, so all nodes with the same
// members name the same one without a message. A node that has no connection to
// the owner asks the best node that it has a connection to, or itself.

#ifndef TANAGERLEDGE_QUOTA_VIEW_H_
#define TANAGERLEDGE_QUOTA_VIEW_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Enough groups that a granting node gets a small part of all questions even
// with 74 nodes, and few enough that a change of the members costs little.
inline constexpr std::size_t kQuotaGroups = 32;

std::size_t QuotaGroupOf(std::string_view account);

struct QuotaView {
  NodeId self;
  std::vector<NodeId> live;       // Live members, this node included.
  std::vector<NodeId> reachable;  // Those with a connection, and this node.
  std::size_t dead = 0;           // Members that count as dead.
  // The least number of nodes to presume, for a node that has just started and
  // knows few members: it must not take itself for the whole fleet.
  std::size_t presumed = 0;

  bool operator==(const QuotaView&) const = default;

  std::size_t known() const {
    return std::max(this->live.size() + this->dead, this->presumed);
  }
};

struct QuotaOwners {
  // The node that this node asks about the group.
  std::array<NodeId, kQuotaGroups> asked;
  // Whether this node is the owner of the group among all live members.
  std::array<bool, kQuotaGroups> owned{};
};

QuotaOwners OwnersIn(const QuotaView& view);

// The nodes of the view that may serve some requests of an account when they
// reach no granting node: at most `count`, the same at every node.
bool IsAmongFirst(const QuotaView& view, std::size_t group, std::size_t count);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_QUOTA_VIEW_H_
