// A measured value whose weight decays with its age. It can be shared by
// threads.
//
// The value and its time are stored in one 64-bit atomic, so that updates are
// never torn or lost.

#ifndef TANAGERLEDGE_SRC_ROUTING_DECAYING_VALUE_H_
#define TANAGERLEDGE_SRC_ROUTING_DECAYING_VALUE_H_

#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "tanagerledge/types.h"

namespace tanagerledge {

class DecayingValue {
 public:
  // The remaining weight of the value at `now`: 1 when it is new, 1/2 after
  // `half_life`, and 0 if nothing was ever measured.
  float Weight(Instant now, std::chrono::milliseconds half_life) const {
    const Sample last = this->sample.load(std::memory_order_relaxed);
    return last.is_set() ? DecayFactor(last, now, half_life) : 0;
  }

  // The value after it has decayed towards `baseline` with its age, or
  // `baseline` if nothing was measured.
  float DecayedTowards(float baseline,
                       Instant now,
                       std::chrono::milliseconds half_life) const {
    const Sample last = this->sample.load(std::memory_order_relaxed);
    if (!last.is_set()) {
      return baseline;
    }
    return baseline +
           (last.value - baseline) * DecayFactor(last, now, half_life);
  }

  // Moves the decayed value towards `measured` by the share `gain` (0 to 1).
  // The first measurement starts from `baseline`.
  void Blend(float measured,
             float gain,
             float baseline,
             Instant now,
             std::chrono::milliseconds half_life) {
    this->Update(now, [&](const Sample& old) {
      const float decayed =
          old.is_set() ? baseline + (old.value - baseline) *
                                        DecayFactor(old, now, half_life)
                       : baseline;
      return decayed + (measured - decayed) * gain;
    });
  }

  // Adds to a count that decays towards 0.
  void Add(float amount, Instant now, std::chrono::milliseconds half_life) {
    this->Update(now, [&](const Sample& old) {
      const float decayed =
          old.is_set() ? old.value * DecayFactor(old, now, half_life) : 0;
      return decayed + amount;
    });
  }

 private:
  struct Sample {
    float value = 0;
    std::uint32_t at_ms = 0;  // 0 if nothing was measured.

    bool is_set() const { return this->at_ms != 0; }
  };

  static std::uint32_t Milliseconds(Instant now) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    return static_cast<std::uint32_t>(time.count()) | 1U;
  }

  static float DecayFactor(const Sample& sample,
                           Instant now,
                           std::chrono::milliseconds half_life) {
    const auto age =
        static_cast<std::int32_t>(Milliseconds(now) - sample.at_ms);
    if (age <= 1) {
      return 1;
    }
    return std::exp2(-static_cast<float>(age) /
                     static_cast<float>(half_life.count()));
  }

  template <typename Next>
  void Update(Instant now, Next next) {
    Sample old = this->sample.load(std::memory_order_relaxed);
    Sample changed;
    do {
      changed = {next(old), Milliseconds(now)};
    } while (!this->sample.compare_exchange_weak(old, changed,
                                                 std::memory_order_relaxed));
  }

  std::atomic<Sample> sample{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROUTING_DECAYING_VALUE_H_
