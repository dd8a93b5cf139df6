// Admits calls to the local backend server and runs them there.
//
// All calls to a backend server pass through the gateway of its node, so the
// gateway enforces every rule about the backend server, whatever other nodes
// believe: the service and instance that a call is for, the number of slots,
// draining, and that each send runs at most once.
//
// Everything runs on the node's loop. Methods whose names start with Run or
// Await block the calling fiber.

#ifndef TANAGERLEDGE_SRC_SIDECAR_BACKEND_GATEWAY_H_
#define TANAGERLEDGE_SRC_SIDECAR_BACKEND_GATEWAY_H_

#include <peer_types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/fiber_sync.h"
#include "src/node/backend_link.h"
#include "src/node/suspect_host.h"
#include "src/sidecar/body_transfers.h"
#include "src/sidecar/platform_port.h"
#include "tanagerledge/attempt_ledger.h"
#include "tanagerledge/backend_life.h"
#include "tanagerledge/byte_account.h"
#include "tanagerledge/dependency_throttle.h"
#include "tanagerledge/slot_queue.h"
#include "tanagerledge/stop_plan.h"
#include "tanagerledge/unobserved_runs.h"
#include "tanagerledge/work_times.h"

namespace tanagerledge {

class BackendGateway {
 public:
  // Receives a call of another node that carries the load of its sender.
  using PeerLoadListener =
      std::function<void(const NodeId& from, const wire::CallRequest& call)>;

  BackendGateway(IoLoop& loop,
                 const PlatformPort& platform,
                 SuspectHost& suspects,
                 EventLog& events,
                 BackendLifeConfig life_config,
                 Incarnation incarnation);

  // Counts the bodies of calls in the account, which must outlive the gateway.
  void SetByteAccount(ByteAccount& byte_account) {
    this->account = &byte_account;
  }

  // Tells `next` when a call of another node has arrived; it must outlive the
  // gateway.
  void SetBodyTransfers(BodyTransfers& next) { this->transfers = &next; }

  // Calls ---------------------------------------------------------------------

  // Runs a call that came in at node `from`, which may be this node.
  wire::CallReply Run(const NodeId& from, const wire::CallRequest& request);

  // Runs an encoded call of another node, which has arrived at `arrived`. The
  // reply is kept, so that the other node can ask for it again with
  // AwaitSendResult.
  std::string RunForPeer(const NodeId& from,
                         std::string_view request,
                         Instant arrived);

  // Returns the result of a send to a node that lost the reply. Waits while the
  // call is still running.
  std::string AwaitSendResult(const NodeId& from, std::string_view question);

  // Cancels a send whose caller has disconnected. A call that already runs at
  // the backend server is aborted only if it is idempotent and no suspect.
  void Cancel(const NodeId& from, std::int64_t send_id);

  // Records that a call which the backend server made while it ran attempt
  // `parent_id` was rejected.
  void OnNestedCallRejected(const std::string& parent_id);
  // The backend server began or ended a call of its own while it ran attempt
  // `parent_id`.
  void OnNestedCallStart(const std::string& parent_id);
  void OnNestedCallEnd(const std::string& parent_id);
  // Whether the backend server is running this attempt as a retry.
  bool IsRunningRetry(const std::string& attempt_id) const;
  // Whether the backend server is running this attempt.
  bool IsRunning(std::string_view attempt_id) const;

  // Backend server ------------------------------------------------------------

  HeartbeatVerdict OnHeartbeat(const Heartbeat& heartbeat);
  // Sends a health check to learn whether the backend server is the one that an
  // unconfirmed heartbeat, or the record of an earlier start of this node,
  // describes. If so, calls are sent to it from then on. Waits for the answer.
  void RunHealthCheck(const Heartbeat& reported,
                      const std::string& health_path);
  // An earlier start of this node recorded that this backend server was
  // draining.
  void OnLeftEarlier(const Heartbeat& reported);
  bool OnDeregistration(const std::string& instance);
  // This node stops: calls are accepted for a short time, then rejected.
  void OnNodeStopping(const StopPlan& plan) { this->stop = plan; }
  // Aborts all calls. Queued calls end as not run; calls that were sent to the
  // backend server may have run.
  void AbortCalls();

  // Whether a call for the service may be run here now.
  bool Serves(const ServiceName& service) const;
  const std::optional<Heartbeat>& backend() const { return this->life.known(); }
  // The backend server that must pass a health check; see BackendLife.
  const std::optional<Heartbeat>& unconfirmed_backend() const {
    return this->life.unconfirmed();
  }
  // Another start of the same name has announced a leave, which a health check
  // of the current one may disprove.
  bool has_foreign_leave() const { return this->life.has_foreign_leave(); }
  // The state to announce to the fleet: a stopping node counts as draining.
  EndpointState AnnouncedState() const;
  EndpointState BackendState() const;

  // Must be called about every 20 ms.
  void OnTick();
  void Close() { this->link.Close(); }

  std::size_t calls_in_progress() const { return this->calls.size(); }
  LoadReport Load();
  // The usual time of one of the kinds of work that run here, in turn.
  std::optional<KindTime> NextKindTime() {
    return this->work_times.NextUsualTime();
  }
  // Sets the listener for the loads that other nodes report with their calls.
  void OnPeerLoad(PeerLoadListener listener) {
    this->peer_load_listener = std::move(listener);
  }

 private:
  // The result of waiting for a slot.
  struct SlotDecision {
    Reason reason = Reason::kNone;  // kNone: the call holds a slot.
    std::chrono::microseconds room_in{0};
  };

  // One call, from its arrival to its reply.
  struct Call {
    const wire::CallRequest* request = nullptr;
    std::uint64_t id = 0;
    Instant deadline{};
    Fingerprint fingerprint;
    bool caller_left = false;
    bool nested_call_rejected = false;
    FiberPromise<SlotDecision> slot;
    // Set while the backend server runs the call.
    std::function<void()> abort_exchange;
    BackendStart backend;    // That the call is sent to.
    bool in_flight = false;  // Sent, and its connection is open.
    bool leased = false;     // Runs as a suspect.
    // This node closed its connection at the deadline, so it may still run.
    bool may_run_on = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  // A call whose connection to the backend server was lost or refused, so the
  // backend server may be dead.
  struct LostCall {
    BackendStart backend;
    Instant lost_at{};
    // Held a lease, which is given back once the checks have their result.
    bool leased = false;
    int checks = 0;  // Checks that found a listening backend server since.
  };
  // Identifies a send: the node that it comes from and that node's send id.
  using SendKey = std::string;
  using ReplyWaiter = std::shared_ptr<FiberPromise<CachedReply>>;

  static SendKey SendKeyOf(const NodeId& from, std::int64_t send_id);
  wire::CallReply AdmitAndRun(const CallPtr& call);
  wire::CallReply RunAdmitted(Call& call, SuspectVerdict& verdict);
  wire::CallReply SendToBackend(Call& call);
  std::optional<wire::CallReply> RecheckBeforeSend(const Call& call,
                                                   Instant checked_at);
  wire::CallReply OnNoAnswer(Call& call, const HttpError& error);
  wire::CallReply ToCallReply(HttpResponse&& answer) const;
  void OnConnectionLost(const Call& call);
  void DetectBackendDeath();
  void OnBackendDied(const std::string& instance);
  bool HasListeningBackend();
  bool HasUncheckedSuspect() const;
  bool IsDeathCheckDue(Instant now) const;
  void CheckListening(Instant now);
  std::optional<BackendStart> CurrentStart() const;
  std::optional<BackendStart> FindReplaced() const;
  void ReportDeathOf(BackendStart backend);
  bool IsServing(const ServiceName& service, Instant now) const;
  CachedReply EncodeForPeer(wire::CallReply reply);
  wire::CallReply RejectAsLate();
  void LogSlowdown();
  void CheckServerStart(Instant now);
  bool HasFreeSlot() const;
  SlotDecision AwaitSlot(Call& call);
  void ApplyActions(const SlotActions& actions);

  IoLoop& loop;
  const PlatformPort& platform;
  SuspectHost& suspects;
  EventLog& events;
  const Incarnation incarnation;
  BackendLife life;
  SlotQueue queue;
  WorkTimes work_times;
  // The start of the backend server that the work times are of.
  std::int64_t work_times_born_ms = 0;
  bool was_slow = false;  // The last line of the log says so.
  PeerLoadListener peer_load_listener;
  DependencyThrottle throttle;
  AttemptLedger ledger;
  BackendLink link;
  ByteAccount* account = nullptr;      // Null: bodies are not counted.
  BodyTransfers* transfers = nullptr;  // Null: bodies need no grant.
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, CallPtr> calls;
  std::unordered_map<SendKey, std::uint64_t> by_send;
  std::unordered_map<std::string, std::uint64_t> by_attempt;
  std::unordered_map<SendKey, std::vector<ReplyWaiter>> reply_waiters;
  std::optional<StopPlan> stop;
  bool aborting = false;
  std::vector<LostCall> lost_calls;
  UnobservedRuns unobserved;
  bool checking_death = false;
  Instant last_death_check{};
  Instant next_death_check{};
  bool death_rechecked = true;  // The last check was the second of a pair.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_BACKEND_GATEWAY_H_
