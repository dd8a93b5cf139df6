// Whether whole zones can be reached from this node.
//
// When a zone dies or is cut off, thousands of members fall silent at once, and
// news of each would flood the fleet twice: when they go and when they return.
// So each node judges zones for itself: some suspicions in a zone lead to a
// check by several pings, and if all of the zone stays silent while others talk
// the zone is unreachable. This costs a few messages, however large the zone.

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
  // Suspicions in one zone that start a check, and pings in a check.
  static constexpr std::size_t kSuspectsForCheck = 3;
  static constexpr std::size_t kPingsPerCheck = 5;

  // A member of the zone has spoken. True if the zone was unreachable.
  bool Heard(ZoneIndex zone, Instant now);

  void CountSuspect(ZoneIndex zone, Instant now);

  // Zones to check now; the check starts with this call.
  std::vector<ZoneIndex> StartChecks(Instant now);

  // Ends checks older than `timeout`; the zones that are unreachable from now.
  std::vector<ZoneIndex> EndChecks(std::chrono::milliseconds timeout,
                                   Instant now);

  // Forgets checks under way, as after a pause of this node.
  void CancelChecks();

  bool unreachable(ZoneIndex zone) const;
  std::optional<Instant> unreachable_since(ZoneIndex zone) const;
  void Forget(ZoneIndex zone);
  std::vector<ZoneIndex> Unreachable() const;

 private:
  struct Watch {
    Instant heard{};
    Instant last_suspect{};
    std::size_t suspects = 0;  // Since the zone was last heard.
    std::optional<Instant> check_started;
    Instant next_check{};
    std::optional<Instant> unreachable_since;
  };

  Watch& At(ZoneIndex zone);
  bool HeardElsewhere(ZoneIndex zone, Instant since) const;

  std::vector<Watch> watches;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_ZONE_WATCH_H_
