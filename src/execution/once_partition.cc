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

constexpr milliseconds kPromiseAskPeriod{50};
constexpr milliseconds kStartAskPeriod{200};
constexpr milliseconds kStatusAskPeriod{100};
constexpr milliseconds kProposalRepeat{1000};
// A candidate of rank n waits n times this, so that few propose at once.
constexpr milliseconds kTurnDelay{300};
// A view of the log older than this decides nothing about seats.
constexpr milliseconds kFreshRead{1500};
constexpr seconds kLongestHeartbeat{15};
// Others take a seat after a silence of the longest time without the log.
constexpr int kHeartbeatsPerLimit = 4;
constexpr seconds kSeatRenewal{60};
// Nodes that cannot reach each other but all reach the log would else take the
// seat from each other without end.
constexpr seconds kLeastTenure{3};
constexpr seconds kLongestWait{60};
constexpr std::size_t kMostWaiting = 200000;

wire::OnceEntry IntentOf(const OnceKeyId& key,
                         const OnceAttempt& attempt,
                         Fingerprint fingerprint) {
  wire::OnceEntry entry;
  entry.key = ToWire(key);
  entry.attempt = ToWire(attempt);
  entry.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  return entry;
}

wire::OnceEntry OutcomeOf(const OnceKeyId& key,
                          const OnceAttempt& attempt,
                          const OnceResult& result) {
  wire::OnceEntry entry = IntentOf(key, attempt, {});
  entry.__set_result(ToWire(result));
  return entry;
}

milliseconds HeartbeatOf(const OnceTiming& timing) {
  return std::min<milliseconds>(
      kLongestHeartbeat,
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
                                  std::vector<NodeId> living) {
  this->candidates = std::move(best);
  this->live = std::move(living);
}

void OncePartition::OnRecords(const std::vector<LogRecord>& records_read,
                              bool at_end,
                              OnceTime time) {
  for (const LogRecord& record : records_read) {
    const bool was_owner = this->IsOwner();
    const std::int64_t epoch_before = this->fold.epoch();
    const auto counted = this->fold.Apply(record.offset, record.bytes, time);
    if (was_owner && !this->IsOwner()) {
      this->LoseSeat();
    }
    // Read back, or overtaken: either way no copy of it can count any more.
    const bool is_own_proposal =
        this->proposal && record.bytes == this->proposal->record;
    if (is_own_proposal || this->fold.epoch() != epoch_before) {
      this->proposal.reset();
      this->vacant_since.reset();
    }
    if (this->fold.epoch() != epoch_before) {
      this->seat_seen = time.now;
    }
    if (counted && this->IsOwner()) {
      this->OnOwnRecord(*counted, time);
    }
    // A fold that went back to a seat needs the records from there again.
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
    this->LoseSeat();
  }
}

// Only a proposal cares: a batch is over when it is read back.
void OncePartition::OnAppendResult(std::int64_t mark, AppendResult end) {
  if (!this->proposal || this->proposal->mark != mark) {
    return;
  }
  if (end != AppendResult::kNothingWritten) {
    this->proposal->may_stand = true;
  } else if (!this->proposal->may_stand) {
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
  this->TickSeats(time);
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
  Waiter waiter;
  waiter.from = from;
  waiter.key = *key;
  waiter.attempt = ToAttempt(claim.attempt);
  waiter.fingerprint = {static_cast<std::uint64_t>(claim.fingerprint)};
  if (claim.mint_ms > 0) {
    waiter.mint = FromMillis(claim.mint_ms);
  }
  waiter.until =
      time.now + std::clamp<microseconds>(microseconds(claim.remaining_us),
                                          microseconds(0), kLongestWait);
  if (this->IsOwner()) {
    this->Decide(waiter, time);
  } else {
    this->Answer(waiter, ClaimAnswer::kNotOwner);
  }
}

void OncePartition::Decide(const Waiter& waiter, OnceTime time) {
  const KeyIndex::Entry* entry = this->fold.keys.Find(waiter.key);
  if (entry != nullptr) {
    this->AnswerRepeat(waiter, *entry);
  } else if (this->fold.MayHaveRun(waiter.mint, time)) {
    this->Answer(waiter, ClaimAnswer::kUnknown);
  } else {
    this->Admit(waiter, time);
  }
}

// The key is new, and this process alone may give it away.
void OncePartition::Admit(const Waiter& waiter, OnceTime time) {
  const bool off_log = this->own_mode == OnceMode::kOffLog;
  // A successor refuses what was minted before it came: no later mint counts.
  const bool is_early = waiter.mint && *waiter.mint > time.wall + kMostMintLead;
  if (this->batcher.size() >= kMostWaiting ||
      (off_log && (is_early || !this->MayGoOffLog(time.now)))) {
    this->Answer(waiter, ClaimAnswer::kRefused);
    return;
  }
  this->fold.keys.Insert(waiter.key, waiter.attempt, waiter.fingerprint,
                         time.wall,
                         off_log ? KeyState::kGranted : KeyState::kClaimed);
  this->batcher.Add(IntentOf(waiter.key, waiter.attempt, waiter.fingerprint),
                    time.now);
  if (off_log) {
    this->Answer(waiter, ClaimAnswer::kGranted);
  } else {
    this->Park(waiter);
  }
}

void OncePartition::AnswerRepeat(const Waiter& waiter,
                                 const KeyIndex::Entry& entry) {
  const bool is_own = this->fold.keys.AttemptOf(entry) == waiter.attempt;
  if (!is_own && entry.fingerprint != waiter.fingerprint) {
    this->Answer(waiter, ClaimAnswer::kMismatch);
  } else if (entry.state == KeyState::kEnded) {
    const OnceResult result = KeyIndex::ResultOf(entry);
    this->Answer(waiter, ClaimAnswer::kStored, &result);
  } else if (is_own && entry.state == KeyState::kGranted) {
    this->Answer(waiter, ClaimAnswer::kGranted);
  } else {
    this->Park(waiter);
  }
}

void OncePartition::Park(const Waiter& waiter) {
  std::vector<Waiter>& parked = this->waiters[waiter.key];
  std::erase_if(parked, [&waiter](const Waiter& other) {
    return other.attempt == waiter.attempt;
  });
  parked.push_back(waiter);
}

// Something is known of the key: decides again about all who wait for it.
void OncePartition::Resolve(const OnceKeyId& key, OnceTime time) {
  const auto found = this->waiters.find(key);
  if (found == this->waiters.end()) {
    return;
  }
  const std::vector<Waiter> parked = std::move(found->second);
  this->waiters.erase(found);
  for (const Waiter& waiter : parked) {
    if (waiter.until > time.now) {
      this->Decide(waiter, time);
    }
  }
}

void OncePartition::Answer(const Waiter& waiter,
                           ClaimAnswer answer,
                           const OnceResult* result) {
  wire::OnceMessage message = this->NewMessage();
  wire::OnceAnswer reply;
  reply.attempt = ToWire(waiter.attempt);
  reply.answer = static_cast<std::int32_t>(answer);
  if (result != nullptr) {
    reply.__set_result(ToWire(*result));
  }
  if (this->fold.seat()) {
    reply.owner = this->fold.seat()->owner.node.value;
  }
  message.__set_answer(reply);
  this->Send(waiter.from, std::move(message));
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
  // An owner before this one admitted it off the log, and told nobody else.
  if (is_lost_run) {
    this->fold.keys.Insert(key, attempt, fingerprint, time.wall,
                           KeyState::kGranted);
    this->batcher.Add(IntentOf(key, attempt, fingerprint), time.now);
  }
  this->batcher.Add(OutcomeOf(key, attempt, result), time.now);
  // A key opens again only where the log says so: if the seat were lost before,
  // the next owner would still hold the key for this attempt.
  const bool must_wait =
      result.outcome == Outcome::kNotRun && this->own_mode == OnceMode::kLogged;
  if (!must_wait) {
    this->fold.keys.End(key, attempt, result);
    this->Resolve(key, time);
  }
}

// Asks the nodes whose attempts others wait for.
void OncePartition::AskStatuses(OnceTime time) {
  if (time.now < this->last_status_ask + kStatusAskPeriod) {
    return;
  }
  this->last_status_ask = time.now;
  for (auto& [key, parked] : this->waiters) {
    std::erase_if(parked, [time](const Waiter& waiter) {
      return waiter.until <= time.now;
    });
    const KeyIndex::Entry* entry = this->fold.keys.Find(key);
    if (parked.empty() || entry == nullptr ||
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
  std::erase_if(this->waiters,
                [](const auto& item) { return item.second.empty(); });
}

// The outcome stands on the log, or needs not to.
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
    // Just seated: every earlier owner's record is folded by now.
    this->batcher.OnSeen();
    this->records = 0;
    this->asked_promise = 0;
    this->settled_promise = 0;
    this->own_mode = OnceMode::kLogged;
    this->seated = time.now;
    this->contact = this->proposed;
    return;
  }
  if (record.number != this->records) {
    return;
  }
  this->contact = this->batcher.first_sent();
  this->batcher.OnSeen();
  for (const wire::OnceEntry& entry : record.entries) {
    const std::optional<OnceKeyId> key = ToKeyId(entry.key);
    if (!key) {
      continue;
    }
    const OnceAttempt attempt = ToAttempt(entry.attempt);
    if (entry.__isset.result) {
      this->fold.keys.MarkLogged(*key, attempt);
      this->Acknowledge(attempt);
      this->Resolve(*key, time);
      continue;
    }
    const KeyIndex::Entry* known = this->fold.keys.Find(*key);
    if (known != nullptr && this->fold.keys.AttemptOf(*known) == attempt) {
      this->fold.keys.Grant(*key);
      this->Resolve(*key, time);
    }
  }
}

void OncePartition::TickAsOwner(OnceTime time) {
  if (this->own_mode == OnceMode::kOffLog) {
    this->ComeBack(time);
  } else if (this->IsLogSlow(time.now)) {
    this->AskPromise(time);
  }
  this->AskStatuses(time);
  if (this->proposal) {
    return;
  }
  if (this->batcher.ShouldRepeat(time.now)) {
    this->actions.push_back(OnceAppend{this->batch});
  }
  this->AppendBatch(time);
}

void OncePartition::AppendBatch(OnceTime time) {
  const bool must_settle = this->own_mode != OnceMode::kOffLog &&
                           this->asked_promise > this->settled_promise;
  const bool is_due =
      this->records == 0 || must_settle ||
      time.now >= this->batcher.last_sent() + HeartbeatOf(this->timing);
  auto entries = this->batcher.Take(time.now, is_due);
  if (!entries) {
    return;
  }
  // With this record, all that was admitted off the log is on it.
  if (must_settle && this->batcher.size() == 0) {
    this->settled_promise = this->asked_promise;
    this->own_mode = OnceMode::kLogged;
  }
  wire::OnceRecord record = this->NewRecord(time);
  record.number = ++this->records;
  record.entries = std::move(*entries);
  this->batch = Encode(record);
  this->actions.push_back(OnceAppend{this->batch});
}

bool OncePartition::IsLogSlow(Instant now) const {
  const std::optional<Instant> since = this->batcher.OldestWait();
  return since && now >= *since + this->timing.log_patience;
}

bool OncePartition::MayGoOffLog(Instant now) const {
  return now < this->contact + this->timing.off_log_limit;
}

void OncePartition::AskPromise(OnceTime time) {
  const std::optional<OnceProcess> deputy = this->fold.seat()->deputy;
  if (!deputy || this->proposal || !this->MayGoOffLog(time.now)) {
    return;
  }
  // A promise that was not settled yet still holds.
  if (this->own_mode == OnceMode::kReturning) {
    this->GoOffLog(time);
    return;
  }
  if (time.now < this->last_promise_ask + kPromiseAskPeriod) {
    return;
  }
  this->last_promise_ask = time.now;
  this->asked_promise = this->settled_promise + 1;
  wire::OnceMessage message = this->NewMessage();
  wire::OncePromise ask;
  ask.epoch = this->fold.epoch();
  ask.number = this->asked_promise;
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
    const bool is_wanted =
        this->IsOwner() && this->own_mode == OnceMode::kLogged &&
        !this->proposal && promise.number == this->settled_promise + 1 &&
        promise.number == this->asked_promise;
    if (is_wanted && this->MayGoOffLog(time.now)) {
      this->GoOffLog(time);
    }
    return;
  }
  // The deputy that has begun to take the seat promises nothing any more.
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

// All that waits for the log may run now.
void OncePartition::GoOffLog(OnceTime time) {
  this->own_mode = OnceMode::kOffLog;
  std::vector<OnceKeyId> keys;
  std::ranges::transform(this->waiters, std::back_inserter(keys),
                         [](const auto& item) { return item.first; });
  for (const OnceKeyId& key : keys) {
    this->fold.keys.Grant(key);
    this->Resolve(key, time);
  }
}

void OncePartition::ComeBack(OnceTime time) {
  const bool is_answering =
      this->contact + this->timing.log_patience * 2 >= time.now;
  if (is_answering && !this->IsLogSlow(time.now)) {
    this->own_mode = OnceMode::kReturning;
  }
}

void OncePartition::LoseSeat() {
  this->batcher.Clear();
  this->fold.keys.DropClaimed();
  this->own_mode = OnceMode::kLogged;
  const auto lost = std::exchange(this->waiters, {});
  for (const auto& [key, parked] : lost) {
    for (const Waiter& waiter : parked) {
      this->Answer(waiter, ClaimAnswer::kNotOwner);
    }
  }
}

// Seats ---------------------------------------------------------------------

void OncePartition::TickSeats(OnceTime time) {
  if (this->proposal) {
    if (time.now >= this->proposal->sent + kProposalRepeat) {
      this->proposal->sent = time.now;
      // The copy before may still be on its way, whatever becomes of this one.
      this->proposal->may_stand = true;
      this->actions.push_back(
          OnceAppend{this->proposal->record, this->proposal->mark});
    }
    return;
  }
  const bool is_fresh =
      this->is_caught_up && time.now < this->last_read + kFreshRead;
  if (!is_fresh || !this->NeedsStream()) {
    this->vacant_since.reset();
    return;
  }
  this->AskStarts(time);
  const std::optional<SeatCause> cause = this->CauseToTakeSeat(time);
  if (!cause) {
    this->vacant_since.reset();
  } else if (this->IsTurn(time)) {
    this->Propose(*cause, time);
  }
}

std::optional<SeatCause> OncePartition::CauseToTakeSeat(OnceTime time) const {
  const std::optional<Seat>& seat = this->fold.seat();
  if (this->IsOwner()) {
    const bool is_settled = this->own_mode == OnceMode::kLogged &&
                            !this->batcher.under_way() &&
                            this->asked_promise == this->settled_promise;
    const bool is_old = time.now >= this->seated + kSeatRenewal;
    const bool needs_deputy = !seat->deputy ||
                              !this->IsLive(seat->deputy->node) ||
                              this->IsProvenDead(*seat->deputy);
    const bool can_mend = needs_deputy && this->PickDeputy();
    return is_settled && (is_old || can_mend) ? std::optional(SeatCause::kOwner)
                                              : std::nullopt;
  }
  if (!seat && this->fold.quiet_since().value == 0) {
    return SeatCause::kFirst;
  }
  const bool is_silent =
      time.now >= this->fold.quiet_seen() + TimeoutOf(this->timing) &&
      this->first_read &&
      time.now >= *this->first_read + TimeoutOf(this->timing);
  if (is_silent) {
    return SeatCause::kTimeout;
  }
  if (!seat || this->fold.is_tentative()) {
    return std::nullopt;
  }
  const bool owner_is_dead = this->IsProvenDead(seat->owner);
  const bool owner_is_away = owner_is_dead || !this->IsLive(seat->owner.node);
  const bool may_stand_in = (this->IsDeputy() || !seat->deputy) &&
                            time.now >= this->seat_seen + kLeastTenure;
  if (may_stand_in && owner_is_away && !this->HasPromiseOut()) {
    return SeatCause::kDeputy;
  }
  const bool deputy_is_dead = seat->deputy && this->IsProvenDead(*seat->deputy);
  if (owner_is_dead && (this->IsDeputy() || deputy_is_dead)) {
    return SeatCause::kProof;
  }
  return std::nullopt;
}

// Better candidates go first.
bool OncePartition::IsTurn(OnceTime time) {
  if (this->IsOwner() || this->IsDeputy()) {
    return true;
  }
  if (!this->vacant_since) {
    this->vacant_since = time.now;
  }
  const auto rank = std::ranges::find(this->candidates, this->self.node) -
                    this->candidates.begin();
  return time.now >= *this->vacant_since + kTurnDelay * (rank + 1);
}

void OncePartition::Propose(SeatCause cause, OnceTime time) {
  wire::OnceRecord record = this->NewRecord(time);
  record.number = ++this->proposals;
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
  this->proposed = time.now;
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

void OncePartition::AskStarts(OnceTime time) {
  if (time.now < this->last_start_ask + kStartAskPeriod) {
    return;
  }
  std::vector<NodeId> asked = this->candidates;
  const std::optional<Seat>& seat = this->fold.seat();
  const bool owner_is_away = seat && !this->IsLive(seat->owner.node);
  const bool is_settled = seat && seat->deputy && !owner_is_away &&
                          this->IsLive(seat->deputy->node);
  // In quiet times once in a while is enough.
  if (is_settled && time.now < this->last_start_ask + seconds(2)) {
    return;
  }
  if (seat) {
    asked.push_back(seat->owner.node);
  }
  if (seat && seat->deputy) {
    asked.push_back(seat->deputy->node);
  }
  this->last_start_ask = time.now;
  std::ranges::sort(asked);
  asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
  for (const NodeId& node : asked) {
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

// Only one process can listen at an address: a newer start is the proof.
bool OncePartition::IsProvenDead(const OnceProcess& process) const {
  if (process.node == this->self.node) {
    return process.start < this->self.start;
  }
  const auto heard = this->starts.find(process.node);
  return heard != this->starts.end() && heard->second > process.start;
}

// Nobody but the deputy knows; for all others one may be out.
bool OncePartition::HasPromiseOut() const {
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
