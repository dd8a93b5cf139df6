// The load that a node reports for its backend server, and how calls end there.

#ifndef TANAGERLEDGE_LOAD_H_
#define TANAGERLEDGE_LOAD_H_

#include <chrono>

#include "tanagerledge/types.h"

namespace tanagerledge {

// The load of one backend server at one moment. Each reply carries it.
struct LoadReport {
  int limit = 0;    // Current concurrency limit; at most the number of slots.
  int running = 0;  // Calls that hold a slot.
  int queued = 0;   // Calls waiting for a slot.
  // Calls of ranks worth less than this are refused now. It is only a hint when
  // ranks have floors: a rank below the level still gets its floor.
  int admission_level = 0;
  std::chrono::microseconds service_time{0};  // Mean over recent calls.
  int failing_permille = 0;  // Share of recent calls that did not succeed.
  double slowdown = 1;       // Recent work time over the usual one here.

  bool operator==(const LoadReport&) const = default;
};

// The usual time that one kind of work takes at one backend server.
struct KindTime {
  RouteName kind;
  std::chrono::microseconds time{0};
  int samples = 0;  // Calls that it is known from.

  bool operator==(const KindTime&) const = default;
};

// The result of a call that was sent to a backend server.
enum class FinishKind {
  kOk,
  kFailed,  // The call ran, and its answer reports a failure.
  kShed,    // The call was refused and did not run.
  kLost,    // The connection was lost; the call may have run.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_LOAD_H_
