#include "src/membership/reach_tree.h"

#include <algorithm>
#include <map>

#include "src/membership/member_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTreeUpdateInterval{1000};
constexpr milliseconds kReportTimeout = 3 * ReachTree::kRefreshInterval;

bool IsWellFormed(const wire::SubtreeReach& reach) {
  const bool counts = std::ranges::all_of(reach.counts, [](const auto& count) {
    return count.release >= 0 && count.nodes >= 0 &&
           static_cast<std::size_t>(count.nodes) <= kMaxMembers;
  });
  const bool laggards =
      std::ranges::all_of(reach.laggards, [](const auto& laggard) {
        return laggard.release >= 0 && !laggard.node.empty() &&
               laggard.node.size() <= kMaxNodeBytes && laggard.reason >= 0 &&
               laggard.reason <= static_cast<int>(LagReason::kSuspect);
      });
  return counts && laggards && reach.counts.size() <= ReachTree::kMaxCounts &&
         reach.laggards.size() <= kMaxLaggards;
}

// Adds up subtrees and limits the size of the result. The oldest releases are
// merged into one count under the oldest of them, so that no node is counted
// for a newer release than it has.
class SubtreeSum {
 public:
  void Add(std::int64_t release, std::int32_t nodes) {
    this->counts[release] += nodes;
  }

  void AddLaggard(const NodeId& node, std::uint64_t release, LagReason reason) {
    wire::LaggardItem item;
    item.node = node.value;
    item.release = static_cast<std::int64_t>(release);
    item.reason = static_cast<std::int32_t>(reason);
    this->laggards.push_back(std::move(item));
  }

  void Add(const wire::SubtreeReach& reach) {
    for (const auto& count : reach.counts) {
      this->Add(count.release, count.nodes);
    }
    this->laggards.insert(this->laggards.end(), reach.laggards.begin(),
                          reach.laggards.end());
  }

  wire::SubtreeReach Result() {
    while (this->counts.size() > ReachTree::kMaxCounts) {
      const auto oldest = this->counts.begin();
      const auto next = std::next(oldest);
      oldest->second += next->second;
      this->counts.erase(next);
    }
    std::ranges::sort(this->laggards, {}, [](const wire::LaggardItem& item) {
      return std::pair(item.release, item.node);
    });
    this->laggards.resize(std::min(this->laggards.size(), kMaxLaggards));
    wire::SubtreeReach result;
    for (const auto& [release, nodes] : this->counts) {
      wire::ReleaseCount count;
      count.release = release;
      count.nodes = nodes;
      result.counts.push_back(count);
    }
    result.laggards = std::move(this->laggards);
    return result;
  }

 private:
  std::map<std::int64_t, std::int32_t> counts;
  std::vector<wire::LaggardItem> laggards;
};

}  // namespace

void ReachTree::OnReport(const NodeId& from,
                         const wire::SubtreeReach& reach,
                         Instant now) {
  // Reports of nodes that are no longer children expire. The limit covers the
  // time in which nodes have different trees.
  constexpr std::size_t kMaxReports = 8 * kFanIn;
  if (!IsWellFormed(reach)) {
    return;
  }
  std::erase_if(this->reports, [now](const auto& each) {
    return now - each.second.received > kReportTimeout;
  });
  if (this->reports.size() < kMaxReports || this->reports.contains(from)) {
    this->reports[from] = {reach, now};
  }
}

void ReachTree::UpdateTree(const MemberTable& table, Instant now) {
  const ZoneIndex zone = table.self().zone;
  const std::uint64_t revision = table.zone_revision(zone);
  if (this->tree_revision == revision ||
      (this->tree_revision && now - this->tree_updated < kTreeUpdateInterval)) {
    return;
  }
  this->tree_revision = revision;
  this->tree_updated = now;
  std::vector<Slot> order;
  for (Slot slot = 0; slot < table.all().size(); ++slot) {
    const MemberRecord& record = table.at(slot);
    if (record.in_use && record.live() && record.zone == zone) {
      order.push_back(slot);
    }
  }
  std::ranges::sort(order, {}, [&](Slot slot) { return table.at(slot).hash; });
  const auto own_index = static_cast<std::size_t>(
      std::ranges::find(order, kSelfSlot) - order.begin());
  this->parent.reset();
  if (own_index > 0) {
    this->parent = order[(own_index - 1) / kFanIn];
  }
  const std::size_t first = std::min(own_index * kFanIn + 1, order.size());
  const std::size_t last = std::min(first + kFanIn, order.size());
  this->children.assign(order.begin() + static_cast<std::ptrdiff_t>(first),
                        order.begin() + static_cast<std::ptrdiff_t>(last));
}

std::optional<ReachTree::Report> ReachTree::Tick(const MemberTable& table,
                                                 Instant now) {
  this->UpdateTree(table, now);
  if (!this->parent || now - this->last_report < kReportInterval) {
    return std::nullopt;
  }
  const MemberRecord& record = table.at(*this->parent);
  if (!record.in_use) {
    return std::nullopt;
  }
  auto reach = this->Summary(table, now);
  const bool changed =
      record.node != this->reported_to || reach != this->last_reported;
  if (!changed && now - this->last_report < kRefreshInterval) {
    return std::nullopt;
  }
  this->last_report = now;
  this->reported_to = record.node;
  this->last_reported = reach;
  return Report{record.node, std::move(reach)};
}

wire::SubtreeReach ReachTree::Summary(const MemberTable& table,
                                      Instant now) const {
  SubtreeSum sum;
  const MemberRecord& self = table.self();
  const auto own_release = static_cast<std::int64_t>(self.release.value);
  sum.Add(own_release, 1);
  sum.AddLaggard(self.node, self.release.value, LagReason::kBehind);
  for (const Slot child : this->children) {
    const MemberRecord& record = table.at(child);
    if (!record.in_use || !record.live()) {
      continue;
    }
    const auto found = this->reports.find(record.node);
    if (found != this->reports.end() &&
        now - found->second.received <= kReportTimeout) {
      sum.Add(found->second.reach);
    } else {
      const bool suspect = record.state == MemberState::kSuspect;
      sum.AddLaggard(record.node, record.release.value,
                     suspect ? LagReason::kSuspect : LagReason::kSilent);
    }
  }
  auto result = sum.Result();
  // A node with the newest release of this subtree doesn't lag behind any node
  // in it. If no node lags, this node is listed on behalf of all of them,
  // because they may lag behind other subtrees.
  const std::int64_t newest = result.counts.back().release;
  std::erase_if(result.laggards, [&](const wire::LaggardItem& laggard) {
    return laggard.release >= newest && laggard.node != self.node.value &&
           laggard.reason == static_cast<int>(LagReason::kBehind);
  });
  if (result.laggards.size() > 1 && newest <= own_release) {
    std::erase_if(result.laggards, [&](const wire::LaggardItem& laggard) {
      return laggard.node == self.node.value;
    });
  }
  return result;
}

std::optional<Slot> ReachTree::Root(const MemberTable& table, ZoneIndex zone) {
  std::optional<Slot> root;
  for (Slot slot = 0; slot < table.all().size(); ++slot) {
    const MemberRecord& record = table.at(slot);
    const bool candidate =
        record.in_use && record.live() && record.zone == zone;
    if (candidate && (!root || record.hash < table.at(*root).hash)) {
      root = slot;
    }
  }
  return root;
}

}  // namespace tanagerledge
