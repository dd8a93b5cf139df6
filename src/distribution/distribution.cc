#include "src/distribution/distribution.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxPushBytes = 256 * 1024;
// Up to this size, requested records are sent without comparing their size with
// that of the whole state.
constexpr std::size_t kSmallReplyBytes = 8 * 1024;
constexpr std::size_t kMaxRememberedPushes = 1024;
constexpr std::size_t kMaxRecordsPerRead = 500;
constexpr std::size_t kMaxLogEndWaiters = 20'000;
constexpr std::size_t kMaxOwnZoneLogEndRequests = 4;
// One of this many summaries or pulls may go to a peer in any zone; the others
// stay in the node's zone.
constexpr std::uint64_t kSummariesPerAnyZoneSummary = 8;
constexpr std::uint64_t kPullsPerAnyZonePull = 4;
constexpr std::chrono::milliseconds kEmptyReadDelay{250};
constexpr std::chrono::milliseconds kMaxLogEndBackoff{2000};
constexpr std::chrono::milliseconds kRetryDelay{250};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};

std::optional<LogOffset> OffsetFrom(std::int64_t value) {
  if (value < 0) {
    return std::nullopt;
  }
  return LogOffset{static_cast<std::uint64_t>(value)};
}

std::int64_t ToWire(LogOffset offset) {
  return static_cast<std::int64_t>(offset.value);
}

std::optional<wire::Checkpoint> DecodeCheckpoint(std::string_view record) {
  auto decoded = Decode<wire::ReleaseRecord>(record);
  if (!decoded || !decoded->__isset.checkpoint) {
    return std::nullopt;
  }
  return std::move(decoded->checkpoint);
}

std::string EncodeCheckpointRecord(wire::Checkpoint checkpoint) {
  wire::ReleaseRecord record;
  record.checkpoint = std::move(checkpoint);
  record.__isset.checkpoint = true;
  return Encode(record);
}

// Replaces a checkpoint in the stored stream: a node that has every record
// before a checkpoint does not need its content.
std::string EmptyCheckpointRecord() {
  return EncodeCheckpointRecord(wire::Checkpoint());
}

std::string DigestBytes(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::string ToText(Readiness readiness) {
  constexpr std::array<std::string_view, 4> kTexts = {
      "ready", "the log's end has not been read since this node started",
      "the log gives no answer, so this node cannot know what it served before",
      "this node still lacks records of the log"};
  return std::string(kTexts[static_cast<std::size_t>(readiness)]);
}

// Public interface ----------------------------------------------------------

Distribution::Distribution(DistributionConfig distribution_config,
                           Instant start)
    : config(std::move(distribution_config)),
      random(this->config.seed),
      now(start),
      active_state(this->own_fold.State()),
      restart_floor(static_cast<std::int64_t>(this->random() >> 1)),
      members_settled_at(start + this->Jittered(this->config.settle_delay)),
      tail_schedule(this->config.log_backoff_min, this->config.log_backoff_max),
      log_end_schedule(this->config.log_backoff_min, kMaxLogEndBackoff),
      checkpoint_clock(this->config, start),
      transfer_slots(this->config.max_state_transfers,
                     this->config.transfer_timeout),
      next_summary_at(start + this->Jittered(this->config.summary_interval)) {}

Distribution::Actions Distribution::OnEvent(const DistributionEvent& event,
                                            Instant event_time) {
  this->now = event_time;
  this->actions.clear();
  std::visit([this](const auto& one) { this->On(one); }, event);
  this->RunDueWork();
  return std::move(this->actions);
}

Readiness Distribution::readiness() const {
  return this->serving
             ? Readiness::kReady
             : this->restart_floor.ReadinessAt(this->own_fold.next_offset());
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
  event.purpose == ReadPurpose::kTail ? this->OnTailRead(event)
                                      : this->OnLogEndRead(event);
}

// The result is ignored: the record takes effect when it is read from the log.
void Distribution::On(const LogAppendDone& /*event*/) {
  this->appending = false;
}

// Thrift's flags for fields that are set are bit-fields, to which no pointer
// can point, so each handler has a function that tests its flag.
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

void Distribution::OnTailRead(const LogReadDone& event) {
  if (!event.result) {
    this->OnTailReadError(event.result.error());
    return;
  }
  const LogPage& page = *event.result;
  this->restart_floor.OnLogEnd(page.end);
  for (const LogRecord& record : page.records) {
    this->StoreRecord(record.offset, this->PrepareLogRecord(record));
  }
  if (this->gap && !page.records.empty()) {
    this->gap->cursor = {page.records.back().offset.value + 1};
  }
  this->tail_schedule.OnSuccess(this->now, page.records.empty()
                                               ? kEmptyReadDelay
                                               : std::chrono::milliseconds(0));
  if (!this->serving) {
    return;  // The other nodes already have what a starting reader reads.
  }
  const bool is_primary =
      this->IsReader() &&
      this->topology->ReadersOf(this->config.zone).front() == this->config.node;
  const auto delay = is_primary ? std::chrono::milliseconds(0)
                                : this->config.standby_push_delay;
  for (const LogRecord& record : page.records) {
    this->push_due[record.offset] = this->now + delay;
  }
}

void Distribution::OnTailReadError(const LogError& error) {
  const LogOffset next = this->own_fold.next_offset();
  const bool start_moved = error.kind == LogErrorKind::kExpired &&
                           error.first_kept > this->TailReadOffset();
  if (!start_moved) {
    this->tail_schedule.OnFailure(this->now, this->random);
    return;
  }
  const Instant since = this->gap ? this->gap->since : this->now;
  this->first_kept = error.first_kept;
  this->tail_schedule.OnSuccess(this->now, std::chrono::milliseconds(0));
  if (error.first_kept > next) {
    this->gap = Gap{error.first_kept, error.first_kept, since};
  }
}

void Distribution::OnLogEndRead(const LogReadDone& event) {
  if (event.result) {
    this->restart_floor.OnLogEnd(event.result->end);
    this->log_end_schedule.OnSuccess(this->now, this->config.log_end_interval);
  } else if (event.result.error().kind == LogErrorKind::kExpired &&
             event.result.error().first_kept > this->first_kept) {
    this->first_kept = event.result.error().first_kept;
    this->log_end_schedule.OnSuccess(this->now, std::chrono::milliseconds(0));
    this->log_end_waiters.merge(this->pending_log_end_waiters);
    this->pending_log_end_waiters.clear();
    return;
  } else {
    this->restart_floor.OnLogUnavailable();
    this->log_end_schedule.OnFailure(this->now, this->random);
  }
  for (const auto& [node, ticket] : this->pending_log_end_waiters) {
    wire::LogEndReply reply;
    reply.ticket = ticket;
    reply.unavailable = !event.result;
    reply.end_offset = event.result ? ToWire(event.result->end) : 0;
    wire::ReleaseMessage message;
    message.__set_log_end(reply);
    this->Send(node, SendPurpose::kRestart, std::move(message));
  }
  this->pending_log_end_waiters.clear();
}

// Messages ------------------------------------------------------------------

void Distribution::OnPush(const NodeId& from,
                          const wire::ReleaseMessage& message) {
  this->StoreRecords(message.push.records);
  std::vector<LogOffset> new_offsets;
  for (const wire::StreamRecord& record : message.push.records) {
    const auto offset = OffsetFrom(record.offset);
    if (offset && this->IsFirstPush(*offset)) {
      new_offsets.push_back(*offset);
    }
  }
  if (new_offsets.empty()) {
    return;
  }
  if (message.push.root == this->config.node.value) {
    this->PushAsRoot(new_offsets);
  } else {
    this->PushToChildren(this->RecordsAt(new_offsets), {message.push.root});
  }
  this->ApplyStoredRecords();
  if (this->own_fold.next_offset() <= new_offsets.back()) {
    this->max_peer_next = std::max(this->max_peer_next, new_offsets.back());
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
    this->max_peer_next = std::max(this->max_peer_next, *next);
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
  auto range = this->RecordsFrom(*first);
  wire::RecordsReply reply;
  reply.state_needed = !range;
  if (range) {
    reply.records = std::move(*range);
  }
  wire::ReleaseMessage out;
  out.__set_records(reply);
  this->Send(from, SendPurpose::kRepair, std::move(out));
}

// Returns the records from `first` on, or nothing if one is missing or if the
// whole state is smaller.
std::optional<std::vector<wire::StreamRecord>> Distribution::RecordsFrom(
    LogOffset first) {
  const LogOffset next = this->own_fold.next_offset();
  auto range = this->store.Range(first, next, kSmallReplyBytes);
  if (!range && this->store.Has(first)) {
    range = this->store.Range(first, next,
                              this->PackedCurrentState().packed.size());
  }
  return range;
}

void Distribution::OnRecords(const NodeId& from,
                             const wire::ReleaseMessage& message) {
  this->pending_records_request.Complete();
  if (message.records.state_needed) {
    this->RequestState(from);
    return;
  }
  this->StoreRecords(message.records.records);
}

void Distribution::OnStateRequest(const NodeId& from,
                                  const wire::ReleaseMessage& message) {
  wire::StateReply reply;
  reply.ticket = message.state_request.ticket;
  const bool has_state = this->own_fold.next_offset().value > 0;
  if (has_state && this->transfer_slots.TryAcquire(from, this->now)) {
    reply.packed = this->PackedCurrentState().packed;
    reply.hash = this->PackedCurrentState().hash;
  } else {
    reply.retry_after_ms = this->Jittered(kRetryDelay).count();
    reply.other_holder = this->transfer_slots.RandomHolder(this->random).value;
  }
  wire::ReleaseMessage out;
  out.__set_state(reply);
  this->Send(from, SendPurpose::kFullState, std::move(out));
}

void Distribution::OnState(const NodeId& from,
                           const wire::ReleaseMessage& message) {
  const wire::StateReply& reply = message.state;
  if (reply.ticket != this->restart_floor.ticket()) {
    return;
  }
  this->pending_state_request.Complete();
  if (reply.packed.empty()) {
    const auto requested_delay =
        std::chrono::milliseconds(std::clamp<std::int64_t>(
            reply.retry_after_ms, 1, kMaxRetryDelay.count()));
    this->next_pull_at = this->now + this->Jittered(requested_delay);
    this->preferred_peer = {reply.other_holder};
    return;
  }
  const auto checkpoint = UnpackState(reply.packed, reply.hash);
  if (checkpoint) {
    this->Adopt(*checkpoint);
  } else {
    ++this->own_alarms.bad_messages;
    this->next_pull_at = this->now + this->Jittered(kRetryDelay);
  }
  wire::ReleaseMessage taken;
  taken.state_taken.ticket = reply.ticket;
  taken.__isset.state_taken = true;
  this->Send(from, SendPurpose::kFullState, std::move(taken));
}

void Distribution::OnStateTaken(const NodeId& from,
                                const wire::ReleaseMessage& /*message*/) {
  this->transfer_slots.Free(from);
}

void Distribution::OnLogEndRequest(const NodeId& from,
                                   const wire::ReleaseMessage& message) {
  if (this->log_end_waiters.size() < kMaxLogEndWaiters) {
    this->log_end_waiters[from] = message.log_end_request.ticket;
  }
}

void Distribution::OnLogEnd(const NodeId& /*from*/,
                            const wire::ReleaseMessage& message) {
  const wire::LogEndReply& reply = message.log_end;
  const auto end = OffsetFrom(reply.end_offset);
  if (reply.ticket != this->restart_floor.ticket() || !end) {
    return;
  }
  if (reply.unavailable) {
    this->restart_floor.OnLogUnavailable();
    return;
  }
  this->restart_floor.OnLogEnd(*end);
}

// Records -------------------------------------------------------------------

// Returns true if the record was not known before.
bool Distribution::StoreRecord(LogOffset offset, std::string bytes) {
  return offset >= this->own_fold.next_offset() &&
         bytes.size() <= kMaxRecordBytes &&
         this->store.Put(offset, std::move(bytes));
}

std::vector<LogOffset> Distribution::StoreRecords(
    const std::vector<wire::StreamRecord>& records) {
  std::vector<LogOffset> stored;
  for (const wire::StreamRecord& record : records) {
    const auto offset = OffsetFrom(record.offset);
    if (offset && this->StoreRecord(*offset, record.bytes)) {
      stored.push_back(*offset);
    }
  }
  return stored;
}

// Returns the record in the form in which it is stored and forwarded. While
// there is a gap, a checkpoint that is read is adopted, to get past the missing
// records.
std::string Distribution::PrepareLogRecord(const LogRecord& record) {
  const auto checkpoint = DecodeCheckpoint(record.bytes);
  if (!checkpoint) {
    return record.bytes;
  }
  if (this->gap) {
    this->Adopt(*checkpoint);
  }
  return EmptyCheckpointRecord();
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
    case AdoptResult::kUnsupportedRules:
      this->own_alarms.needs_upgrade = true;
      break;
  }
}

void Distribution::ApplyStoredRecords() {
  while (const std::string* const record =
             this->store.Find(this->own_fold.next_offset())) {
    const LogOffset offset = this->own_fold.next_offset();
    std::optional<Verdict> verdict = this->own_fold.Apply(offset, *record);
    if (this->own_fold.next_offset() == offset) {
      this->own_alarms.needs_upgrade = true;
      break;
    }
    DecodeCheckpoint(*record) ? this->checkpoint_clock.OnCheckpoint(this->now)
                              : this->checkpoint_clock.OnRecord();
    if (verdict) {
      this->actions.push_back(ReportVerdict{std::move(*verdict)});
    }
    this->ActivateIfNew();
  }
  this->store.Trim(this->own_fold.next_offset());
  if (this->gap && this->own_fold.next_offset() >= this->gap->end) {
    this->gap.reset();
  }
}

void Distribution::ActivateIfNew() {
  if (!this->serving &&
      this->restart_floor.ReadinessAt(this->own_fold.next_offset()) ==
          Readiness::kReady) {
    this->serving = true;
    this->active_state = nullptr;
  }
  if (this->serving && this->active_state != this->own_fold.State()) {
    this->active_state = this->own_fold.State();
    this->actions.push_back(ActivateState{this->active_state});
  }
}

// Sending -------------------------------------------------------------------

// A push is forwarded when it first arrives, even if repair has already
// delivered its records, because nodes further down the tree get the push only
// from this node.
bool Distribution::IsFirstPush(LogOffset offset) {
  const bool first = this->pushed.insert(offset).second;
  if (this->pushed.size() > kMaxRememberedPushes) {
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

// Pushes records with this node as the root of its zone's tree.
void Distribution::PushAsRoot(const std::vector<LogOffset>& offsets) {
  if (this->topology == nullptr || offsets.empty()) {
    return;
  }
  const std::vector<wire::StreamRecord> records = this->RecordsAt(offsets);
  this->PushToChildren(records, this->config.node);
  if (const auto reader =
          this->topology->PrimaryReaderOfNextZone(this->config.zone)) {
    this->PushTo(*reader, records, *reader);
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

// A push that is too large is not sent; repair delivers its records.
void Distribution::PushTo(const NodeId& to,
                          const std::vector<wire::StreamRecord>& records,
                          const NodeId& root) {
  std::size_t bytes = 0;
  for (const wire::StreamRecord& record : records) {
    bytes += record.bytes.size();
  }
  if (bytes > kMaxPushBytes) {
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
  if (this->pending_records_request.IsPending(this->now) ||
      this->pending_state_request.IsPending(this->now)) {
    return;
  }
  this->pending_records_request.timeout_at =
      this->now + this->config.request_timeout;
  wire::ReleaseMessage message;
  message.records_request.from_offset = ToWire(this->own_fold.next_offset());
  message.__isset.records_request = true;
  this->Send(from, SendPurpose::kRepair, std::move(message));
}

void Distribution::RequestState(const NodeId& from) {
  if (this->pending_state_request.IsPending(this->now)) {
    return;
  }
  this->pending_state_request.timeout_at =
      this->now + this->config.transfer_timeout;
  wire::ReleaseMessage message;
  message.state_request.ticket = this->restart_floor.ticket();
  message.__isset.state_request = true;
  this->Send(from, SendPurpose::kFullState, std::move(message));
}

const PackedState& Distribution::PackedCurrentState() {
  if (this->packed_offset != this->own_fold.next_offset()) {
    this->packed_state = PackState(this->own_fold.ToCheckpoint());
    this->packed_offset = this->own_fold.next_offset();
  }
  return this->packed_state;
}

// Due work ------------------------------------------------------------------

void Distribution::RunDueWork() {
  this->ApplyStoredRecords();
  this->ActivateIfNew();
  this->RequestLogEnd();
  this->PullMissingRecords();
  this->ReadLogEnd();
  this->ReadTail();
  this->PushDueRecords();
  this->WriteCheckpoint();
  this->SendDueSummary();
}

bool Distribution::HasPeers() const {
  return this->topology != nullptr && this->topology->size() > 1;
}

// A node without known peers waits for settle_delay before it reads the log's
// end itself.
bool Distribution::ReadsLogEndItself() const {
  if (this->config.floor_source == FloorSource::kOwnRead) {
    return true;
  }
  return this->HasPeers() ? this->IsReader()
                          : this->now >= this->members_settled_at;
}

void Distribution::RequestLogEnd() {
  if (this->restart_floor.known() ||
      this->now < this->next_log_end_request_at || this->ReadsLogEndItself()) {
    return;
  }
  const std::optional<NodeId> reader = this->NextReaderToAsk();
  if (!reader) {
    return;
  }
  this->next_log_end_request_at =
      this->now + this->Jittered(this->config.request_timeout);
  wire::ReleaseMessage message;
  message.log_end_request.ticket = this->restart_floor.ticket();
  message.__isset.log_end_request = true;
  this->Send(*reader, SendPurpose::kRestart, std::move(message));
}

std::optional<NodeId> Distribution::NextReaderToAsk() {
  if (!this->HasPeers()) {
    return std::nullopt;
  }
  const std::size_t attempt = this->log_end_requests_sent++;
  const std::vector<NodeId>& own = this->topology->ReadersOf(this->config.zone);
  if (!own.empty() && attempt < kMaxOwnZoneLogEndRequests) {
    return own[attempt % own.size()];
  }
  const std::vector<NodeId>& all = this->topology->readers();
  return all[this->random() % all.size()];
}

// Requests records from random peers until this node has all records that it
// knows to exist.
void Distribution::PullMissingRecords() {
  const LogOffset next = this->own_fold.next_offset();
  const bool starting =
      !this->serving && (next.value == 0 || this->restart_floor.known());
  const bool lacks_records = (starting || this->max_peer_next > next) &&
                             !this->own_fold.needs_upgrade();
  if (!lacks_records || this->now < this->next_pull_at ||
      this->pending_records_request.IsPending(this->now) ||
      this->pending_state_request.IsPending(this->now)) {
    return;
  }
  const bool has_preferred_peer = !this->preferred_peer.value.empty() &&
                                  this->preferred_peer != this->config.node;
  const std::optional<NodeId> peer =
      has_preferred_peer ? this->preferred_peer
                         : this->RandomPeer(kPullsPerAnyZonePull);
  this->preferred_peer = {};
  if (!peer) {
    return;
  }
  this->next_pull_at = this->now + this->Jittered(kRetryDelay);
  this->RequestRecords(*peer);
}

// Returns a random peer. In one of `calls_per_any_zone` calls it may be in any
// zone, otherwise it is in this node's zone if there is one.
std::optional<NodeId> Distribution::RandomPeer(
    std::uint64_t calls_per_any_zone) {
  if (!this->HasPeers()) {
    return std::nullopt;
  }
  const bool any_zone = this->random() % calls_per_any_zone == 0;
  std::optional<NodeId> peer;
  if (!any_zone) {
    peer = this->topology->RandomInZone(this->config.zone, this->config.node,
                                        this->random);
  }
  return peer ? peer
              : this->topology->RandomAnywhere(this->config.node, this->random);
}

void Distribution::ReadLogEnd() {
  const bool for_own_floor =
      !this->restart_floor.known() && this->ReadsLogEndItself();
  const bool needed = for_own_floor || !this->log_end_waiters.empty();
  if (!needed || !this->log_end_schedule.IsDue(this->now)) {
    return;
  }
  this->log_end_schedule.OnStart();
  this->pending_log_end_waiters = std::exchange(this->log_end_waiters, {});
  const LogOffset from =
      std::max(this->own_fold.next_offset(), this->first_kept);
  this->actions.push_back(
      ReadLog{ReadPurpose::kEnd, from, 1, std::chrono::milliseconds(0)});
}

LogOffset Distribution::TailReadOffset() const {
  return this->gap ? std::max(this->gap->cursor, this->own_fold.next_offset())
                   : this->own_fold.next_offset();
}

// A starting node first waits for settle_delay, so that a peer can send it the
// state.
void Distribution::ReadTail() {
  const bool has_no_peers =
      !this->HasPeers() && this->now >= this->members_settled_at;
  const bool may_start = this->serving || this->gap ||
                         this->own_fold.next_offset().value > 0 ||
                         this->now >= this->members_settled_at;
  const bool should_read = has_no_peers || (this->IsReader() && may_start);
  if (!should_read || this->own_fold.needs_upgrade() ||
      !this->tail_schedule.IsDue(this->now)) {
    return;
  }
  this->tail_schedule.OnStart();
  this->actions.push_back(ReadLog{ReadPurpose::kTail, this->TailReadOffset(),
                                  kMaxRecordsPerRead, this->config.long_poll});
}

// A standby reader pushes only records that no push has delivered by the time
// they are due.
void Distribution::PushDueRecords() {
  std::vector<LogOffset> due;
  std::erase_if(this->push_due, [this, &due](const auto& entry) {
    const auto& [offset, at] = entry;
    if (at <= this->now && this->IsFirstPush(offset)) {
      due.push_back(offset);
    }
    return at <= this->now;
  });
  this->PushAsRoot(due);
}

std::size_t Distribution::WriterRank() const {
  const std::uint64_t round =
      this->own_fold.next_offset().value / this->config.checkpoint_records;
  const std::string purpose = "checkpoint " + std::to_string(round);
  const std::uint64_t own = RendezvousHash(this->config.node, purpose);
  return static_cast<std::size_t>(std::ranges::count_if(
      this->topology->readers(), [&purpose, own](const NodeId& node) {
        return RendezvousHash(node, purpose) < own;
      }));
}

void Distribution::WriteCheckpoint() {
  const bool can_write = this->serving && this->IsReader() &&
                         !this->appending && !this->tail_schedule.failing() &&
                         !this->own_fold.needs_upgrade() &&
                         this->own_fold.next_offset().value > 0;
  if (!can_write) {
    return;
  }
  // No node has the missing records, so this node's checkpoint bridges the gap
  // and the stream continues from this node's state.
  const bool bridge =
      this->gap && this->now - this->gap->since >= this->config.gap_timeout;
  const bool due =
      this->checkpoint_clock.ShouldWrite(this->WriterRank(), this->now);
  if (!due || (this->gap && !bridge)) {
    return;
  }
  wire::Checkpoint checkpoint = this->own_fold.ToCheckpoint();
  if (bridge) {
    checkpoint.through_offset = ToWire(this->gap->end) - 1;
  }
  this->appending = true;
  this->checkpoint_clock.OnAppend(this->now);
  this->actions.push_back(
      AppendLog{EncodeCheckpointRecord(std::move(checkpoint))});
}

void Distribution::SendDueSummary() {
  if (this->now < this->next_summary_at) {
    return;
  }
  this->next_summary_at =
      this->now + this->Jittered(this->config.summary_interval);
  if (const auto peer = this->RandomPeer(kSummariesPerAnyZoneSummary)) {
    this->SendSummary(*peer);
  }
}

// Returns a random time from 75 % to 125 % of `time`.
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
