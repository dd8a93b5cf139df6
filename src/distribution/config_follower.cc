#include "tanagerledge/config_follower.h"

#include <algorithm>

namespace tanagerledge {

FollowActions ConfigFollower::Tick(Instant now) {
  FollowActions out;
  if (!this->store_read_pending && now >= this->next_store_read_at) {
    this->store_read_pending = true;
    if (this->next_offset && !this->falling_behind) {
      // After a failure the read does not wait for a new record: the immediate
      // answer shows that the store is back, and brings any missed record.
      const auto wait = this->store_failures > 0 ? std::chrono::milliseconds(0)
                                                 : this->config.long_poll;
      out.emplace_back(ReadConfigRecords{*this->next_offset, wait});
    } else {
      out.emplace_back(ReadNewestConfig{});
    }
  }
  const bool store_overdue = this->behind_since && now - *this->behind_since >=
                                                       this->config.store_grace;
  const Instant start = this->started_at.value_or(now);
  this->started_at = start;
  const bool overdue_start =
      !this->active_version && now - start >= this->config.start_grace;
  const bool needs_peer =
      this->store_failures > 0 || store_overdue || overdue_start;
  if (needs_peer && !this->peer_query_pending &&
      now >= this->next_peer_query_at) {
    this->peer_query_pending = true;
    this->next_peer_query_at = now + this->config.peer_query_interval;
    out.emplace_back(AskPeerForConfig{});
  }
  return out;
}

void ConfigFollower::OnStoreAnswered() {
  this->store_read_pending = false;
  this->store_failures = 0;
}

void ConfigFollower::OnNewest(LogOffset end, Instant now) {
  this->OnStoreAnswered();
  this->falling_behind = this->falling_behind && this->next_offset != end;
  this->next_offset = end;
  this->next_store_read_at =
      this->falling_behind ? now + this->config.batch_delay : now;
  // Before the operator's first write, the end is the only offset to continue
  // from, and there is nothing to serve.
}

void ConfigFollower::OnRecords(LogOffset next, LogOffset end, Instant now) {
  this->OnStoreAnswered();
  const bool has_new_record = this->next_offset != next;
  this->next_offset = next;
  this->falling_behind = end.value > next.value;
  this->next_store_read_at = has_new_record && !this->falling_behind
                                 ? now + this->config.batch_delay
                                 : now;
}

void ConfigFollower::OnStoreError(LogErrorKind kind, Instant now) {
  this->store_read_pending = false;
  if (kind == LogErrorKind::kExpired || kind == LogErrorKind::kRefused) {
    // The store has dropped the records, but it always keeps the newest value
    // of a key.
    this->next_offset.reset();
  }
  if (kind == LogErrorKind::kExpired) {
    this->next_store_read_at = now;
    return;
  }
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(this->store_failures, kMaxDoublings);
  const auto delay = std::min(this->config.retry_delay * (1 << doublings),
                              this->config.max_retry_delay);
  ++this->store_failures;
  this->next_store_read_at = now + delay;
}

void ConfigFollower::OnPeerAnswered(Instant) {
  this->peer_query_pending = false;
}

void ConfigFollower::OnPeerVersion(std::uint64_t version, Instant now) {
  this->newest_peer_version = std::max(this->newest_peer_version, version);
  if (this->IsBehind() && !this->behind_since) {
    this->behind_since = now;
  }
}

bool ConfigFollower::AcceptIfNewer(std::uint64_t version) {
  if (this->active_version && version <= *this->active_version) {
    return false;
  }
  this->active_version = version;
  if (!this->IsBehind()) {
    this->behind_since.reset();
  }
  return true;
}

}  // namespace tanagerledge
