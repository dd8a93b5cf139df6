#include "tanagerledge/stop_plan.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// All nodes know of the shutdown one second after it began, which is before
// this node's own callers leave.
constexpr milliseconds kPeerCallsDuration{1300};
// The platform checks readiness every second and removes a node from service
// after two failed checks. Callers send calls until then.
constexpr milliseconds kCallerCallsDuration{2300};
// The platform tolerates calls that are still running in the last sixth (4/24)
// of the grace period, and ends the process after it. Deadlines are therefore
// shortened at most to the beginning of that sixth. A call that ends at its
// deadline has a quarter of it (1/24 of the grace period) to return its answer:
// two hops, each of which may be late by some 10 ms on a slow machine, with
// margins of 25 and 60 ms. Another quarter is for writing answers.
constexpr int kMaxDeadlineParts = 20;
constexpr int kAnswerParts = 21;
constexpr int kEndParts = 22;
constexpr int kGraceParts = 24;
// Calls take at least 20 ms.
constexpr milliseconds kMinWork{20};

}  // namespace

StopPlan::StopPlan(Instant stop_began, milliseconds grace_time)
    : start(stop_began), grace(std::max(milliseconds(0), grace_time)) {}

Instant StopPlan::peer_calls_until() const {
  return std::min(this->start + kPeerCallsDuration, this->answer_by());
}

Instant StopPlan::caller_calls_until() const {
  return std::min(this->start + kCallerCallsDuration, this->answer_by());
}

Instant StopPlan::answer_by() const {
  return this->start + this->grace * kAnswerParts / kGraceParts;
}

Instant StopPlan::end_by() const {
  return this->start + this->grace * kEndParts / kGraceParts;
}

std::optional<Instant> StopPlan::DeadlineFor(Instant deadline,
                                             microseconds work,
                                             Instant now) const {
  const Instant latest =
      this->start + this->grace * kMaxDeadlineParts / kGraceParts;
  if (deadline <= latest) {
    return deadline;
  }
  const auto needed = std::max<microseconds>(work, kMinWork);
  return now + needed <= latest ? std::optional(latest) : std::nullopt;
}

}  // namespace tanagerledge
