#include "src/execution/intent_batcher.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEntriesPerAppend = 2048;
constexpr milliseconds kMaxOutcomeDelay{250};
constexpr milliseconds kResendInterval{500};

}  // namespace

IntentBatcher::IntentBatcher(OnceTiming timing)
    : min_append_interval(microseconds(std::chrono::seconds(1)) *
                          kOncePartitions / timing.appends_per_second) {}

void IntentBatcher::Add(wire::OnceEntry entry, Instant now) {
  this->pending_intents += entry.__isset.result ? 0 : 1;
  this->pending.push_back({std::move(entry), now});
}

std::optional<std::vector<wire::OnceEntry>> IntentBatcher::Take(
    Instant now,
    bool heartbeat) {
  const bool has_budget = now >= this->last_sent_at + this->min_append_interval;
  if (this->is_in_flight || !has_budget || !(heartbeat || this->IsDue(now))) {
    return std::nullopt;
  }
  std::vector<wire::OnceEntry> entries;
  this->in_flight_since.reset();
  while (!this->pending.empty() && entries.size() < kMaxEntriesPerAppend) {
    PendingEntry& first = this->pending.front();
    if (!this->in_flight_since) {
      this->in_flight_since = first.since;
    }
    this->pending_intents -= first.entry.__isset.result ? 0 : 1;
    entries.push_back(std::move(first.entry));
    this->pending.pop_front();
  }
  this->is_in_flight = true;
  this->first_sent_at = now;
  this->last_sent_at = now;
  return entries;
}

bool IntentBatcher::ShouldResend(Instant now) {
  if (!this->is_in_flight || now < this->last_sent_at + kResendInterval) {
    return false;
  }
  this->last_sent_at = now;
  return true;
}

void IntentBatcher::OnReadBack() {
  this->is_in_flight = false;
  this->in_flight_since.reset();
}

void IntentBatcher::Clear() {
  this->pending.clear();
  this->pending_intents = 0;
  this->OnReadBack();
}

std::optional<Instant> IntentBatcher::OldestPendingSince() const {
  if (this->in_flight_since) {
    return this->in_flight_since;
  }
  return this->pending.empty() ? std::nullopt
                               : std::optional(this->pending.front().since);
}

bool IntentBatcher::IsDue(Instant now) const {
  return this->pending_intents > 0 ||
         (!this->pending.empty() &&
          now >= this->pending.front().since + kMaxOutcomeDelay);
}

}  // namespace tanagerledge
