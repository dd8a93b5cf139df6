#include "tanagerledge/suspects.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace tanagerledge {
namespace {

// Hashes a part with the hash of all previous parts as the seed, so that moving
// bytes from one part to the next changes the hash.
std::uint64_t HashOf(std::uint64_t seed, std::string_view part) {
  return XXH3_64bits_withSeed(part.data(), part.size(), seed);
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

std::string ToText(Fingerprint fingerprint) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kBitsPerDigit = 4;
  std::string text;
  for (int shift = 64 - kBitsPerDigit; shift >= 0; shift -= kBitsPerDigit) {
    text += kDigits[(fingerprint.value >> shift) & 0xF];
  }
  return text;
}

SuspectTable::SuspectTable(SuspectConfig table_config) : config(table_config) {}

// Verdicts ------------------------------------------------------------------

SuspectState SuspectTable::GetState(Fingerprint fingerprint,
                                    Instant now) const {
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() || found->second.expires <= now) {
    return SuspectState::kClear;
  }
  return found->second.Deaths() >= this->config.quarantine_deaths
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
  // A home node that does not know the suspect yet trusts the node that
  // requests the lease.
  Entry& entry = this->FindOrCreate(fingerprint, now);
  if (entry.lease && entry.lease->until > now) {
    return LeaseAnswer::kBusy;
  }
  entry.lease = Lease{holder, now + length};
  return LeaseAnswer::kGranted;
}

void SuspectTable::OnLeaseReturned(Fingerprint fingerprint,
                                   const NodeId& holder) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.lease &&
      found->second.lease->holder == holder) {
    found->second.lease.reset();
  }
}

bool SuspectTable::TryAcquireLocalSlot(Fingerprint suspect,
                                       Instant now,
                                       Instant until) {
  if (this->local_slot && this->local_slot->until > now) {
    return false;
  }
  this->local_slot = LocalSlot{suspect, until};
  return true;
}

void SuspectTable::ReleaseLocalSlot(Fingerprint suspect) {
  if (this->local_slot && this->local_slot->suspect == suspect) {
    this->local_slot.reset();
  }
}

// Events --------------------------------------------------------------------

std::vector<Suspicion> SuspectTable::OnBackendDied(
    const NodeId& self,
    std::string_view backend_start,
    const std::vector<Fingerprint>& running,
    Instant now) {
  ReportedDeath& death = this->FindOrAddDeath(backend_start);
  std::vector<Fingerprint> distinct;
  std::ranges::copy_if(
      running, std::back_inserter(distinct),
      [&death](Fingerprint each) { return death.calls.insert(each).second; });
  const auto is_harmless = [this](Fingerprint each) {
    return this->IsHarmless(each);
  };
  if (!std::ranges::all_of(death.calls, is_harmless)) {
    std::erase_if(distinct, is_harmless);
  }
  if (this->local_slot &&
      std::ranges::find(distinct, this->local_slot->suspect) !=
          distinct.end()) {
    death.leased = this->local_slot->suspect;
    this->local_slot.reset();
  }
  std::vector<Suspicion> suspicions;
  for (const Fingerprint fingerprint : distinct) {
    Entry& entry = this->FindOrCreate(fingerprint, now);
    if (death.leased && death.leased != fingerprint && entry.Deaths() > 0) {
      entry.expires = now + this->TtlOf(entry);
      continue;
    }
    int& deaths = entry.DeathsOf(self);
    ++deaths;
    entry.lease.reset();
    entry.expires = now + this->TtlOf(entry);
    suspicions.push_back({fingerprint, deaths, false, self});
  }
  return suspicions;
}

SuspectTable::ReportedDeath& SuspectTable::FindOrAddDeath(
    std::string_view backend_start) {
  constexpr std::size_t kMaxReportedDeaths = 4;
  const auto found = std::ranges::find(this->reported_deaths, backend_start,
                                       &ReportedDeath::backend_start);
  if (found != this->reported_deaths.end()) {
    return *found;
  }
  if (this->reported_deaths.size() == kMaxReportedDeaths) {
    this->reported_deaths.pop_back();
  }
  return this->reported_deaths.emplace_front(
      ReportedDeath{std::string(backend_start), {}, std::nullopt});
}

std::optional<Suspicion> SuspectTable::OnRanSafely(Fingerprint fingerprint,
                                                   Instant now) {
  this->RecordHarmless(fingerprint, now);
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() ||
      found->second.Deaths() >= this->config.quarantine_deaths) {
    return std::nullopt;
  }
  const Suspicion suspicion{fingerprint, found->second.Deaths(), true, {}};
  this->OnSuspicion(suspicion, now);
  return suspicion;
}

void SuspectTable::OnSuspicion(const Suspicion& suspicion, Instant now) {
  const int deaths =
      std::clamp(suspicion.deaths, 0, this->config.quarantine_deaths);
  if (suspicion.cleared) {
    this->Clear(suspicion.fingerprint, deaths);
    return;
  }
  Entry& entry = this->FindOrCreate(suspicion.fingerprint, now);
  if (entry.Deaths() < this->config.quarantine_deaths) {
    int& known = entry.DeathsOf(suspicion.node);
    known = std::max(known, deaths);
  }
  const std::chrono::milliseconds ttl = this->TtlOf(entry);
  entry.expires = std::max(
      entry.expires,
      now + (suspicion.ttl.count() > 0 ? std::min(suspicion.ttl, ttl) : ttl));
}

// Reconciliation --------------------------------------------------------------

template <typename Filter>
std::vector<Suspicion> SuspectTable::ListQuarantined(Instant now,
                                                     Filter filter) const {
  std::vector<Suspicion> listed;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (this->IsQuarantined(entry, now) && filter(entry)) {
      listed.push_back(
          {fingerprint, this->config.quarantine_deaths, false,
           entry.deaths_at.front().node,
           std::chrono::ceil<std::chrono::milliseconds>(entry.expires - now)});
    }
  }
  return listed;
}

std::vector<Suspicion> SuspectTable::Quarantined(Instant now) const {
  return this->ListQuarantined(now, [](const Entry&) { return true; });
}

std::vector<Suspicion> SuspectTable::QuarantinedBy(const NodeId& self,
                                                   Instant now) const {
  return this->ListQuarantined(now, [&self](const Entry& entry) {
    return std::ranges::find(entry.deaths_at, self, &DeathsAt::node) !=
           entry.deaths_at.end();
  });
}

std::uint64_t SuspectTable::QuarantineDigest(Instant now) const {
  std::uint64_t digest = 0;
  for (const auto& [fingerprint, entry] : this->entries) {
    if (this->IsQuarantined(entry, now)) {
      digest ^= XXH3_64bits(&fingerprint.value, sizeof(fingerprint.value));
    }
  }
  return digest;
}

void SuspectTable::RecordHarmless(Fingerprint fingerprint, Instant now) {
  if (now - this->harmless_since >= this->config.harmless_ttl ||
      this->harmless.size() >= this->config.max_harmless) {
    this->former_harmless = std::exchange(this->harmless, {});
    this->harmless_since = now;
  }
  this->harmless.insert(fingerprint);
}

// The node that cleared the call knew only of `deaths` deaths.
void SuspectTable::Clear(Fingerprint fingerprint, int deaths) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.Deaths() <= deaths &&
      found->second.Deaths() < this->config.quarantine_deaths) {
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

int& SuspectTable::Entry::DeathsOf(const NodeId& node) {
  const auto found = std::ranges::find(this->deaths_at, node, &DeathsAt::node);
  return found != this->deaths_at.end()
             ? found->count
             : this->deaths_at.emplace_back(DeathsAt{node, 0}).count;
}

// Entries -------------------------------------------------------------------

std::chrono::seconds SuspectTable::TtlOf(const Entry& entry) const {
  return entry.Deaths() >= this->config.quarantine_deaths
             ? this->config.quarantine_ttl
             : this->config.suspect_ttl;
}

SuspectTable::Entry& SuspectTable::FindOrCreate(Fingerprint fingerprint,
                                                Instant now) {
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.expires > now) {
    return found->second;
  }
  if (found == this->entries.end()) {
    this->EvictIfFull();
  }
  Entry& entry = this->entries[fingerprint];
  entry = {};
  entry.expires = now + this->config.suspect_ttl;
  return entry;
}

void SuspectTable::EvictIfFull() {
  if (this->entries.size() < this->config.max_entries) {
    return;
  }
  this->entries.erase(std::ranges::min_element(
      this->entries, {}, [](const auto& item) { return item.second.expires; }));
}

}  // namespace tanagerledge
