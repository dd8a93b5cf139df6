#include "src/routing/endpoint_evidence.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Half-lives: after this time without news, evidence has half its say.
constexpr milliseconds kReportHalfLife{250};
constexpr milliseconds kLatencyHalfLife{5'000};
constexpr milliseconds kFailureHalfLife{5'000};
constexpr milliseconds kRefusalHalfLife{500};
constexpr milliseconds kThrottleHalfLife{1'000};

// Weight of one call in the averages.
constexpr float kLatencyGain = 0.2F;
constexpr float kServiceLatencyGain = 0.02F;
constexpr float kFailureGain = 0.15F;
constexpr float kUnreachableGain = 0.6F;
constexpr float kRefusalGain = 0.1F;

// Taken for the latency of a service before the first reply.
constexpr float kUnknownLatencyUs = 5'000;

// A report older than this is no ground for refusing a call.
constexpr float kFreshWeight = 0.5F;

}  // namespace

// RankThrottle --------------------------------------------------------------

void RankThrottle::OnRefused(const ClientAccount& client_account, Instant now) {
  for (std::size_t row = 0; row < kRows; ++row) {
    Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    cell.refused.Add(1, now, kThrottleHalfLife);
  }
}

void RankThrottle::OnTakenIn(const ClientAccount& client_account, Instant now) {
  for (std::size_t row = 0; row < kRows; ++row) {
    Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    cell.taken_in.Add(1, now, kThrottleHalfLife);
  }
}

float RankThrottle::RefusalChance(const ClientAccount& client_account,
                                  float spare,
                                  Instant now) const {
  // So many calls go before a chance is computed at all.
  constexpr float kFree = 5;
  float least = 1;
  for (std::size_t row = 0; row < kRows; ++row) {
    const Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    const float in = cell.taken_in.Towards(0, now, kThrottleHalfLife);
    const float all = in + cell.refused.Towards(0, now, kThrottleHalfLife);
    least = std::min(least, (all - spare * in - kFree) / (all + 1));
  }
  return std::max(0.0F, least);
}

// The rows take different bits of one hash.
std::size_t RankThrottle::ColumnOf(const ClientAccount& client_account,
                                   std::size_t row) {
  constexpr std::size_t kBitsPerRow = 20;
  const std::size_t hash = std::hash<ClientAccount>()(client_account);
  return (hash >> (row * kBitsPerRow)) % kColumns;
}

// EndpointEvidence ----------------------------------------------------------

void EndpointEvidence::OnStart() {
  this->calls.fetch_add(1, std::memory_order_relaxed);
}

void EndpointEvidence::OnReply(FinishKind kind,
                               const LoadReport& load,
                               std::chrono::microseconds latency,
                               Instant now) {
  const int mine = this->calls.fetch_sub(1, std::memory_order_relaxed);
  if (load.limit > 0) {
    const int all = load.running + load.queued;
    this->others.Blend(static_cast<float>(std::max(0, all - mine)), 1, 0, now,
                       kReportHalfLife);
    this->limit.store(load.limit, std::memory_order_relaxed);
    this->level.store(load.admission_level, std::memory_order_relaxed);
  }
  const bool refused = kind == FinishKind::kShed;
  this->refusals.Blend(refused ? 1 : 0, kRefusalGain, 0, now, kRefusalHalfLife);
  if (refused) {
    return;
  }
  const bool failed = kind != FinishKind::kOk;
  this->failures.Blend(failed ? 1 : 0, kFailureGain, 0, now, kFailureHalfLife);
  if (failed) {
    return;
  }
  const auto took = static_cast<float>(latency.count());
  this->latency_us.Blend(took, kLatencyGain, this->ServiceLatency(now), now,
                         kLatencyHalfLife);
  ServiceEvidence* const peers = this->service.load(std::memory_order_relaxed);
  if (peers != nullptr) {
    const float rest =
        peers->latency_us.Towards(took, now, milliseconds::max());
    peers->latency_us.Blend(took, kServiceLatencyGain, rest, now,
                            milliseconds::max());
  }
}

void EndpointEvidence::OnUnreachable(Instant now) {
  this->calls.fetch_sub(1, std::memory_order_relaxed);
  this->failures.Blend(1, kUnreachableGain, 0, now, kFailureHalfLife);
}

int EndpointEvidence::in_flight() const {
  return this->calls.load(std::memory_order_relaxed);
}

float EndpointEvidence::FailureShare(Instant now) const {
  return this->failures.Towards(0, now, kFailureHalfLife);
}

bool EndpointEvidence::Refuses(int worth, Instant now) const {
  const bool fresh = this->others.Weight(now, kReportHalfLife) >= kFreshWeight;
  return fresh && this->level.load(std::memory_order_relaxed) > worth;
}

// Latency times load, as the time for one more call in line; failures and
// refusals count as repeated calls.
float EndpointEvidence::Cost(int slots, Instant now) const {
  const float latency = this->latency_us.Towards(this->ServiceLatency(now), now,
                                                 kLatencyHalfLife);
  const float line = (this->Load(now) + 1) / this->Limit(slots, now);
  constexpr float kLeastShare = 0.02F;
  const float succeed = std::max(kLeastShare, 1 - this->FailureShare(now));
  const float taken = std::max(
      kLeastShare, 1 - this->refusals.Towards(0, now, kRefusalHalfLife));
  return latency * line / (succeed * succeed * taken);
}

float EndpointEvidence::Load(Instant now) const {
  return static_cast<float>(std::max(0, this->in_flight())) +
         this->others.Towards(0, now, kReportHalfLife);
}

// The reported limit counts only where it is below the announced slots.
float EndpointEvidence::Limit(int slots, Instant now) const {
  const auto announced = static_cast<float>(std::max(1, slots));
  const auto reported =
      static_cast<float>(this->limit.load(std::memory_order_relaxed));
  if (reported <= 0 || reported >= announced) {
    return announced;
  }
  const float weight = this->others.Weight(now, kReportHalfLife);
  return announced + (reported - announced) * weight;
}

float EndpointEvidence::ServiceLatency(Instant now) const {
  const ServiceEvidence* const peers =
      this->service.load(std::memory_order_relaxed);
  return peers == nullptr ? kUnknownLatencyUs
                          : peers->latency_us.Towards(kUnknownLatencyUs, now,
                                                      milliseconds::max());
}

}  // namespace tanagerledge
