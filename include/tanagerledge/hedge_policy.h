// Decides whether a request that is late is sent a second time, to another
// backend server, and when.
//
// Load pattern: now and then a backend server is several times slower for less
// than a second, or a node or link is lost. The few requests that are there
// then make up the slowest responses of a route, while other backend servers
// are idle. A second send takes a slot from other requests, so that it is
// limited to a share of the service's requests, is never made while the service
// is short of slots, and takes from the same budget as retries.
//
// The delay is a quantile of the recent answer times of the route. The quantile
// follows from the share: if the operators accept 2 % more sends, the slowest
// 2 % of the requests are late enough for one.
//
// The class does no I/O and reads no clock. Requests are counted in slices of
// the window, so the share holds for a window that starts at any time.

#ifndef TANAGERLEDGE_HEDGE_POLICY_H_
#define TANAGERLEDGE_HEDGE_POLICY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "tanagerledge/fleet_retry_budget.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct HedgeConfig {
  // Second sends per request. 0: no request is ever sent a second time.
  double extra_requests = 0;
  std::chrono::milliseconds window{20000};
  // A route with fewer answers in the window has no delay yet: with fewer, the
  // slowest 2 % would be one or two answers.
  int min_answers = 100;
  // Running and waiting calls for each slot from which on the service counts as
  // short of slots. The work of the calls varies, so that waits begin well
  // below 1.
  double max_load_per_slot = 0.7;
};

// A request that has no answer after its delay.
struct HedgeQuestion {
  ServiceName service;
  RetryOrigin origin = RetryOrigin::kCaller;
  int attempts = 1;  // Sends that may have reached a backend server so far.
  int max_attempts = 1;
  double load_per_slot = 0;     // Of the service.
  bool has_other_node = false;  // A node that has not had the request is left.
  bool has_time = false;        // The work fits into the deadline.
};

enum class HedgeVerdict {
  kSend,
  kNoTime,
  kAttemptsUsed,
  kNoOtherNode,
  kShortOfSlots,
  kShareUsed,
  kBudgetUsed,
};
inline constexpr std::size_t kHedgeVerdicts = 7;

class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeConfig hedge_config) : config(hedge_config) {}

  bool enabled() const { return this->config.extra_requests > 0; }

  // Counts a request that may be sent a second time.
  void OnRequest(const ServiceName& service, Instant now);

  // A first send was answered after `took`. If the answer to the second send
  // came first, `took` is the time until then, which the first exceeds.
  void OnAnswer(const RouteName& route,
                std::chrono::microseconds took,
                Instant now);

  // How long after its first send a request counts as late; empty while too
  // little is known of the route.
  std::optional<std::chrono::microseconds> DelayOf(const RouteName& route,
                                                   Instant now) const;

  // Consumes a second send, and a retry of `budget`, if the result is kSend.
  HedgeVerdict Decide(const HedgeQuestion& question,
                      FleetRetryBudget& budget,
                      Instant now);

 private:
  static constexpr std::size_t kSlices = 20;
  // Each octave of answer times has four buckets, so a delay is exact to 19 %.
  // They cover 0.25 ms to 65 s.
  static constexpr std::size_t kBucketsPerOctave = 4;
  static constexpr std::size_t kBuckets = 18 * kBucketsPerOctave;
  static constexpr std::chrono::microseconds kFirstBound{250};

  struct Slice {
    std::int64_t number = -1;  // Counted from the clock's epoch.
    int requests = 0;
    int hedges = 0;
  };
  using Window = std::array<Slice, kSlices>;

  // Answer times of the current half of the window and of the one before.
  struct Answers {
    std::int64_t half = -1;
    std::array<std::uint32_t, kBuckets> current{};
    std::array<std::uint32_t, kBuckets> previous{};
  };

  std::int64_t SliceNumber(Instant now) const;
  std::int64_t HalfNumber(Instant now) const;
  Slice& SliceAt(Window& window, Instant now) const;
  bool IsShareUsed(const ServiceName& service, Instant now);

  HedgeConfig config;
  std::unordered_map<ServiceName, Window> windows;
  std::unordered_map<RouteName, Answers> answers_by_route;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_HEDGE_POLICY_H_
