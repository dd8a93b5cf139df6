// Schedules calls of the log: one call at a time, with exponential, jittered
// backoff after failures.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <random>

#include "tanagerledge/types.h"

namespace tanagerledge {

class LogSchedule {
 public:
  LogSchedule(std::chrono::milliseconds min_delay,
              std::chrono::milliseconds max_delay)
      : min_backoff(min_delay), max_backoff(max_delay), backoff(min_delay) {}

  bool IsDue(Instant now) const {
    return !this->in_flight && now >= this->next_call_at;
  }
  bool busy() const { return this->in_flight; }
  bool failing() const { return this->failed; }

  void OnStart() { this->in_flight = true; }

  void OnSuccess(Instant now, std::chrono::milliseconds delay) {
    this->in_flight = false;
    this->failed = false;
    this->backoff = this->min_backoff;
    this->next_call_at = now + delay;
  }

  void OnFailure(Instant now, std::mt19937_64& random) {
    this->in_flight = false;
    this->failed = true;
    const auto half = this->backoff / 2;
    const std::chrono::milliseconds jitter(
        random() % static_cast<std::uint64_t>(half.count() + 1));
    this->next_call_at = now + half + jitter;
    this->backoff = std::min(this->backoff * 2, this->max_backoff);
  }

 private:
  std::chrono::milliseconds min_backoff;
  std::chrono::milliseconds max_backoff;
  std::chrono::milliseconds backoff;
  Instant next_call_at{};
  bool in_flight = false;
  bool failed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_
