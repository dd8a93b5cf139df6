// A measured number that loses its say with age, shared by threads.
//
// Value and time are one 64-bit atomic, so that updates are never torn or lost.

#ifndef TANAGERLEDGE_SRC_ROUTING_AGED_VALUE_H_
#define TANAGERLEDGE_SRC_ROUTING_AGED_VALUE_H_

#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "tanagerledge/types.h"

namespace tanagerledge {

class AgedValue {
 public:
  // The part of its weight that a value keeps until `now`: 1 when fresh, 1/2
  // after `half_life`, 0 when nothing was ever measured.
  float Weight(Instant now, std::chrono::milliseconds half_life) const {
    const Sample last = this->sample.load(std::memory_order_relaxed);
    return last.known() ? Fade(last, now, half_life) : 0;
  }

  // The value drawn towards `rest` by its age; `rest` if none was measured.
  float Towards(float rest,
                Instant now,
                std::chrono::milliseconds half_life) const {
    const Sample last = this->sample.load(std::memory_order_relaxed);
    if (!last.known()) {
      return rest;
    }
    return rest + (last.value - rest) * Fade(last, now, half_life);
  }

  // Moves the aged value by `gain` (0 to 1) towards `measured`. The first
  // measurement starts from `rest`.
  void Blend(float measured,
             float gain,
             float rest,
             Instant now,
             std::chrono::milliseconds half_life) {
    this->Update(now, [&](const Sample& old) {
      const float aged =
          old.known() ? rest + (old.value - rest) * Fade(old, now, half_life)
                      : rest;
      return aged + (measured - aged) * gain;
    });
  }

  // Adds to a count that decays to 0.
  void Add(float amount, Instant now, std::chrono::milliseconds half_life) {
    this->Update(now, [&](const Sample& old) {
      const float aged =
          old.known() ? old.value * Fade(old, now, half_life) : 0;
      return aged + amount;
    });
  }

 private:
  struct Sample {
    float value = 0;
    std::uint32_t at_ms = 0;  // 0: nothing was measured.

    bool known() const { return this->at_ms != 0; }
  };

  static std::uint32_t Milliseconds(Instant now) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    return static_cast<std::uint32_t>(time.count()) | 1U;
  }

  static float Fade(const Sample& sample,
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

#endif  // TANAGERLEDGE_SRC_ROUTING_AGED_VALUE_H_
