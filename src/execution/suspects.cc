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
  const Entry& entry = found->second;
  if (entry.Deaths() >= this->config.quarantine_deaths) {
    return SuspectState::kQuarantined;
  }
  return entry.Deaths() > 0 || entry.suspected_elsewhere
             ? SuspectState::kSuspect
             : SuspectState::kClear;
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
  entry.suspected_elsewhere = true;
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
      running, std::back_inserter(distinct), [&](Fingerprint each) {
        return death.calls.emplace(each, this->DeathsBefore(each, now)).second;
      });
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
    DeathsAt& deaths = entry.DeathsOf(self);
    ++(this->IsExcused(death, fingerprint) ? deaths.excused : deaths.count);
    entry.lease.reset();
    entry.expires = now + this->TtlOf(entry);
    suspicions.push_back({fingerprint, deaths.count, false, self,
                          std::chrono::milliseconds(0), deaths.excused});
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

int SuspectTable::DeathsBefore(Fingerprint fingerprint, Instant now) const {
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && found->second.expires > now
             ? found->second.DeathsWithExcused()
             : 0;
}

// A call that was answered lately is excused while another one explains all
// deaths that it was in flight at.
bool SuspectTable::IsExcused(const ReportedDeath& death,
                             Fingerprint fingerprint) const {
  const int deaths = death.calls.at(fingerprint);
  return this->IsHarmless(fingerprint) &&
         std::ranges::any_of(death.calls, [&](const auto& call) {
           return !this->IsHarmless(call.first) && call.second >= deaths;
         });
}

std::optional<Suspicion> SuspectTable::OnRanSafely(Fingerprint fingerprint,
                                                   Instant now) {
  this->RecordHarmless(fingerprint, now);
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end() ||
      found->second.Deaths() >= this->config.quarantine_deaths) {
    return std::nullopt;
  }
  const Suspicion suspicion{
      fingerprint, found->second.DeathsWithExcused(), true, {}};
  this->OnSuspicion(suspicion, now);
  return suspicion;
}

void SuspectTable::OnSuspicion(const Suspicion& suspicion, Instant now) {
  const int deaths =
      std::clamp(suspicion.deaths, 0, this->config.quarantine_deaths);
  if (suspicion.cleared) {
    this->Clear(suspicion.fingerprint, suspicion.deaths + suspicion.excused);
    return;
  }
  Entry& entry = this->FindOrCreate(suspicion.fingerprint, now);
  if (entry.Deaths() < this->config.quarantine_deaths) {
    DeathsAt& known = entry.DeathsOf(suspicion.node);
    known.count = std::max(known.count, deaths);
    known.excused = std::max(known.excused, suspicion.excused);
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
  if (found != this->entries.end() &&
      found->second.DeathsWithExcused() <= deaths &&
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

int SuspectTable::Entry::DeathsWithExcused() const {
  return std::accumulate(
      this->deaths_at.begin(), this->deaths_at.end(), 0,
      [](int sum, const DeathsAt& at) { return sum + at.count + at.excused; });
}

// Beyond kMaxNodesPerEntry, deaths are counted for the last node added.
SuspectTable::DeathsAt& SuspectTable::Entry::DeathsOf(const NodeId& node) {
  constexpr std::size_t kMaxNodesPerEntry = 16;
  const auto found = std::ranges::find(this->deaths_at, node, &DeathsAt::node);
  if (found != this->deaths_at.end()) {
    return *found;
  }
  return this->deaths_at.size() < kMaxNodesPerEntry
             ? this->deaths_at.emplace_back(DeathsAt{node, 0, 0})
             : this->deaths_at.back();
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
