// The schedule of a node's shutdown: until when it accepts calls, and by when
// it has answered them.
//
// The platform gives a stopping node a grace period. Callers learn of the
// shutdown some time after it began and send calls until then. These calls must
// be answered before the process ends, so their deadlines are shortened, or
// they are rejected if they cannot be answered in time.
//
// The class does no I/O; the caller passes the time.

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
  // The node accepts calls from other nodes until this time.
  Instant peer_calls_until() const;
  // The node accepts calls from its own callers until this time, because they
  // may not know of the shutdown before.
  Instant caller_calls_until() const;
  // Calls without an answer at this time are aborted, and their callers receive
  // an error.
  Instant answer_by() const;
  // All answers have been written by this time.
  Instant end_by() const;

  // Returns the shortened deadline of a call that arrives now, or nothing if
  // the call cannot be answered before the end of the shutdown. `work` is the
  // usual duration of such calls.
  std::optional<Instant> DeadlineFor(Instant deadline,
                                     std::chrono::microseconds work,
                                     Instant now) const;

 private:
  Instant start;
  std::chrono::milliseconds grace;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_STOP_PLAN_H_
