#include "src/execution/partition_fold.h"

#include <algorithm>
#include <utility>

#include "src/adapters/codec.h"
#include "src/execution/once_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostEntries = 65536;
// Clocks of two machines may run apart by less than one in this many.
constexpr int kDriftDivisor = 100;

Seat ToSeat(const wire::OnceSeat& message) {
  Seat seat;
  seat.owner = ToProcess(message.owner);
  if (message.__isset.deputy) {
    seat.deputy = ToProcess(message.deputy);
  }
  return seat;
}

bool HidesNothing(SeatCause cause) {
  return cause == SeatCause::kFirst || cause == SeatCause::kOwner ||
         cause == SeatCause::kDeputy;
}

}  // namespace

milliseconds TimeoutOf(const OnceTiming& timing) {
  return milliseconds(timing.off_log_limit) +
         milliseconds(timing.off_log_limit) / kDriftDivisor;
}

PartitionFold::PartitionFold(OnceTiming fold_timing)
    : keys(fold_timing.resend_window), timing(fold_timing) {}

bool PartitionFold::IsOwner(const OnceProcess& process) const {
  return !this->tentative && this->current && this->current->owner == process;
}

bool PartitionFold::IsDeputy(const OnceProcess& process) const {
  return !this->tentative && this->current && this->current->deputy == process;
}

bool PartitionFold::MayHaveRun(std::optional<WallTime> mint,
                               OnceTime time) const {
  return mint ? *mint <= this->keys.horizon() : time.now < this->opaque_from;
}

void PartitionFold::Skip(LogOffset first_kept) {
  if (first_kept > this->next_offset) {
    this->next_offset = first_kept;
    this->first_offset = first_kept;
    this->quiet = first_kept;
    this->gap = true;
    this->tentative = true;
    this->trusted = -1;
  }
}

void PartitionFold::Expire(OnceTime time) {
  this->keys.Expire(time.wall);
}

// Records -------------------------------------------------------------------

std::optional<wire::OnceRecord> PartitionFold::Apply(LogOffset offset,
                                                     std::string_view bytes,
                                                     OnceTime time) {
  if (offset < this->next_offset) {
    return std::nullopt;
  }
  this->Skip(offset);
  this->next_offset = {offset.value + 1};
  auto record = Decode<wire::OnceRecord>(bytes);
  if (!record || record->entries.size() > kMostEntries) {
    return std::nullopt;
  }
  const WallTime stamp = FromMillis(record->stamp_ms);
  if (this->gap) {
    this->gap = false;
    this->LoseKnowledge(stamp, time);
  }
  const bool counts = this->Accepts(*record, offset);
  if (counts || this->tentative) {
    this->quiet = {offset.value + 1};
    this->quiet_read = time.now;
    std::ranges::for_each(record->entries,
                          [this, stamp](const wire::OnceEntry& entry) {
                            this->TakeEntry(entry, stamp);
                          });
  }
  if (!counts) {
    this->LearnSeat(*record);
    return std::nullopt;
  }
  if (record->__isset.change) {
    this->TakeSeat(*record, offset, time);
  } else {
    this->last_number = record->number;
    this->last_settled = std::max(this->last_settled, record->settled);
  }
  return std::move(*record);
}

bool PartitionFold::Accepts(const wire::OnceRecord& record,
                            LogOffset offset) const {
  if (record.__isset.change) {
    return static_cast<std::int64_t>(offset.value) == this->trusted ||
           this->AcceptsChange(record);
  }
  return record.epoch == this->current_epoch &&
         this->IsOwner(ToProcess(record.author)) &&
         record.number > this->last_number;
}

bool PartitionFold::AcceptsChange(const wire::OnceRecord& record) const {
  const wire::OnceSeatChange& change = record.change;
  const auto cause = static_cast<SeatCause>(change.cause);
  if (cause == SeatCause::kFirst || cause == SeatCause::kTimeout) {
    return this->IsSilent(change);
  }
  if (this->tentative || !this->current ||
      change.previous != this->current_epoch) {
    return false;
  }
  const OnceProcess author = ToProcess(record.author);
  switch (cause) {
    case SeatCause::kOwner:
      return this->IsOwner(author);
    case SeatCause::kDeputy:
      return this->IsDeputy(author) || !this->current->deputy;
    default:
      return cause == SeatCause::kProof;
  }
}

bool PartitionFold::IsSilent(const wire::OnceSeatChange& change) const {
  if (change.quiet_since < 0) {
    return false;
  }
  const LogOffset since{static_cast<std::uint64_t>(change.quiet_since)};
  return this->quiet <= since && this->first_offset <= since;
}

// An owner tells the truth about its own seat, though it may have lost it
// since. With the seat's record still kept, the fold starts again from there
// and is exact.
void PartitionFold::LearnSeat(const wire::OnceRecord& record) {
  if (!this->tentative || record.__isset.change ||
      record.epoch <= this->current_epoch) {
    return;
  }
  this->current = ToSeat(record.seat);
  this->current_epoch = record.epoch;
  if (record.epoch >= static_cast<std::int64_t>(this->first_offset.value)) {
    this->trusted = record.epoch;
    this->next_offset = {static_cast<std::uint64_t>(record.epoch)};
  }
}

void PartitionFold::TakeSeat(const wire::OnceRecord& record,
                             LogOffset offset,
                             OnceTime time) {
  const auto cause = static_cast<SeatCause>(record.change.cause);
  this->tentative = false;
  this->trusted = -1;
  this->current = ToSeat(record.change.seat);
  this->current_epoch = static_cast<std::int64_t>(offset.value);
  this->last_number = 0;
  this->last_settled = 0;
  if (!HidesNothing(cause)) {
    this->LoseKnowledge(FromMillis(record.stamp_ms), time);
  }
}

void PartitionFold::TakeEntry(const wire::OnceEntry& entry, WallTime stamp) {
  const std::optional<OnceKeyId> key = ToKeyId(entry.key);
  if (!key) {
    return;
  }
  const OnceAttempt attempt = ToAttempt(entry.attempt);
  if (!entry.__isset.result) {
    const Fingerprint fingerprint{
        static_cast<std::uint64_t>(entry.fingerprint)};
    this->keys.Insert(*key, attempt, fingerprint, stamp, KeyState::kGranted);
    return;
  }
  const std::optional<OnceResult> result = ToResult(entry.result);
  if (result && this->keys.End(*key, attempt, *result)) {
    this->keys.MarkLogged(*key, attempt);
  }
}

// Some keys admitted up to `stamp` may be unknown here: those minted by then,
// and those without a mint time until no repeat of them can come any more.
void PartitionFold::LoseKnowledge(WallTime stamp, OnceTime time) {
  const auto margin = kMostMintLead + kMostClockError;
  this->keys.RaiseHorizon(stamp + margin);
  const auto left = stamp + this->timing.resend_window + margin - time.wall;
  this->opaque_from =
      std::max(this->opaque_from,
               time.now + std::chrono::duration_cast<Instant::duration>(left));
}

}  // namespace tanagerledge
