#include "tanagerledge/backend_life.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// Leaves remembered. A heartbeat may be late by seconds, and a machine starts a
// backend server every few seconds at most.
constexpr std::size_t kLeavesKept = 32;
// The clock that stamps births and the node's start may be set back by seconds
// in between.
constexpr std::int64_t kClockStepMs = 5000;
// So many heartbeats in their order prove as much as a health check: after its
// leave a backend server sends none, and late ones come singly.
constexpr int kWordsOfProof = 3;

}  // namespace

HeartbeatVerdict BackendLife::OnHeartbeat(const Heartbeat& heartbeat,
                                          Instant now) {
  const Start start = StartOf(heartbeat);
  if (this->IsRetired(start)) {
    return HeartbeatVerdict::kStale;
  }
  if (this->IsOlder(heartbeat)) {
    // Draining is final for a start, in whatever order its words come.
    if (this->IsCurrent(heartbeat) && heartbeat.draining && !this->leaving) {
      this->BeginLeave(now, this->config.drain_grace_period);
      return HeartbeatVerdict::kChanged;
    }
    return HeartbeatVerdict::kStale;
  }
  if (this->NeedsProof(heartbeat)) {
    return this->Consider(heartbeat, now);
  }
  return this->Adopt(heartbeat, now);
}

HeartbeatVerdict BackendLife::Consider(const Heartbeat& heartbeat,
                                       Instant now) {
  const bool same_start =
      this->candidate && StartOf(*this->candidate) == StartOf(heartbeat);
  if (same_start && heartbeat.sequence <= this->candidate->sequence) {
    return HeartbeatVerdict::kStale;
  }
  this->candidate = heartbeat;
  this->candidate_words = same_start ? this->candidate_words + 1 : 1;
  const bool proved = this->candidate_words >= kWordsOfProof &&
                      !this->LeftUnknownAt(heartbeat.instance);
  return proved ? this->Adopt(heartbeat, now) : HeartbeatVerdict::kUnconfirmed;
}

HeartbeatVerdict BackendLife::Adopt(const Heartbeat& heartbeat, Instant now) {
  const bool same_start = this->IsCurrent(heartbeat);
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
    // No call is under way to a backend server that was not known.
    this->BeginLeave(now, same_start ? this->config.drain_grace_period
                                     : std::chrono::milliseconds{0});
  }
  this->current = heartbeat;
  this->heard = now;
  this->dead = false;
  this->candidate.reset();
  return same ? HeartbeatVerdict::kUnchanged : HeartbeatVerdict::kChanged;
}

bool BackendLife::OnConfirmed(const Heartbeat& heartbeat,
                              Instant asked,
                              Instant now) {
  const auto left = this->LeftUnknownAt(heartbeat.instance);
  if (this->IsRetired(StartOf(heartbeat)) || this->IsCurrent(heartbeat) ||
      this->IsOlder(heartbeat) || (left && *left >= asked)) {
    return false;
  }
  // A heartbeat that came meanwhile knows more.
  const bool heard_since = this->candidate &&
                           StartOf(*this->candidate) == StartOf(heartbeat) &&
                           this->candidate->sequence > heartbeat.sequence;
  this->Adopt(heard_since ? *this->candidate : heartbeat, now);
  return true;
}

void BackendLife::OnLeftEarlier(const Heartbeat& heartbeat, Instant now) {
  if (this->IsCurrent(heartbeat) && !this->leaving) {
    this->BeginLeave(now, std::chrono::milliseconds{0});
  }
  if (this->candidate && StartOf(*this->candidate) == StartOf(heartbeat)) {
    this->candidate.reset();
  }
  this->Retire(StartOf(heartbeat));
}

bool BackendLife::OnLeave(const std::string& instance, Instant now) {
  if (this->current && this->current->instance == instance) {
    if (!this->leaving) {
      this->BeginLeave(now, this->config.drain_grace_period);
    }
    this->Retire(StartOf(*this->current));
    return true;
  }
  if (this->candidate && this->candidate->instance == instance) {
    this->Retire(StartOf(*this->candidate));
    this->candidate.reset();
  }
  this->left_unknown.push_back({instance, now});
  if (this->left_unknown.size() > kLeavesKept) {
    this->left_unknown.pop_front();
  }
  return false;
}

void BackendLife::BeginLeave(Instant now, std::chrono::milliseconds tail) {
  this->leaving = now;
  this->tail_end = now + tail;
}

void BackendLife::OnDied(const std::string& instance) {
  if (this->current && this->current->instance == instance) {
    this->dead = true;
  }
}

EndpointState BackendLife::State(Instant now) const {
  if (!this->current || this->dead) {
    return EndpointState::kGone;
  }
  if (this->leaving) {
    return EndpointState::kDraining;
  }
  return now - this->heard > this->config.heartbeat_timeout
             ? EndpointState::kGone
             : EndpointState::kReady;
}

std::optional<std::chrono::milliseconds> BackendLife::TimeSinceLeave(
    Instant now) const {
  return this->leaving
             ? std::optional(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *this->leaving))
             : std::nullopt;
}

bool BackendLife::MayRun(const ServiceName& service, Instant now) const {
  const EndpointState state = this->State(now);
  if (state == EndpointState::kGone || this->current->service != service) {
    return false;
  }
  return state == EndpointState::kReady || now < this->tail_end;
}

bool BackendLife::IsRetired(const Start& start) const {
  return std::ranges::find(this->retired, start) != this->retired.end();
}

void BackendLife::Retire(const Start& start) {
  if (!this->IsRetired(start)) {
    this->retired.push_back(start);
  }
  if (this->retired.size() > kLeavesKept) {
    this->retired.pop_front();
  }
}

// Born orders starts, the sequence orders the heartbeats of one start. A start
// of a new name without a birth time is taken as newer.
bool BackendLife::IsOlder(const Heartbeat& heartbeat) const {
  if (!this->current) {
    return false;
  }
  if (this->IsCurrent(heartbeat)) {
    return heartbeat.sequence <= this->current->sequence;
  }
  return heartbeat.born_ms != 0 && heartbeat.born_ms < this->current->born_ms;
}

bool BackendLife::IsCurrent(const Heartbeat& heartbeat) const {
  return this->current && StartOf(*this->current) == StartOf(heartbeat);
}

// Whether the backend server may have left without this start of the node
// knowing which one it was. One that is draining is believed at once.
bool BackendLife::NeedsProof(const Heartbeat& heartbeat) const {
  if (heartbeat.draining || this->IsCurrent(heartbeat)) {
    return false;
  }
  const bool older_than_node =
      !this->current && this->config.node_started_ms &&
      heartbeat.born_ms < *this->config.node_started_ms + kClockStepMs;
  return older_than_node || this->LeftUnknownAt(heartbeat.instance);
}

std::optional<Instant> BackendLife::LeftUnknownAt(
    const std::string& instance) const {
  const auto newest =
      std::ranges::find(this->left_unknown.rbegin(), this->left_unknown.rend(),
                        instance, &UnknownLeave::instance);
  return newest == this->left_unknown.rend() ? std::nullopt
                                             : std::optional(newest->at);
}

}  // namespace tanagerledge
