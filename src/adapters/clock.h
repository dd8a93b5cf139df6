// The clocks of this process. Decisions get the time as an argument; whoever
// hosts them reads it here.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_
#define TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "tanagerledge/types.h"

namespace tanagerledge {

inline Instant Now() {
  return std::chrono::steady_clock::now();
}

// For a node that starts now: greater than that of its last start.
inline Incarnation NewIncarnation() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count())};
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_
