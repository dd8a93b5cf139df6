// Tracks which nodes of the fleet are live and the state of each node's backend
// server.
//
//   Membership membership(config, now);
//   for (auto& action : membership.Tick(now)) { ... }           // every `tick`
//   for (auto& action : membership.OnDatagram(from, m, now)) { ... }
//   if (membership.TakeChanged()) { use(membership.Members(now)); }
//
// This is a state machine without I/O or clock: events and the current time go
// in, actions come out. It implements the SWIM protocol: one probe per period,
// indirect probes, suspicion that the suspected node can refute, and updates
// propagated by gossip. Anti-entropy with a digest of the member table, divided
// into buckets, repairs what gossip has missed. Only a node itself updates the
// state of its backend server; other nodes only judge whether the node is live.

#ifndef TANAGERLEDGE_MEMBERSHIP_H_
#define TANAGERLEDGE_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership_types.h"
#include "tanagerledge/member.h"
#include "tanagerledge/reach.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Settings ------------------------------------------------------------------

struct MembershipConfig {
  NodeId self;
  Zone zone;
  std::string fleet;
  Incarnation incarnation;  // Unix time of the process start in ms.
  std::vector<NodeId> seeds;
  std::uint64_t seed = 0;  // Seed of the random engine.

  std::chrono::milliseconds period{1000};  // Interval between probes.
  std::chrono::milliseconds tick{100};     // Interval between calls of Tick.
  std::chrono::milliseconds probe_timeout{300};
  // A suspect that doesn't refute the suspicion within this time is dead.
  std::chrono::milliseconds suspicion_timeout{4000};
  std::chrono::milliseconds sync_interval{20000};
  std::chrono::milliseconds tombstone_lifetime{600000};
  std::size_t gossip_bytes_per_second = 2000;
};

inline constexpr std::size_t kMaxDatagramBytes = 1400;

// Actions -------------------------------------------------------------------

// The purpose of a message. Traffic is counted by purpose.
enum class MembershipPurpose { kProbe = 0, kGossip, kDigest, kSync, kReach };
inline constexpr std::size_t kMembershipPurposeCount = 5;

struct SendDatagram {
  NodeId to;
  wire::MembershipDatagram message;
  MembershipPurpose purpose = MembershipPurpose::kProbe;
};

// Sends a request to a peer over a connection. The reply is passed to
// OnSyncReply.
struct SendSync {
  NodeId to;
  wire::SyncRequest request;
};

using MembershipAction = std::variant<SendDatagram, SendSync>;
using MembershipActions = std::vector<MembershipAction>;

// The node that reports how many nodes of a zone have a release in force.
struct ZoneSummarizer {
  Zone zone;
  NodeId node;
  std::size_t members = 0;  // Live nodes of the zone known to this node.
};

// State machine -------------------------------------------------------------

class Membership {
 public:
  Membership(MembershipConfig config, Instant now);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Events ---------------------------------------------------------------

  MembershipActions Tick(Instant now);
  MembershipActions OnDatagram(const NodeId& from,
                               const wire::MembershipDatagram& message,
                               Instant now);
  wire::SyncReply OnSyncRequest(const NodeId& from,
                                const wire::SyncRequest& request,
                                Instant now);
  void OnSyncReply(const NodeId& from,
                   const wire::SyncReply& reply,
                   Instant now);

  // State of this node ---------------------------------------------------

  // Announces the backend server's service, slots and state. `since` is the
  // time when it entered that state.
  void Announce(const Endpoint& endpoint, Instant now);
  // Announces that the backend server accepts no new calls. Idempotent.
  void Drain(Instant now);
  // Announces that this node leaves the fleet. It no longer answers probes.
  MembershipActions Leave(Instant now);
  void SetInForce(ReleaseNumber release);

  // Adds seeds that became known after the start.
  void AddSeeds(const std::vector<NodeId>& seeds, Instant now);

  // Members --------------------------------------------------------------

  // All members, including this node, and dead ones until their tombstones
  // expire.
  std::vector<Member> Members(Instant now) const;
  // The member with this address, if known.
  std::optional<Member> Find(const NodeId& node, Instant now) const;
  // This node as it announces itself to others.
  Member Self() const;
  // Returns whether the result of Members may have changed since the last call.
  bool TakeChanged();
  // Whether no other node responds. The member table is then frozen: no member
  // is declared dead.
  bool isolated() const;
  std::size_t live_members() const;
  Incarnation incarnation() const;

  // Reach ------------------------------------------------------------------

  // The node of each zone that answers a ReachQuery, sorted by zone.
  std::vector<ZoneSummarizer> ZoneSummarizers() const;
  wire::ReachReply OnReachQuery(const wire::ReachQuery& query, Instant now);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MEMBERSHIP_H_
