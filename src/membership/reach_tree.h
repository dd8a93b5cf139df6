// Counts which releases are in force in this node's zone by aggregation along a
// tree.
//
// The members of a zone, sorted by hash, form a heap in which each node has
// kFanIn children. Each node reports the counts of its subtree to its parent,
// so that the root has the counts of the whole zone. No node receives reports
// from more than kFanIn others, however large the zone is. The tree changes
// when the membership changes.

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
  // Minimum interval between reports after a change, and interval without
  // changes.
  static constexpr std::chrono::milliseconds kReportInterval{500};
  static constexpr std::chrono::milliseconds kRefreshInterval{30000};

  struct Report {
    NodeId to;
    wire::SubtreeReach reach;
  };

  // Stores a child's report. A malformed report is ignored.
  void OnReport(const NodeId& from,
                const wire::SubtreeReach& reach,
                Instant now);

  // Returns the report to send to the parent, if one is due.
  std::optional<Report> Tick(const MemberTable& table, Instant now);

  // The counts of this node's subtree, which at the root is the whole zone.
  wire::SubtreeReach Summary(const MemberTable& table, Instant now) const;

  // The root of the zone's tree, if the zone has a live member.
  static std::optional<Slot> Root(const MemberTable& table, ZoneIndex zone);

 private:
  struct ChildReport {
    wire::SubtreeReach reach;
    Instant received{};
  };

  void UpdateTree(const MemberTable& table, Instant now);

  std::unordered_map<NodeId, ChildReport> reports;
  std::vector<Slot> children;
  std::optional<Slot> parent;
  std::optional<std::uint64_t> tree_revision;  // Zone revision of the tree.
  Instant tree_updated{};
  NodeId reported_to;
  wire::SubtreeReach last_reported;
  Instant last_report{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_REACH_TREE_H_
