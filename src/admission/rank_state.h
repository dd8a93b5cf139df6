// State of one rank at one backend server: its queue, its floor and its use of
// slots.
//
// The floor is a token bucket whose tokens are slot time. The credit grows with
// time by the rank's share of the limit. Each call that starts is charged for
// the time that it is expected to hold its slot; the charge is corrected when
// the call ends. A rank with credit goes first. A rank may also use slots
// beyond its floor. These lower its credit to at most one call below zero, so
// that the rank gets its floor back about one service time later.

#ifndef TANAGERLEDGE_SRC_ADMISSION_RANK_STATE_H_
#define TANAGERLEDGE_SRC_ADMISSION_RANK_STATE_H_

#include "src/admission/fair_queue.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/time_estimate.h"

namespace tanagerledge {

struct RankState {
  RankPolicy policy;
  FairQueue queue;
  CallList suspects;  // Waiting, oldest first.
  int running = 0;
  TimeEstimate service;  // Time for which a call holds its slot.
  Seconds credit{0};     // Unused slot time of the floor.
  double occupancy = 0;  // Recent average of the number of slots held.

  int queued() const {
    return this->queue.size() + static_cast<int>(this->suspects.size());
  }
  bool idle() const { return this->queued() == 0 && this->running == 0; }
  double floor_slots(int limit) const {
    return limit * this->policy.floor_percent / 100.0;
  }

  // Adds the credit for `time` under this limit and updates `occupancy`.
  void Advance(Seconds time, int limit);

  // A call takes a slot. Its charge to the floor is stored in the call.
  void Start(Call& call, Instant now);

  // A call has released its slot. `completed` says whether it ran to its end.
  void Finish(const Call& call, bool completed, Instant now);
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_RANK_STATE_H_
