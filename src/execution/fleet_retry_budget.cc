#include "tanagerledge/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace tanagerledge {

std::int64_t FleetRetryBudget::SliceNumber(Instant now) const {
  const auto slice = this->config.window / kSlices;
  return now.time_since_epoch() / slice;
}

FleetRetryBudget::Slice& FleetRetryBudget::SliceAt(Window& window,
                                                   Instant now) const {
  const std::int64_t number = this->SliceNumber(now);
  Slice& slice = window[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return slice;
}

void FleetRetryBudget::OnRequest(const ServiceName& service, Instant now) {
  ++this->SliceAt(this->windows[service], now).requests;
}

void FleetRetryBudget::OnRequestWithinRetry(const ServiceName& service,
                                            Instant now) {
  ++this->SliceAt(this->windows[service], now).retries;
}

bool FleetRetryBudget::TrySpend(const ServiceName& service,
                                RetryOrigin origin,
                                Instant now) {
  Window& window = this->windows[service];
  Slice& newest = this->SliceAt(window, now);
  const std::int64_t oldest =
      newest.number - static_cast<std::int64_t>(kSlices);
  int requests = 0;
  int retries = 0;
  std::ranges::for_each(window, [&](const Slice& slice) {
    if (slice.number > oldest) {
      requests += slice.requests;
      retries += slice.retries;
    }
  });
  const double extra =
      this->config.extra /
      static_cast<double>(std::max<std::size_t>(1, this->live_nodes));
  const double share =
      origin == RetryOrigin::kCaller ? this->config.caller_share : 1.0;
  const double budget = share * (1.0 - this->config.reserve) *
                        (this->config.ratio * requests + extra);
  if (retries + 1 > budget) {
    return false;
  }
  ++newest.retries;
  return true;
}

}  // namespace tanagerledge
