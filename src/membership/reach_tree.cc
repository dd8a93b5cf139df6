#include "src/membership/reach_tree.h"

#include <algorithm>
#include <map>

#include "src/membership/member_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kArrangeInterval{1000};
constexpr milliseconds kReportLife = 3 * ReachTree::kRefresh;

bool IsSound(const wire::SubtreeReach& reach) {
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

// Adds up subtrees, and bounds the result: the oldest releases share a count,
// under the oldest of them, so that no node is credited with a newer one.
class Sum {
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
  // Old parents forget by age; the bound holds while trees differ.
  constexpr std::size_t kMaxReports = 8 * kFanIn;
  if (!IsSound(reach)) {
    return;
  }
  std::erase_if(this->reports, [now](const auto& each) {
    return now - each.second.received > kReportLife;
  });
  if (this->reports.size() < kMaxReports || this->reports.contains(from)) {
    this->reports[from] = {reach, now};
  }
}

void ReachTree::Arrange(const MemberTable& table, Instant now) {
  const ZoneIndex zone = table.self().zone;
  const std::uint64_t revision = table.zone_revision(zone);
  if (this->arranged_for == revision ||
      (this->arranged_for && now - this->arranged < kArrangeInterval)) {
    return;
  }
  this->arranged_for = revision;
  this->arranged = now;
  std::vector<Slot> order;
  for (Slot slot = 0; slot < table.all().size(); ++slot) {
    const MemberRecord& record = table.at(slot);
    if (record.in_use && record.listed() && record.zone == zone) {
      order.push_back(slot);
    }
  }
  std::ranges::sort(order, {}, [&](Slot slot) { return table.at(slot).hash; });
  const auto own = static_cast<std::size_t>(
      std::ranges::find(order, kSelfSlot) - order.begin());
  this->parent.reset();
  if (own > 0) {
    this->parent = order[(own - 1) / kFanIn];
  }
  const std::size_t first = std::min(own * kFanIn + 1, order.size());
  const std::size_t last = std::min(first + kFanIn, order.size());
  this->children.assign(order.begin() + static_cast<std::ptrdiff_t>(first),
                        order.begin() + static_cast<std::ptrdiff_t>(last));
}

std::optional<ReachTree::Report> ReachTree::Tick(const MemberTable& table,
                                                 Instant now) {
  this->Arrange(table, now);
  if (!this->parent || now - this->last_report < kReportInterval) {
    return std::nullopt;
  }
  const MemberRecord& record = table.at(*this->parent);
  if (!record.in_use) {
    return std::nullopt;
  }
  auto reach = this->Summary(table, now);
  const bool news = record.node != this->reported_to || reach != this->reported;
  if (!news && now - this->last_report < kRefresh) {
    return std::nullopt;
  }
  this->last_report = now;
  this->reported_to = record.node;
  this->reported = reach;
  return Report{record.node, std::move(reach)};
}

wire::SubtreeReach ReachTree::Summary(const MemberTable& table,
                                      Instant now) const {
  Sum sum;
  const MemberRecord& self = table.self();
  const auto own_release = static_cast<std::int64_t>(self.release.value);
  sum.Add(own_release, 1);
  sum.AddLaggard(self.node, self.release.value, LagReason::kBehind);
  for (const Slot child : this->children) {
    const MemberRecord& record = table.at(child);
    if (!record.in_use || !record.listed()) {
      continue;
    }
    const auto found = this->reports.find(record.node);
    if (found != this->reports.end() &&
        now - found->second.received <= kReportLife) {
      sum.Add(found->second.reach);
    } else {
      const bool suspect = record.state == MemberState::kSuspect;
      sum.AddLaggard(record.node, record.release.value,
                     suspect ? LagReason::kSuspect : LagReason::kSilent);
    }
  }
  auto result = sum.Result();
  // Whoever has the newest release seen here lags behind nobody in the subtree.
  // If nobody does, this node stands for all: they may lag behind others.
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
        record.in_use && record.listed() && record.zone == zone;
    if (candidate && (!root || record.hash < table.at(*root).hash)) {
      root = slot;
    }
  }
  return root;
}

}  // namespace tanagerledge
