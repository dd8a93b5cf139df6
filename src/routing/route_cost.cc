#include "tanagerledge/route_cost.h"

#include <algorithm>
#include <cstdint>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;

// Each sample after this many has a weight of 1 / kMaxSamples.
constexpr int kMaxSamples = 64;
// Approximate total size of the headers, lengths and frames of both messages.
constexpr std::size_t kOverheadBytes = 350;

microseconds ToMicroseconds(double us) {
  return microseconds(static_cast<std::int64_t>(us));
}

}  // namespace

void RouteCost::Add(const RouteSample& sample) {
  this->samples = std::min(this->samples + 1, kMaxSamples);
  const auto update = [this](double& mean, double value) {
    mean += (value - mean) / this->samples;
  };
  const microseconds nested_wait = sample.work.count() > 0
                                       ? sample.backend_time - sample.work
                                       : microseconds{0};
  update(this->backend_time_us,
         static_cast<double>(sample.backend_time.count()));
  update(this->nested_wait_us,
         std::max(0.0, static_cast<double>(nested_wait.count())));
  update(this->answer_bytes, static_cast<double>(sample.answer_bytes));
}

microseconds RouteCost::backend_time() const {
  return ToMicroseconds(this->backend_time_us);
}

microseconds RouteCost::nested_wait() const {
  return ToMicroseconds(this->nested_wait_us);
}

std::size_t RouteCost::BytesWith(std::size_t request_bytes) const {
  return kOverheadBytes + request_bytes +
         static_cast<std::size_t>(this->answer_bytes);
}

}  // namespace tanagerledge
