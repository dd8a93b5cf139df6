#include "tanagerledge/stop_plan.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// News of the stop are with all nodes a second later, before callers leave.
constexpr milliseconds kServe{1300};
// The platform asks for readiness every second and takes a node out after two
// misses: until then its callers go on sending.
constexpr milliseconds kCallersLeave{2300};
// The platform excuses calls that are still at work in the last sixth of the
// grace, and ends the process after it. So time limits are brought forward to
// its begin at most, and an answer at the limit has a quarter of it to come
// back: two hops, each late by some 10 ms on a slow machine, and their margins
// of 25 and 60 ms. Another quarter is for writing answers.
constexpr int kLimitParts = 20;
constexpr int kAnswerParts = 21;
constexpr int kEndParts = 22;
constexpr int kParts = 24;
// Work takes 20 ms and more.
constexpr milliseconds kLeastWork{20};

}  // namespace

StopPlan::StopPlan(Instant stop_began, milliseconds grace_time)
    : start(stop_began), grace(std::max(milliseconds(0), grace_time)) {}

Instant StopPlan::peer_calls_until() const {
  return std::min(this->start + kServe, this->answer_by());
}

Instant StopPlan::caller_calls_until() const {
  return std::min(this->start + kCallersLeave, this->answer_by());
}

Instant StopPlan::answer_by() const {
  return this->start + this->grace * kAnswerParts / kParts;
}

Instant StopPlan::end_by() const {
  return this->start + this->grace * kEndParts / kParts;
}

std::optional<Instant> StopPlan::DeadlineFor(Instant deadline,
                                             microseconds work,
                                             Instant now) const {
  const Instant latest = this->start + this->grace * kLimitParts / kParts;
  if (deadline <= latest) {
    return deadline;
  }
  const auto needed = std::max<microseconds>(work, kLeastWork);
  return now + needed <= latest ? std::optional(latest) : std::nullopt;
}

}  // namespace tanagerledge
