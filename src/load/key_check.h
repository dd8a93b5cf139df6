// Queries the fake backend servers for the idempotency keys that they ran, and
// compares these with the outcomes that callers received.

#ifndef TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_
#define TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_

#include <string>
#include <vector>

#include "src/adapters/fiber_io.h"

namespace tanagerledge {

struct LoadRunReport;

// Fills in the key counts of `report`. A backend server that does not answer is
// counted as unavailable, because it is not known which keys ran there. Must be
// called in a fiber of the loop.
void CheckKeys(IoLoop& loop,
               const std::vector<std::string>& backends,
               LoadRunReport& report);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_
