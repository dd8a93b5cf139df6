// Admission control for one backend server: decides which calls run, in which
// order, and which are refused.
//
// Each backend server has its own controller. The controller has no I/O and
// reads no clock: each event returns actions that the owner carries out in
// order.
//
//   for (const AdmissionAction& action : controller.Offer(request, now)) {
//     /* RunCall: send it to the backend server. RefuseCall: answer not-run. */
//   }
//   ... controller.OnFinished(id, FinishKind::kOk, now) ...
//
// Each offered id gets exactly one RunCall or one RefuseCall, in the actions
// of its Offer or of a later event. A refused call never ran.

#ifndef TANAGERLEDGE_ADMISSION_H_
#define TANAGERLEDGE_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/outcome.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Events and actions --------------------------------------------------------

struct AdmissionRequest {
  std::uint64_t id = 0;  // Unique. An id that waits or runs is ignored.
  RankName rank;
  ClientAccount client_account;
  Instant arrived{};
  Instant deadline{};
  // The call may crash the backend server: at most one suspect call runs at a
  // time.
  bool suspect = false;
};

// Send the call to the backend server. It holds a slot until OnFinished.
struct RunCall {
  std::uint64_t id = 0;

  bool operator==(const RunCall&) const = default;
};

// Answer that the call was refused. It has not run and will not run.
struct RefuseCall {
  std::uint64_t id = 0;
  Reason reason = Reason::kOverloaded;

  bool operator==(const RefuseCall&) const = default;
};

using AdmissionAction = std::variant<RunCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

// AdmissionController -------------------------------------------------------

// Not thread safe: callers hold a lock during each method. The methods are
// short and never block.
class AdmissionController {
 public:
  AdmissionController();
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  // Sets the number of slots that the backend server announced. With 0, no call
  // runs.
  void OnSlots(int slots, Instant now);

  // Sets the ranks of the current release. A call of any other rank is treated
  // as worth 0 and has no floor.
  void OnPolicies(const std::map<RankName, RankPolicy>& policies);

  // A call arrived. It runs, waits, or is refused at once if it can't end in
  // time here, so that its caller can still retry elsewhere.
  AdmissionActions Offer(const AdmissionRequest& request, Instant now);

  // A running call has ended, and its slot is free.
  AdmissionActions OnFinished(std::uint64_t id, FinishKind kind, Instant now);

  // The caller has left. A waiting call is refused; a running call keeps its
  // slot until OnFinished.
  AdmissionActions OnCancel(std::uint64_t id, Instant now);

  // Refuses calls that have waited too long. The owner calls it about every
  // 5 ms while calls wait.
  AdmissionActions OnTick(Instant now);

  // The backend server drains: waiting and new calls are refused, running calls
  // continue to their end. OnSlots(0) ends the drain, so that a backend server
  // can announce itself again.
  AdmissionActions OnDrain(Instant now);

  LoadReport Report(Instant now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ADMISSION_H_
