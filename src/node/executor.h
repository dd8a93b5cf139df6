// Runs calls at the node's own backend server.
//
// A call passes these checks in order, and only then is sent, once:
//   1. the backend server is announced, serves this service and is not
//      draining;
//   2. the request is not quarantined, and holds a lease if it is a suspect;
//   3. admission control grants a slot;
//   4. no earlier attempt used its idempotency key. This is checked only for
//      non-idempotent calls with a key.
// A call that is rejected by one of the first three checks, or for lack of time
// to run it, gets the outcome not-run.

#ifndef TANAGERLEDGE_SRC_NODE_EXECUTOR_H_
#define TANAGERLEDGE_SRC_NODE_EXECUTOR_H_

#include <peer_types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/adapters/fiber_sync.h"
#include "src/node/backend_link.h"
#include "src/node/backend_watch.h"
#include "src/node/decision_log.h"
#include "src/node/once_host.h"
#include "src/node/suspect_host.h"
#include "tanagerledge/admission.h"
#include "tanagerledge/unobserved_runs.h"

namespace tanagerledge {

// Thread-safe unless noted otherwise.
class Executor {
 public:
  Executor(BackendWatch& backend_watch,
           SuspectHost& suspect_host,
           OnceHost& once_host,
           DecisionLog& decision_log);

  // Runs one call and waits until it has ended. The reply carries the current
  // load. Called from any fiber of the loop that owns `link`.
  wire::CallReply Execute(BackendLink& link, const wire::CallRequest& request);

  // Events, called on the control thread.
  void OnPolicies(const std::map<RankName, RankPolicy>& policies);
  void OnAnnounced(const Announcement& announcement);
  // Rejects waiting and new calls. Calls that already run may finish.
  void OnDrain();
  void OnTick();

  LoadReport Report() const;
  int calls_in_progress() const { return this->in_progress.load(); }

 private:
  // A call that was sent to the backend server and has no answer yet. If the
  // backend server dies, this call may be the cause.
  struct SentCall {
    Fingerprint fingerprint;
    std::string instance;
  };
  struct Call;
  using Slot = std::shared_ptr<FiberPromise<Reason>>;

  // The answer to a fiber that waits for a slot. kNone means that its call has
  // got one; any other reason means that it was refused.
  struct SlotAnswer {
    Slot slot;
    Reason reason = Reason::kNone;
  };

  wire::CallReply Run(BackendLink& link, Call& call);
  std::optional<wire::CallReply> RefuseSuspect(const Call& call);
  wire::CallReply RunOnce(BackendLink& link, Call& call);
  wire::CallReply SendToBackend(BackendLink& link, Call& call, Instant run_by);
  wire::CallReply OnNoAnswer(BackendLink& link,
                             Call& call,
                             const HttpError& error);
  Reason AwaitSlot(const Call& call);
  void ReleaseSlot(const Call& call, FinishKind kind);
  template <typename Event>
  void WithAdmission(Event&& event);
  std::vector<SlotAnswer> TakeAnswers(const AdmissionActions& actions);
  void OnCallSent(const Call& call);
  void OnCallEnded(const Call& call, bool answered, bool may_run_on);
  void OnDied(const Announcement& backend);

  BackendWatch& watch;
  SuspectHost& suspects;
  OnceHost& once;
  DecisionLog& decisions;
  std::atomic<std::uint64_t> last_id{0};
  std::atomic<int> in_progress{0};
  std::atomic<std::uint64_t> deaths{0};  // Of backend servers beside this node.

  // Guards `admission` and `waiting`. Never held while a fiber waits.
  mutable std::mutex mutex;
  AdmissionController admission;
  std::unordered_map<std::uint64_t, Slot> waiting;  // By id of the call.

  std::mutex sent_calls_mutex;                             // Guards both.
  std::unordered_map<std::uint64_t, SentCall> sent_calls;  // By id of the call.
  UnobservedRuns unobserved;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_EXECUTOR_H_
