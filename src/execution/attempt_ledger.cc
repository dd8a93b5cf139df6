#include "tanagerledge/attempt_ledger.h"

#include <utility>

namespace tanagerledge {
namespace {

// Time that an entry is retained after its attempt's deadline: the longest time
// that a message may be in transit between two nodes whose connection is
// interrupted and recovers.
constexpr std::chrono::milliseconds kRetentionAfterDeadline{1000};

}  // namespace

AttemptState AttemptLedger::OnRun(const std::string& attempt,
                                  Instant deadline) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end()) {
    return found->second.state;
  }
  this->Add(attempt, AttemptState::kRunning, deadline);
  return AttemptState::kNew;
}

void AttemptLedger::OnDone(const std::string& attempt, CachedReply reply) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end()) {
    found->second.state = AttemptState::kDone;
    found->second.reply = std::move(reply);
  }
}

AttemptState AttemptLedger::OnStatusRequest(const std::string& attempt,
                                            Instant deadline) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end()) {
    return found->second.state;
  }
  this->Add(attempt, AttemptState::kCancelled, deadline);
  return AttemptState::kNew;
}

CachedReply AttemptLedger::ReplyOf(const std::string& attempt) const {
  const auto found = this->entries.find(attempt);
  return found == this->entries.end() ? nullptr : found->second.reply;
}

void AttemptLedger::Expire(Instant now) {
  auto next = this->by_expiry.begin();
  while (next != this->by_expiry.end() && next->first < now) {
    const auto found = this->entries.find(next->second);
    if (found != this->entries.end() &&
        found->second.state == AttemptState::kRunning) {
      // The attempt still runs on the backend server after its deadline: check
      // again later.
      this->by_expiry.emplace(now + kRetentionAfterDeadline, next->second);
    } else if (found != this->entries.end()) {
      this->entries.erase(found);
    }
    next = this->by_expiry.erase(next);
  }
}

void AttemptLedger::Add(const std::string& attempt,
                        AttemptState state,
                        Instant deadline) {
  this->entries.emplace(attempt, Entry{state, nullptr});
  this->by_expiry.emplace(deadline + kRetentionAfterDeadline, attempt);
}

}  // namespace tanagerledge
