#include "tanagerledge/reader_role.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "src/execution/rendezvous.h"

namespace tanagerledge {
namespace {

// Any number that is the same on all nodes.
constexpr std::uint64_t kRendezvousKey = 0x636f6e666967;

std::size_t ReadersPerZone(const ReaderRoleConfig& config, std::size_t zones) {
  return std::max(config.min_readers_per_zone,
                  (config.min_readers + zones - 1) / zones);
}

}  // namespace

std::vector<NodeId> FindReaders(const std::vector<Member>& members,
                                const ReaderRoleConfig& config) {
  std::map<Zone, std::vector<NodeId>> by_zone;
  std::ranges::for_each(members, [&](const Member& member) {
    if (IsLive(member)) {
      by_zone[member.zone].push_back(member.node);
    }
  });
  std::vector<NodeId> readers;
  for (const auto& [zone, nodes] : by_zone) {
    const auto of_zone = BestNodesFor(kRendezvousKey, nodes,
                                      ReadersPerZone(config, by_zone.size()));
    readers.insert(readers.end(), of_zone.begin(), of_zone.end());
  }
  return readers;
}

void ReaderRole::OnMembers(const std::vector<Member>& members,
                           const NodeId& self,
                           const Zone& zone,
                           bool isolated,
                           Instant now) {
  std::vector<NodeId> in_zone{self};
  std::set<std::string> zones{zone.value};
  const std::size_t former_live = this->live;
  this->live = 1;
  std::ranges::for_each(members, [&](const Member& member) {
    if (member.node == self || !IsLive(member)) {
      return;
    }
    ++this->live;
    zones.insert(member.zone.value);
    if (member.zone == zone) {
      in_zone.push_back(member.node);
    }
  });
  const std::size_t per_zone = ReadersPerZone(this->config, zones.size());
  const auto readers = BestNodesFor(kRendezvousKey, in_zone, per_zone);
  const bool is_chosen = isolated || this->live == 1 ||
                         std::ranges::find(readers, self) != readers.end();
  if (!this->chosen_since || is_chosen != this->chosen) {
    this->chosen = is_chosen;
    this->chosen_since = now;
  }
  if (this->live > former_live) {
    this->last_growth = now;
  }
  if (isolated) {
    this->chosen_since = now - this->config.max_start_delay;
  }
}

bool ReaderRole::IsReader(Instant now) {
  if (!this->chosen_since) {
    return false;
  }
  const auto since = now - *this->chosen_since;
  if (!this->chosen) {
    this->reads = this->reads && since < this->config.stop_delay;
  } else {
    const bool settled = now - this->last_growth >= this->config.start_delay;
    this->reads = this->reads || since >= this->config.max_start_delay ||
                  (since >= this->config.start_delay && settled);
  }
  return this->reads;
}

}  // namespace tanagerledge
