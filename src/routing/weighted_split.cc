#include "tanagerledge/weighted_split.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace tanagerledge {
namespace {

std::int64_t TotalWeight(const std::vector<WeightedService>& services) {
  return std::accumulate(services.begin(), services.end(), std::int64_t{0},
                         [](std::int64_t sum, const WeightedService& each) {
                           return sum + each.weight;
                         });
}

}  // namespace

const ServiceName& WeightedSplit::Next(const MeshRoute& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  Share& share = this->share_by_route[route.name];
  if (share.services != route.services) {
    this->Reset(share, route);
  }
  for (std::size_t i = 0; i < share.credit.size(); ++i) {
    share.credit[i] += route.services[i].weight;
  }
  const auto most_credit = std::ranges::max_element(share.credit);
  *most_credit -= TotalWeight(route.services);
  const auto index = std::distance(share.credit.begin(), most_credit);
  return route.services[static_cast<std::size_t>(index)].service;
}

void WeightedSplit::Reset(Share& share, const MeshRoute& route) const {
  share.services = route.services;
  share.credit.assign(route.services.size(), 0);
  const std::int64_t total = TotalWeight(route.services);
  if (total <= 0) {
    return;
  }
  // Each node starts at another point of the round: it moves a credit of
  // `phase` from the last service to the first.
  const auto phase = static_cast<std::int64_t>(
      this->phase_offset % static_cast<std::uint64_t>(total));
  share.credit.front() = phase;
  share.credit.back() -= phase;
}

}  // namespace tanagerledge
