// How many retries of a service one node may add to the load of its backend
// servers.
//
// Load pattern: many backend servers fail or turn calls away at once. Retries
// of all nodes together must stay under a ratio of the requests plus a fixed
// extra in any window, so each node spends only the ratio of the requests that
// it sent itself, and its part of the extra by the number of live nodes. Where
// backend servers turn away half of all calls the budget is far too small for
// all; a part of it is kept for the calls of running requests, which have no
// other way: a caller that is refused may come back, but a request whose call
// is refused has run in vain.
//
// Pure. Counts lie in slices of the window, so that any span counts.

#ifndef TANAGERLEDGE_FLEET_RETRY_BUDGET_H_
#define TANAGERLEDGE_FLEET_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Whose call is to be tried again.
enum class RetryOrigin {
  kCaller,
  kRunningRequest,  // The call was made by a backend server for what it runs.
};

struct FleetRetryConfig {
  double ratio = 0.2;  // Retries for each request.
  double extra = 10;   // Of the whole fleet in a window.
  std::chrono::milliseconds window{10000};
  // Part of the budget that is left unspent: calls that repeated runs make on
  // other nodes count as well, and nodes may disagree on how many live.
  double reserve = 0.4;
  // Part of the rest that retries for callers may use up.
  double callers_part = 0.5;
};

class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(FleetRetryConfig retry_config)
      : config(retry_config) {}

  void SetLiveNodes(std::size_t count) { this->live_nodes = count; }

  // A request for the service was sent on for the first time.
  void OnRequest(const ServiceName& service, Instant now);

  // A request that a repeated run made: it counts as a repeat of the service
  // that it goes to, and can't be held back without failing its parent.
  void OnRequestWithinRetry(const ServiceName& service, Instant now);

  // Takes one retry; false when the budget is spent.
  bool TrySpend(const ServiceName& service, RetryOrigin whom, Instant now);

 private:
  static constexpr std::size_t kSlices = 20;

  struct Slice {
    std::int64_t number = -1;  // Of the slice since the clock's epoch.
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
