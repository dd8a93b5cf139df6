#include "src/execution/once_partition.h"

#include <algorithm>
#include <utility>

#include "src/adapters/codec.h"
#include "src/execution/once_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPromiseRequestInterval{50};
constexpr milliseconds kStartRequestInterval{200};
constexpr milliseconds kStatusRequestInterval{100};
constexpr milliseconds kProposalResendInterval{1000};
// The n-th best candidate waits for n times this delay, so that only a few
// candidates propose at the same time.
constexpr milliseconds kDelayPerRank{300};
// No seat change is proposed if the stream was last read longer ago than this.
constexpr milliseconds kMaxReadAge{1500};
constexpr seconds kMaxHeartbeatInterval{15};
// The seat times out when the owner writes nothing for the maximum time without
// the log. This many heartbeats fit into that time.
constexpr int kHeartbeatsPerLimit = 4;
constexpr seconds kSeatRenewalInterval{60};
// Prevents an endless sequence of takeovers between nodes that reach the log
// but not each other.
constexpr seconds kMinTenure{3};
constexpr seconds kMaxClaimWait{60};
constexpr std::size_t kMaxPendingEntries = 200000;

wire::OnceEntry MakeIntent(const OnceKeyId& key,
                           const OnceAttempt& attempt,
                           Fingerprint fingerprint) {
  wire::OnceEntry entry;
  entry.key = ToWire(key);
  entry.attempt = ToWire(attempt);
  entry.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  return entry;
}

wire::OnceEntry MakeOutcome(const OnceKeyId& key,
                            const OnceAttempt& attempt,
                            const OnceResult& result) {
  wire::OnceEntry entry = MakeIntent(key, attempt, {});
  entry.__set_result(ToWire(result));
  return entry;
}

milliseconds HeartbeatInterval(const OnceTiming& timing) {
  return std::min<milliseconds>(
      kMaxHeartbeatInterval,
      milliseconds(timing.off_log_limit) / kHeartbeatsPerLimit);
}

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::ranges::find(nodes, node) != nodes.end();
}

}  // namespace

OncePartition::OncePartition(int own_partition,
                             OnceProcess own_process,
                             OnceTiming own_timing)
    : partition(own_partition),
      self(std::move(own_process)),
      timing(own_timing),
      fold(own_timing),
      batcher(own_timing) {}

// Events --------------------------------------------------------------------

void OncePartition::SetCandidates(std::vector<NodeId> best,
                                  std::vector<NodeId> live_nodes) {
  this->candidates = std::move(best);
  this->live = std::move(live_nodes);
}

void OncePartition::OnRecords(const std::vector<LogRecord>& records_read,
                              bool at_end,
                              OnceTime time) {
  for (const LogRecord& record : records_read) {
    const bool was_owner = this->IsOwner();
    const std::int64_t epoch_before = this->fold.epoch();
    const auto accepted = this->fold.Apply(record.offset, record.bytes, time);
    if (was_owner && !this->IsOwner()) {
      this->OnSeatLost();
    }
    // The proposal was read back or superseded. In either case no other copy of
    // it can be accepted any more.
    const bool is_own_proposal =
        this->proposal && record.bytes == this->proposal->record;
    if (is_own_proposal || this->fold.epoch() != epoch_before) {
      this->proposal.reset();
      this->vacant_since.reset();
    }
    if (this->fold.epoch() != epoch_before) {
      this->seat_changed_at = time.now;
    }
    if (accepted && this->IsOwner()) {
      this->OnOwnRecord(*accepted, time);
    }
    // The fold has gone back to the record of a seat change and needs the
    // records from there again.
    if (this->fold.next() <= record.offset) {
      at_end = false;
      break;
    }
  }
  this->is_caught_up = at_end;
  if (at_end) {
    this->last_read = time.now;
    this->first_read = this->first_read.value_or(time.now);
  }
}

void OncePartition::OnExpired(LogOffset first_kept) {
  const bool was_owner = this->IsOwner();
  const std::int64_t epoch_before = this->fold.epoch();
  this->fold.Skip(first_kept);
  this->first_read.reset();
  if (was_owner && !this->IsOwner()) {
    this->lost_epoch = epoch_before;
    this->OnSeatLost();
  }
}

// The result matters only for a proposal. A batch is complete when it is read
// back.
void OncePartition::OnAppendResult(std::int64_t number, AppendResult result) {
  if (!this->proposal || this->proposal->number != number) {
    return;
  }
  if (result != AppendResult::kNothingWritten) {
    this->proposal->may_be_logged = true;
  } else if (!this->proposal->may_be_logged) {
    this->proposal.reset();
  }
}

void OncePartition::OnMessage(const NodeId& from,
                              const wire::OnceMessage& message,
                              OnceTime time) {
  const auto start = static_cast<std::uint64_t>(message.start);
  this->starts[from] = std::max(this->starts[from], start);
  if (message.__isset.claim) {
    this->OnClaim(from, message.claim, time);
  }
  if (message.__isset.finish) {
    this->OnFinish(from, message.finish, time);
  }
  if (message.__isset.status) {
    this->OnStatus(message.status, time);
  }
  if (message.__isset.promise) {
    this->OnPromise(from, message.promise, time);
  }
  if (message.who) {
    this->Send(from, this->NewMessage());
  }
}

void OncePartition::OnTick(OnceTime time) {
  this->fold.Expire(time);
  if (this->IsOwner()) {
    this->TickAsOwner(time);
  }
  this->TickSeat(time);
}

std::vector<OnceAction> OncePartition::TakeActions() {
  return std::exchange(this->actions, {});
}

bool OncePartition::NeedsStream() const {
  return this->IsOwner() || this->IsDeputy() ||
         Contains(this->candidates, this->self.node);
}

// Claims --------------------------------------------------------------------

void OncePartition::OnClaim(const NodeId& from,
                            const wire::OnceClaim& claim,
                            OnceTime time) {
  const std::optional<OnceKeyId> key = ToKeyId(claim.key);
  if (!key) {
    return;
  }
  PendingClaim pending;
  pending.from = from;
  pending.key = *key;
  pending.attempt = ToAttempt(claim.attempt);
  pending.fingerprint = {static_cast<std::uint64_t>(claim.fingerprint)};
  if (claim.mint_ms > 0) {
    pending.mint = FromMillis(claim.mint_ms);
  }
  pending.until =
      time.now + std::clamp<microseconds>(microseconds(claim.remaining_us),
                                          microseconds(0), kMaxClaimWait);
  if (this->IsOwner()) {
    this->Decide(pending, time);
  } else {
    this->Answer(pending, ClaimAnswer::kNotOwner);
  }
}

void OncePartition::Decide(const PendingClaim& pending, OnceTime time) {
  const KeyIndex::Entry* entry = this->fold.keys.Find(pending.key);
  if (entry != nullptr) {
    this->AnswerRepeatedClaim(pending, *entry);
  } else if (this->fold.MayHaveRun(pending.mint, time)) {
    this->Answer(pending, ClaimAnswer::kUnknown);
  } else {
    this->Admit(pending, time);
  }
}

// Admits a new key. Only this process may grant it.
void OncePartition::Admit(const PendingClaim& pending, OnceTime time) {
  const bool off_log = this->own_mode == OnceMode::kOffLog;
  // A later owner answers `unknown` for keys created up to its seat change,
  // plus the permitted lead. A key with a later creation time would not be
  // covered by that, so it is refused off the log.
  const bool is_too_new =
      pending.mint && *pending.mint > time.wall + kMaxMintLead;
  if (this->batcher.size() >= kMaxPendingEntries ||
      (off_log && (is_too_new || !this->MayGoOffLog(time.now)))) {
    this->Answer(pending, ClaimAnswer::kRefused);
    return;
  }
  this->fold.keys.Insert(pending.key, pending.attempt, pending.fingerprint,
                         time.wall,
                         off_log ? KeyState::kGranted : KeyState::kClaimed);
  this->batcher.Add(
      MakeIntent(pending.key, pending.attempt, pending.fingerprint), time.now);
  if (off_log) {
    this->Answer(pending, ClaimAnswer::kGranted);
  } else {
    this->AddPendingClaim(pending);
  }
}

void OncePartition::AnswerRepeatedClaim(const PendingClaim& pending,
                                        const KeyIndex::Entry& entry) {
  const bool is_own = this->fold.keys.AttemptOf(entry) == pending.attempt;
  if (!is_own && entry.fingerprint != pending.fingerprint) {
    this->Answer(pending, ClaimAnswer::kMismatch);
  } else if (entry.state == KeyState::kEnded) {
    const OnceResult result = KeyIndex::ResultOf(entry);
    this->Answer(pending, ClaimAnswer::kStored, &result);
  } else if (is_own && entry.state == KeyState::kGranted) {
    this->Answer(pending, ClaimAnswer::kGranted);
  } else {
    this->AddPendingClaim(pending);
  }
}

void OncePartition::AddPendingClaim(const PendingClaim& pending) {
  std::vector<PendingClaim>& claims = this->pending_claims[pending.key];
  std::erase_if(claims, [&pending](const PendingClaim& other) {
    return other.attempt == pending.attempt;
  });
  claims.push_back(pending);
}

// Decides all pending claims for the key again, because its state has changed.
void OncePartition::DecidePendingClaims(const OnceKeyId& key, OnceTime time) {
  const auto found = this->pending_claims.find(key);
  if (found == this->pending_claims.end()) {
    return;
  }
  const std::vector<PendingClaim> claims = std::move(found->second);
  this->pending_claims.erase(found);
  for (const PendingClaim& pending : claims) {
    if (pending.until > time.now) {
      this->Decide(pending, time);
    }
  }
}

void OncePartition::Answer(const PendingClaim& pending,
                           ClaimAnswer answer,
                           const OnceResult* result) {
  wire::OnceMessage message = this->NewMessage();
  wire::OnceAnswer reply;
  reply.attempt = ToWire(pending.attempt);
  reply.answer = static_cast<std::int32_t>(answer);
  if (result != nullptr) {
    reply.__set_result(ToWire(*result));
  }
  if (this->fold.seat()) {
    reply.owner = this->fold.seat()->owner.node.value;
  }
  message.__set_answer(reply);
  this->Send(pending.from, std::move(message));
}

// Outcomes ------------------------------------------------------------------

void OncePartition::OnFinish(const NodeId& from,
                             const wire::OnceFinish& finish,
                             OnceTime time) {
  const std::optional<OnceKeyId> key = ToKeyId(finish.key);
  const std::optional<OnceResult> result = ToResult(finish.result);
  if (!key || !result) {
    return;
  }
  if (this->IsOwner()) {
    this->End(*key, ToAttempt(finish.attempt),
              {static_cast<std::uint64_t>(finish.fingerprint)}, *result, time);
    return;
  }
  wire::OnceMessage message = this->NewMessage();
  wire::OnceFinishAck ack;
  ack.attempt = finish.attempt;
  ack.owner = this->fold.seat() ? this->fold.seat()->owner.node.value : "";
  message.__set_finish_ack(ack);
  this->Send(from, std::move(message));
}

void OncePartition::OnStatus(const wire::OnceStatus& status, OnceTime time) {
  const std::optional<OnceKeyId> key = ToKeyId(status.key);
  if (!key || !this->IsOwner()) {
    return;
  }
  const OnceAttempt attempt = ToAttempt(status.attempt);
  const KeyIndex::Entry* entry = this->fold.keys.Find(*key);
  if (entry == nullptr || this->fold.keys.AttemptOf(*entry) != attempt) {
    return;
  }
  if (status.lost) {
    this->End(*key, attempt, {},
              {Outcome::kUnknown, Reason::kPeerUnreachable, {}, false}, time);
  } else if (status.__isset.result) {
    const std::optional<OnceResult> result = ToResult(status.result);
    if (result) {
      this->End(*key, attempt, {}, *result, time);
    }
  }
}

void OncePartition::End(const OnceKeyId& key,
                        const OnceAttempt& attempt,
                        Fingerprint fingerprint,
                        const OnceResult& result,
                        OnceTime time) {
  const KeyIndex::Entry* entry = this->fold.keys.Find(key);
  const bool is_known =
      entry != nullptr && this->fold.keys.AttemptOf(*entry) == attempt;
  if (is_known && entry->state == KeyState::kEnded) {
    if (entry->is_logged) {
      this->Acknowledge(attempt);
    }
    return;
  }
  const bool is_lost_run =
      entry == nullptr && result.outcome != Outcome::kNotRun;
  if (!is_known && !is_lost_run) {
    this->Acknowledge(attempt);
    return;
  }
  // A previous owner admitted the key off the log and lost the seat before the
  // key was on the log.
  if (is_lost_run) {
    this->fold.keys.Insert(key, attempt, fingerprint, time.wall,
                           KeyState::kGranted);
    this->batcher.Add(MakeIntent(key, attempt, fingerprint), time.now);
  }
  this->batcher.Add(MakeOutcome(key, attempt, result), time.now);
  // A key becomes available again only when the log records it. Otherwise, if
  // the seat were lost before that, the next owner would still reserve the key
  // for this attempt.
  const bool must_wait =
      result.outcome == Outcome::kNotRun && this->own_mode == OnceMode::kLogged;
  if (!must_wait) {
    this->fold.keys.End(key, attempt, result);
    this->DecidePendingClaims(key, time);
  }
}

// Requests the status of attempts for which other claims are waiting, from the
// nodes that run them.
void OncePartition::RequestStatuses(OnceTime time) {
  if (time.now < this->last_status_request + kStatusRequestInterval) {
    return;
  }
  this->last_status_request = time.now;
  for (auto& [key, claims] : this->pending_claims) {
    std::erase_if(claims, [time](const PendingClaim& pending) {
      return pending.until <= time.now;
    });
    const KeyIndex::Entry* entry = this->fold.keys.Find(key);
    if (claims.empty() || entry == nullptr ||
        entry->state != KeyState::kGranted) {
      continue;
    }
    const OnceAttempt attempt = this->fold.keys.AttemptOf(*entry);
    wire::OnceMessage message = this->NewMessage();
    wire::OnceStatusAsk ask;
    ask.key = ToWire(key);
    ask.attempt = ToWire(attempt);
    message.__set_status_ask(ask);
    this->Send(attempt.process.node, std::move(message));
  }
  std::erase_if(this->pending_claims,
                [](const auto& item) { return item.second.empty(); });
}

// Reports to the attempt's node that the outcome is on the log or does not need
// to be.
void OncePartition::Acknowledge(const OnceAttempt& attempt) {
  wire::OnceMessage message = this->NewMessage();
  wire::OnceFinishAck ack;
  ack.attempt = ToWire(attempt);
  ack.taken = true;
  ack.owner = this->self.node.value;
  message.__set_finish_ack(ack);
  this->Send(attempt.process.node, std::move(message));
}

// Owner ---------------------------------------------------------------------

void OncePartition::OnOwnRecord(const wire::OnceRecord& record, OnceTime time) {
  if (record.__isset.change) {
    // This process has just taken the seat. All records of earlier owners have
    // been folded.
    this->batcher.OnReadBack();
    this->record_count = 0;
    this->requested_promise = 0;
    this->settled_promise = 0;
    this->own_mode = OnceMode::kLogged;
    this->seated_at = time.now;
    this->log_contact = this->proposed_at;
    return;
  }
  if (record.number != this->record_count) {
    return;
  }
  this->log_contact = this->batcher.first_sent();
  this->batcher.OnReadBack();
  for (const wire::OnceEntry& entry : record.entries) {
    const std::optional<OnceKeyId> key = ToKeyId(entry.key);
    if (!key) {
      continue;
    }
    const OnceAttempt attempt = ToAttempt(entry.attempt);
    if (entry.__isset.result) {
      this->fold.keys.MarkLogged(*key, attempt);
      this->Acknowledge(attempt);
      this->DecidePendingClaims(*key, time);
      continue;
    }
    const KeyIndex::Entry* known = this->fold.keys.Find(*key);
    if (known != nullptr && this->fold.keys.AttemptOf(*known) == attempt) {
      this->fold.keys.Grant(*key);
      this->DecidePendingClaims(*key, time);
    }
  }
}

void OncePartition::TickAsOwner(OnceTime time) {
  if (this->own_mode == OnceMode::kOffLog) {
    this->ReturnToLog(time);
  } else if (this->IsLogSlow(time.now)) {
    this->RequestPromise(time);
  }
  this->RequestStatuses(time);
  if (this->proposal) {
    return;
  }
  if (this->batcher.ShouldResend(time.now)) {
    this->actions.push_back(OnceAppend{this->batch_record});
  }
  this->AppendBatch(time);
}

void OncePartition::AppendBatch(OnceTime time) {
  const bool must_settle = this->own_mode != OnceMode::kOffLog &&
                           this->requested_promise > this->settled_promise;
  const bool is_due =
      this->record_count == 0 || must_settle ||
      time.now >= this->batcher.last_sent() + HeartbeatInterval(this->timing);
  auto entries = this->batcher.Take(time.now, is_due);
  if (!entries) {
    return;
  }
  // After this record, all keys admitted off the log are on the log.
  if (must_settle && this->batcher.size() == 0) {
    this->settled_promise = this->requested_promise;
    this->own_mode = OnceMode::kLogged;
  }
  wire::OnceRecord record = this->NewRecord(time);
  record.number = ++this->record_count;
  record.entries = std::move(*entries);
  this->batch_record = Encode(record);
  this->actions.push_back(OnceAppend{this->batch_record});
}

bool OncePartition::IsLogSlow(Instant now) const {
  const std::optional<Instant> since = this->batcher.OldestPendingSince();
  return since && now >= *since + this->timing.log_timeout;
}

bool OncePartition::MayGoOffLog(Instant now) const {
  return now < this->log_contact + this->timing.off_log_limit;
}

void OncePartition::RequestPromise(OnceTime time) {
  const std::optional<OnceProcess> deputy = this->fold.seat()->deputy;
  if (!deputy || this->proposal || !this->MayGoOffLog(time.now)) {
    return;
  }
  // A promise that was not settled yet is still valid.
  if (this->own_mode == OnceMode::kReturning) {
    this->EnterOffLogMode(time);
    return;
  }
  if (time.now < this->last_promise_request + kPromiseRequestInterval) {
    return;
  }
  this->last_promise_request = time.now;
  this->requested_promise = this->settled_promise + 1;
  wire::OnceMessage message = this->NewMessage();
  wire::OncePromise ask;
  ask.epoch = this->fold.epoch();
  ask.number = this->requested_promise;
  message.__set_promise(ask);
  this->Send(deputy->node, std::move(message));
}

void OncePartition::OnPromise(const NodeId& from,
                              const wire::OncePromise& promise,
                              OnceTime time) {
  if (promise.epoch != this->fold.epoch()) {
    return;
  }
  if (promise.granted) {
    const bool is_expected =
        this->IsOwner() && this->own_mode == OnceMode::kLogged &&
        !this->proposal && promise.number == this->settled_promise + 1 &&
        promise.number == this->requested_promise;
    if (is_expected && this->MayGoOffLog(time.now)) {
      this->EnterOffLogMode(time);
    }
    return;
  }
  // A deputy that has already proposed to take the seat does not give a
  // promise.
  const bool is_owner = this->fold.seat()->owner.node == from;
  if (!this->IsDeputy() || !is_owner || this->proposal) {
    return;
  }
  this->promised = this->promised_epoch == promise.epoch
                       ? std::max(this->promised, promise.number)
                       : promise.number;
  this->promised_epoch = promise.epoch;
  wire::OnceMessage message = this->NewMessage();
  wire::OncePromise answer = promise;
  answer.granted = true;
  message.__set_promise(answer);
  this->Send(from, std::move(message));
}

// Grants all keys that wait for the log.
void OncePartition::EnterOffLogMode(OnceTime time) {
  this->own_mode = OnceMode::kOffLog;
  std::vector<OnceKeyId> keys;
  std::ranges::transform(this->pending_claims, std::back_inserter(keys),
                         [](const auto& item) { return item.first; });
  for (const OnceKeyId& key : keys) {
    this->fold.keys.Grant(key);
    this->DecidePendingClaims(key, time);
  }
}

void OncePartition::ReturnToLog(OnceTime time) {
  const bool is_answering =
      this->log_contact + this->timing.log_timeout * 2 >= time.now;
  if (is_answering && !this->IsLogSlow(time.now)) {
    this->own_mode = OnceMode::kReturning;
  }
}

void OncePartition::OnSeatLost() {
  this->batcher.Clear();
  this->fold.keys.DropClaimed();
  this->own_mode = OnceMode::kLogged;
  const auto lost = std::exchange(this->pending_claims, {});
  for (const auto& [key, claims] : lost) {
    for (const PendingClaim& pending : claims) {
      this->Answer(pending, ClaimAnswer::kNotOwner);
    }
  }
}

// Seats ---------------------------------------------------------------------

void OncePartition::TickSeat(OnceTime time) {
  if (this->proposal) {
    if (time.now >= this->proposal->sent + kProposalResendInterval) {
      this->proposal->sent = time.now;
      // The previous copy may still be in transit, whatever the result of this
      // one.
      this->proposal->may_be_logged = true;
      this->actions.push_back(
          OnceAppend{this->proposal->record, this->proposal->number});
    }
    return;
  }
  const bool is_fresh =
      this->is_caught_up && time.now < this->last_read + kMaxReadAge;
  if (!is_fresh || !this->NeedsStream()) {
    this->vacant_since.reset();
    return;
  }
  this->RequestStarts(time);
  const std::optional<SeatCause> cause = this->SeatChangeCause(time);
  if (!cause) {
    this->vacant_since.reset();
  } else if (this->MayPropose(time)) {
    this->Propose(*cause, time);
  }
}

std::optional<SeatCause> OncePartition::SeatChangeCause(OnceTime time) const {
  const std::optional<Seat>& seat = this->fold.seat();
  if (this->IsOwner()) {
    const bool is_settled = this->own_mode == OnceMode::kLogged &&
                            !this->batcher.in_flight() &&
                            this->requested_promise == this->settled_promise;
    const bool is_old = time.now >= this->seated_at + kSeatRenewalInterval;
    const bool needs_deputy = !seat->deputy ||
                              !this->IsLive(seat->deputy->node) ||
                              this->IsProvenDead(*seat->deputy);
    const bool can_replace_deputy = needs_deputy && this->PickDeputy();
    return is_settled && (is_old || can_replace_deputy)
               ? std::optional(SeatCause::kOwner)
               : std::nullopt;
  }
  if (!seat && this->fold.quiet_since().value == 0) {
    return SeatCause::kFirst;
  }
  const bool is_silent =
      time.now >= this->fold.quiet_read_at() + SeatTimeout(this->timing) &&
      this->first_read &&
      time.now >= *this->first_read + SeatTimeout(this->timing);
  if (is_silent) {
    return SeatCause::kTimeout;
  }
  if (!seat || this->fold.is_tentative()) {
    return std::nullopt;
  }
  const bool owner_is_dead = this->IsProvenDead(seat->owner);
  const bool owner_is_unreachable =
      owner_is_dead || !this->IsLive(seat->owner.node);
  const bool may_take_over = (this->IsDeputy() || !seat->deputy) &&
                             time.now >= this->seat_changed_at + kMinTenure;
  if (may_take_over && owner_is_unreachable && !this->HasUnsettledPromise()) {
    return SeatCause::kDeputy;
  }
  const bool deputy_is_dead = seat->deputy && this->IsProvenDead(*seat->deputy);
  if (owner_is_dead && (this->IsDeputy() || deputy_is_dead)) {
    return SeatCause::kProof;
  }
  return std::nullopt;
}

// Better candidates may propose earlier.
bool OncePartition::MayPropose(OnceTime time) {
  if (this->IsOwner() || this->IsDeputy()) {
    return true;
  }
  if (!this->vacant_since) {
    this->vacant_since = time.now;
  }
  const auto rank = std::ranges::find(this->candidates, this->self.node) -
                    this->candidates.begin();
  return time.now >= *this->vacant_since + kDelayPerRank * (rank + 1);
}

void OncePartition::Propose(SeatCause cause, OnceTime time) {
  wire::OnceRecord record = this->NewRecord(time);
  record.number = ++this->proposal_count;
  wire::OnceSeatChange change;
  change.cause = static_cast<std::int32_t>(cause);
  change.previous = this->fold.epoch();
  change.quiet_since =
      cause == SeatCause::kFirst
          ? 0
          : static_cast<std::int64_t>(this->fold.quiet_since().value);
  change.seat.owner = ToWire(this->self);
  const std::optional<OnceProcess> deputy = this->PickDeputy();
  if (deputy) {
    change.seat.__set_deputy(ToWire(*deputy));
  }
  record.__set_change(change);
  this->proposal = Proposal{Encode(record), record.number, time.now, false};
  this->proposed_at = time.now;
  this->actions.push_back(OnceAppend{this->proposal->record, record.number});
}

std::optional<OnceProcess> OncePartition::PickDeputy() const {
  const auto best =
      std::ranges::find_if(this->candidates, [this](const NodeId& node) {
        return node != this->self.node && this->IsLive(node) &&
               this->starts.contains(node);
      });
  if (best == this->candidates.end()) {
    return std::nullopt;
  }
  return OnceProcess{*best, this->starts.at(*best)};
}

void OncePartition::RequestStarts(OnceTime time) {
  if (time.now < this->last_start_request + kStartRequestInterval) {
    return;
  }
  std::vector<NodeId> recipients = this->candidates;
  const std::optional<Seat>& seat = this->fold.seat();
  const bool owner_is_unreachable = seat && !this->IsLive(seat->owner.node);
  const bool is_settled = seat && seat->deputy && !owner_is_unreachable &&
                          this->IsLive(seat->deputy->node);
  // If nothing has to change, a request every 2 s is enough.
  if (is_settled && time.now < this->last_start_request + seconds(2)) {
    return;
  }
  if (seat) {
    recipients.push_back(seat->owner.node);
  }
  if (seat && seat->deputy) {
    recipients.push_back(seat->deputy->node);
  }
  this->last_start_request = time.now;
  std::ranges::sort(recipients);
  recipients.erase(std::unique(recipients.begin(), recipients.end()),
                   recipients.end());
  for (const NodeId& node : recipients) {
    if (node != this->self.node) {
      wire::OnceMessage message = this->NewMessage();
      message.who = true;
      this->Send(node, std::move(message));
    }
  }
}

bool OncePartition::IsLive(const NodeId& node) const {
  return Contains(this->live, node);
}

// Only one process can listen at an address, so a newer start proves that the
// older process is dead.
bool OncePartition::IsProvenDead(const OnceProcess& process) const {
  if (process.node == this->self.node) {
    return process.start < this->self.start;
  }
  const auto known = this->starts.find(process.node);
  return known != this->starts.end() && known->second > process.start;
}

// Only the deputy knows whether it gave a promise. All other nodes have to
// assume that it did.
bool OncePartition::HasUnsettledPromise() const {
  if (!this->fold.seat()->deputy) {
    return false;
  }
  return this->promised_epoch == this->fold.epoch() &&
         this->promised > this->fold.settled();
}

// Messages ------------------------------------------------------------------

wire::OnceMessage OncePartition::NewMessage() const {
  wire::OnceMessage message;
  message.start = static_cast<std::int64_t>(this->self.start);
  message.partition = this->partition;
  return message;
}

void OncePartition::Send(const NodeId& to, wire::OnceMessage message) {
  this->actions.push_back(OnceSend{to, std::move(message)});
}

wire::OnceRecord OncePartition::NewRecord(OnceTime time) const {
  wire::OnceRecord record;
  record.epoch = this->fold.epoch();
  record.author = ToWire(this->self);
  if (this->fold.seat()) {
    record.seat.owner = ToWire(this->fold.seat()->owner);
    if (this->fold.seat()->deputy) {
      record.seat.__set_deputy(ToWire(*this->fold.seat()->deputy));
    }
  }
  record.settled = this->settled_promise;
  record.stamp_ms = ToMillis(time.wall);
  return record;
}

}  // namespace tanagerledge
