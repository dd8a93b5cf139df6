#include "src/execution/key_index.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxTotalReplyBytes = 512 * 1024;

}  // namespace

KeyIndex::KeyIndex(std::chrono::seconds resend_window)
    : window(resend_window) {}

const KeyIndex::Entry* KeyIndex::Find(const OnceKeyId& key) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() ? nullptr : &found->second;
}

OnceAttempt KeyIndex::AttemptOf(const Entry& entry) const {
  return {this->processes[entry.process], entry.number};
}

OnceResult KeyIndex::ResultOf(const Entry& entry) {
  return {static_cast<Outcome>(entry.outcome),
          static_cast<Reason>(entry.reason),
          entry.reply ? *entry.reply : std::string(), entry.reply_dropped};
}

bool KeyIndex::Insert(const OnceKeyId& key,
                      const OnceAttempt& attempt,
                      Fingerprint fingerprint,
                      WallTime stamp,
                      KeyState state) {
  const auto [found, is_new] = this->entries.try_emplace(key);
  Entry& entry = found->second;
  if (!is_new) {
    return this->AttemptOf(entry) == attempt;
  }
  entry.state = state;
  entry.process = this->InternProcess(attempt.process);
  entry.number = attempt.number;
  entry.fingerprint = fingerprint;
  entry.stamp = stamp;
  this->admissions.push_back({stamp, key});
  return true;
}

void KeyIndex::Grant(const OnceKeyId& key) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end() &&
      found->second.state == KeyState::kClaimed) {
    found->second.state = KeyState::kGranted;
  }
}

bool KeyIndex::End(const OnceKeyId& key,
                   const OnceAttempt& attempt,
                   const OnceResult& result) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end() ||
      this->AttemptOf(found->second) != attempt) {
    return false;
  }
  Entry& entry = found->second;
  // The first result of an attempt is final.
  if (entry.state == KeyState::kEnded) {
    return true;
  }
  if (result.outcome == Outcome::kNotRun) {
    this->Erase(key);
    return true;
  }
  entry.state = KeyState::kEnded;
  this->Store(entry, result);
  if (entry.reply) {
    this->replies.push_back(key);
    this->DropOldReplies();
  }
  return true;
}

void KeyIndex::MarkLogged(const OnceKeyId& key, const OnceAttempt& attempt) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end() &&
      this->AttemptOf(found->second) == attempt) {
    found->second.is_logged = true;
  }
}

void KeyIndex::DropClaimed() {
  std::erase_if(this->entries, [](const auto& item) {
    return item.second.state == KeyState::kClaimed;
  });
}

void KeyIndex::Expire(WallTime wall) {
  const auto retention = this->window + kMaxMintLead + kMaxClockSkew;
  while (!this->admissions.empty() &&
         this->admissions.front().stamp + retention < wall) {
    const Admission oldest = this->admissions.front();
    this->admissions.pop_front();
    this->RaiseHorizon(oldest.stamp + kMaxMintLead + kMaxClockSkew);
    const Entry* entry = this->Find(oldest.key);
    if (entry != nullptr && entry->stamp == oldest.stamp) {
      this->Erase(oldest.key);
    }
  }
  while (!this->replies.empty() &&
         this->Find(this->replies.front()) == nullptr) {
    this->replies.pop_front();
  }
}

void KeyIndex::RaiseHorizon(WallTime mint) {
  this->mint_horizon = std::max(this->mint_horizon, mint);
}

// Few processes admit keys at any time, so a search that begins with the newest
// is short.
std::uint32_t KeyIndex::InternProcess(const OnceProcess& process) {
  const auto found =
      std::find(this->processes.rbegin(), this->processes.rend(), process);
  if (found != this->processes.rend()) {
    return static_cast<std::uint32_t>(this->processes.rend() - found - 1);
  }
  this->processes.push_back(process);
  return static_cast<std::uint32_t>(this->processes.size() - 1);
}

void KeyIndex::Store(Entry& entry, const OnceResult& result) {
  entry.outcome = static_cast<std::uint8_t>(result.outcome);
  entry.reason = static_cast<std::uint8_t>(result.reason);
  entry.reply_dropped =
      result.reply_dropped || result.reply.size() > kMaxStoredReplyBytes;
  if (!result.reply.empty() && !entry.reply_dropped) {
    entry.reply = std::make_unique<std::string>(result.reply);
    this->stored_reply_bytes += entry.reply->size();
  }
}

void KeyIndex::DropOldReplies() {
  while (this->stored_reply_bytes > kMaxTotalReplyBytes &&
         !this->replies.empty()) {
    const auto found = this->entries.find(this->replies.front());
    this->replies.pop_front();
    if (found != this->entries.end() && found->second.reply) {
      this->stored_reply_bytes -= found->second.reply->size();
      found->second.reply.reset();
      found->second.reply_dropped = true;
    }
  }
}

void KeyIndex::Erase(const OnceKeyId& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return;
  }
  if (found->second.reply) {
    this->stored_reply_bytes -= found->second.reply->size();
  }
  this->entries.erase(found);
}

}  // namespace tanagerledge
