// Group commit: batches the entries of many nodes into few appends, within a
// rate limit.
//
// At most one append is in flight. It is complete when its record has been read
// back from the log, regardless of the result of the append call. Until then it
// is sent again periodically.

#ifndef TANAGERLEDGE_SRC_EXECUTION_INTENT_BATCHER_H_
#define TANAGERLEDGE_SRC_EXECUTION_INTENT_BATCHER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "execution_types.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

class IntentBatcher {
 public:
  explicit IntentBatcher(OnceTiming timing);

  // Queues an entry. Intents are appended as soon as possible, because callers
  // wait for them. Outcomes may be delayed to share an append with other
  // entries.
  void Add(wire::OnceEntry entry, Instant now);

  // Returns the entries to append now, in order. Returns nothing if no entry is
  // due or the rate limit does not allow an append yet. With `heartbeat`, an
  // append is due even without entries.
  std::optional<std::vector<wire::OnceEntry>> Take(Instant now, bool heartbeat);

  // Whether to send the append in flight again: its record was not read back
  // for some time.
  bool ShouldResend(Instant now);

  // The record of the append in flight was read back.
  void OnReadBack();

  // Discards all entries, because this process has lost the seat.
  void Clear();

  bool in_flight() const { return this->is_in_flight; }
  Instant first_sent() const { return this->first_sent_at; }
  Instant last_sent() const { return this->last_sent_at; }
  bool empty() const { return this->pending.empty() && !this->is_in_flight; }
  std::size_t size() const { return this->pending.size(); }

  // Returns the time at which the oldest entry that was not read back yet was
  // queued.
  std::optional<Instant> OldestPendingSince() const;

 private:
  struct PendingEntry {
    wire::OnceEntry entry;
    Instant since{};
  };

  bool IsDue(Instant now) const;

  const std::chrono::microseconds min_append_interval;
  std::deque<PendingEntry> pending;
  std::size_t pending_intents = 0;
  bool is_in_flight = false;
  std::optional<Instant> in_flight_since;
  Instant first_sent_at{};
  Instant last_sent_at{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_INTENT_BATCHER_H_
