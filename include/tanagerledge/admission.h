// Which calls run at a backend server, in which order, and which are refused.
//
// One controller stands beside each backend server. It is pure: each event
// returns the actions that follow from it, and the owner carries them out in
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
  std::uint64_t id = 0;  // Unique: one that waits or runs is not taken again.
  RankName rank;
  ClientAccount client_account;
  Instant arrived{};
  Instant deadline{};
  bool suspect = false;  // May crash the backend server: no two run together.
};

// The call holds a slot until OnFinished.
struct RunCall {
  std::uint64_t id = 0;

  bool operator==(const RunCall&) const = default;
};

struct RefuseCall {
  std::uint64_t id = 0;
  Reason reason = Reason::kOverloaded;

  bool operator==(const RefuseCall&) const = default;
};

using AdmissionAction = std::variant<RunCall, RefuseCall>;
using AdmissionActions = std::vector<AdmissionAction>;

// AdmissionController -------------------------------------------------------

// Not thread safe: one short lock around each call.
class AdmissionController {
 public:
  AdmissionController();
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  // The slots that the backend server announced. Without any, nothing runs.
  void OnSlots(int slots, Instant now);

  // The ranks of the release in force. A call of a rank that is not among them
  // is treated as worth 0 and without a floor.
  void OnPolicies(const std::map<RankName, RankPolicy>& policies);

  // A call arrived. It runs, waits, or is refused at once when it could not
  // end in time here, so that its caller may still try elsewhere.
  AdmissionActions Offer(const AdmissionRequest& request, Instant now);

  // A call that ran has ended; its slot is free.
  AdmissionActions OnFinished(std::uint64_t id, FinishKind kind, Instant now);

  // Its caller has gone. A waiting call is refused; a running one keeps its
  // slot until OnFinished.
  AdmissionActions OnCancel(std::uint64_t id, Instant now);

  // Sheds what waited too long. Every 5 ms or so while calls wait.
  AdmissionActions OnTick(Instant now);

  // The backend server leaves: refuses what waits and what comes; what runs
  // ends. OnSlots(0) ends the drain, for a backend server that then announces
  // itself anew.
  AdmissionActions OnDrain(Instant now);

  LoadReport Report(Instant now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ADMISSION_H_
