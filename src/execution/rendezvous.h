// Rendezvous hashing: every node that knows the same members picks the same.

#ifndef TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_
#define TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// The `count` best nodes for `what`, best first; fewer when there are fewer.
std::vector<NodeId> BestNodesFor(std::uint64_t what,
                                 const std::vector<NodeId>& nodes,
                                 std::size_t count);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_
