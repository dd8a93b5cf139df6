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

// In sorted order each prefix comes after all that it starts with, so that the
// nearest of them is found by going back along the links.
void Snapshot::BuildPrefixes() {
  for (const auto& [name, route] : this->fleet_state->routes) {
    this->by_prefix.push_back({route.prefix, &route, -1});
  }
  std::ranges::stable_sort(this->by_prefix, {}, &PrefixEntry::prefix);
  const auto repeated =
      std::unique(this->by_prefix.begin(), this->by_prefix.end(),
                  [](const PrefixEntry& left, const PrefixEntry& right) {
                    return left.prefix == right.prefix;
                  });
  this->by_prefix.erase(repeated, this->by_prefix.end());
  std::ptrdiff_t before = -1;
  for (PrefixEntry& entry : this->by_prefix) {
    while (before >= 0 &&
           !entry.prefix.starts_with(this->by_prefix[before].prefix)) {
      before = this->by_prefix[before].shorter;
    }
    entry.shorter = before;
    before = &entry - this->by_prefix.data();
  }
}

// Every prefix of `path` is also one of the greatest entry not above it: only
// that entry and its links need a look.
const Route* Snapshot::Match(std::string_view path) const {
  const auto above =
      std::ranges::upper_bound(this->by_prefix, path, {}, &PrefixEntry::prefix);
  std::ptrdiff_t index = above - this->by_prefix.begin() - 1;
  while (index >= 0 && !path.starts_with(this->by_prefix[index].prefix)) {
    index = this->by_prefix[index].shorter;
  }
  return index < 0 ? nullptr : this->by_prefix[index].route;
}

const RankPolicy* Snapshot::Rank(const RankName& rank) const {
  const auto found = this->fleet_state->ranks.find(rank);
  return found == this->fleet_state->ranks.end() ? nullptr : &found->second;
}

const std::vector<Endpoint>& Snapshot::EndpointsOf(
    const ServiceName& service) const {
  static const std::vector<Endpoint> kNone;
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? kNone : found->second;
}

}  // namespace tanagerledge
