// What a node that stops still takes, and by when it has answered.
//
// Whoever stops a node gives it a time of grace. Callers notice a while after
// it; what is taken until then must be answered before the process ends, so its
// time limit is brought forward, or it is refused when it can't be met.
//
// Pure: the caller hands over the time.

#ifndef TANAGERLEDGE_STOP_PLAN_H_
#define TANAGERLEDGE_STOP_PLAN_H_

#include <chrono>
#include <optional>

#include "tanagerledge/types.h"

namespace tanagerledge {

class StopPlan {
 public:
  StopPlan(Instant stop_began, std::chrono::milliseconds grace);

  Instant began() const { return this->start; }
  // Until then calls of other nodes are welcome.
  Instant peer_calls_until() const;
  // Until then a node's own callers may not know of the stop.
  Instant caller_calls_until() const;
  // What is not answered by then is given up, and its caller is told.
  Instant answer_by() const;
  // All answers are written by then.
  Instant end_by() const;

  // The time limit of a call that is taken now; nothing when it can't be
  // answered before the end. `work` is what such calls usually take.
  std::optional<Instant> DeadlineFor(Instant deadline,
                                     std::chrono::microseconds work,
                                     Instant now) const;

 private:
  Instant start;
  std::chrono::milliseconds grace;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_STOP_PLAN_H_
