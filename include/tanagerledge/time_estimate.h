// Running mean and mean absolute deviation of a series of durations.

#ifndef TANAGERLEDGE_TIME_ESTIMATE_H_
#define TANAGERLEDGE_TIME_ESTIMATE_H_

#include <algorithm>
#include <chrono>
#include <cmath>

namespace tanagerledge {

using Seconds = std::chrono::duration<double>;

class TimeEstimate {
 public:
  void Add(Seconds sample) {
    this->count = std::min(this->count + 1, kMaxSampleCount);
    const Seconds error = sample - this->mean_value;
    this->mean_value += error / this->count;
    const Seconds absolute_error{std::abs(error.count())};
    this->deviation_value +=
        (absolute_error - this->deviation_value) / this->count;
  }

  bool known() const { return this->count > 0; }
  Seconds mean() const { return this->mean_value; }
  Seconds deviation() const { return this->deviation_value; }

 private:
  // Each sample after this many has a weight of 1 / kMaxSampleCount.
  static constexpr int kMaxSampleCount = 16;

  int count = 0;
  Seconds mean_value{0};
  Seconds deviation_value{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TIME_ESTIMATE_H_
