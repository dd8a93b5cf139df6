// Asks the backend server stand-ins which keys ran, and holds that against what
// the callers were told.

#ifndef TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_
#define TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_

#include <string>
#include <vector>

#include "src/adapters/fiber_io.h"

namespace tanagerledge {

struct LoadReportTotal;

// Fills the key counts of `report`. A backend server that does not answer is
// counted as silent: what ran there is not known. In a fiber of the loop.
void CheckKeys(IoLoop& loop,
               const std::vector<std::string>& backends,
               LoadReportTotal& report);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_KEY_CHECK_H_
