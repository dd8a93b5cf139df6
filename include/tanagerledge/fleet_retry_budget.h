// Limits the retries that one node adds to the load of a service.
//
// Many backend servers may fail or reject calls at the same time. In any
// window, the retries of all nodes together must stay below a ratio of the
// requests plus a fixed allowance for the fleet. Each node therefore spends
// only the ratio of its own requests and its share of the allowance, which is
// divided by the number of live nodes.
//
// When backend servers reject half of all calls, the budget is far too small
// for all retries. A part of it is reserved for calls made by requests that are
// already running. A caller whose call is rejected can send it again later, but
// a running request that loses one of its calls fails, and the work done for it
// is wasted.
//
// The class does no I/O. Requests and retries are counted in slices of the
// window, so the limit holds for a window that starts at any time.

#ifndef TANAGERLEDGE_FLEET_RETRY_BUDGET_H_
#define TANAGERLEDGE_FLEET_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Who made the call that is retried.
enum class RetryOrigin {
  kCaller,
  // A backend server made the call while it executed another request.
  kRunningRequest,
};

struct FleetRetryConfig {
  double ratio = 0.2;  // Retries per request.
  double extra = 10;   // Additional retries of the whole fleet per window.
  std::chrono::milliseconds window{10000};
  // Fraction of the budget that is never spent. It covers calls that retried
  // requests make on other nodes, which count as retries too, and nodes that
  // disagree on the number of live nodes.
  double reserve = 0.4;
  // Fraction of the remaining budget that retries for callers may use.
  double caller_share = 0.5;
};

class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(FleetRetryConfig retry_config)
      : config(retry_config) {}

  void SetLiveNodes(std::size_t count) { this->live_nodes = count; }

  // Counts a request that was sent to the service for the first time.
  void OnRequest(const ServiceName& service, Instant now);

  // Counts a request that was made while its parent request ran as a retry. It
  // counts as a retry of its target service, but is never rejected, because
  // that would fail the parent request.
  void OnRequestWithinRetry(const ServiceName& service, Instant now);

  // Consumes one retry. Returns false if the budget is exhausted.
  bool TrySpend(const ServiceName& service, RetryOrigin origin, Instant now);

 private:
  static constexpr std::size_t kSlices = 20;

  struct Slice {
    // Index of the slice, counted from the clock's epoch.
    std::int64_t number = -1;
    int requests = 0;
    int retries = 0;
  };
  using Window = std::array<Slice, kSlices>;

  std::int64_t SliceNumber(Instant now) const;
  Slice& SliceAt(Window& window, Instant now) const;

  FleetRetryConfig config;
  std::size_t live_nodes = 1;
  std::unordered_map<ServiceName, Window> windows;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FLEET_RETRY_BUDGET_H_
