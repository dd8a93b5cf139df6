// Who lives in the fleet and what each node says of its backend server.
//
//   Membership membership(config, now);
//   for (auto& action : membership.Tick(now)) { ... }           // every `tick`
//   for (auto& action : membership.OnDatagram(from, m, now)) { ... }
//   if (membership.TakeChanged()) { use(membership.Members(now)); }
//
// A pure machine: events and the time in, actions out. It follows SWIM: one
// probe a period, indirect probes, suspicion that the accused refutes, updates
// spread by gossip. A digest of the table by buckets repairs what gossip lost.
// Each node alone speaks for its backend server; others only judge whether it
// lives.

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
  Incarnation incarnation;  // Wall time in ms at the start of the process.
  std::vector<NodeId> seeds;
  std::uint64_t seed = 0;  // Of the random engine.

  std::chrono::milliseconds period{1000};  // Between probes.
  std::chrono::milliseconds tick{100};     // Between calls of Tick.
  std::chrono::milliseconds probe_timeout{300};
  std::chrono::milliseconds suspicion_timeout{4000};  // To refute before death.
  std::chrono::milliseconds sync_interval{20000};
  std::chrono::milliseconds tombstone_life{600000};
  std::size_t gossip_bytes_per_second = 2000;
};

inline constexpr std::size_t kMaxDatagramBytes = 1400;

// Actions -------------------------------------------------------------------

// What bytes are spent on.
enum class MembershipPurpose { kProbe = 0, kGossip, kDigest, kSync, kReach };
inline constexpr std::size_t kMembershipPurposeCount = 5;

struct SendDatagram {
  NodeId to;
  wire::MembershipDatagram message;
  MembershipPurpose purpose = MembershipPurpose::kProbe;
};

// Ask a peer over a connection; the reply goes to OnSyncReply.
struct SendSync {
  NodeId to;
  wire::SyncRequest request;
};

using MembershipAction = std::variant<SendDatagram, SendSync>;
using MembershipActions = std::vector<MembershipAction>;

// The node to ask how far a release has spread in a zone.
struct ZoneSummarizer {
  Zone zone;
  NodeId node;
  std::size_t members = 0;  // Live ones of the zone, as known here.
};

// Machine -------------------------------------------------------------------

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

  // What this node says of itself ------------------------------------------

  // The backend server's service, slots and state; `since` is when it entered
  // it.
  void Announce(const Endpoint& endpoint, Instant now);
  // Tells the fleet that the backend server takes no new work. Idempotent.
  void Drain(Instant now);
  // Tells the fleet that this node goes. It answers probes no more.
  MembershipActions Leave(Instant now);
  void SetInForce(ReleaseNumber release);

  // More nodes to join by, learned after the start.
  void AddSeeds(const std::vector<NodeId>& seeds, Instant now);

  // What this node knows ---------------------------------------------------

  // Every member with this node, the dead until their tombstones end.
  std::vector<Member> Members(Instant now) const;
  // One member, if known.
  std::optional<Member> Find(const NodeId& node, Instant now) const;
  // This node as it tells others.
  Member Self() const;
  // True once after something that Members shows has changed.
  bool TakeChanged();
  // Nobody answers: the table is kept as it was, nobody is declared dead.
  bool isolated() const;
  std::size_t live_members() const;
  Incarnation incarnation() const;

  // Reach ------------------------------------------------------------------

  // Who sums up each zone: to be asked with a ReachQuery. By zone.
  std::vector<ZoneSummarizer> ZoneSummarizers() const;
  wire::ReachReply OnReachQuery(const wire::ReachQuery& query, Instant now);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MEMBERSHIP_H_
