#include "src/membership/member_wire.h"

#include <algorithm>
#include <chrono>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Upper bounds of an update's encoded size in the compact protocol without its
// names: field headers, largest numbers and list lengths.
constexpr std::size_t kStateOnlyBytes = 20;
constexpr std::size_t kZoneAndVersionBytes = 24;
constexpr std::size_t kAnnouncementBytes = 26;
constexpr std::size_t kBackendVersionBytes = 3;

// Longer than any warm-up, so greater ages needn't be distinguished.
constexpr milliseconds kMaxAge = std::chrono::hours(24);

bool InRange(std::int64_t value, std::int64_t low, std::int64_t high) {
  return value >= low && value <= high;
}

bool IsValid(const wire::Announcement& announcement) {
  return !announcement.service_name.empty() &&
         announcement.service_name.size() <= kMaxServiceBytes &&
         InRange(announcement.slots, 0, kMaxSlots) &&
         InRange(announcement.state, 0,
                 static_cast<int>(EndpointState::kGone)) &&
         announcement.backend_version.size() <= kMaxBackendVersionBytes;
}

}  // namespace

bool IsValid(const wire::MemberUpdate& update) {
  const bool named = !update.node.empty() &&
                     update.node.size() <= kMaxNodeBytes &&
                     update.zone.size() <= kMaxZoneBytes;
  const bool in_range =
      InRange(update.incarnation, 0, kMaxIncarnation) &&
      InRange(update.state, 0, static_cast<int>(MemberState::kLeft)) &&
      update.version >= 0;
  return named && in_range &&
         (!update.__isset.announcement || IsValid(update.announcement));
}

bool IsFullUpdate(const wire::MemberUpdate& update) {
  return update.__isset.zone && update.__isset.version;
}

std::optional<BackendStatus> BackendStatusOf(const wire::MemberUpdate& update,
                                             Instant now) {
  if (!update.__isset.announcement) {
    return std::nullopt;
  }
  const auto& announcement = update.announcement;
  const auto age =
      std::clamp(milliseconds(announcement.age_ms), milliseconds(0), kMaxAge);
  return BackendStatus{{announcement.service_name},
                       announcement.slots,
                       static_cast<EndpointState>(announcement.state),
                       now - age,
                       announcement.backend_version};
}

wire::MemberUpdate FullUpdate(const MemberTable& table,
                              Slot slot,
                              Instant now) {
  const MemberRecord& record = table.at(slot);
  wire::MemberUpdate update;
  update.node = record.node.value;
  update.incarnation = static_cast<std::int64_t>(record.incarnation.value);
  update.state = static_cast<int>(record.state);
  update.__set_zone(table.ZoneName(record.zone).value);
  update.__set_version(static_cast<int>(record.version));
  if (record.backend) {
    const auto age = std::clamp(
        std::chrono::duration_cast<milliseconds>(now - record.backend->since),
        milliseconds(0), kMaxAge);
    wire::Announcement announcement;
    announcement.service_name = record.backend->service.value;
    announcement.slots = record.backend->slots;
    announcement.state = static_cast<int>(record.backend->state);
    announcement.age_ms = age.count();
    if (!record.backend->version.empty()) {
      announcement.__set_backend_version(record.backend->version);
    }
    update.__set_announcement(announcement);
  }
  return update;
}

wire::MemberUpdate GossipUpdate(const MemberTable& table,
                                Slot slot,
                                Instant now) {
  const MemberRecord& record = table.at(slot);
  if (record.state == MemberState::kAlive) {
    return FullUpdate(table, slot, now);
  }
  wire::MemberUpdate update;
  update.node = record.node.value;
  update.incarnation = static_cast<std::int64_t>(record.incarnation.value);
  update.state = static_cast<int>(record.state);
  return update;
}

std::size_t MaxEncodedBytes(const wire::MemberUpdate& update) {
  std::size_t bytes = kStateOnlyBytes + update.node.size();
  if (update.__isset.zone) {
    bytes += kZoneAndVersionBytes + update.zone.size();
  }
  if (update.__isset.announcement) {
    bytes += kAnnouncementBytes + update.announcement.service_name.size();
    if (update.announcement.__isset.backend_version) {
      bytes +=
          kBackendVersionBytes + update.announcement.backend_version.size();
    }
  }
  return bytes;
}

Member ToMember(const MemberTable& table, Slot slot) {
  const MemberRecord& record = table.at(slot);
  Member member{record.node,        table.ZoneName(record.zone),
                record.incarnation, record.state,
                std::nullopt,       record.release};
  if (record.backend) {
    member.endpoint = Endpoint{record.node,
                               record.backend->service,
                               member.zone,
                               record.backend->state,
                               record.backend->slots,
                               record.backend->since,
                               record.backend->version};
  }
  return member;
}

}  // namespace tanagerledge
