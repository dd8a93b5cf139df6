// What a restarted node must have before it may serve again.
//
// Whatever the node served before is a record of the log. So an end of the log
// whose reading began after the node's start lies past all of it.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_RESTART_FLOOR_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_RESTART_FLOOR_H_

#include <cstdint>
#include <optional>

#include "tanagerledge/distribution.h"

namespace tanagerledge {

class RestartFloor {
 public:
  // The ticket stands for this start of the node: replies to others are void.
  explicit RestartFloor(std::int64_t start_ticket) : own_ticket(start_ticket) {}

  std::int64_t ticket() const { return this->own_ticket; }
  bool known() const { return this->floor.has_value(); }
  std::optional<LogOffset> offset() const { return this->floor; }

  // An end of the log, read after this node's start. The first is enough.
  void Learn(LogOffset end) {
    if (!this->floor) {
      this->floor = end;
    }
  }

  // A reader said that the log gives no answer.
  void LearnUnavailable() { this->log_unavailable = true; }

  // Why a node whose next record is `next` may not serve; kReady if it may.
  Readiness Judge(LogOffset next) const {
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
