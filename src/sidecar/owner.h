// Runs calls at the backend server beside this node.
//
// The owner is the only way to its backend server, so every rule about the
// backend server is kept here, whatever other nodes believe: the service and
// instance that a call is for, its slots, its leaving, and at most one run of
// each send.
//
// Everything runs on the node's loop; methods named Run wait in their fiber.

#ifndef TANAGERLEDGE_SRC_SIDECAR_OWNER_H_
#define TANAGERLEDGE_SRC_SIDECAR_OWNER_H_

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
#include "src/sidecar/platform_port.h"
#include "tanagerledge/attempt_ledger.h"
#include "tanagerledge/backend_life.h"
#include "tanagerledge/dependency_throttle.h"
#include "tanagerledge/slot_queue.h"
#include "tanagerledge/stop_plan.h"

namespace tanagerledge {

class Owner {
 public:
  Owner(IoLoop& loop,
        const PlatformPort& platform,
        SuspectHost& suspects,
        EventLog& events,
        BackendLifeConfig life_config,
        Incarnation incarnation);

  // Calls ---------------------------------------------------------------------

  // A call that the entry of node `from` sends, which may be this one.
  wire::CallReply Run(const NodeId& from, const wire::CallRequest& request);

  // A call from another node, encoded; its reply is kept for questions.
  std::string RunForPeer(const NodeId& from, std::string_view request);

  // Another node lost the reply: what became of the send. Waits while it runs.
  std::string RunQuestion(const NodeId& from, std::string_view question);

  // The caller behind a send has gone: work that may be broken off is.
  void Cancel(const NodeId& from, std::int64_t send_id);

  // A call that the backend server made while it ran this attempt was turned
  // away.
  void OnNestedTurnedAway(const std::string& parent_id);
  // Whether the backend server runs this attempt as a repeat.
  bool RunsRepeat(const std::string& attempt_id) const;

  // Backend server ------------------------------------------------------------

  HeartbeatVerdict OnHeartbeat(const Heartbeat& heartbeat);
  // Asks the backend server whether it is the one that an unproved heartbeat,
  // or an earlier start of this node, tells of, and serves it at once if so.
  // Waits for the answer.
  void RunConfirm(const Heartbeat& told, const std::string& health_path);
  // An earlier start of this node knew that it was leaving.
  void OnLeftEarlier(const Heartbeat& told);
  bool OnGoodbye(const std::string& instance);
  // This node stops: calls are taken for a moment longer, then turned away.
  void OnNodeStopping(const StopPlan& plan) { this->stop = plan; }
  // Ends all calls: what waits has not run, what is at the backend server may
  // have.
  void GiveUp();

  const std::optional<Heartbeat>& backend() const { return this->life.known(); }
  // Waits to be confirmed.
  const std::optional<Heartbeat>& unproved_backend() const {
    return this->life.unproved();
  }
  // As the fleet is to see it: a stopping node takes nothing.
  EndpointState State() const;
  EndpointState BackendState() const;

  // Every 20 ms or so.
  void OnTick();
  void Close() { this->link.Close(); }

  std::size_t calls_in_progress() const { return this->calls.size(); }
  LoadReport Load() const { return this->queue.Report(); }

 private:
  // How the wait for a slot ended.
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
    bool nested_turned_away = false;
    FiberPromise<SlotDecision> slot;
    std::function<void()> break_off;  // Set while the backend server works.
    std::string instance;             // Where it was sent.
  };
  using CallPtr = std::shared_ptr<Call>;
  // Sends are named by the node that they come from and its number for it.
  using SendKey = std::string;
  using KeptWaiter = std::shared_ptr<FiberPromise<KeptReply>>;

  static SendKey KeyOf(const NodeId& from, std::int64_t send_id);
  wire::CallReply Admit(const CallPtr& call);
  wire::CallReply SendToBackend(Call& call);
  std::optional<wire::CallReply> WhyNotSend(const Call& call, Instant checked);
  wire::CallReply OnNoAnswer(Call& call, const HttpError& error);
  wire::CallReply Accept(HttpResponse&& answer) const;
  void CheckDeath(const Call& call);
  bool MayRun(const ServiceName& service, Instant now) const;
  SlotDecision AwaitSlot(Call& call);
  void Carry(const SlotActions& actions);

  IoLoop& loop;
  const PlatformPort& platform;
  SuspectHost& suspects;
  EventLog& events;
  const Incarnation incarnation;
  BackendLife life;
  SlotQueue queue;
  DependencyThrottle throttle;
  AttemptLedger ledger;
  BackendLink link;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, CallPtr> calls;
  std::unordered_map<SendKey, std::uint64_t> by_send;
  std::unordered_map<std::string, std::uint64_t> by_attempt;
  std::unordered_map<SendKey, std::vector<KeptWaiter>> questions;
  std::optional<StopPlan> stop;
  bool giving_up = false;
  Instant next_death_check{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_OWNER_H_
