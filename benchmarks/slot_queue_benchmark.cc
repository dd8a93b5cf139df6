// Measures what fair shares of client accounts add to a call at the slot queue
// of a backend server.
//
// Bounds, as ratios of the time of a call without an account, with the same
// number of calls waiting:
//   - with 80 or 10,000 accounts, a call takes at most 3 times as long;
//   - the difference is less than a hundredth of the 1.1 ms that the users
//     allow two nodes to add to a call.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "benchmarks/bounds.h"
#include "tanagerledge/slot_queue.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using Nanoseconds = std::chrono::duration<double, std::nano>;

constexpr Nanoseconds kMaxAddedLatency = microseconds(1'100);
constexpr int kSlots = 12;
constexpr int kWaiting = 40;

// Offers a call and ends the oldest one, with a line of calls all the time.
Nanoseconds MeasureCall(int accounts) {
  constexpr int kRounds = 7;
  constexpr int kCalls = 20'000;
  std::vector<std::string> names;
  for (int number = 0; number < accounts; ++number) {
    names.push_back("client-account-" + std::to_string(number));
  }
  SlotQueue queue;
  Instant now{std::chrono::hours(1)};
  std::deque<std::uint64_t> running;
  std::uint64_t last_id = 0;
  const auto apply = [&](const SlotActions& actions) {
    std::ranges::for_each(actions, [&](const SlotAction& action) {
      if (const auto* start = std::get_if<StartCall>(&action)) {
        running.push_back(start->id);
      }
    });
  };
  const auto offer = [&] {
    SlotRequest request;
    request.id = ++last_id;
    request.work = "route";
    request.target = now + std::chrono::minutes(1);
    request.deadline = now + std::chrono::minutes(2);
    if (!names.empty()) {
      request.client_account = names[last_id % names.size()];
      request.weight = 1.0 + static_cast<double>(last_id % 7);
    }
    apply(queue.Offer(request, now));
  };
  apply(queue.OnSlots(kSlots, now));
  for (int call = 0; call < kSlots + kWaiting; ++call) {
    offer();
  }
  Nanoseconds minimum = std::chrono::hours(1);
  for (int round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (int call = 0; call < kCalls; ++call) {
      now += microseconds(500);
      const std::uint64_t oldest = running.front();
      running.pop_front();
      apply(queue.OnFinished(oldest, FinishKind::kOk, now));
      offer();
    }
    minimum = std::min(
        minimum,
        Nanoseconds(std::chrono::steady_clock::now() - start) / kCalls);
  }
  return minimum;
}

int Run() {
  Bounds bounds;
  const Nanoseconds none = MeasureCall(0);
  const Nanoseconds few = MeasureCall(80);
  const Nanoseconds many = MeasureCall(10'000);
  bounds.AtMost("slot queue with 80 accounts against none", few / none, 3);
  bounds.AtMost("slot queue with 10,000 accounts against none", many / none, 3);
  bounds.AtMost("slot queue with 10,000 accounts, share of the allowed latency",
                (many - none) / kMaxAddedLatency, 0.01);
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Run();
}
