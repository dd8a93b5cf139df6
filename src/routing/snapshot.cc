#include "tanagerledge/snapshot.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {

Snapshot::Snapshot(std::shared_ptr<const FleetState> fleet,
                   std::vector<Endpoint> endpoints)
    : fleet_state(std::move(fleet)) {
  this->BuildPrefixes();
  this->by_service.reserve(this->fleet_state->services.size());
  for (const ServiceName& service : this->fleet_state->services) {
    this->by_service[service];
  }
  for (Endpoint& endpoint : endpoints) {
    const auto found = this->by_service.find(endpoint.service);
    if (found != this->by_service.end()) {
      found->second.push_back(std::move(endpoint));
    }
  }
}

// In sorted order each prefix follows all entries whose prefixes it starts
// with. The longest of them is found by following the links back from the
// previous entry.
void Snapshot::BuildPrefixes() {
  for (const auto& [name, route] : this->fleet_state->routes) {
    this->by_prefix.push_back({route.prefix, &route, -1});
  }
  std::ranges::stable_sort(this->by_prefix, {}, &PrefixEntry::prefix);
  const auto duplicates =
      std::unique(this->by_prefix.begin(), this->by_prefix.end(),
                  [](const PrefixEntry& left, const PrefixEntry& right) {
                    return left.prefix == right.prefix;
                  });
  this->by_prefix.erase(duplicates, this->by_prefix.end());
  std::ptrdiff_t previous = -1;
  for (PrefixEntry& entry : this->by_prefix) {
    while (previous >= 0 &&
           !entry.prefix.starts_with(this->by_prefix[previous].prefix)) {
      previous = this->by_prefix[previous].shorter_index;
    }
    entry.shorter_index = previous;
    previous = &entry - this->by_prefix.data();
  }
}

// Every entry that is a prefix of `path` is also a prefix of the greatest entry
// that is not above `path`. So only that entry and its links are checked.
const Route* Snapshot::Match(std::string_view path) const {
  const auto first_above =
      std::ranges::upper_bound(this->by_prefix, path, {}, &PrefixEntry::prefix);
  std::ptrdiff_t index = first_above - this->by_prefix.begin() - 1;
  while (index >= 0 && !path.starts_with(this->by_prefix[index].prefix)) {
    index = this->by_prefix[index].shorter_index;
  }
  return index < 0 ? nullptr : this->by_prefix[index].route;
}

const RankPolicy* Snapshot::Rank(const RankName& rank) const {
  const auto found = this->fleet_state->ranks.find(rank);
  return found == this->fleet_state->ranks.end() ? nullptr : &found->second;
}

const std::vector<Endpoint>& Snapshot::EndpointsOf(
    const ServiceName& service) const {
  static const std::vector<Endpoint> kNoEndpoints;
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? kNoEndpoints : found->second;
}

}  // namespace tanagerledge
