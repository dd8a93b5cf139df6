// The members a node knows: records by slot, merged by the SWIM rules, with a
// digest by buckets and uniform random choice.
//
// A slot stays the same while its member is in the table, so that queues and
// probe orders can name members by a small number. Slot 0 is this node.

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

// What a node last said of its backend server.
struct BackendWord {
  ServiceName service;
  int slots = 0;
  EndpointState state = EndpointState::kReady;
  Instant since{};
};

struct MemberRecord {
  NodeId node;
  std::uint64_t hash = 0;  // Of the node's name, equal on every machine.
  Incarnation incarnation;
  ReleaseNumber release;
  std::optional<BackendWord> word;
  Instant changed{};  // When `state` was entered here.
  std::uint32_t version = 0;
  ZoneIndex zone = 0;
  MemberState state = MemberState::kAlive;
  bool in_use = false;
  bool accused_here = false;  // The suspicion is this node's own.
  bool unconfirmed = false;   // Not heard of since this node's long pause.

  bool listed() const {
    return this->state == MemberState::kAlive ||
           this->state == MemberState::kSuspect;
  }
};

// Table ---------------------------------------------------------------------

enum class MergeResult {
  kIgnored,   // Older, malformed, or no room.
  kRepeated,  // Exactly what is known.
  kLiveness,  // Newer about whether the member lives.
  kWord,      // Newer word of a member known to live.
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

  // Members alive or suspect, with this node.
  std::size_t listed() const { return this->listed_count; }
  std::size_t listed_in(ZoneIndex zone) const {
    return this->listed_by_zone[zone];
  }
  // Grows when a member of the zone comes or goes.
  std::uint64_t zone_revision(ZoneIndex zone) const {
    return this->zone_revisions[zone];
  }

  // Change ---------------------------------------------------------------

  // Takes an update about any member but this node.
  Merged Merge(const wire::MemberUpdate& update, Instant now);
  void SetState(Slot slot, MemberState state, Instant now);
  // Call `change` to alter what a record's digest covers.
  void Alter(Slot slot, const std::function<void(MemberRecord&)>& change);
  void Erase(Slot slot);

  // Choice ---------------------------------------------------------------

  using Filter = std::function<bool(const MemberRecord&)>;
  // A member other than this node that passes the filter; uniform.
  std::optional<Slot> Pick(std::mt19937_64& random, const Filter& filter) const;

  // Digest ---------------------------------------------------------------

  // How many buckets suit this table: a power of two up to kBuckets.
  std::size_t SuitableBuckets() const;
  // 4 bytes a bucket, folded to `count` buckets.
  std::string FoldedDigest(std::size_t count) const;
  // Slots in the bucket out of `count`.
  std::vector<Slot> InBucket(std::size_t bucket, std::size_t count) const;

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
  std::vector<std::size_t> listed_by_zone;
  std::vector<std::uint64_t> zone_revisions;
  std::size_t listed_count = 0;
  std::array<std::uint32_t, kBuckets> digest{};
  std::array<std::vector<Slot>, kBuckets> buckets;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
