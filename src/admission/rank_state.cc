#include "src/admission/rank_state.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// What a rank may save of its floor while it has no work.
constexpr Seconds kFloorBurst = std::chrono::milliseconds(50);

// Credit grows by this much more than the floor, since calls are charged by an
// estimate that is corrected only when they end.
constexpr double kFloorMargin = 1.01;

// Span over which `occupancy` is averaged.
constexpr Seconds kOccupancySpan = std::chrono::milliseconds(100);

}  // namespace

void RankState::Advance(Seconds time, int limit) {
  const double share = kFloorMargin * this->floor_slots(limit);
  const Seconds most = share * kFloorBurst + this->service.mean();
  this->credit = std::min(this->credit + share * time, most);
  this->occupancy +=
      (this->running - this->occupancy) * (time / (time + kOccupancySpan));
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

void RankState::Finish(const Call& call, bool ran_to_its_end, Instant now) {
  const Seconds used = now - call.started;
  --this->running;
  if (call.floor_charge > Seconds(0)) {
    this->credit += call.floor_charge - used;
    this->credit = std::max(this->credit, -this->service.mean() - used);
  }
  if (call.client_account != nullptr) {
    this->queue.Finish(call, used);
  }
  if (ran_to_its_end) {
    this->service.Add(used);
  }
}

}  // namespace tanagerledge
