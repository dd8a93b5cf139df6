// Which service of a weighted route takes the next request.
//
// Load pattern: a release that moves a route to a new service step by step. The
// shares must be exact within few requests, also on a node that sees few of
// them, so the split is not random: each service earns its weight with every
// request and the one that has earned most pays for it. Room plays no part:
// what does not fit in one service is refused there, not moved to another.

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
  // `phase` differs between nodes, so that they do not start in step.
  explicit WeightedSplit(std::uint64_t phase) : start(phase) {}

  // The service for the next request of the route.
  const ServiceName& Next(const MeshRoute& route);

 private:
  struct Share {
    std::vector<WeightedService> services;  // What the credit was earned for.
    std::vector<std::int64_t> credit;
  };

  void Begin(Share& share, const MeshRoute& route) const;

  std::uint64_t start;
  std::unordered_map<RouteName, Share> shares;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_WEIGHTED_SPLIT_H_
