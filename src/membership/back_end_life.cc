#include "tanagerledge/back_end_life.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// Starts remembered as gone. A heartbeat may be late by seconds, and a machine
// starts a back end every few seconds at most.
constexpr std::size_t kRetiredKept = 32;

}  // namespace

HeartbeatVerdict BackEndLife::OnHeartbeat(const Heartbeat& heartbeat,
                                          Instant now) {
  const Start start = StartOf(heartbeat);
  if (this->IsRetired(start) || this->IsOlder(heartbeat)) {
    return HeartbeatVerdict::kStale;
  }
  const bool same_start = this->current && StartOf(*this->current) == start;
  const bool was_shown = this->State(now) != EndpointState::kGone;
  const bool same = same_start && was_shown &&
                    this->current->service == heartbeat.service &&
                    this->current->slots == heartbeat.slots &&
                    this->current->address == heartbeat.address &&
                    this->leaving.has_value() == heartbeat.draining;
  if (!same_start) {
    if (this->current) {
      this->Retire(StartOf(*this->current));
    }
    this->leaving.reset();
  }
  if (heartbeat.draining && !this->leaving) {
    this->leaving = now;
  }
  this->current = heartbeat;
  this->heard = now;
  this->dead = false;
  return same ? HeartbeatVerdict::kTaken : HeartbeatVerdict::kChanged;
}

void BackEndLife::OnRecalled(const Heartbeat& heartbeat, Instant now) {
  if (!this->current) {
    this->current = heartbeat;
    this->heard = now;
  }
}

bool BackEndLife::OnLeave(const std::string& instance, Instant now) {
  if (!this->current || this->current->instance != instance) {
    return false;
  }
  if (!this->leaving) {
    this->leaving = now;
  }
  this->Retire(StartOf(*this->current));
  return true;
}

void BackEndLife::OnDied(const std::string& instance) {
  if (this->current && this->current->instance == instance) {
    this->dead = true;
  }
}

EndpointState BackEndLife::State(Instant now) const {
  if (!this->current || this->dead) {
    return EndpointState::kGone;
  }
  if (this->leaving) {
    return EndpointState::kDraining;
  }
  return now - this->heard > this->config.silence ? EndpointState::kGone
                                                  : EndpointState::kReady;
}

std::optional<std::chrono::milliseconds> BackEndLife::SinceLeave(
    Instant now) const {
  return this->leaving
             ? std::optional(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *this->leaving))
             : std::nullopt;
}

bool BackEndLife::MayRun(const ServiceName& service, Instant now) const {
  const EndpointState state = this->State(now);
  if (state == EndpointState::kGone || this->current->service != service) {
    return false;
  }
  return state == EndpointState::kReady ||
         now - *this->leaving < this->config.drain_tail;
}

bool BackEndLife::IsRetired(const Start& start) const {
  return std::ranges::find(this->retired, start) != this->retired.end();
}

void BackEndLife::Retire(const Start& start) {
  if (!this->IsRetired(start)) {
    this->retired.push_back(start);
  }
  if (this->retired.size() > kRetiredKept) {
    this->retired.pop_front();
  }
}

// Born orders starts, the sequence orders the heartbeats of one start. A start
// of a new name without a birth time is taken as newer.
bool BackEndLife::IsOlder(const Heartbeat& heartbeat) const {
  if (!this->current) {
    return false;
  }
  if (StartOf(*this->current) == StartOf(heartbeat)) {
    return heartbeat.sequence <= this->current->sequence;
  }
  return heartbeat.born_ms != 0 && heartbeat.born_ms < this->current->born_ms;
}

}  // namespace tanagerledge
