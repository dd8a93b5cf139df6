#include "src/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

#include "src/membership/member_wire.h"

namespace tanagerledge {
namespace {

// Random tries before a full scan. The scan is rare if at least a tenth of the
// records pass the filter.
constexpr int kMaxRandomTries = 24;
constexpr std::size_t kMembersPerBucket = 32;
constexpr std::size_t kMinBuckets = 8;

std::uint64_t HashOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::size_t BucketOf(std::uint64_t hash) {
  return hash % kBuckets;
}

// The digest excludes suspicion, which is short-lived, and tombstones, which
// expire at different times on different nodes. Two tables needn't agree on
// these.
std::uint32_t DigestOf(const MemberRecord& record) {
  if (!record.live() || record.unconfirmed) {
    return 0;
  }
  const std::array<std::uint64_t, 3> words{
      record.hash, record.incarnation.value, record.version};
  return static_cast<std::uint32_t>(XXH64(words.data(), sizeof(words), 0));
}

int Severity(MemberState state) {
  return static_cast<int>(state);
}

}  // namespace

MemberTable::MemberTable(const NodeId& self,
                         const Zone& zone,
                         Incarnation incarnation,
                         Instant now) {
  // Zone 0 holds tombstones of members whose zone is unknown.
  this->InternZone("");
  wire::MemberUpdate update;
  update.node = self.value;
  update.incarnation = static_cast<std::int64_t>(incarnation.value);
  this->Insert(update, *this->InternZone(zone.value), now);
}

// Lookup --------------------------------------------------------------------

std::optional<Slot> MemberTable::Find(const NodeId& node) const {
  const auto found = this->by_node.find(node.value);
  if (found == this->by_node.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<ZoneIndex> MemberTable::InternZone(const std::string& zone) {
  const auto found = std::ranges::find(this->zones, zone, &Zone::value);
  if (found != this->zones.end()) {
    return static_cast<ZoneIndex>(found - this->zones.begin());
  }
  if (this->zones.size() == kMaxZones) {
    return std::nullopt;
  }
  this->zones.push_back({zone});
  this->live_by_zone.push_back(0);
  this->zone_revisions.push_back(0);
  return static_cast<ZoneIndex>(this->zones.size() - 1);
}

// Updates --------------------------------------------------------------------

Merged MemberTable::Merge(const wire::MemberUpdate& update, Instant now) {
  if (!IsValid(update)) {
    return {};
  }
  const auto zone =
      update.__isset.zone ? this->InternZone(update.zone) : ZoneIndex{0};
  if (!zone) {
    return {};
  }
  const auto state = static_cast<MemberState>(update.state);
  const bool live =
      state == MemberState::kAlive || state == MemberState::kSuspect;
  const auto found = this->Find({update.node});
  if (!found) {
    if (live && !IsFullUpdate(update)) {
      return {};
    }
    const auto slot = this->Insert(update, *zone, now);
    return slot ? Merged{MergeResult::kLiveness, *slot} : Merged{};
  }
  const Slot slot = *found;
  const MemberRecord& known = this->at(slot);
  const auto incarnation = static_cast<std::uint64_t>(update.incarnation);
  if (slot == kSelfSlot || incarnation < known.incarnation.value) {
    return {MergeResult::kIgnored, slot};
  }
  if (incarnation > known.incarnation.value) {
    // A suspicion of an incarnation that isn't known here yet is ignored until
    // the full update arrives.
    if (live && !IsFullUpdate(update)) {
      return {MergeResult::kIgnored, slot};
    }
    this->Modify(slot, [&](MemberRecord& record) {
      this->Replace(record, update, *zone, now);
    });
    return {MergeResult::kLiveness, slot};
  }
  Merged merged{MergeResult::kDuplicate, slot};
  if (known.live() && IsFullUpdate(update) &&
      static_cast<std::uint32_t>(update.version) > known.version) {
    this->Modify(slot, [&](MemberRecord& record) {
      record.version = static_cast<std::uint32_t>(update.version);
      record.backend = BackendStatusOf(update, now);
    });
    merged.result = MergeResult::kAnnouncement;
  }
  if (known.unconfirmed) {
    this->Modify(slot,
                 [](MemberRecord& record) { record.unconfirmed = false; });
  }
  if (Severity(state) > Severity(known.state)) {
    this->SetState(slot, state, now);
    merged.result = MergeResult::kLiveness;
  } else if (Severity(state) < Severity(known.state)) {
    merged.result = merged.result == MergeResult::kAnnouncement
                        ? MergeResult::kAnnouncement
                        : MergeResult::kIgnored;
  }
  return merged;
}

std::optional<Slot> MemberTable::Insert(const wire::MemberUpdate& update,
                                        ZoneIndex zone,
                                        Instant now) {
  if (this->by_node.size() >= kMaxMembers) {
    return std::nullopt;
  }
  Slot slot = 0;
  if (this->free_slots.empty()) {
    slot = static_cast<Slot>(this->records.size());
    const MemberRecord* const before = this->records.data();
    this->records.emplace_back();
    // The index refers to names inside the records, which have moved.
    if (this->records.data() != before) {
      this->by_node.clear();
      for (Slot each = 0; each < slot; ++each) {
        if (this->records[each].in_use) {
          this->by_node.emplace(this->records[each].node.value, each);
        }
      }
    }
  } else {
    slot = this->free_slots.back();
    this->free_slots.pop_back();
  }
  MemberRecord& record = this->records[slot];
  record = MemberRecord{};
  record.node = {update.node};
  record.hash = HashOf(update.node);
  record.in_use = true;
  this->Replace(record, update, zone, now);
  this->by_node.emplace(record.node.value, slot);
  this->buckets[BucketOf(record.hash)].push_back(slot);
  this->AddToCounts(record, 1);
  this->ToggleDigest(slot);
  return slot;
}

void MemberTable::Replace(MemberRecord& record,
                          const wire::MemberUpdate& update,
                          ZoneIndex zone,
                          Instant now) {
  const auto state = static_cast<MemberState>(update.state);
  record.incarnation = {static_cast<std::uint64_t>(update.incarnation)};
  record.state = state;
  record.state_since = now;
  record.suspected_here = false;
  record.unconfirmed = false;
  record.zone = update.__isset.zone || record.zone == 0 ? zone : record.zone;
  record.version = static_cast<std::uint32_t>(update.version);
  record.backend = BackendStatusOf(update, now);
}

void MemberTable::SetState(Slot slot, MemberState state, Instant now) {
  this->Modify(slot, [&](MemberRecord& record) {
    record.state = state;
    record.state_since = now;
    record.suspected_here = false;
  });
}

void MemberTable::Modify(Slot slot,
                         const std::function<void(MemberRecord&)>& change) {
  MemberRecord& record = this->records[slot];
  this->ToggleDigest(slot);
  this->AddToCounts(record, -1);
  change(record);
  this->AddToCounts(record, 1);
  this->ToggleDigest(slot);
}

void MemberTable::Erase(Slot slot) {
  MemberRecord& record = this->records[slot];
  this->ToggleDigest(slot);
  this->AddToCounts(record, -1);
  std::erase(this->buckets[BucketOf(record.hash)], slot);
  this->by_node.erase(record.node.value);
  record = MemberRecord{};
  this->free_slots.push_back(slot);
}

void MemberTable::AddToCounts(const MemberRecord& record, int sign) {
  if (!record.live()) {
    return;
  }
  this->total_live += static_cast<std::size_t>(sign);
  this->live_by_zone[record.zone] += static_cast<std::size_t>(sign);
  ++this->zone_revisions[record.zone];
}

// Selection
// --------------------------------------------------------------------

std::optional<Slot> MemberTable::Pick(std::mt19937_64& random,
                                      const Filter& filter) const {
  std::uniform_int_distribution<std::size_t> any(0, this->records.size() - 1);
  const auto passes = [&](std::size_t slot) {
    return slot != kSelfSlot && this->records[slot].in_use &&
           filter(this->records[slot]);
  };
  for (int i = 0; i < kMaxRandomTries; ++i) {
    const std::size_t slot = any(random);
    if (passes(slot)) {
      return static_cast<Slot>(slot);
    }
  }
  std::vector<Slot> passing;
  for (std::size_t slot = 0; slot < this->records.size(); ++slot) {
    if (passes(slot)) {
      passing.push_back(static_cast<Slot>(slot));
    }
  }
  if (passing.empty()) {
    return std::nullopt;
  }
  return passing[random() % passing.size()];
}

// Digest --------------------------------------------------------------------

void MemberTable::ToggleDigest(Slot slot) {
  const MemberRecord& record = this->records[slot];
  this->digest[BucketOf(record.hash)] ^= DigestOf(record);
}

std::size_t MemberTable::DigestBucketCount() const {
  const std::size_t wanted = this->total_live / kMembersPerBucket + 1;
  return std::clamp(std::bit_ceil(wanted), kMinBuckets, kBuckets);
}

std::string MemberTable::FoldedDigest(std::size_t count) const {
  std::vector<std::uint32_t> folded(count, 0);
  for (std::size_t i = 0; i < kBuckets; ++i) {
    folded[i % count] ^= this->digest[i];
  }
  std::string bytes;
  bytes.reserve(count * sizeof(std::uint32_t));
  for (const std::uint32_t each : folded) {
    for (int shift = 0; shift < 32; shift += 8) {
      bytes.push_back(static_cast<char>((each >> shift) & 0xff));
    }
  }
  return bytes;
}

std::vector<Slot> MemberTable::SlotsInBucket(std::size_t bucket,
                                             std::size_t count) const {
  std::vector<Slot> slots;
  for (std::size_t i = bucket; i < kBuckets; i += count) {
    slots.insert(slots.end(), this->buckets[i].begin(), this->buckets[i].end());
  }
  return slots;
}

}  // namespace tanagerledge
