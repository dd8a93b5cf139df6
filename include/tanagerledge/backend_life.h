// Tracks the lifecycle of the local backend server from its heartbeats and
// leave messages, and decides whether a call may still be sent to it. Calls
// reach a backend server only through its own node, so this decision holds for
// the whole fleet.
//
// It handles backend servers that are replaced, drained or crash while calls
// arrive, and heartbeats that arrive late, out of order or from an earlier
// start of the backend server.
//
// An acknowledged leave is final, even if the node didn't know the backend
// server, and even if an earlier start of the node acknowledged it. A backend
// server that may already have left must therefore be confirmed by a health
// check first (NeedsConfirmation).
//
// A backend server that is known to live is not displaced or silenced by one
// message, which may come from another writer. A newcomer must be confirmed
// too, unless it is a newer start at the same place. One that was displaced
// without having left returns when it is confirmed. Three heartbeats in order,
// with none of the current backend server in between, replace a health check,
// so that no displacement lasts longer than that. After a heartbeat with a
// sequence number that is far too high, three in order below it are accepted.
//
// Any number of heartbeats may arrive late, also in order, and those of a start
// that the node has never heard of. So heartbeats can't undo a leave of the
// same name that may be newer than they are: only those that arrive later than
// max_heartbeat_delay after it were sent after it.
//
// The leave of another start of the same name (a foreign leave) may be true:
// the current one may have died unnoticed. A health check that the current one
// answers, or three of its heartbeats in order that were sent later, end such a
// leave.
//
// docs/design/backend-proofs.md has the table of what overrules what.
//
// The class does no I/O and reads no clock: callers pass in heartbeats and the
// current time.

#ifndef TANAGERLEDGE_BACKEND_LIFE_H_
#define TANAGERLEDGE_BACKEND_LIFE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// One heartbeat of a backend server, decoded and validated.
struct Heartbeat {
  // Usually unique to one start of the backend server.
  std::string instance;
  std::int64_t born_ms = 0;    // Unix time of its start.
  std::uint64_t sequence = 0;  // Increases with each heartbeat of one start.
  ServiceName service;
  std::string address;
  int slots = 0;          // Maximum number of concurrent requests.
  bool draining = false;  // It will soon accept no new requests.
  std::chrono::milliseconds warm_up_remaining{0};  // Slow for this long.
  std::string version;                             // Of its software.
};

enum class HeartbeatVerdict {
  kUnchanged,    // Only the time of the last heartbeat has changed.
  kChanged,      // The service, slots, state or start has changed.
  kStale,        // Ignored: a newer heartbeat or the leave is known.
  kUnconfirmed,  // A health check of the backend server unconfirmed() is
                 // needed.
};

struct BackendLifeConfig {
  // A backend server without a heartbeat for this long counts as gone. This is
  // three heartbeat intervals of the platform (1.5 s each), because a heartbeat
  // may be seconds late.
  std::chrono::milliseconds heartbeat_timeout{4500};
  // Heartbeats arrive at most this long after they were sent.
  std::chrono::milliseconds max_heartbeat_delay{10'000};
  // After a drain is acknowledged, calls are still sent for this long, so that
  // calls already on their way succeed. It is half of the platform's drain
  // limit of 2 s.
  std::chrono::milliseconds drain_grace_period{1000};
  // Unix time of the node's start, in milliseconds. A backend server that
  // started before it may have left during an earlier start of the node. Unset
  // if the node had no earlier start.
  std::optional<std::int64_t> node_started_ms;
};

class BackendLife {
 public:
  explicit BackendLife(BackendLifeConfig life_config = {})
      : config(life_config) {}

  // Events -------------------------------------------------------------------

  HeartbeatVerdict OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  // Handles the positive answer to a health check sent at `asked_at`: the
  // backend server is running and not leaving. Ends a foreign leave of the
  // current one. Otherwise it becomes the current one. Returns false if newer
  // information has arrived since, such as its leave or a heartbeat of the
  // current backend server.
  bool OnConfirmed(const Heartbeat& heartbeat, Instant asked_at, Instant now);
  // Handles a record, written by an earlier start of this node, that the
  // backend server was leaving.
  void OnLeftEarlier(const Heartbeat& heartbeat, Instant now);
  // Handles the leave message of a backend server, which still serves calls
  // during the grace period. Returns true if it is the current backend server.
  bool OnLeave(const std::string& instance, Instant now);
  // Handles evidence that the backend server is dead: nothing listens at its
  // address, or another instance answers there. Returns true if a newcomer that
  // had to wait because this one seemed to live takes its place.
  bool OnDied(const std::string& instance, Instant now);

  // Queries ------------------------------------------------------------------

  // The current backend server in any state; unset before the first heartbeat.
  const std::optional<Heartbeat>& known() const { return this->current; }
  // The backend server that must be confirmed with OnConfirmed, if any. It is
  // the current one after a foreign leave, unless a newcomer was heard since.
  const std::optional<Heartbeat>& unconfirmed() const {
    const bool is_newcomer_heard =
        this->candidate && this->candidate_heard > this->leave_time;
    return this->has_foreign_leave() && !is_newcomer_heard ? this->current
                                                           : this->candidate;
  }
  bool has_foreign_leave() const {
    return this->heartbeats_since_foreign_leave.has_value();
  }
  // The state to announce to the fleet.
  EndpointState State(Instant now) const;
  // The time since its leave was acknowledged; unset if it isn't leaving.
  std::optional<std::chrono::milliseconds> TimeSinceLeave(Instant now) const;
  // Whether a call for `service` may be sent to the backend server now.
  bool MayRun(const ServiceName& service, Instant now) const;

 private:
  // Counts heartbeats that arrive in order.
  class OrderedRun {
   public:
    // Returns how many heartbeats in order end with this one: 1 if it is older
    // than the last one, 0 if it is the last one again.
    int Add(std::uint64_t sequence);

   private:
    std::uint64_t last = 0;
    int length = 0;
  };

  static BackendStart StartOf(const Heartbeat& heartbeat) {
    return {heartbeat.instance, heartbeat.born_ms};
  }
  // Whether the current start itself has left, so that its leave is final.
  bool is_current_leaving() const {
    return this->leave_time.has_value() && !this->has_foreign_leave();
  }
  bool IsRetired(const BackendStart& start) const;
  void Retire(const BackendStart& start);
  bool IsEarlierStart(const Heartbeat& heartbeat) const;
  bool IsCurrent(const Heartbeat& heartbeat) const;
  bool IsAtCurrentPlace(const Heartbeat& heartbeat) const;
  bool IsAnsweredByCurrent(const Heartbeat& heartbeat, Instant now) const;
  bool IsCandidate(const Heartbeat& heartbeat) const;
  bool NeedsConfirmation(const Heartbeat& heartbeat, Instant now) const;
  HeartbeatVerdict OnCurrentHeartbeat(const Heartbeat& heartbeat, Instant now);
  HeartbeatVerdict OnOtherDraining(const Heartbeat& heartbeat, Instant now);
  HeartbeatVerdict CheckCandidate(const Heartbeat& heartbeat, Instant now);
  HeartbeatVerdict Adopt(const Heartbeat& heartbeat, Instant now);
  void ReplaceCurrent(const Heartbeat& heartbeat);
  void BeginLeave(Instant now, std::chrono::milliseconds grace);
  void BeginForeignLeave(Instant now, std::chrono::milliseconds doubt_time);
  void EndForeignLeave();
  void CheckForeignLeave(const Heartbeat& heartbeat, Instant now);
  void RecordLeave(const std::string& instance, Instant now);
  std::optional<Instant> LastLeave(const std::string& instance) const;
  bool IsOlderThanNode(const Heartbeat& heartbeat) const;
  bool WasReplaced(const BackendStart& start) const;
  bool MayBeLate(const std::optional<Instant>& event, Instant arrived) const;
  bool MayPrecedeLeave(const Heartbeat& heartbeat, Instant arrived) const;

  BackendLifeConfig config;
  // Time of the first heartbeat since the node's start. It stands for a leave
  // that an earlier start of the node may have acknowledged.
  std::optional<Instant> first_heard;
  std::optional<Heartbeat> current;
  Instant last_heartbeat{};
  // Heartbeats of the current start whose sequence numbers are too low.
  OrderedRun low_heartbeats;
  int heartbeats = 0;  // Heartbeats of the current start, in order.
  std::optional<Instant> leave_time;  // When its leave was acknowledged.
  // Set if another start of the same name announced the leave: the heartbeats
  // of the current start since.
  std::optional<OrderedRun> heartbeats_since_foreign_leave;
  Instant doubt_end{};  // Until then, a foreign leave leaves it ready.
  Instant grace_end{};  // Calls already on their way are accepted until then.
  bool dead = false;
  std::optional<Heartbeat> candidate;
  OrderedRun candidate_heartbeats;
  Instant candidate_heard{};  // Time of its last heartbeat.
  // Starts that have left. Their heartbeats are stale.
  std::deque<BackendStart> retired;
  std::deque<BackendStart> former_starts;  // Starts that were the current one.
  // Leaves are known by name: a leave message has no birth time, so it can't
  // tell apart several starts with the same instance name.
  struct Leave {
    std::string instance;
    Instant at{};
  };
  std::deque<Leave> leaves;  // The last one of each name, oldest first.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BACKEND_LIFE_H_
