// A running mean of durations with its mean deviation.

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
    this->count = std::min(this->count + 1, kWindow);
    const Seconds error = sample - this->mean_value;
    this->mean_value += error / this->count;
    const Seconds size{std::abs(error.count())};
    this->deviation_value += (size - this->deviation_value) / this->count;
  }

  bool known() const { return this->count > 0; }
  Seconds mean() const { return this->mean_value; }
  Seconds deviation() const { return this->deviation_value; }

 private:
  static constexpr int kWindow = 16;  // Samples that still have a say.

  int count = 0;
  Seconds mean_value{0};
  Seconds deviation_value{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TIME_ESTIMATE_H_
