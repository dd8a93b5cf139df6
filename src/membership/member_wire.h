// Conversion between member records and wire updates, with validation of
// received updates and upper bounds of encoded sizes.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_

#include <cstddef>

#include "membership_types.h"
#include "src/membership/member_table.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxNodeBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxServiceBytes = 64;
inline constexpr std::size_t kMaxBackendVersionBytes = 64;
inline constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 53;
inline constexpr int kMaxSlots = 1 << 20;

// Whether all names, numbers and enumeration values of the update are in range.
bool IsValid(const wire::MemberUpdate& update);

// Whether this is a full update: one that originates from the member itself and
// therefore has its zone and version.
bool IsFullUpdate(const wire::MemberUpdate& update);

// The backend server's status in the update, if any.
std::optional<BackendStatus> BackendStatusOf(const wire::MemberUpdate& update,
                                             Instant now);

// Converts a record to an update with all known fields.
wire::MemberUpdate FullUpdate(const MemberTable& table, Slot slot, Instant now);

// Converts a record to an update for gossip: a full update if the member is
// alive, else only its state.
wire::MemberUpdate GossipUpdate(const MemberTable& table,
                                Slot slot,
                                Instant now);

// An upper bound of the update's encoded size in bytes.
std::size_t MaxEncodedBytes(const wire::MemberUpdate& update);

Member ToMember(const MemberTable& table, Slot slot);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_
