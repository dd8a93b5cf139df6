// What a node knows of the backend server beside it, and whether a call may
// still be sent there. The node is the only way in, so what this machine says
// holds for the whole fleet.
//
// Load pattern: backend servers that are replaced, drained or crash while calls
// come in, and heartbeats that arrive late or out of order from an earlier
// start.
//
// A leave that was acknowledged is final, also when nothing was known of the
// backend server and also when an earlier start of this node acknowledged it.
// So a backend server that may have left before is asked first (NeedsProof).
//
// Pure: heartbeats and the time in, verdicts out.

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

// What a backend server says of itself, decoded and checked.
struct Heartbeat {
  std::string instance;        // Names this start, mostly.
  std::int64_t born_ms = 0;    // Unix time of its start; 0 when not said.
  std::uint64_t sequence = 0;  // Grows with each heartbeat of one start.
  ServiceName service;
  std::string address;
  int slots = 0;          // Requests that it runs at once.
  bool draining = false;  // Takes no new work soon.
  std::chrono::milliseconds warm_up_remaining{0};  // Slow for so much longer.
};

enum class HeartbeatVerdict {
  kUnchanged,    // Nothing but the time of the last word has changed.
  kChanged,      // Service, slots, state or start differ from before.
  kStale,        // From before something that is known already: ignored.
  kUnconfirmed,  // May be from before its leave: ask the backend server itself.
};

struct BackendLifeConfig {
  // A backend server that is silent for so long counts as gone. Three
  // heartbeats of the platform's 1.5 s; one may come seconds late.
  std::chrono::milliseconds heartbeat_timeout{4500};
  // How long after the acknowledgement of a drain calls are still sent on, for
  // those that were under way. Half of the platform's bound of 2 s.
  std::chrono::milliseconds drain_grace_period{1000};
  // Unix time in ms of the node's start. A backend server that is older may
  // have left at an earlier start of the node. Nothing: there was none.
  std::optional<std::int64_t> node_started_ms;
};

class BackendLife {
 public:
  explicit BackendLife(BackendLifeConfig life_config = {})
      : config(life_config) {}

  // Events -------------------------------------------------------------------

  HeartbeatVerdict OnHeartbeat(const Heartbeat& heartbeat, Instant now);
  // The backend server, asked at `asked`, has said itself that it is there and
  // stays. False when something newer is known by now, such as its leave.
  bool OnConfirmed(const Heartbeat& heartbeat, Instant asked, Instant now);
  // An earlier start of this node wrote down that the backend server was
  // leaving.
  void OnLeftEarlier(const Heartbeat& heartbeat, Instant now);
  // The backend server says that it goes; it serves on for a moment. True when
  // it was the one that is known.
  bool OnLeave(const std::string& instance, Instant now);
  // Proved: nothing listens at its address, or another instance answers there.
  void OnDied(const std::string& instance);

  // Questions ----------------------------------------------------------------

  // The backend server, whatever its state; nothing before the first heartbeat.
  const std::optional<Heartbeat>& known() const { return this->current; }
  // A backend server whose heartbeat waits for OnConfirmed.
  const std::optional<Heartbeat>& unconfirmed() const {
    return this->candidate;
  }
  // How the fleet is to see it.
  EndpointState State(Instant now) const;
  // Since its leave was acknowledged; nothing while it stays.
  std::optional<std::chrono::milliseconds> TimeSinceLeave(Instant now) const;
  // Whether a call for `service` may be sent to it now.
  bool MayRun(const ServiceName& service, Instant now) const;

 private:
  // One start of a backend server.
  struct Start {
    std::string instance;
    std::int64_t born_ms = 0;

    bool operator==(const Start&) const = default;
  };

  static Start StartOf(const Heartbeat& heartbeat) {
    return {heartbeat.instance, heartbeat.born_ms};
  }
  bool IsRetired(const Start& start) const;
  void Retire(const Start& start);
  bool IsOlder(const Heartbeat& heartbeat) const;
  bool IsCurrent(const Heartbeat& heartbeat) const;
  bool NeedsProof(const Heartbeat& heartbeat) const;
  HeartbeatVerdict Consider(const Heartbeat& heartbeat, Instant now);
  HeartbeatVerdict Adopt(const Heartbeat& heartbeat, Instant now);
  void BeginLeave(Instant now, std::chrono::milliseconds tail);
  std::optional<Instant> LeftUnknownAt(const std::string& instance) const;

  BackendLifeConfig config;
  std::optional<Heartbeat> current;
  Instant heard{};
  std::optional<Instant> leaving;  // When its leaving was acknowledged.
  Instant tail_end{};              // Until then calls under way still run.
  bool dead = false;
  std::optional<Heartbeat> candidate;
  int candidate_words = 0;    // Heartbeats of the candidate, in their order.
  std::deque<Start> retired;  // Left for good: their late heartbeats are stale.
  // Leaves of names that were not known, with no birth time to tell starts
  // apart.
  struct UnknownLeave {
    std::string instance;
    Instant at{};
  };
  std::deque<UnknownLeave> left_unknown;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BACKEND_LIFE_H_
