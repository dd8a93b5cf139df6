#include "src/execution/partition_fold.h"

#include <algorithm>
#include <utility>

#include "src/adapters/codec.h"
#include "src/execution/once_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEntriesPerRecord = 65536;
// The rates of two machines' clocks differ by less than 1/kDriftDivisor.
constexpr int kDriftDivisor = 100;

Seat ToSeat(const wire::OnceSeat& message) {
  Seat seat;
  seat.owner = ToProcess(message.owner);
  if (message.__isset.deputy) {
    seat.deputy = ToProcess(message.deputy);
  }
  return seat;
}

bool PreservesHistory(SeatCause cause) {
  return cause == SeatCause::kFirst || cause == SeatCause::kOwner ||
         cause == SeatCause::kDeputy;
}

}  // namespace

milliseconds SeatTimeout(const OnceTiming& timing) {
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
  return mint ? *mint <= this->keys.horizon()
              : time.now < this->opaque_unknown_until;
}

void PartitionFold::Skip(LogOffset first_kept) {
  if (first_kept > this->next_offset) {
    this->next_offset = first_kept;
    this->first_read_offset = first_kept;
    this->quiet_offset = first_kept;
    this->has_gap = true;
    this->tentative = true;
    this->trusted_epoch = -1;
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
  if (!record || record->entries.size() > kMaxEntriesPerRecord) {
    return std::nullopt;
  }
  const WallTime stamp = FromMillis(record->stamp_ms);
  if (this->has_gap) {
    this->has_gap = false;
    this->MarkHistoryIncomplete(stamp, time);
  }
  const bool is_accepted = this->Accepts(*record, offset);
  if (is_accepted || this->tentative) {
    this->quiet_offset = {offset.value + 1};
    this->quiet_read_time = time.now;
    std::ranges::for_each(record->entries,
                          [this, stamp](const wire::OnceEntry& entry) {
                            this->ApplyEntry(entry, stamp);
                          });
  }
  if (!is_accepted) {
    this->LearnSeat(*record);
    return std::nullopt;
  }
  if (record->__isset.change) {
    this->ApplySeatChange(*record, offset, time);
  } else {
    this->last_number = record->number;
    this->last_settled = std::max(this->last_settled, record->settled);
  }
  return std::move(*record);
}

bool PartitionFold::Accepts(const wire::OnceRecord& record,
                            LogOffset offset) const {
  if (record.__isset.change) {
    return static_cast<std::int64_t>(offset.value) == this->trusted_epoch ||
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
    return this->IsSilenceProven(change);
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

bool PartitionFold::IsSilenceProven(const wire::OnceSeatChange& change) const {
  if (change.quiet_since < 0) {
    return false;
  }
  const LogOffset since{static_cast<std::uint64_t>(change.quiet_since)};
  return this->quiet_offset <= since && this->first_read_offset <= since;
}

// The record of an owner is reliable evidence of its own seat, even if the
// owner has lost the seat since. If the record of the seat change has not
// expired, the fold starts again from there and becomes exact.
void PartitionFold::LearnSeat(const wire::OnceRecord& record) {
  if (!this->tentative || record.__isset.change ||
      record.epoch <= this->current_epoch) {
    return;
  }
  this->current = ToSeat(record.seat);
  this->current_epoch = record.epoch;
  if (record.epoch >=
      static_cast<std::int64_t>(this->first_read_offset.value)) {
    this->trusted_epoch = record.epoch;
    this->next_offset = {static_cast<std::uint64_t>(record.epoch)};
  }
}

void PartitionFold::ApplySeatChange(const wire::OnceRecord& record,
                                    LogOffset offset,
                                    OnceTime time) {
  const auto cause = static_cast<SeatCause>(record.change.cause);
  this->tentative = false;
  this->trusted_epoch = -1;
  this->current = ToSeat(record.change.seat);
  this->current_epoch = static_cast<std::int64_t>(offset.value);
  this->last_number = 0;
  this->last_settled = 0;
  if (!PreservesHistory(cause)) {
    this->MarkHistoryIncomplete(FromMillis(record.stamp_ms), time);
  }
}

void PartitionFold::ApplyEntry(const wire::OnceEntry& entry, WallTime stamp) {
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

// Some keys admitted up to `stamp` may be missing from the index. This affects
// keys created up to then, and keys without a creation time until their resend
// window has passed.
void PartitionFold::MarkHistoryIncomplete(WallTime stamp, OnceTime time) {
  const auto margin = kMaxMintLead + kMaxClockSkew;
  this->keys.RaiseHorizon(stamp + margin);
  const auto remaining =
      stamp + this->timing.resend_window + margin - time.wall;
  this->opaque_unknown_until = std::max(
      this->opaque_unknown_until,
      time.now + std::chrono::duration_cast<Instant::duration>(remaining));
}

}  // namespace tanagerledge
