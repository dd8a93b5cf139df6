// One rank at one backend server: its queue, its floor, its use of slots.
//
// The floor is kept as credit in slot time. It grows by the rank's share of
// the limit, and each call that starts is charged for the time it is expected
// to hold its slot, corrected when it ends. A rank with credit goes first.
// Slots beyond the floor are lent: they lower the credit by one call at most,
// so that a borrower gets its floor back about one service time later.

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
  TimeEstimate service;
  Seconds credit{0};
  double occupancy = 0;  // Slots held, averaged over the recent past.

  int queued() const {
    return this->queue.size() + static_cast<int>(this->suspects.size());
  }
  bool idle() const { return this->queued() == 0 && this->running == 0; }
  double floor_slots(int limit) const {
    return limit * this->policy.floor_percent / 100.0;
  }

  // Time went by with this limit.
  void Advance(Seconds time, int limit);

  // A call takes a slot; its charges are written to it.
  void Start(Call& call, Instant now);

  // It gave the slot back.
  void Finish(const Call& call, bool ran_to_its_end, Instant now);
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_RANK_STATE_H_
