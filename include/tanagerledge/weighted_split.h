// Chooses the service for each request of a weighted route.
//
// Load pattern: releases move a route to a new service step by step. The shares
// must be exact after few requests, even on a node that gets few of them.
// Therefore the split is a smooth weighted round robin instead of random: each
// request adds the weight of each service to its credit, and the service with
// the most credit takes the request and pays the total weight. Load is not
// considered: requests that exceed the capacity of one service are refused
// there and don't move to another.

#ifndef TANAGERLEDGE_WEIGHTED_SPLIT_H_
#define TANAGERLEDGE_WEIGHTED_SPLIT_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "tanagerledge/mesh_config.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class WeightedSplit {
 public:
  // `phase` differs between nodes, so that they don't all start with the same
  // service.
  explicit WeightedSplit(std::uint64_t phase) : phase_offset(phase) {}

  // Chooses the service for the next request of the route.
  const ServiceName& Next(const MeshRoute& route);

 private:
  struct Share {
    std::vector<WeightedService> services;  // The weights behind `credit`.
    std::vector<std::int64_t> credit;
  };

  // Starts a new round with the current weights of the route.
  void Reset(Share& share, const MeshRoute& route) const;

  std::uint64_t phase_offset;
  std::unordered_map<RouteName, Share> share_by_route;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_WEIGHTED_SPLIT_H_
