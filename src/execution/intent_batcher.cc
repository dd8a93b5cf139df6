#include "src/execution/intent_batcher.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMostEntriesPerAppend = 2048;
constexpr milliseconds kOutcomePatience{250};
constexpr milliseconds kRepeatAfter{500};

}  // namespace

IntentBatcher::IntentBatcher(OnceTiming timing)
    : interval(microseconds(std::chrono::seconds(1)) * kOncePartitions /
               timing.appends_per_second) {}

void IntentBatcher::Add(wire::OnceEntry entry, Instant now) {
  this->waiting_intents += entry.__isset.result ? 0 : 1;
  this->waiting.push_back({std::move(entry), now});
}

std::optional<std::vector<wire::OnceEntry>> IntentBatcher::Take(
    Instant now,
    bool heartbeat) {
  const bool has_budget = now >= this->last_sent_at + this->interval;
  if (this->is_under_way || !has_budget || !(heartbeat || this->IsDue(now))) {
    return std::nullopt;
  }
  std::vector<wire::OnceEntry> entries;
  this->under_way_since.reset();
  while (!this->waiting.empty() && entries.size() < kMostEntriesPerAppend) {
    Waiting& first = this->waiting.front();
    if (!this->under_way_since) {
      this->under_way_since = first.since;
    }
    this->waiting_intents -= first.entry.__isset.result ? 0 : 1;
    entries.push_back(std::move(first.entry));
    this->waiting.pop_front();
  }
  this->is_under_way = true;
  this->first_sent_at = now;
  this->last_sent_at = now;
  return entries;
}

bool IntentBatcher::ShouldRepeat(Instant now) {
  if (!this->is_under_way || now < this->last_sent_at + kRepeatAfter) {
    return false;
  }
  this->last_sent_at = now;
  return true;
}

void IntentBatcher::OnSeen() {
  this->is_under_way = false;
  this->under_way_since.reset();
}

void IntentBatcher::Clear() {
  this->waiting.clear();
  this->waiting_intents = 0;
  this->OnSeen();
}

std::optional<Instant> IntentBatcher::OldestWait() const {
  if (this->under_way_since) {
    return this->under_way_since;
  }
  return this->waiting.empty() ? std::nullopt
                               : std::optional(this->waiting.front().since);
}

bool IntentBatcher::IsDue(Instant now) const {
  return this->waiting_intents > 0 ||
         (!this->waiting.empty() &&
          now >= this->waiting.front().since + kOutcomePatience);
}

}  // namespace tanagerledge
