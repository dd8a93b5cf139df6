#include "tanagerledge/config_follower.h"

#include <algorithm>

namespace tanagerledge {

FollowActions ConfigFollower::Tick(Instant now) {
  FollowActions out;
  if (this->IsStoreSilent(now)) {
    this->store_read_pending = false;
    this->CountStoreFailure(now);
    out.emplace_back(AbandonStoreRead{});
  }
  if (this->IsReadDue(now)) {
    this->store_read_pending = true;
    this->store_read_began = now;
    this->read_overtaken_at.reset();
    this->store_read_held = false;
    this->read_requested = false;
    const bool follows = this->reader || !this->active_version;
    if (follows && this->next_offset && !this->falling_behind &&
        !this->IsBehind(now)) {
      // After a failure the read does not wait for a new record: the immediate
      // answer shows that the store is back, and brings any missed record.
      const auto wait = this->store_failures > 0 ? std::chrono::milliseconds(0)
                                                 : this->config.long_poll;
      this->store_read_held = wait.count() > 0;
      out.emplace_back(ReadConfigRecords{*this->next_offset, wait});
    } else {
      out.emplace_back(ReadNewestConfig{});
    }
  }
  this->started_at = this->started_at.value_or(now);
  if (this->IsPeerDue(now) &&
      this->pending_peer_queries < this->config.max_peer_queries &&
      now >= this->next_peer_query_at) {
    ++this->pending_peer_queries;
    this->next_peer_query_at = now + this->config.peer_query_interval;
    out.emplace_back(AskPeerForConfig{});
  }
  return out;
}

void ConfigFollower::SetReader(bool reads) {
  if (reads && !this->reader) {
    // The offset is that of this node's last read, long before the version that
    // it has from a peer.
    this->next_offset.reset();
  }
  this->reader = reads;
}

bool ConfigFollower::IsReadDue(Instant now) const {
  if (this->store_read_pending || now < this->next_store_read_at) {
    return false;
  }
  const bool is_late = this->IsBehind(now) &&
                       now - *this->behind_since >= this->config.own_read_grace;
  return this->reader || !this->active_version || is_late ||
         this->read_requested;
}

bool ConfigFollower::IsPeerDue(Instant now) const {
  const bool overdue_start =
      !this->active_version &&
      now - *this->started_at >= this->config.start_grace;
  if (this->reader || !this->active_version) {
    return this->store_failures > 0 || this->IsStoreOverdue(now) ||
           overdue_start;
  }
  return this->IsBehind(now) &&
         (this->newest_version_in_zone > *this->active_version ||
          now - *this->behind_since >= this->config.other_zone_grace);
}

bool ConfigFollower::IsStoreOverdue(Instant now) const {
  if (!this->IsBehind(now)) {
    return false;
  }
  const bool began_since_report =
      this->store_read_pending && this->store_read_began > *this->behind_since;
  return began_since_report
             ? now - this->store_read_began >= this->config.read_grace
             : now - *this->behind_since >= this->config.store_grace;
}

bool ConfigFollower::IsStoreSilent(Instant now) const {
  return this->store_read_pending && this->store_read_held &&
         this->read_overtaken_at &&
         now - *this->read_overtaken_at >= this->config.silence_timeout;
}

void ConfigFollower::OnStoreAnswered(Instant now) {
  this->store_read_pending = false;
  this->store_failures = 0;
  if (!this->store_read_held) {
    this->answer_time = now - this->store_read_began;
  }
}

Instant ConfigFollower::NextBatchAt(Instant now) const {
  return now + std::max(Instant::duration{0},
                        this->config.batch_delay - this->answer_time);
}

void ConfigFollower::OnNewest(LogOffset end, Instant now) {
  this->OnStoreAnswered(now);
  const bool has_new_record = this->next_offset && this->next_offset != end;
  this->falling_behind = this->falling_behind && has_new_record;
  this->next_offset = end;
  this->next_store_read_at = has_new_record ? this->NextBatchAt(now) : now;
  // Before the operator's first write, the end is the only offset to continue
  // from, and there is nothing to serve.
}

void ConfigFollower::OnRecords(LogOffset next, LogOffset end, Instant now) {
  this->OnStoreAnswered(now);
  const bool has_new_record = this->next_offset != next;
  this->next_offset = next;
  this->falling_behind = end.value > next.value;
  this->next_store_read_at =
      has_new_record && !this->falling_behind ? this->NextBatchAt(now) : now;
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
  this->CountStoreFailure(now);
}

void ConfigFollower::OnNewEra(Instant now) {
  this->next_offset.reset();
  this->falling_behind = false;
  this->store_read_pending = false;
  this->next_store_read_at = now;
}

void ConfigFollower::CountStoreFailure(Instant now) {
  constexpr int kMaxDoublings = 8;
  const int doublings = std::min(this->store_failures, kMaxDoublings);
  const auto delay = std::min(this->config.retry_delay * (1 << doublings),
                              this->config.max_retry_delay);
  ++this->store_failures;
  this->next_store_read_at = now + delay;
}

void ConfigFollower::OnPeerAnswered(Instant now) {
  --this->pending_peer_queries;
  if (this->IsBehind(now)) {
    this->next_peer_query_at =
        std::min(this->next_peer_query_at, now + this->config.next_peer_delay);
  }
}

void ConfigFollower::OnPeerVersion(std::uint64_t version,
                                   bool same_zone,
                                   Instant now) {
  const bool expired = this->behind_since && !this->IsBehind(now);
  const bool is_news = version > this->newest_peer_version;
  this->newest_peer_version = std::max(this->newest_peer_version, version);
  if (same_zone) {
    this->newest_version_in_zone =
        std::max(this->newest_version_in_zone, version);
  }
  if (version <= this->active_version.value_or(0)) {
    return;
  }
  if (is_news && !this->read_overtaken_at) {
    this->read_overtaken_at = now;
  }
  if (is_news && (!this->behind_since || expired)) {
    this->behind_since = now;
  }
  // This peer has what the others that were queried may lack.
  if (this->started_at && this->IsPeerDue(now)) {
    this->next_peer_query_at = std::min(this->next_peer_query_at, now);
  }
}

bool ConfigFollower::AcceptIfNewer(std::uint64_t version, Instant now) {
  if (this->active_version && version <= *this->active_version) {
    return false;
  }
  this->active_version = version;
  // While versions follow each other quickly, the next one is not late yet.
  if (this->newest_peer_version > version) {
    this->behind_since = now;
  } else {
    this->behind_since.reset();
  }
  return true;
}

}  // namespace tanagerledge
