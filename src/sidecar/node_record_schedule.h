// Decides when a node writes its record to the node list in the store.
//
// Load pattern: every write of the store costs, and in a release each backend
// server changes its state four times. A restarted node needs the record for
// two things: not to use a backend server that was leaving, which must be in
// the store at once, and to find a running one again without waiting for its
// heartbeat, for which a little later will do.
//
// The class performs no I/O and reads no clock.

#ifndef TANAGERLEDGE_SRC_SIDECAR_NODE_RECORD_SCHEDULE_H_
#define TANAGERLEDGE_SRC_SIDECAR_NODE_RECORD_SCHEDULE_H_

#include <peer_types.h>

#include <chrono>
#include <optional>

#include "tanagerledge/types.h"

namespace tanagerledge {

struct NodeRecordScheduleConfig {
  // Changes that a restart must know are collected this long before a write.
  std::chrono::milliseconds urgent_delay{100};
  // Changes that only make a later restart quicker are collected this long. A
  // backend server that starts with its node has sent a heartbeat by then.
  std::chrono::milliseconds delay{2000};
  std::chrono::milliseconds retry_delay{1000};
};

class NodeRecordSchedule {
 public:
  explicit NodeRecordSchedule(NodeRecordScheduleConfig schedule_config = {})
      : config(schedule_config) {}

  // What the store has: a read showed it, or a write was acknowledged.
  void OnStored(const wire::NodeRecord& record);
  // What it should have.
  void OnChanged(const wire::NodeRecord& record, Instant now);
  void OnWriteFailed(Instant now);
  // The store came back from a copy, in which the record may be missing or an
  // older one.
  void OnStoreLost(const wire::NodeRecord& record, Instant now);
  // Others can't find this node but through the list.
  void OnListingNeeded(Instant now) {
    this->due = this->stored ? this->due : now;
  }

  bool IsDue(Instant now) const { return this->due && now >= *this->due; }

 private:
  enum class Urgency { kNone, kLater, kNow };
  Urgency Compare(const wire::NodeRecord& next) const;

  NodeRecordScheduleConfig config;
  std::optional<wire::NodeRecord> stored;
  std::optional<Instant> due;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_NODE_RECORD_SCHEDULE_H_
