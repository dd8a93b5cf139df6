// Counts this node's calls of the store by purpose. Each call has a price, and
// all nodes share the store's limits.

#ifndef TANAGERLEDGE_SRC_SIDECAR_STORE_CALLS_H_
#define TANAGERLEDGE_SRC_SIDECAR_STORE_CALLS_H_

#include <cstdint>

namespace tanagerledge {

struct StoreCalls {
  std::uint64_t config_reads = 0;  // Of the newest configuration.
  std::uint64_t config_polls = 0;  // Reads that may wait for a new one.
  std::uint64_t proof_reads = 0;   // Of the end of its stream; see ConfigProof.
  std::uint64_t list_reads = 0;    // Of the node list, whatever its pages.
  std::uint64_t record_writes = 0;
  std::uint64_t status_reads = 0;  // Of roll-outs.
  std::uint64_t status_writes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_STORE_CALLS_H_
