// The members that a node knows: records by slot, merged by the SWIM rules,
// with a digest per bucket and uniform random selection.
//
// A member keeps its slot while it is in the table, so that queues and probe
// orders can refer to it by a small number. Slot 0 is this node.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership_types.h"
#include "tanagerledge/member.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

using Slot = std::uint32_t;
using ZoneIndex = std::uint16_t;

inline constexpr Slot kSelfSlot = 0;
inline constexpr std::size_t kMaxMembers = 20000;
inline constexpr std::size_t kMaxZones = 256;
inline constexpr std::size_t kBuckets = 256;

// Record --------------------------------------------------------------------

// The status of a node's backend server as last announced by the node.
struct BackendStatus {
  ServiceName service;
  int slots = 0;
  EndpointState state = EndpointState::kReady;
  Instant since{};
  std::string version{};  // Of its software; see Endpoint.
};

struct MemberRecord {
  NodeId node;
  std::uint64_t hash = 0;  // Hash of `node`, equal on every machine.
  Incarnation incarnation;
  ReleaseNumber release;
  std::optional<BackendStatus> backend;
  Instant state_since{};  // When this node set `state`.
  std::uint32_t version = 0;
  ZoneIndex zone = 0;
  MemberState state = MemberState::kAlive;
  bool in_use = false;
  bool suspected_here = false;  // This node itself raised the suspicion.
  bool unconfirmed = false;     // No update since this node's long pause.

  bool live() const {
    return this->state == MemberState::kAlive ||
           this->state == MemberState::kSuspect;
  }
};

// Table ---------------------------------------------------------------------

enum class MergeResult {
  kIgnored,       // Older or malformed, or the table is full.
  kDuplicate,     // Equal to the record.
  kLiveness,      // The state or incarnation is newer.
  kAnnouncement,  // The announcement of a live member is newer.
};

struct Merged {
  MergeResult result = MergeResult::kIgnored;
  Slot slot = kSelfSlot;
};

class MemberTable {
 public:
  MemberTable(const NodeId& self,
              const Zone& zone,
              Incarnation incarnation,
              Instant now);

  // Lookup ---------------------------------------------------------------

  std::optional<Slot> Find(const NodeId& node) const;
  MemberRecord& at(Slot slot) { return this->records[slot]; }
  const MemberRecord& at(Slot slot) const { return this->records[slot]; }
  MemberRecord& self() { return this->records[kSelfSlot]; }
  const MemberRecord& self() const { return this->records[kSelfSlot]; }
  const std::vector<MemberRecord>& all() const { return this->records; }
  const Zone& ZoneName(ZoneIndex zone) const { return this->zones[zone]; }
  std::size_t zone_count() const { return this->zones.size(); }

  // Number of members that are alive or suspect, including this node.
  std::size_t live_count() const { return this->total_live; }
  std::size_t live_count_in(ZoneIndex zone) const {
    return this->live_by_zone[zone];
  }
  // Increases when a live member of the zone is added, removed or changed.
  std::uint64_t zone_revision(ZoneIndex zone) const {
    return this->zone_revisions[zone];
  }

  // Updates ---------------------------------------------------------------

  // Merges an update about any member except this node.
  Merged Merge(const wire::MemberUpdate& update, Instant now);
  void SetState(Slot slot, MemberState state, Instant now);
  // Applies `change` to a record. Changes to fields that the digest or the
  // counts depend on must be made this way.
  void Modify(Slot slot, const std::function<void(MemberRecord&)>& change);
  void Erase(Slot slot);

  // Selection ---------------------------------------------------------------

  using Filter = std::function<bool(const MemberRecord&)>;
  // A uniformly random member, other than this node, that passes the filter.
  std::optional<Slot> Pick(std::mt19937_64& random, const Filter& filter) const;

  // Digest ---------------------------------------------------------------

  // The number of digest buckets for the table's size: a power of two up to
  // kBuckets.
  std::size_t DigestBucketCount() const;
  // The digest folded to `count` buckets, 4 bytes per bucket.
  std::string FoldedDigest(std::size_t count) const;
  // Slots in this bucket when there are `count` buckets.
  std::vector<Slot> SlotsInBucket(std::size_t bucket, std::size_t count) const;

 private:
  std::optional<ZoneIndex> InternZone(const std::string& zone);
  std::optional<Slot> Insert(const wire::MemberUpdate& update,
                             ZoneIndex zone,
                             Instant now);
  void Replace(MemberRecord& record,
               const wire::MemberUpdate& update,
               ZoneIndex zone,
               Instant now);
  void AddToCounts(const MemberRecord& record, int sign);
  void ToggleDigest(Slot slot);

  std::vector<MemberRecord> records;
  std::vector<Slot> free_slots;
  std::unordered_map<std::string_view, Slot> by_node;
  std::vector<Zone> zones;
  std::vector<std::size_t> live_by_zone;
  std::vector<std::uint64_t> zone_revisions;
  std::size_t total_live = 0;
  std::array<std::uint32_t, kBuckets> digest{};
  std::array<std::vector<Slot>, kBuckets> buckets;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
