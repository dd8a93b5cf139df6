// Tracks the restart floor: the log offset that a restarted node must reach
// before it may serve again, so that it never serves an older release than
// before the restart.
//
// Everything that the node served before is a record of the log. An end of the
// log that was read after the node's start is therefore past all of it.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_RESTART_FLOOR_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_RESTART_FLOOR_H_

#include <cstdint>
#include <optional>

#include "tanagerledge/distribution.h"

namespace tanagerledge {

class RestartFloor {
 public:
  // The ticket identifies this start of the node; replies with another ticket
  // are ignored.
  explicit RestartFloor(std::int64_t start_ticket) : own_ticket(start_ticket) {}

  std::int64_t ticket() const { return this->own_ticket; }
  bool known() const { return this->floor.has_value(); }
  std::optional<LogOffset> offset() const { return this->floor; }

  // Sets the floor to an end of the log that was read after this node's start.
  // Only the first one counts.
  void OnLogEnd(LogOffset end) {
    if (!this->floor) {
      this->floor = end;
    }
  }

  // A read of the log's end failed, here or on the reader that was asked.
  void OnLogUnavailable() { this->log_unavailable = true; }

  // The readiness of a node whose next record is `next`.
  Readiness ReadinessAt(LogOffset next) const {
    if (this->floor) {
      return next >= *this->floor ? Readiness::kReady : Readiness::kCatchingUp;
    }
    return this->log_unavailable ? Readiness::kLogUnavailable
                                 : Readiness::kNoLogEnd;
  }

 private:
  std::int64_t own_ticket;
  std::optional<LogOffset> floor;
  bool log_unavailable = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_RESTART_FLOOR_H_
