// Folds the stream of one partition into its state: who owns it and which keys
// are taken.
//
// All nodes that read the same records compute the same state, so no vote is
// needed. A record is accepted only if its author holds the seat at the
// record's offset. The order of the records therefore fences off an owner that
// has lost its seat without knowing it.
//
// Records expire, so a new node cannot read the stream from its start. Its fold
// is tentative until it has read all records of a seat from the seat change on.
// To make this possible, each record of an owner contains the offset of its
// seat change, and the owner renews its seat regularly. A tentative fold
// considers every key as taken. It accepts a seat change only after a silence
// of the owner that it has observed completely.

#ifndef TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_
#define TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "execution_types.h"
#include "src/execution/key_index.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

// Why a seat changes. The values are stored on the log: only append new ones.
enum class SeatCause {
  kFirst = 0,  // There has been no owner yet.
  kOwner = 1,  // The owner renews its seat, possibly with another deputy.
  // The deputy takes over with no unsettled promise, so nothing ran off the
  // log.
  kDeputy = 2,
  kProof = 3,  // The owner is proven dead; there may be unsettled promises.
  // No owner has written for longer than an owner may operate without the log.
  kTimeout = 4,
};

struct Seat {
  OnceProcess owner;
  std::optional<OnceProcess> deputy;
};

class PartitionFold {
 public:
  explicit PartitionFold(OnceTiming timing);

  // Folds the next record and returns it if it was accepted.
  std::optional<wire::OnceRecord> Apply(LogOffset offset,
                                        std::string_view bytes,
                                        OnceTime time);

  // The records before `first_kept` have expired, and some of them were not
  // read.
  void Skip(LogOffset first_kept);

  void Expire(OnceTime time);

  // The offset of the next record to read. It may go back once, to the record
  // of the current seat change.
  LogOffset next() const { return this->next_offset; }

  bool is_tentative() const { return this->tentative; }

  // The current seat, and the offset of its change as epoch. While the fold is
  // tentative both are only hints.
  const std::optional<Seat>& seat() const { return this->current; }
  std::int64_t epoch() const { return this->current_epoch; }
  bool IsOwner(const OnceProcess& process) const;
  bool IsDeputy(const OnceProcess& process) const;

  // The offset after the last accepted record. While the fold is tentative:
  // after the last record that may be accepted.
  LogOffset quiet_since() const { return this->quiet_offset; }
  // When this node read that record. The owner wrote it before.
  Instant quiet_read_at() const { return this->quiet_read_time; }
  std::int64_t settled() const { return this->last_settled; }

  // Whether a key that is not in the index may have run nevertheless.
  bool MayHaveRun(std::optional<WallTime> mint, OnceTime time) const;

  KeyIndex keys;

 private:
  bool Accepts(const wire::OnceRecord& record, LogOffset offset) const;
  bool AcceptsChange(const wire::OnceRecord& record) const;
  bool IsSilenceProven(const wire::OnceSeatChange& change) const;
  void LearnSeat(const wire::OnceRecord& record);
  void ApplySeatChange(const wire::OnceRecord& record,
                       LogOffset offset,
                       OnceTime time);
  void ApplyEntry(const wire::OnceEntry& entry, WallTime stamp);
  void MarkHistoryIncomplete(WallTime stamp, OnceTime time);

  const OnceTiming timing;
  LogOffset next_offset;
  LogOffset first_read_offset;  // All records from here on were read.
  bool has_gap = false;         // Records before the next one were not read.
  bool tentative = false;
  // The epoch of a seat change that is accepted because a record of its owner
  // names it.
  std::int64_t trusted_epoch = -1;
  std::optional<Seat> current;
  std::int64_t current_epoch = -1;
  std::int64_t last_number = 0;
  std::int64_t last_settled = 0;
  LogOffset quiet_offset;
  Instant quiet_read_time{};
  // Keys without a creation time are answered as unknown until then.
  Instant opaque_unknown_until{};
};

// Returns the maximum time from an owner's last record to the last key that it
// admits off the log, measured by the clock of another node.
std::chrono::milliseconds SeatTimeout(const OnceTiming& timing);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_
