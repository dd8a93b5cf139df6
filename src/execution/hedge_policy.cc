#include "tanagerledge/hedge_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;

// Below the lower one, ordinary answers would be late; above the upper one, the
// quantile would rest on too few answers.
constexpr double kMinQuantile = 0.9;
constexpr double kMaxQuantile = 0.99;

}  // namespace

std::int64_t HedgePolicy::SliceNumber(Instant now) const {
  return now.time_since_epoch() / (this->config.window / kSlices);
}

std::int64_t HedgePolicy::HalfNumber(Instant now) const {
  return now.time_since_epoch() / (this->config.window / 2);
}

HedgePolicy::Slice& HedgePolicy::SliceAt(Window& window, Instant now) const {
  const std::int64_t number = this->SliceNumber(now);
  Slice& slice = window[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return slice;
}

void HedgePolicy::OnRequest(const ServiceName& service, Instant now) {
  if (this->enabled()) {
    ++this->SliceAt(this->windows[service], now).requests;
  }
}

void HedgePolicy::OnAnswer(const RouteName& route,
                           microseconds took,
                           Instant now) {
  if (!this->enabled()) {
    return;
  }
  Answers& answers = this->answers_by_route[route];
  const std::int64_t half = this->HalfNumber(now);
  if (answers.half != half) {
    answers.previous = answers.half == half - 1
                           ? answers.current
                           : std::array<std::uint32_t, kBuckets>{};
    answers.current.fill(0);
    answers.half = half;
  }
  const double octaves =
      std::log2(static_cast<double>(std::max<std::int64_t>(1, took.count())) /
                static_cast<double>(kFirstBound.count()));
  const auto bucket = static_cast<std::size_t>(
      std::clamp(std::ceil(octaves * kBucketsPerOctave), 0.0,
                 static_cast<double>(kBuckets - 1)));
  ++answers.current[bucket];
}

std::optional<microseconds> HedgePolicy::DelayOf(const RouteName& route,
                                                 Instant now) const {
  const auto found = this->answers_by_route.find(route);
  if (found == this->answers_by_route.end()) {
    return std::nullopt;
  }
  const Answers& answers = found->second;
  const std::int64_t age = this->HalfNumber(now) - answers.half;
  const auto count_in = [&](std::size_t bucket) -> std::uint64_t {
    switch (age) {
      case 0:
        return answers.current[bucket] + answers.previous[bucket];
      case 1:
        return answers.current[bucket];
      default:
        return 0;  // All answers are older than the window.
    }
  };
  std::uint64_t total = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    total += count_in(bucket);
  }
  if (total < static_cast<std::uint64_t>(this->config.min_answers)) {
    return std::nullopt;
  }
  const double quantile =
      std::clamp(1.0 - this->config.extra_requests, kMinQuantile, kMaxQuantile);
  const auto wanted = static_cast<std::uint64_t>(std::ceil(quantile * total));
  std::uint64_t below = 0;
  std::size_t bucket = 0;
  while (below + count_in(bucket) < wanted) {
    below += count_in(bucket);
    ++bucket;
  }
  // The upper bound of the bucket that holds the quantile.
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(kFirstBound.count()) *
      std::exp2(static_cast<double>(bucket) / kBucketsPerOctave)));
}

bool HedgePolicy::IsShareUsed(const ServiceName& service, Instant now) {
  Window& window = this->windows[service];
  const std::int64_t oldest =
      this->SliceNumber(now) - static_cast<std::int64_t>(kSlices);
  const Slice sum = std::accumulate(window.begin(), window.end(), Slice{},
                                    [oldest](Slice all, const Slice& slice) {
                                      if (slice.number > oldest) {
                                        all.requests += slice.requests;
                                        all.hedges += slice.hedges;
                                      }
                                      return all;
                                    });
  return sum.hedges + 1 > this->config.extra_requests * sum.requests;
}

HedgeVerdict HedgePolicy::Decide(const HedgeQuestion& question,
                                 FleetRetryBudget& budget,
                                 Instant now) {
  if (!question.has_time) {
    return HedgeVerdict::kNoTime;
  }
  if (question.attempts >= question.max_attempts) {
    return HedgeVerdict::kAttemptsUsed;
  }
  if (!question.has_other_node) {
    return HedgeVerdict::kNoOtherNode;
  }
  if (question.load_per_slot >= this->config.max_load_per_slot) {
    return HedgeVerdict::kShortOfSlots;
  }
  if (this->IsShareUsed(question.service, now)) {
    return HedgeVerdict::kShareUsed;
  }
  if (!budget.TrySpend(question.service, question.origin, now)) {
    return HedgeVerdict::kBudgetUsed;
  }
  ++this->SliceAt(this->windows[question.service], now).hedges;
  return HedgeVerdict::kSend;
}

}  // namespace tanagerledge
