#include "tanagerledge/config_follower.h"

#include <algorithm>

namespace tanagerledge {

FollowActions ConfigFollower::Tick(Instant now) {
  FollowActions out;
  if (!this->reading && now >= this->next_read) {
    this->reading = true;
    if (this->next && !this->falling_behind) {
      // A store that just failed is asked for what it has: an answer at once
      // tells that it is back, and what was missed.
      const auto wait =
          this->failures > 0 ? std::chrono::milliseconds(0) : this->config.wait;
      out.emplace_back(ReadConfigRecords{*this->next, wait});
    } else {
      out.emplace_back(ReadNewestConfig{});
    }
  }
  const bool overdue = this->behind_since &&
                       now - *this->behind_since >= this->config.store_grace;
  const Instant begun = this->started.value_or(now);
  this->started = begun;
  const bool overdue_start =
      !this->in_force && now - begun >= this->config.start_grace;
  const bool needs_peer = this->failures > 0 || overdue || overdue_start;
  if (needs_peer && !this->asking && now >= this->next_ask) {
    this->asking = true;
    this->next_ask = now + this->config.peer_interval;
    out.emplace_back(AskPeerForConfig{});
  }
  return out;
}

void ConfigFollower::OnStoreAnswered() {
  this->reading = false;
  this->failures = 0;
}

void ConfigFollower::OnNewest(LogOffset end, Instant now) {
  this->OnStoreAnswered();
  this->falling_behind = this->falling_behind && this->next != end;
  this->next = end;
  this->next_read = this->falling_behind ? now + this->config.gather : now;
  // Before the operator's first write there is nothing to read on from but the
  // end, and nothing to serve.
}

void ConfigFollower::OnRecords(LogOffset from, LogOffset end, Instant now) {
  this->OnStoreAnswered();
  const bool news = this->next != from;
  this->next = from;
  this->falling_behind = end.value > from.value;
  this->next_read =
      news && !this->falling_behind ? now + this->config.gather : now;
}

void ConfigFollower::OnStoreError(LogErrorKind kind, Instant now) {
  this->reading = false;
  if (kind == LogErrorKind::kExpired || kind == LogErrorKind::kRefused) {
    // The records are gone, but the newest of a key is kept for good.
    this->next.reset();
  }
  if (kind == LogErrorKind::kExpired) {
    this->next_read = now;
    return;
  }
  constexpr int kMostDoublings = 8;
  const int doublings = std::min(this->failures, kMostDoublings);
  const auto pause = std::min(this->config.retry * (1 << doublings),
                              this->config.longest_retry);
  ++this->failures;
  this->next_read = now + pause;
}

void ConfigFollower::OnPeerAnswered(Instant) {
  this->asking = false;
}

void ConfigFollower::OnPeerVersion(std::uint64_t version, Instant now) {
  this->newest_heard = std::max(this->newest_heard, version);
  if (this->IsBehind() && !this->behind_since) {
    this->behind_since = now;
  }
}

bool ConfigFollower::AcceptIfNewer(std::uint64_t version) {
  if (this->in_force && version <= *this->in_force) {
    return false;
  }
  this->in_force = version;
  if (!this->IsBehind()) {
    this->behind_since.reset();
  }
  return true;
}

}  // namespace tanagerledge
