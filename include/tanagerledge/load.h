// What the node beside a backend server knows of its load, and how calls end
// there.

#ifndef TANAGERLEDGE_LOAD_H_
#define TANAGERLEDGE_LOAD_H_

#include <chrono>

namespace tanagerledge {

// The load of one backend server at one moment. It travels with each reply.
struct LoadReport {
  int limit = 0;    // Calls that may run at once now; at most the slots.
  int running = 0;  // Calls at the backend server.
  int queued = 0;   // Calls that wait for a slot.
  // Ranks worth less than this are refused now. With floors it is a hint: a
  // rank below it still gets its floor.
  int admission_level = 0;
  std::chrono::microseconds service_time{0};  // Mean of recent calls.
  int failing_permille = 0;  // Of recent calls, those without a good answer.

  bool operator==(const LoadReport&) const = default;
};

// How a call that was sent ended.
enum class FinishKind {
  kOk,
  kFailed,  // It ran, and the answer says that it failed.
  kShed,    // It was refused and did not run.
  kLost,    // The connection was lost: it may have run.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_LOAD_H_
