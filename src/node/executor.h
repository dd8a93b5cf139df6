// Runs calls at the backend server beside this node.
//
// In this order: may it run here at all, is it a suspect, is there a slot, has
// its key been used, and only then the one send. Whatever is refused on the way
// was not run, and says so.

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

namespace tanagerledge {

class Executor {
 public:
  Executor(BackendWatch& backend_watch,
           SuspectHost& suspect_host,
           OnceHost& once_host,
           DecisionLog& decision_log);

  // Request path: any fiber of the loop that owns `link`. Waits until the call
  // has ended; the reply carries the load.
  wire::CallReply Execute(BackendLink& link, const wire::CallRequest& request);

  // Events of the control thread.
  void OnPolicies(const std::map<RankName, RankPolicy>& policies);
  void OnAnnounced(const Announcement& announcement);
  void OnDrain();  // Refuses what waits and what comes; what runs ends.
  void OnTick();

  LoadReport Report() const;
  int calls_in_progress() const { return this->in_progress.load(); }

 private:
  // A call that was sent to the backend server, until its answer, or for a
  // while after its connection was lost: it may be what kills the backend
  // server.
  struct Exposed {
    Fingerprint fingerprint;
    std::string instance;
    std::optional<Instant> lost;
  };
  struct Call;
  using Slot = std::shared_ptr<FiberPromise<Reason>>;

  // A fiber to wake: kNone means that its call has a slot.
  struct SlotAnswer {
    Slot slot;
    Reason reason = Reason::kNone;
  };

  wire::CallReply Run(BackendLink& link, Call& call);
  wire::CallReply RunOnce(BackendLink& link, Call& call);
  wire::CallReply SendToBackend(BackendLink& link, Call& call, Instant run_by);
  wire::CallReply OnNoAnswer(BackendLink& link,
                             Call& call,
                             const HttpError& error);
  Reason AwaitSlot(const Call& call);
  void LeaveSlot(const Call& call, FinishKind kind);
  template <typename Event>
  void WithAdmission(Event&& event);
  std::vector<SlotAnswer> Resolve(const AdmissionActions& actions);
  void Expose(const Call& call);
  void Unexpose(const Call& call, bool lost);
  void OnDied(const Announcement& backend);

  BackendWatch& watch;
  SuspectHost& suspects;
  OnceHost& once;
  DecisionLog& decisions;
  std::atomic<std::uint64_t> last_id{0};
  std::atomic<int> in_progress{0};

  mutable std::mutex mutex;  // Guards the two below; held for no wait.
  AdmissionController admission;
  std::unordered_map<std::uint64_t, Slot> waiting;

  std::mutex exposed_mutex;
  std::unordered_map<std::uint64_t, Exposed> exposed;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_EXECUTOR_H_
