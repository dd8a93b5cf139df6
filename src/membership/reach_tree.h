// How far releases are in force in this node's zone, summed up along a tree.
//
// The members of a zone in the order of their hashes form a heap of kFanIn
// children a node: each tells its parent what its own subtree has in force, and
// the root knows the zone. No node hears from more than kFanIn others, however
// large the zone; when membership changes, the tree changes with it.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_REACH_TREE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_REACH_TREE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "membership_types.h"
#include "src/membership/member_table.h"
#include "tanagerledge/reach.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class ReachTree {
 public:
  static constexpr std::size_t kFanIn = 16;
  static constexpr std::size_t kMaxCounts = 8;
  // Between reports when something changes, and when nothing does.
  static constexpr std::chrono::milliseconds kReportInterval{500};
  static constexpr std::chrono::milliseconds kRefresh{30000};

  struct Report {
    NodeId to;
    wire::SubtreeReach reach;
  };

  // Takes a child's report; a malformed one changes nothing.
  void OnReport(const NodeId& from,
                const wire::SubtreeReach& reach,
                Instant now);

  // A report that is due to the parent.
  std::optional<Report> Tick(const MemberTable& table, Instant now);

  // This node's subtree: the whole zone at the root.
  wire::SubtreeReach Summary(const MemberTable& table, Instant now) const;

  // The root of any zone, if somebody lives there.
  static std::optional<Slot> Root(const MemberTable& table, ZoneIndex zone);

 private:
  struct ChildReport {
    wire::SubtreeReach reach;
    Instant received{};
  };

  void Arrange(const MemberTable& table, Instant now);

  std::unordered_map<NodeId, ChildReport> reports;
  std::vector<Slot> children;
  std::optional<Slot> parent;
  std::optional<std::uint64_t> arranged_for;  // Revision of the zone.
  Instant arranged{};
  NodeId reported_to;
  wire::SubtreeReach reported;
  Instant last_report{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_REACH_TREE_H_
