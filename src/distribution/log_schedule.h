// When to ask the log again: one call at a time, and after failures with a
// growing, jittered pause.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <random>

#include "tanagerledge/types.h"

namespace tanagerledge {

class LogSchedule {
 public:
  LogSchedule(std::chrono::milliseconds least_pause,
              std::chrono::milliseconds greatest_pause)
      : least(least_pause), greatest(greatest_pause), pause(least_pause) {}

  bool IsDue(Instant now) const { return !this->in_flight && now >= this->at; }
  bool busy() const { return this->in_flight; }
  bool failing() const { return this->failed; }

  void Start() { this->in_flight = true; }

  void Succeed(Instant now, std::chrono::milliseconds until_next) {
    this->in_flight = false;
    this->failed = false;
    this->pause = this->least;
    this->at = now + until_next;
  }

  void Fail(Instant now, std::mt19937_64& random) {
    this->in_flight = false;
    this->failed = true;
    const auto half = this->pause / 2;
    const std::chrono::milliseconds jitter(
        random() % static_cast<std::uint64_t>(half.count() + 1));
    this->at = now + half + jitter;
    this->pause = std::min(this->pause * 2, this->greatest);
  }

 private:
  std::chrono::milliseconds least;
  std::chrono::milliseconds greatest;
  std::chrono::milliseconds pause;
  Instant at{};
  bool in_flight = false;
  bool failed = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_LOG_SCHEDULE_H_
