#include "tanagerledge/snapshot.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {

Snapshot::Snapshot(std::shared_ptr<const FleetState> fleet,
                   std::vector<Endpoint> endpoints)
    : fleet_state(std::move(fleet)) {
  for (const auto& [name, route] : this->fleet_state->routes) {
    this->by_prefix.push_back(&route);
  }
  std::ranges::stable_sort(
      this->by_prefix, std::ranges::greater{},
      [](const Route* route) { return route->prefix.size(); });
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

const Route* Snapshot::Match(std::string_view path) const {
  const auto found = std::ranges::find_if(
      this->by_prefix,
      [path](const Route* route) { return path.starts_with(route->prefix); });
  return found == this->by_prefix.end() ? nullptr : *found;
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
