// The clocks of this process. Decision logic gets the time as an argument; the
// code that hosts it reads the clock here.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_
#define TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

#include "tanagerledge/boot_time.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

inline Instant Now() {
  return std::chrono::steady_clock::now();
}

// Also counts the time for which the machine was suspended.
inline BootInstant BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return BootInstant(std::chrono::seconds(now.tv_sec) +
                     std::chrono::nanoseconds(now.tv_nsec));
}

// The wall clock. It may jump, and differs between nodes.
inline std::int64_t UnixMilliseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

// The incarnation of a node that starts now: the wall clock in milliseconds, so
// that it is greater than the one of the node's previous start.
inline Incarnation NewIncarnation() {
  return Incarnation{static_cast<std::uint64_t>(UnixMilliseconds())};
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_CLOCK_H_
