// Group commit: entries of many nodes ride in few appends, within a budget.
//
// One append is under way at a time. It is over when its record is read back,
// whatever the append itself answered; until then it is sent again.

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

  // An intent is waited for and goes soon; an outcome may wait for company.
  void Add(wire::OnceEntry entry, Instant now);

  // The entries to append now, in order; nothing when there is no need or no
  // budget yet. With `heartbeat` also when there are none.
  std::optional<std::vector<wire::OnceEntry>> Take(Instant now, bool heartbeat);

  // The same again, while its record was not read back; after a pause.
  bool ShouldRepeat(Instant now);

  // Its record was read back.
  void OnSeen();

  // Nothing is owed any more: the seat is lost.
  void Clear();

  bool under_way() const { return this->is_under_way; }
  Instant first_sent() const { return this->first_sent_at; }
  Instant last_sent() const { return this->last_sent_at; }
  bool empty() const { return this->waiting.empty() && !this->is_under_way; }
  std::size_t size() const { return this->waiting.size(); }

  // Since when the oldest entry waits that was not read back.
  std::optional<Instant> OldestWait() const;

 private:
  struct Waiting {
    wire::OnceEntry entry;
    Instant since{};
  };

  bool IsDue(Instant now) const;

  const std::chrono::microseconds interval;
  std::deque<Waiting> waiting;
  std::size_t waiting_intents = 0;
  bool is_under_way = false;
  std::optional<Instant> under_way_since;
  Instant first_sent_at{};
  Instant last_sent_at{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_INTENT_BATCHER_H_
