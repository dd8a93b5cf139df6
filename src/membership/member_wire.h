// Members to updates between nodes and back, with the checks that input from
// outside needs and bounds on encoded sizes.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_

#include <cstddef>

#include "membership_types.h"
#include "src/membership/member_table.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxNodeBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxServiceBytes = 64;
inline constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 53;
inline constexpr int kMaxSlots = 1 << 20;

// An update that may be merged: names, numbers and enumerations in range.
bool IsValid(const wire::MemberUpdate& update);

// Whether the update is the member's own word: zone, version, announcement.
bool IsWhole(const wire::MemberUpdate& update);

// What the update says of the backend server.
std::optional<BackendWord> WordOf(const wire::MemberUpdate& update,
                                  Instant now);

// A record as an update with everything known.
wire::MemberUpdate WholeUpdate(const MemberTable& table,
                               Slot slot,
                               Instant now);

// A record as gossip carries it: whole while alive, else the accusation only.
wire::MemberUpdate GossipUpdate(const MemberTable& table,
                                Slot slot,
                                Instant now);

// An upper bound of the encoded size in bytes.
std::size_t SizeBound(const wire::MemberUpdate& update);

Member ToMember(const MemberTable& table, Slot slot);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_MEMBER_WIRE_H_
