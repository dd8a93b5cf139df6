#include "tanagerledge/suspects.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace tanagerledge {
namespace {

// Each part is hashed with the ones before as its seed, so that parts cannot
// run into each other.
std::uint64_t HashOf(std::uint64_t before, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), before);
}

}  // namespace

Fingerprint FingerprintOf(const ClientAccount& client_account,
                          std::string_view method,
                          std::string_view target,
                          std::string_view body) {
  const std::uint64_t caller = HashOf(0, client_account.value);
  const std::uint64_t call = HashOf(HashOf(caller, method), target);
  return {HashOf(call, body)};
}

SuspectTable::SuspectTable(SuspectConfig table_config) : config(table_config) {}

// Verdicts ------------------------------------------------------------------

SuspectState SuspectTable::GetState(Fingerprint fingerprint,
                                    Instant now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.expires <= now) {
    return SuspectState::kClear;
  }
  return found->second.Deaths() >= this->config.most_deaths
             ? SuspectState::kQuarantined
             : SuspectState::kSuspect;
}

LeaseAnswer SuspectTable::OnLeaseRequest(Fingerprint fingerprint,
                                         const NodeId& holder,
                                         std::chrono::microseconds length,
                                         Instant now) {
  if (this->GetState(fingerprint, now) == SuspectState::kQuarantined) {
    return LeaseAnswer::kRefused;
  }
  // A home that has not heard of it trusts the node that asks.
  Entry& entry = this->Touch(fingerprint, now);
  if (entry.lease && entry.lease->until > now) {
    return LeaseAnswer::kBusy;
  }
  entry.lease = Lease{holder, now + length};
  return LeaseAnswer::kGranted;
}

bool SuspectTable::TryAcquireLocalSlot(Instant now, Instant until) {
  if (this->running_until && *this->running_until > now) {
    return false;
  }
  this->running_until = until;
  return true;
}

void SuspectTable::ReleaseLocalSlot() {
  this->running_until.reset();
}

// Events --------------------------------------------------------------------

std::vector<Suspicion> SuspectTable::OnBackendDied(
    const NodeId& self,
    const std::vector<Fingerprint>& running,
    Instant now) {
  std::vector<Fingerprint> distinct = running;
  std::ranges::sort(distinct);
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  std::vector<Suspicion> news;
  for (const Fingerprint fingerprint : distinct) {
    Entry& entry = this->Touch(fingerprint, now);
    int& deaths = entry.At(self);
    ++deaths;
    entry.lease.reset();
    entry.expires = now + this->LifeOf(entry);
    news.push_back({fingerprint, deaths, false, self});
  }
  this->ReleaseLocalSlot();
  return news;
}

std::optional<Suspicion> SuspectTable::OnRanSafely(Fingerprint fingerprint,
                                                   Instant now) {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() ||
      found->second.Deaths() >= this->config.most_deaths) {
    return std::nullopt;
  }
  const Suspicion news{fingerprint, found->second.Deaths(), true, {}};
  this->OnSuspicion(news, now);
  return news;
}

void SuspectTable::OnSuspicion(const Suspicion& news, Instant now) {
  const int deaths = std::clamp(news.deaths, 0, this->config.most_deaths);
  if (news.cleared) {
    this->Clear(news.fingerprint, deaths);
    return;
  }
  Entry& entry = this->Touch(news.fingerprint, now);
  if (entry.Deaths() < this->config.most_deaths) {
    int& known = entry.At(news.node);
    known = std::max(known, deaths);
  }
  entry.expires = std::max(entry.expires, now + this->LifeOf(entry));
}

// Whoever cleared a call judged only the deaths it knew of.
void SuspectTable::Clear(Fingerprint fingerprint, int deaths) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.Deaths() <= deaths &&
      found->second.Deaths() < this->config.most_deaths) {
    this->entries.erase(found);
  }
}

void SuspectTable::Expire(Instant now) {
  std::erase_if(this->entries,
                [now](const auto& item) { return item.second.expires <= now; });
}

int SuspectTable::Entry::Deaths() const {
  return std::accumulate(
      this->deaths_at.begin(), this->deaths_at.end(), 0,
      [](int sum, const DeathsAt& at) { return sum + at.count; });
}

int& SuspectTable::Entry::At(const NodeId& node) {
  const auto found = std::ranges::find(this->deaths_at, node, &DeathsAt::node);
  return found != this->deaths_at.end()
             ? found->count
             : this->deaths_at.emplace_back(DeathsAt{node, 0}).count;
}

// Entries -------------------------------------------------------------------

std::chrono::seconds SuspectTable::LifeOf(const Entry& entry) const {
  return entry.Deaths() >= this->config.most_deaths
             ? this->config.quarantine_life
             : this->config.suspect_life;
}

SuspectTable::Entry& SuspectTable::Touch(Fingerprint fingerprint, Instant now) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.expires > now) {
    return found->second;
  }
  if (found == this->entries.end()) {
    this->MakeRoom();
  }
  Entry& entry = this->entries[fingerprint];
  entry = {};
  entry.expires = now + this->config.suspect_life;
  return entry;
}

void SuspectTable::MakeRoom() {
  if (this->entries.size() < this->config.most_entries) {
    return;
  }
  this->entries.erase(std::ranges::min_element(
      this->entries, {}, [](const auto& item) { return item.second.expires; }));
}

}  // namespace tanagerledge
