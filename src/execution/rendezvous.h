// Rendezvous hashing: all nodes with the same list of members select the same
// nodes for a key.

#ifndef TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_
#define TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Returns the `count` best nodes for `key`, best first, or all nodes if there
// are fewer.
std::vector<NodeId> BestNodesFor(std::uint64_t key,
                                 const std::vector<NodeId>& nodes,
                                 std::size_t count);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_RENDEZVOUS_H_
