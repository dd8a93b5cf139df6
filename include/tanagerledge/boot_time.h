// Time since the machine was started, including the time for which it was
// suspended. The steady clock of Instant stands still then.

#ifndef TANAGERLEDGE_BOOT_TIME_H_
#define TANAGERLEDGE_BOOT_TIME_H_

#include <chrono>

namespace tanagerledge {

// The clock that src/adapters/clock.h reads as BootNow().
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
};

using BootInstant = BootClock::time_point;

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BOOT_TIME_H_
