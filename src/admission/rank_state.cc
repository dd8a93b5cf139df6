#include "src/admission/rank_state.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// A rank without work saves the credit of at most this much time.
constexpr Seconds kFloorBurst = std::chrono::milliseconds(50);

// The credit grows faster than the floor by this factor, because calls are
// charged by an estimate that is corrected only when they end.
constexpr double kFloorMargin = 1.01;

// Time constant of the average in `occupancy`.
constexpr Seconds kOccupancyWindow = std::chrono::milliseconds(100);

}  // namespace

void RankState::Advance(Seconds time, int limit) {
  const double share = kFloorMargin * this->floor_slots(limit);
  const Seconds max_credit = share * kFloorBurst + this->service.mean();
  this->credit = std::min(this->credit + share * time, max_credit);
  this->occupancy +=
      (this->running - this->occupancy) * (time / (time + kOccupancyWindow));
}

void RankState::Start(Call& call, Instant now) {
  const Seconds expected = this->service.mean();
  const Seconds before = this->credit;
  this->credit = std::max(before - expected, -expected);
  call.floor_charge = before - this->credit;
  call.started = now;
  call.running = true;
  ++this->running;
}

void RankState::Finish(const Call& call, bool completed, Instant now) {
  const Seconds slot_time = now - call.started;
  --this->running;
  if (call.floor_charge > Seconds(0)) {
    this->credit += call.floor_charge - slot_time;
    this->credit = std::max(this->credit, -this->service.mean() - slot_time);
  }
  if (call.client_account != nullptr) {
    this->queue.Finish(call, slot_time);
  }
  if (completed) {
    this->service.Add(slot_time);
  }
}

}  // namespace tanagerledge
