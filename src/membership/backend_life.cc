#include "tanagerledge/backend_life.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// Number of leaves that are remembered. A heartbeat may be late by seconds, and
// a machine starts a backend server at most every few seconds.
constexpr std::size_t kMaxLeavesKept = 32;
// The clock may be set back by seconds between the backend server's birth and
// the node's start.
constexpr std::int64_t kMaxClockStepMs = 5000;
// This many heartbeats in order replace a health check, since a single message
// may be another writer's. They don't undo a leave; see MayPrecedeLeave.
constexpr int kHeartbeatsToConfirm = 3;
// How long the current backend server stays ready after a foreign leave, so
// that its answer to a health check can arrive.
constexpr std::chrono::milliseconds kForeignLeaveCheckTime{250};

}  // namespace

int BackendLife::OrderedRun::Add(std::uint64_t sequence) {
  if (this->length > 0 && sequence == this->last) {
    return 0;
  }
  const bool in_order = sequence > this->last;
  this->length = in_order ? this->length + 1 : 1;
  this->last = sequence;
  return this->length;
}

HeartbeatVerdict BackendLife::OnHeartbeat(const Heartbeat& heartbeat,
                                          Instant now) {
  this->first_heard = this->first_heard.value_or(now);
  if (this->IsRetired(StartOf(heartbeat))) {
    return HeartbeatVerdict::kStale;
  }
  if (this->IsCurrent(heartbeat)) {
    this->CheckForeignLeave(heartbeat, now);
  }
  if (heartbeat.draining &&
      !(this->IsCurrent(heartbeat) && this->is_current_leaving())) {
    this->RecordLeave(heartbeat.instance, now);
  }
  if (this->IsCurrent(heartbeat) &&
      (heartbeat.draining || this->IsAtCurrentPlace(heartbeat))) {
    return this->OnCurrentHeartbeat(heartbeat, now);
  }
  if (heartbeat.draining && this->current) {
    return this->OnOtherDraining(heartbeat, now);
  }
  return this->NeedsConfirmation(heartbeat, now)
             ? this->CheckCandidate(heartbeat, now)
             : this->Adopt(heartbeat, now);
}

HeartbeatVerdict BackendLife::OnCurrentHeartbeat(const Heartbeat& heartbeat,
                                                 Instant now) {
  const bool same_place = this->IsAtCurrentPlace(heartbeat);
  if (same_place && heartbeat.sequence > this->current->sequence) {
    return this->Adopt(heartbeat, now);
  }
  // Draining is final for a start, even if its heartbeats arrive out of order.
  if (heartbeat.draining && !this->is_current_leaving()) {
    this->BeginLeave(now, this->config.drain_grace_period);
    return HeartbeatVerdict::kChanged;
  }
  // Several in order mean that the known sequence number is too high. Late ones
  // of the same start do no harm: its leave stays.
  if (same_place &&
      this->low_heartbeats.Add(heartbeat.sequence) >= kHeartbeatsToConfirm) {
    return this->Adopt(heartbeat, now);
  }
  return HeartbeatVerdict::kStale;
}

// A start other than the current one is draining. The acknowledgement binds,
// but the current one stays if it lives.
HeartbeatVerdict BackendLife::OnOtherDraining(const Heartbeat& heartbeat,
                                              Instant now) {
  const bool lives = this->State(now) == EndpointState::kReady;
  const bool same_name = this->current->instance == heartbeat.instance;
  if (!lives && !this->IsEarlierStart(heartbeat)) {
    return this->Adopt(heartbeat, now);
  }
  this->Retire(StartOf(heartbeat));
  if (this->IsCandidate(heartbeat)) {
    this->candidate.reset();
  }
  if (!same_name || (!lives && this->leave_time)) {
    return HeartbeatVerdict::kStale;
  }
  // If the current start is dead, a late heartbeat may make it ready again. If
  // it has replaced the draining one with a single message, that may be another
  // writer's. The leave counts at once in both cases.
  const bool counts_at_once =
      !lives ||
      (this->WasReplaced(StartOf(heartbeat)) && this->heartbeats <= 1);
  this->BeginForeignLeave(now, counts_at_once ? std::chrono::milliseconds{0}
                                              : kForeignLeaveCheckTime);
  return HeartbeatVerdict::kUnconfirmed;
}

HeartbeatVerdict BackendLife::CheckCandidate(const Heartbeat& heartbeat,
                                             Instant now) {
  // A single late heartbeat of an earlier start is not worth a health check.
  constexpr int kHeartbeatsToCheckEarlierStart = 2;
  if (!this->IsCandidate(heartbeat) ||
      this->candidate->address != heartbeat.address ||
      this->candidate->service != heartbeat.service) {
    this->candidate_heartbeats = {};
  }
  const int in_order = this->candidate_heartbeats.Add(heartbeat.sequence);
  if (in_order == 0) {
    return HeartbeatVerdict::kStale;
  }
  this->candidate = heartbeat;
  this->candidate_heard = now;
  if (in_order >= kHeartbeatsToConfirm &&
      !this->MayPrecedeLeave(heartbeat, now)) {
    return this->Adopt(heartbeat, now);
  }
  const bool worth_a_check = !this->IsEarlierStart(heartbeat) ||
                             in_order >= kHeartbeatsToCheckEarlierStart;
  return worth_a_check ? HeartbeatVerdict::kUnconfirmed
                       : HeartbeatVerdict::kStale;
}

HeartbeatVerdict BackendLife::Adopt(const Heartbeat& heartbeat, Instant now) {
  const bool same_start = this->IsCurrent(heartbeat);
  const bool was_present = this->State(now) != EndpointState::kGone;
  if (!same_start) {
    this->ReplaceCurrent(heartbeat);
  }
  ++this->heartbeats;
  const bool same = same_start && was_present &&
                    this->current->service == heartbeat.service &&
                    this->current->slots == heartbeat.slots &&
                    this->current->address == heartbeat.address &&
                    this->leave_time.has_value() == heartbeat.draining;
  if (heartbeat.draining) {
    // No call can be on its way to a backend server that was unknown until now.
    this->BeginLeave(now, same_start ? this->config.drain_grace_period
                                     : std::chrono::milliseconds{0});
  }
  this->current = heartbeat;
  this->low_heartbeats = {};
  this->last_heartbeat = now;
  this->dead = false;
  this->candidate.reset();
  return same ? HeartbeatVerdict::kUnchanged : HeartbeatVerdict::kChanged;
}

// Makes another start the current one. The previous one may come back unless it
// has left.
void BackendLife::ReplaceCurrent(const Heartbeat& heartbeat) {
  std::erase(this->former_starts, StartOf(heartbeat));
  if (this->current) {
    const BackendStart previous = StartOf(*this->current);
    if (this->is_current_leaving()) {
      this->Retire(previous);
    }
    this->former_starts.push_back(previous);
    if (this->former_starts.size() > kMaxLeavesKept) {
      this->former_starts.pop_front();
    }
  }
  this->current = heartbeat;
  this->heartbeats = 0;
  this->leave_time.reset();
  this->heartbeats_since_foreign_leave.reset();
}

void BackendLife::BeginForeignLeave(Instant now,
                                    std::chrono::milliseconds doubt_time) {
  if (!this->leave_time) {
    this->BeginLeave(now, this->config.drain_grace_period);
    this->heartbeats_since_foreign_leave = OrderedRun();
    this->doubt_end = now + doubt_time;
  }
}

void BackendLife::EndForeignLeave() {
  this->leave_time.reset();
  this->heartbeats_since_foreign_leave.reset();
}

// Ends a foreign leave once heartbeats of the current start, in order, prove
// that it lives. Their sequence numbers may be below a known one that is too
// high.
void BackendLife::CheckForeignLeave(const Heartbeat& heartbeat, Instant now) {
  if (this->has_foreign_leave() && !heartbeat.draining &&
      this->heartbeats_since_foreign_leave->Add(heartbeat.sequence) >=
          kHeartbeatsToConfirm &&
      !this->MayPrecedeLeave(heartbeat, now)) {
    this->EndForeignLeave();
  }
}

bool BackendLife::OnConfirmed(const Heartbeat& heartbeat,
                              Instant asked_at,
                              Instant now) {
  const auto last_leave = this->LastLeave(heartbeat.instance);
  const bool heard_from_current =
      this->current && !this->dead && this->last_heartbeat >= asked_at;
  const bool known =
      this->IsCurrent(heartbeat) && this->IsAtCurrentPlace(heartbeat);
  if (known && this->has_foreign_leave() &&
      asked_at >= last_leave.value_or(*this->leave_time)) {
    this->EndForeignLeave();
    return true;
  }
  if (this->IsRetired(StartOf(heartbeat)) || known || heard_from_current ||
      this->IsAnsweredByCurrent(heartbeat, now) ||
      (last_leave && *last_leave >= asked_at)) {
    return false;
  }
  // A heartbeat that arrived after the health check was sent is newer.
  const bool has_newer_heartbeat =
      this->IsCandidate(heartbeat) &&
      this->candidate->address == heartbeat.address &&
      this->candidate->sequence > heartbeat.sequence;
  this->Adopt(has_newer_heartbeat ? *this->candidate : heartbeat, now);
  return true;
}

void BackendLife::OnLeftEarlier(const Heartbeat& heartbeat, Instant now) {
  if (this->IsCurrent(heartbeat)) {
    this->BeginLeave(now, std::chrono::milliseconds{0});
  }
  if (this->IsCandidate(heartbeat)) {
    this->candidate.reset();
  }
  this->Retire(StartOf(heartbeat));
}

bool BackendLife::OnLeave(const std::string& instance, Instant now) {
  const bool is_current = this->current && this->current->instance == instance;
  this->RecordLeave(instance, now);
  if (is_current) {
    this->BeginLeave(now, this->config.drain_grace_period);
    this->Retire(StartOf(*this->current));
    return true;
  }
  if (this->candidate && this->candidate->instance == instance) {
    this->Retire(StartOf(*this->candidate));
    this->candidate.reset();
  }
  return false;
}

void BackendLife::RecordLeave(const std::string& instance, Instant now) {
  std::erase_if(this->leaves, [&instance](const Leave& leave) {
    return leave.instance == instance;
  });
  this->leaves.push_back({instance, now});
  if (this->leaves.size() > kMaxLeavesKept) {
    this->leaves.pop_front();
  }
}

// Handles a leave of the current start itself, which makes a foreign one final.
// The first leave counts.
void BackendLife::BeginLeave(Instant now, std::chrono::milliseconds grace) {
  this->heartbeats_since_foreign_leave.reset();
  if (!this->leave_time) {
    this->leave_time = now;
    this->grace_end = now + grace;
  }
}

bool BackendLife::OnDied(const std::string& instance, Instant now) {
  if (!this->current || this->current->instance != instance) {
    return false;
  }
  this->dead = true;
  const bool replaced =
      this->candidate && !this->NeedsConfirmation(*this->candidate, now) &&
      now - this->candidate_heard <= this->config.heartbeat_timeout;
  if (replaced) {
    this->Adopt(Heartbeat(*this->candidate), now);
  }
  return replaced;
}

EndpointState BackendLife::State(Instant now) const {
  if (!this->current || this->dead) {
    return EndpointState::kGone;
  }
  const bool is_in_doubt = this->has_foreign_leave() && now < this->doubt_end;
  if (this->leave_time && !is_in_doubt) {
    return EndpointState::kDraining;
  }
  return now - this->last_heartbeat > this->config.heartbeat_timeout
             ? EndpointState::kGone
             : EndpointState::kReady;
}

std::optional<std::chrono::milliseconds> BackendLife::TimeSinceLeave(
    Instant now) const {
  return this->leave_time
             ? std::optional(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *this->leave_time))
             : std::nullopt;
}

bool BackendLife::MayRun(const ServiceName& service, Instant now) const {
  const EndpointState state = this->State(now);
  if (state == EndpointState::kGone || this->current->service != service) {
    return false;
  }
  return state == EndpointState::kReady || now < this->grace_end;
}

bool BackendLife::IsRetired(const BackendStart& start) const {
  return std::ranges::find(this->retired, start) != this->retired.end();
}

void BackendLife::Retire(const BackendStart& start) {
  if (!this->IsRetired(start)) {
    this->retired.push_back(start);
  }
  if (this->retired.size() > kMaxLeavesKept) {
    this->retired.pop_front();
  }
}

// Starts are ordered by birth time, heartbeats of one start by sequence. The
// clock may have been set back between two starts, so one that was the current
// one before is an earlier start as well.
bool BackendLife::IsEarlierStart(const Heartbeat& heartbeat) const {
  return this->current && (heartbeat.born_ms < this->current->born_ms ||
                           this->WasReplaced(StartOf(heartbeat)));
}

bool BackendLife::WasReplaced(const BackendStart& start) const {
  return std::ranges::find(this->former_starts, start) !=
         this->former_starts.end();
}

bool BackendLife::IsCurrent(const Heartbeat& heartbeat) const {
  return this->current && StartOf(*this->current) == StartOf(heartbeat);
}

// A start keeps its address and its service.
bool BackendLife::IsAtCurrentPlace(const Heartbeat& heartbeat) const {
  return this->current && this->current->address == heartbeat.address &&
         this->current->service == heartbeat.service;
}

// Whether the current backend server would answer a health check of this one:
// an answer tells the name and the address, but not the service or the start.
bool BackendLife::IsAnsweredByCurrent(const Heartbeat& heartbeat,
                                      Instant now) const {
  return this->State(now) == EndpointState::kReady &&
         this->current->instance == heartbeat.instance &&
         this->current->address == heartbeat.address;
}

bool BackendLife::IsCandidate(const Heartbeat& heartbeat) const {
  return this->candidate && StartOf(*this->candidate) == StartOf(heartbeat);
}

// Whether the backend server, which is not the current one, may have left
// without this start of the node knowing its identity, or would displace one
// that is newer or lives. A name belongs to one process at a time, so a newer
// start of the current name at the same place takes its place at once, unless
// its heartbeat may be older than a leave of the name.
bool BackendLife::NeedsConfirmation(const Heartbeat& heartbeat,
                                    Instant now) const {
  if (heartbeat.draining) {
    return false;
  }
  const bool live = this->State(now) == EndpointState::kReady;
  const bool same_place = live &&
                          this->current->instance == heartbeat.instance &&
                          this->IsAtCurrentPlace(heartbeat);
  // A newer start in the place of one that lived after the node's start.
  const bool succeeds = same_place && !this->IsEarlierStart(heartbeat);
  return (this->IsOlderThanNode(heartbeat) && !succeeds) ||
         (live && !same_place) || this->IsEarlierStart(heartbeat) ||
         this->MayBeLate(this->LastLeave(heartbeat.instance), now);
}

bool BackendLife::IsOlderThanNode(const Heartbeat& heartbeat) const {
  return this->config.node_started_ms &&
         heartbeat.born_ms < *this->config.node_started_ms + kMaxClockStepMs;
}

// Whether a heartbeat may have been sent before the event.
bool BackendLife::MayBeLate(const std::optional<Instant>& event,
                            Instant arrived) const {
  return event && arrived - *event <= this->config.max_heartbeat_delay;
}

// Whether a heartbeat may have been sent before a leave of its name, which this
// start of the node or an earlier one has acknowledged.
bool BackendLife::MayPrecedeLeave(const Heartbeat& heartbeat,
                                  Instant arrived) const {
  return this->MayBeLate(this->LastLeave(heartbeat.instance), arrived) ||
         (this->IsOlderThanNode(heartbeat) &&
          this->MayBeLate(this->first_heard, arrived));
}

std::optional<Instant> BackendLife::LastLeave(
    const std::string& instance) const {
  const auto found =
      std::ranges::find(this->leaves, instance, &Leave::instance);
  return found == this->leaves.end() ? std::nullopt : std::optional(found->at);
}

}  // namespace tanagerledge
