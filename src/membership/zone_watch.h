// Detects availability zones that are unreachable from this node.
//
// When a zone fails or is cut off, thousands of members stop responding at
// once. Gossip about each of them would flood the fleet twice: when they fail
// and when they return. Each node therefore judges zones for itself. Several
// suspicions in a zone trigger a check by several pings. If no member of the
// zone responds while other zones do, the zone is unreachable. The check takes
// a few messages, however large the zone is.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_ZONE_WATCH_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_ZONE_WATCH_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "src/membership/member_table.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class ZoneWatch {
 public:
  // Suspicions in one zone that start a check, and pings per check.
  static constexpr std::size_t kSuspicionsForCheck = 3;
  static constexpr std::size_t kPingsPerCheck = 5;

  // Records a message from a member of the zone. Returns true if the zone was
  // unreachable.
  bool RecordContact(ZoneIndex zone, Instant now);

  void CountSuspicion(ZoneIndex zone, Instant now);

  // Starts the checks that are due and returns their zones, which the caller
  // pings.
  std::vector<ZoneIndex> StartChecks(Instant now);

  // Ends checks older than `timeout` and returns the zones that have become
  // unreachable.
  std::vector<ZoneIndex> EndChecks(std::chrono::milliseconds timeout,
                                   Instant now);

  // Cancels running checks, for example after a pause of this node's process.
  void CancelChecks();

  bool unreachable(ZoneIndex zone) const;
  std::optional<Instant> unreachable_since(ZoneIndex zone) const;
  void Forget(ZoneIndex zone);
  std::vector<ZoneIndex> UnreachableZones() const;

 private:
  struct Watch {
    Instant last_contact{};
    Instant last_suspicion{};
    std::size_t suspicions = 0;  // Since the last contact.
    std::optional<Instant> check_started;
    Instant next_check{};
    std::optional<Instant> unreachable_since;
  };

  Watch& At(ZoneIndex zone);
  bool HasContactElsewhere(ZoneIndex zone, Instant since) const;

  std::vector<Watch> watches;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_ZONE_WATCH_H_
