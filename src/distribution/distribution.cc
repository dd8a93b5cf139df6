#include "src/distribution/distribution.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxReplyBytes = 256 * 1024;
constexpr std::size_t kSmallReplyBytes = 8 * 1024;
constexpr std::size_t kPushesRemembered = 1024;
constexpr std::size_t kRecordsPerRead = 500;
constexpr std::size_t kMaxEndWaiters = 20'000;
constexpr std::size_t kOwnZoneFloorAttempts = 4;
constexpr std::uint64_t kSummariesPerFarOne = 8;
constexpr std::uint64_t kSeeksPerFarOne = 4;
constexpr std::chrono::milliseconds kEmptyReadPause{250};
constexpr std::chrono::milliseconds kEndBackoffMax{2000};
constexpr std::chrono::milliseconds kRetryAfter{250};
constexpr std::chrono::milliseconds kRetryAfterMax{5000};

std::optional<LogOffset> OffsetFrom(std::int64_t value) {
  if (value < 0) {
    return std::nullopt;
  }
  return LogOffset{static_cast<std::uint64_t>(value)};
}

std::int64_t ToWire(LogOffset offset) {
  return static_cast<std::int64_t>(offset.value);
}

std::optional<wire::Checkpoint> CheckpointIn(std::string_view record) {
  auto decoded = Decode<wire::ReleaseRecord>(record);
  if (!decoded || !decoded->__isset.checkpoint) {
    return std::nullopt;
  }
  return std::move(decoded->checkpoint);
}

std::string CheckpointRecord(wire::Checkpoint checkpoint) {
  wire::ReleaseRecord record;
  record.checkpoint = std::move(checkpoint);
  record.__isset.checkpoint = true;
  return Encode(record);
}

// Stands in the stream for a checkpoint, whose content is of no use to a node
// that has every record before it.
std::string EmptiedCheckpoint() {
  return CheckpointRecord(wire::Checkpoint());
}

std::string DigestBytes(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::string ToText(Readiness reason) {
  constexpr std::array<std::string_view, 4> kTexts = {
      "ready", "no reading of the log's end that began after this node's start",
      "the log gives no answer, so this node cannot know what it served before",
      "records of the log are still missing here"};
  return std::string(kTexts[static_cast<std::size_t>(reason)]);
}

// Outside -------------------------------------------------------------------

Distribution::Distribution(DistributionConfig distribution_config,
                           Instant start)
    : config(std::move(distribution_config)),
      random(this->config.seed),
      now(start),
      in_force(this->own_fold.State()),
      floor(static_cast<std::int64_t>(this->random() >> 1)),
      settled_at(start + this->Jittered(this->config.settle)),
      tail(this->config.log_backoff_min, this->config.log_backoff_max),
      log_end(this->config.log_backoff_min, kEndBackoffMax),
      checkpoint_clock(this->config, start),
      slots(this->config.max_state_transfers, this->config.transfer_timeout),
      summary_at(start + this->Jittered(this->config.summary_interval)) {}

Distribution::Actions Distribution::OnEvent(const DistributionEvent& event,
                                            Instant event_time) {
  this->now = event_time;
  this->actions.clear();
  std::visit([this](const auto& one) { this->On(one); }, event);
  this->DoWhatIsDue();
  return std::move(this->actions);
}

Readiness Distribution::readiness() const {
  return this->serving ? Readiness::kReady
                       : this->floor.Judge(this->own_fold.next_offset());
}

bool Distribution::IsReader() const {
  return this->topology != nullptr &&
         std::ranges::find(this->topology->ReadersOf(this->config.zone),
                           this->config.node) !=
             this->topology->ReadersOf(this->config.zone).end();
}

// Events --------------------------------------------------------------------

void Distribution::On(const TimePassed& /*event*/) {}

void Distribution::On(const MembersChanged& event) {
  this->topology = event.topology;
}

void Distribution::On(const MessageArrived& event) {
  for (const Handler& handler : kHandlers) {
    if (handler.is_set(event.message)) {
      (this->*handler.handle)(event.from, event.message);
    }
  }
}

void Distribution::On(const LogReadDone& event) {
  event.purpose == ReadPurpose::kTail ? this->OnTail(event)
                                      : this->OnEnd(event);
}

// Whatever the append's end, the record counts when it is read.
void Distribution::On(const LogAppendDone& /*event*/) {
  this->appending = false;
}

// Thrift keeps which fields are set in bit-fields, which no pointer can name.
const std::array<Distribution::Handler, 9> Distribution::kHandlers = {{
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.push;
     },
     &Distribution::OnPush},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.summary;
     },
     &Distribution::OnSummary},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.records_request;
     },
     &Distribution::OnRecordsRequest},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.records;
     },
     &Distribution::OnRecords},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.state_request;
     },
     &Distribution::OnStateRequest},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.state;
     },
     &Distribution::OnState},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.state_taken;
     },
     &Distribution::OnStateTaken},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.log_end_request;
     },
     &Distribution::OnLogEndRequest},
    {[](const wire::ReleaseMessage& message) -> bool {
       return message.__isset.log_end;
     },
     &Distribution::OnLogEnd},
}};

// The log -------------------------------------------------------------------

void Distribution::OnTail(const LogReadDone& event) {
  if (!event.result) {
    this->OnTailError(event.result.error());
    return;
  }
  const LogPage& page = *event.result;
  this->floor.Learn(page.end);
  for (const LogRecord& record : page.records) {
    this->Offer(record.offset, this->TakeFromLog(record));
  }
  if (this->gap && !page.records.empty()) {
    this->gap->cursor = {page.records.back().offset.value + 1};
  }
  this->tail.Succeed(this->now, page.records.empty()
                                    ? kEmptyReadPause
                                    : std::chrono::milliseconds(0));
  if (!this->serving) {
    return;  // What a starting reader reads is history to the others.
  }
  const bool in_charge =
      this->IsReader() &&
      this->topology->ReadersOf(this->config.zone).front() == this->config.node;
  const auto delay =
      in_charge ? std::chrono::milliseconds(0) : this->config.spare_push_delay;
  for (const LogRecord& record : page.records) {
    this->push_due[record.offset] = this->now + delay;
  }
}

void Distribution::OnTailError(const LogError& error) {
  const LogOffset next = this->own_fold.next_offset();
  const bool moved = error.kind == LogErrorKind::kExpired &&
                     error.first_kept > this->TailFrom();
  if (!moved) {
    this->tail.Fail(this->now, this->random);
    return;
  }
  const Instant since = this->gap ? this->gap->since : this->now;
  this->first_kept = error.first_kept;
  this->tail.Succeed(this->now, std::chrono::milliseconds(0));
  if (error.first_kept > next) {
    this->gap = Gap{error.first_kept, error.first_kept, since};
  }
}

void Distribution::OnEnd(const LogReadDone& event) {
  if (event.result) {
    this->floor.Learn(event.result->end);
    this->log_end.Succeed(this->now, this->config.log_end_interval);
  } else if (event.result.error().kind == LogErrorKind::kExpired &&
             event.result.error().first_kept > this->first_kept) {
    this->first_kept = event.result.error().first_kept;
    this->log_end.Succeed(this->now, std::chrono::milliseconds(0));
    this->end_waiters.merge(this->end_in_flight);
    this->end_in_flight.clear();
    return;
  } else {
    this->floor.LearnUnavailable();
    this->log_end.Fail(this->now, this->random);
  }
  for (const auto& [node, ticket] : this->end_in_flight) {
    wire::LogEndReply reply;
    reply.ticket = ticket;
    reply.unavailable = !event.result;
    reply.end_offset = event.result ? ToWire(event.result->end) : 0;
    wire::ReleaseMessage message;
    message.__set_log_end(reply);
    this->Send(node, SendPurpose::kRestart, std::move(message));
  }
  this->end_in_flight.clear();
}

// Messages ------------------------------------------------------------------

void Distribution::OnPush(const NodeId& from,
                          const wire::ReleaseMessage& message) {
  this->OfferAll(message.push.records);
  std::vector<LogOffset> fresh;
  for (const wire::StreamRecord& record : message.push.records) {
    const auto offset = OffsetFrom(record.offset);
    if (offset && this->IsFirstPush(*offset)) {
      fresh.push_back(*offset);
    }
  }
  if (fresh.empty()) {
    return;
  }
  if (message.push.root == this->config.node.value) {
    this->PushFromHere(fresh);
  } else {
    this->PushToChildren(this->RecordsAt(fresh), {message.push.root});
  }
  this->Drain();
  if (this->own_fold.next_offset() <= fresh.back()) {
    this->heard_next = std::max(this->heard_next, fresh.back());
    this->RequestRecords(from);
  }
}

void Distribution::OnSummary(const NodeId& from,
                             const wire::ReleaseMessage& message) {
  const wire::ReleaseSummary& summary = message.summary;
  const auto next = OffsetFrom(summary.next_offset);
  if (!next) {
    ++this->own_alarms.bad_messages;
    return;
  }
  const FleetState& state = *this->own_fold.State();
  const bool same_release =
      summary.release == static_cast<std::int64_t>(state.release.value);
  if (same_release && summary.digest != DigestBytes(state.digest)) {
    ++this->own_alarms.diverged;
    return;
  }
  if (*next > this->own_fold.next_offset()) {
    this->heard_next = std::max(this->heard_next, *next);
    this->RequestRecords(from);
  } else if (*next < this->own_fold.next_offset()) {
    this->SendSummary(from);
  }
}

void Distribution::OnRecordsRequest(const NodeId& from,
                                    const wire::ReleaseMessage& message) {
  const auto first = OffsetFrom(message.records_request.from_offset);
  if (!first) {
    ++this->own_alarms.bad_messages;
    return;
  }
  auto range = this->RangeFrom(*first);
  wire::RecordsReply reply;
  reply.state_needed = !range;
  if (range) {
    reply.records = std::move(*range);
  }
  wire::ReleaseMessage out;
  out.__set_records(reply);
  this->Send(from, SendPurpose::kRepair, std::move(out));
}

// Nothing when the whole state is the shorter answer.
std::optional<std::vector<wire::StreamRecord>> Distribution::RangeFrom(
    LogOffset first) {
  const LogOffset next = this->own_fold.next_offset();
  auto range = this->store.Range(first, next, kSmallReplyBytes);
  if (!range && this->store.Has(first)) {
    range = this->store.Range(first, next, this->Packed().packed.size());
  }
  return range;
}

void Distribution::OnRecords(const NodeId& from,
                             const wire::ReleaseMessage& message) {
  this->records_request.Close();
  if (message.records.state_needed) {
    this->RequestState(from);
    return;
  }
  this->OfferAll(message.records.records);
}

void Distribution::OnStateRequest(const NodeId& from,
                                  const wire::ReleaseMessage& message) {
  wire::StateReply reply;
  reply.ticket = message.state_request.ticket;
  const bool has_state = this->own_fold.next_offset().value > 0;
  if (has_state && this->slots.TryTake(from, this->now)) {
    reply.packed = this->Packed().packed;
    reply.hash = this->Packed().hash;
  } else {
    reply.retry_after_ms = this->Jittered(kRetryAfter).count();
    reply.other_holder = this->slots.RandomHolder(this->random).value;
  }
  wire::ReleaseMessage out;
  out.__set_state(reply);
  this->Send(from, SendPurpose::kFullState, std::move(out));
}

void Distribution::OnState(const NodeId& from,
                           const wire::ReleaseMessage& message) {
  const wire::StateReply& reply = message.state;
  if (reply.ticket != this->floor.ticket()) {
    return;
  }
  this->state_request.Close();
  if (reply.packed.empty()) {
    const auto asked = std::chrono::milliseconds(std::clamp<std::int64_t>(
        reply.retry_after_ms, 1, kRetryAfterMax.count()));
    this->seek_at = this->now + this->Jittered(asked);
    this->seek_hint = {reply.other_holder};
    return;
  }
  const auto checkpoint = UnpackState(reply.packed, reply.hash);
  if (checkpoint) {
    this->Adopt(*checkpoint);
  } else {
    ++this->own_alarms.bad_messages;
    this->seek_at = this->now + this->Jittered(kRetryAfter);
  }
  wire::ReleaseMessage taken;
  taken.state_taken.ticket = reply.ticket;
  taken.__isset.state_taken = true;
  this->Send(from, SendPurpose::kFullState, std::move(taken));
}

void Distribution::OnStateTaken(const NodeId& from,
                                const wire::ReleaseMessage& /*message*/) {
  this->slots.Free(from);
}

void Distribution::OnLogEndRequest(const NodeId& from,
                                   const wire::ReleaseMessage& message) {
  if (this->end_waiters.size() < kMaxEndWaiters) {
    this->end_waiters[from] = message.log_end_request.ticket;
  }
}

void Distribution::OnLogEnd(const NodeId& /*from*/,
                            const wire::ReleaseMessage& message) {
  const wire::LogEndReply& reply = message.log_end;
  const auto end = OffsetFrom(reply.end_offset);
  if (reply.ticket != this->floor.ticket() || !end) {
    return;
  }
  if (reply.unavailable) {
    this->floor.LearnUnavailable();
    return;
  }
  this->floor.Learn(*end);
}

// Records -------------------------------------------------------------------

// True when the record is new here.
bool Distribution::Offer(LogOffset offset, std::string bytes) {
  return offset >= this->own_fold.next_offset() &&
         bytes.size() <= kMaxRecordBytes &&
         this->store.Put(offset, std::move(bytes));
}

std::vector<LogOffset> Distribution::OfferAll(
    const std::vector<wire::StreamRecord>& records) {
  std::vector<LogOffset> fresh;
  for (const wire::StreamRecord& record : records) {
    const auto offset = OffsetFrom(record.offset);
    if (offset && this->Offer(*offset, record.bytes)) {
      fresh.push_back(*offset);
    }
  }
  return fresh;
}

// The record as it is kept and passed on. A checkpoint that leads past missing
// records is adopted on the way.
std::string Distribution::TakeFromLog(const LogRecord& record) {
  const auto checkpoint = CheckpointIn(record.bytes);
  if (!checkpoint) {
    return record.bytes;
  }
  if (this->gap) {
    this->Adopt(*checkpoint);
  }
  return EmptiedCheckpoint();
}

void Distribution::Adopt(const wire::Checkpoint& checkpoint) {
  switch (this->own_fold.Adopt(checkpoint)) {
    case AdoptResult::kAdopted:
    case AdoptResult::kNotNewer:
      break;
    case AdoptResult::kDiverged:
      ++this->own_alarms.diverged;
      break;
    case AdoptResult::kInvalid:
      ++this->own_alarms.bad_messages;
      break;
    case AdoptResult::kNewRules:
      this->own_alarms.needs_upgrade = true;
      break;
  }
}

void Distribution::Drain() {
  while (const std::string* const record =
             this->store.Find(this->own_fold.next_offset())) {
    const LogOffset offset = this->own_fold.next_offset();
    std::optional<Verdict> verdict = this->own_fold.Apply(offset, *record);
    if (this->own_fold.next_offset() == offset) {
      this->own_alarms.needs_upgrade = true;
      break;
    }
    CheckpointIn(*record) ? this->checkpoint_clock.SawCheckpoint(this->now)
                          : this->checkpoint_clock.SawRecord();
    if (verdict) {
      this->actions.push_back(ReportVerdict{std::move(*verdict)});
    }
    this->PutInForceIfNew();
  }
  this->store.Trim(this->own_fold.next_offset());
  if (this->gap && this->own_fold.next_offset() >= this->gap->end) {
    this->gap.reset();
  }
}

void Distribution::PutInForceIfNew() {
  if (!this->serving &&
      this->floor.Judge(this->own_fold.next_offset()) == Readiness::kReady) {
    this->serving = true;
    this->in_force = nullptr;
  }
  if (this->serving && this->in_force != this->own_fold.State()) {
    this->in_force = this->own_fold.State();
    this->actions.push_back(ActivateState{this->in_force});
  }
}

// Spreading -----------------------------------------------------------------

// Pushes go on by their first coming, even when repair was faster: the nodes
// further down have nobody else.
bool Distribution::IsFirstPush(LogOffset offset) {
  const bool first = this->pushed.insert(offset).second;
  if (this->pushed.size() > kPushesRemembered) {
    this->pushed.erase(this->pushed.begin());
  }
  return first;
}

std::vector<wire::StreamRecord> Distribution::RecordsAt(
    const std::vector<LogOffset>& offsets) const {
  std::vector<wire::StreamRecord> records;
  for (const LogOffset offset : offsets) {
    if (const std::string* const bytes = this->store.Find(offset)) {
      wire::StreamRecord& record = records.emplace_back();
      record.offset = ToWire(offset);
      record.bytes = *bytes;
    }
  }
  return records;
}

// This node is its zone's root for these records.
void Distribution::PushFromHere(const std::vector<LogOffset>& offsets) {
  if (this->topology == nullptr || offsets.empty()) {
    return;
  }
  const std::vector<wire::StreamRecord> records = this->RecordsAt(offsets);
  this->PushToChildren(records, this->config.node);
  if (const auto head = this->topology->HeadOfNextZone(this->config.zone)) {
    this->PushTo(*head, records, *head);
  }
}

void Distribution::PushToChildren(
    const std::vector<wire::StreamRecord>& records,
    const NodeId& root) {
  if (this->topology == nullptr) {
    return;
  }
  for (const NodeId& child : this->topology->Children(
           this->config.zone, root, this->config.node, this->config.fan_out)) {
    this->PushTo(child, records, root);
  }
}

// A push that is too large is left to repair.
void Distribution::PushTo(const NodeId& to,
                          const std::vector<wire::StreamRecord>& records,
                          const NodeId& root) {
  std::size_t bytes = 0;
  for (const wire::StreamRecord& record : records) {
    bytes += record.bytes.size();
  }
  if (bytes > kMaxReplyBytes) {
    return;
  }
  wire::ReleaseMessage message;
  message.push.records = records;
  message.push.root = root.value;
  message.__isset.push = true;
  this->Send(to, SendPurpose::kPush, std::move(message));
}

void Distribution::SendSummary(const NodeId& to) {
  const FleetState& state = *this->own_fold.State();
  wire::ReleaseMessage message;
  message.summary.next_offset = ToWire(this->own_fold.next_offset());
  message.summary.release = static_cast<std::int64_t>(state.release.value);
  message.summary.digest = DigestBytes(state.digest);
  message.__isset.summary = true;
  this->Send(to, SendPurpose::kSummary, std::move(message));
}

void Distribution::RequestRecords(const NodeId& from) {
  if (this->records_request.IsOpen(this->now) ||
      this->state_request.IsOpen(this->now)) {
    return;
  }
  this->records_request.until = this->now + this->config.request_timeout;
  wire::ReleaseMessage message;
  message.records_request.from_offset = ToWire(this->own_fold.next_offset());
  message.__isset.records_request = true;
  this->Send(from, SendPurpose::kRepair, std::move(message));
}

void Distribution::RequestState(const NodeId& from) {
  if (this->state_request.IsOpen(this->now)) {
    return;
  }
  this->state_request.until = this->now + this->config.transfer_timeout;
  wire::ReleaseMessage message;
  message.state_request.ticket = this->floor.ticket();
  message.__isset.state_request = true;
  this->Send(from, SendPurpose::kFullState, std::move(message));
}

const PackedState& Distribution::Packed() {
  if (this->packed_at != this->own_fold.next_offset()) {
    this->packed = PackState(this->own_fold.ToCheckpoint());
    this->packed_at = this->own_fold.next_offset();
  }
  return this->packed;
}

// What is due ---------------------------------------------------------------

void Distribution::DoWhatIsDue() {
  this->Drain();
  this->PutInForceIfNew();
  this->SeekFloor();
  this->SeekRecords();
  this->ReadEnd();
  this->ReadTail();
  this->PushWhatIsDue();
  this->WriteCheckpoint();
  this->Summarize();
}

bool Distribution::HasPeers() const {
  return this->topology != nullptr && this->topology->size() > 1;
}

// A node that knows no others yet waits a little before it reads the log.
bool Distribution::ReadsEndItself() const {
  if (this->config.floor_source == FloorSource::kOwnRead) {
    return true;
  }
  return this->HasPeers() ? this->IsReader() : this->now >= this->settled_at;
}

void Distribution::SeekFloor() {
  if (this->floor.known() || this->now < this->ask_floor_at ||
      this->ReadsEndItself()) {
    return;
  }
  const std::optional<NodeId> reader = this->ReaderToAsk();
  if (!reader) {
    return;
  }
  this->ask_floor_at = this->now + this->Jittered(this->config.request_timeout);
  wire::ReleaseMessage message;
  message.log_end_request.ticket = this->floor.ticket();
  message.__isset.log_end_request = true;
  this->Send(*reader, SendPurpose::kRestart, std::move(message));
}

std::optional<NodeId> Distribution::ReaderToAsk() {
  if (!this->HasPeers()) {
    return std::nullopt;
  }
  const std::size_t attempt = this->floor_attempts++;
  const std::vector<NodeId>& own = this->topology->ReadersOf(this->config.zone);
  if (!own.empty() && attempt < kOwnZoneFloorAttempts) {
    return own[attempt % own.size()];
  }
  const std::vector<NodeId>& all = this->topology->readers();
  return all[this->random() % all.size()];
}

// Asks random nodes until this one has what it knows to be there.
void Distribution::SeekRecords() {
  const LogOffset next = this->own_fold.next_offset();
  const bool starting =
      !this->serving && (next.value == 0 || this->floor.known());
  const bool lacks_records =
      (starting || this->heard_next > next) && !this->own_fold.needs_upgrade();
  if (!lacks_records || this->now < this->seek_at ||
      this->records_request.IsOpen(this->now) ||
      this->state_request.IsOpen(this->now)) {
    return;
  }
  const bool hinted =
      !this->seek_hint.value.empty() && this->seek_hint != this->config.node;
  const std::optional<NodeId> peer =
      hinted ? this->seek_hint : this->RandomPeer(kSeeksPerFarOne);
  this->seek_hint = {};
  if (!peer) {
    return;
  }
  this->seek_at = this->now + this->Jittered(kRetryAfter);
  this->RequestRecords(*peer);
}

// In one of so many cases the peer may be in any zone.
std::optional<NodeId> Distribution::RandomPeer(std::uint64_t one_of_anywhere) {
  if (!this->HasPeers()) {
    return std::nullopt;
  }
  const bool anywhere = this->random() % one_of_anywhere == 0;
  std::optional<NodeId> peer;
  if (!anywhere) {
    peer = this->topology->RandomInZone(this->config.zone, this->config.node,
                                        this->random);
  }
  return peer ? peer
              : this->topology->RandomAnywhere(this->config.node, this->random);
}

void Distribution::ReadEnd() {
  const bool for_itself = !this->floor.known() && this->ReadsEndItself();
  const bool wanted = for_itself || !this->end_waiters.empty();
  if (!wanted || !this->log_end.IsDue(this->now)) {
    return;
  }
  this->log_end.Start();
  this->end_in_flight = std::exchange(this->end_waiters, {});
  const LogOffset from =
      std::max(this->own_fold.next_offset(), this->first_kept);
  this->actions.push_back(
      ReadLog{ReadPurpose::kEnd, from, 1, std::chrono::milliseconds(0)});
}

LogOffset Distribution::TailFrom() const {
  return this->gap ? std::max(this->gap->cursor, this->own_fold.next_offset())
                   : this->own_fold.next_offset();
}

// A newcomer first gives its peers a chance to hand it the state.
void Distribution::ReadTail() {
  const bool alone = !this->HasPeers() && this->now >= this->settled_at;
  const bool begun = this->serving || this->gap ||
                     this->own_fold.next_offset().value > 0 ||
                     this->now >= this->settled_at;
  const bool reads = alone || (this->IsReader() && begun);
  if (!reads || this->own_fold.needs_upgrade() ||
      !this->tail.IsDue(this->now)) {
    return;
  }
  this->tail.Start();
  this->actions.push_back(ReadLog{ReadPurpose::kTail, this->TailFrom(),
                                  kRecordsPerRead, this->config.long_poll});
}

// A reader that is not in charge pushes only what no push has brought by then.
void Distribution::PushWhatIsDue() {
  std::vector<LogOffset> due;
  std::erase_if(this->push_due, [this, &due](const auto& entry) {
    const auto& [offset, at] = entry;
    if (at <= this->now && this->IsFirstPush(offset)) {
      due.push_back(offset);
    }
    return at <= this->now;
  });
  this->PushFromHere(due);
}

std::size_t Distribution::WriterRank() const {
  const std::uint64_t turn =
      this->own_fold.next_offset().value / this->config.checkpoint_records;
  const std::string purpose = "checkpoint " + std::to_string(turn);
  const std::uint64_t own = RendezvousHash(this->config.node, purpose);
  return static_cast<std::size_t>(std::ranges::count_if(
      this->topology->readers(), [&purpose, own](const NodeId& node) {
        return RendezvousHash(node, purpose) < own;
      }));
}

void Distribution::WriteCheckpoint() {
  const bool able = this->serving && this->IsReader() && !this->appending &&
                    !this->tail.failing() && !this->own_fold.needs_upgrade() &&
                    this->own_fold.next_offset().value > 0;
  if (!able) {
    return;
  }
  // Nobody has the missing records: the stream goes on from this node's state.
  const bool bridge =
      this->gap && this->now - this->gap->since >= this->config.gap_patience;
  const bool turn =
      this->checkpoint_clock.IsTurn(this->WriterRank(), this->now);
  if (!turn || (this->gap && !bridge)) {
    return;
  }
  wire::Checkpoint checkpoint = this->own_fold.ToCheckpoint();
  if (bridge) {
    checkpoint.through_offset = ToWire(this->gap->end) - 1;
  }
  this->appending = true;
  this->checkpoint_clock.Wrote(this->now);
  this->actions.push_back(AppendLog{CheckpointRecord(std::move(checkpoint))});
}

void Distribution::Summarize() {
  if (this->now < this->summary_at) {
    return;
  }
  this->summary_at = this->now + this->Jittered(this->config.summary_interval);
  if (const auto peer = this->RandomPeer(kSummariesPerFarOne)) {
    this->SendSummary(*peer);
  }
}

// Between three and five quarters of a time.
std::chrono::milliseconds Distribution::Jittered(
    std::chrono::milliseconds time) {
  const auto half = static_cast<std::uint64_t>(time.count() / 2);
  return time * 3 / 4 + std::chrono::milliseconds(this->random() % (half + 1));
}

void Distribution::Send(const NodeId& to,
                        SendPurpose purpose,
                        wire::ReleaseMessage message) {
  if (to != this->config.node) {
    this->actions.push_back(SendRelease{to, purpose, std::move(message)});
  }
}

}  // namespace tanagerledge
