// The stream of one partition, folded: who owns it, and which keys are taken.
//
// Every node that reads the same records comes to the same state; no vote is
// needed. A record counts only if its author holds the seat at its offset, so
// an owner that lost its seat without knowing is fenced off by order alone.
//
// Records expire, so a newcomer cannot read from the start. Its fold is
// tentative until it has read a whole seat: an owner names its seat's offset in
// each record and renews the seat now and then. A tentative fold takes every
// key as taken, and accepts no change but into a silence that it saw whole.

#ifndef TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_
#define TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "execution_types.h"
#include "src/execution/key_index.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

// Why a seat changes. Values stand on the log: append only.
enum class SeatCause {
  kFirst = 0,    // No owner has ever written.
  kOwner = 1,    // The owner itself, to name another deputy.
  kDeputy = 2,   // The deputy, with no promise out: nothing ran off the log.
  kProof = 3,    // Owner dead for certain; promises may have been out.
  kTimeout = 4,  // No owner wrote for longer than any may go without the log.
};

struct Seat {
  OnceProcess owner;
  std::optional<OnceProcess> deputy;
};

class PartitionFold {
 public:
  explicit PartitionFold(OnceTiming timing);

  // Folds the next record. Gives it back when it counted.
  std::optional<wire::OnceRecord> Apply(LogOffset offset,
                                        std::string_view bytes,
                                        OnceTime time);

  // The records before `first_kept` are no longer kept, and not all were read.
  void Skip(LogOffset first_kept);

  void Expire(OnceTime time);

  // Where to read on. It may go back once, to the seat's own record.
  LogOffset next() const { return this->next_offset; }

  bool is_tentative() const { return this->tentative; }

  // The seat in force, with its offset as epoch; only a hint while tentative.
  const std::optional<Seat>& seat() const { return this->current; }
  std::int64_t epoch() const { return this->current_epoch; }
  bool IsOwner(const OnceProcess& process) const;
  bool IsDeputy(const OnceProcess& process) const;

  // One past the last record that counted (while tentative: that may count).
  LogOffset quiet_since() const { return this->quiet; }
  // When this node read it: the owner wrote it before.
  Instant quiet_seen() const { return this->quiet_read; }
  std::int64_t settled() const { return this->last_settled; }

  // Whether a key that is not in the index may have run all the same.
  bool MayHaveRun(std::optional<WallTime> mint, OnceTime time) const;

  KeyIndex keys;

 private:
  bool Accepts(const wire::OnceRecord& record, LogOffset offset) const;
  bool AcceptsChange(const wire::OnceRecord& record) const;
  bool IsSilent(const wire::OnceSeatChange& change) const;
  void LearnSeat(const wire::OnceRecord& record);
  void TakeSeat(const wire::OnceRecord& record,
                LogOffset offset,
                OnceTime time);
  void TakeEntry(const wire::OnceEntry& entry, WallTime stamp);
  void LoseKnowledge(WallTime stamp, OnceTime time);

  const OnceTiming timing;
  LogOffset next_offset;
  LogOffset first_offset;  // All from here on was read.
  bool gap = false;        // Records before the next one were not read.
  bool tentative = false;
  std::int64_t trusted = -1;  // A seat that counts, as its owner says.
  std::optional<Seat> current;
  std::int64_t current_epoch = -1;
  std::int64_t last_number = 0;
  std::int64_t last_settled = 0;
  LogOffset quiet;
  Instant quiet_read{};
  // Keys without a mint time are told `unknown` until then.
  Instant opaque_from{};
};

// The longest time from an owner's last record to the last run it admitted off
// the log, as measured by another node's clock.
std::chrono::milliseconds TimeoutOf(const OnceTiming& timing);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_PARTITION_FOLD_H_
