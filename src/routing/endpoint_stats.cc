#include "src/routing/endpoint_stats.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Half-lives of the statistics while no new sample arrives.
constexpr milliseconds kReportHalfLife{250};
constexpr milliseconds kLatencyHalfLife{5'000};
constexpr milliseconds kFailureHalfLife{5'000};
constexpr milliseconds kRefusalHalfLife{500};
constexpr milliseconds kThrottleHalfLife{1'000};

// Weight of one call in each moving average.
constexpr float kLatencyGain = 0.2F;
constexpr float kServiceLatencyGain = 0.02F;
constexpr float kFailureGain = 0.15F;
constexpr float kUnreachableGain = 0.6F;
constexpr float kRefusalGain = 0.1F;

// Latency that is assumed for a service before its first reply.
constexpr float kDefaultLatencyUs = 5'000;

// Calls are refused by the admission level of a report only while its weight is
// at least this.
constexpr float kMinReportWeight = 0.5F;

}  // namespace

// RankThrottle --------------------------------------------------------------

void RankThrottle::OnRefused(const ClientAccount& client_account, Instant now) {
  for (std::size_t row = 0; row < kRows; ++row) {
    Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    cell.refused.Add(1, now, kThrottleHalfLife);
  }
}

void RankThrottle::OnAdmitted(const ClientAccount& client_account,
                              Instant now) {
  for (std::size_t row = 0; row < kRows; ++row) {
    Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    cell.admitted.Add(1, now, kThrottleHalfLife);
  }
}

float RankThrottle::RefusalChance(const ClientAccount& client_account,
                                  float factor,
                                  Instant now) const {
  // No call is refused until more calls than this were counted.
  constexpr float kMinCalls = 5;
  float chance = 1;
  for (std::size_t row = 0; row < kRows; ++row) {
    const Cell& cell = this->rows[row][ColumnOf(client_account, row)];
    const float in = cell.admitted.DecayedTowards(0, now, kThrottleHalfLife);
    const float all =
        in + cell.refused.DecayedTowards(0, now, kThrottleHalfLife);
    chance = std::min(chance, (all - factor * in - kMinCalls) / (all + 1));
  }
  return std::max(0.0F, chance);
}

// Each row uses different bits of the same hash.
std::size_t RankThrottle::ColumnOf(const ClientAccount& client_account,
                                   std::size_t row) {
  constexpr std::size_t kBitsPerRow = 20;
  const std::size_t hash = std::hash<ClientAccount>()(client_account);
  return (hash >> (row * kBitsPerRow)) % kColumns;
}

// EndpointStats -------------------------------------------------------------

void EndpointStats::OnStart() {
  this->calls.fetch_add(1, std::memory_order_relaxed);
}

void EndpointStats::OnReply(FinishKind kind,
                            const LoadReport& load,
                            std::chrono::microseconds latency,
                            Instant now) {
  const int own_calls = this->calls.fetch_sub(1, std::memory_order_relaxed);
  if (load.limit > 0) {
    const int all = load.running + load.queued;
    this->other_calls.Blend(static_cast<float>(std::max(0, all - own_calls)), 1,
                            0, now, kReportHalfLife);
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
  ServiceStats* const service_stats =
      this->service.load(std::memory_order_relaxed);
  if (service_stats != nullptr) {
    const float baseline = service_stats->latency_us.DecayedTowards(
        took, now, milliseconds::max());
    service_stats->latency_us.Blend(took, kServiceLatencyGain, baseline, now,
                                    milliseconds::max());
  }
}

void EndpointStats::OnUnreachable(Instant now) {
  this->calls.fetch_sub(1, std::memory_order_relaxed);
  this->failures.Blend(1, kUnreachableGain, 0, now, kFailureHalfLife);
}

int EndpointStats::in_flight() const {
  return this->calls.load(std::memory_order_relaxed);
}

float EndpointStats::FailureShare(Instant now) const {
  return this->failures.DecayedTowards(0, now, kFailureHalfLife);
}

bool EndpointStats::Refuses(int worth, Instant now) const {
  const bool fresh =
      this->other_calls.Weight(now, kReportHalfLife) >= kMinReportWeight;
  return fresh && this->level.load(std::memory_order_relaxed) > worth;
}

// Latency times load per slot: the expected time of one more call. Failures and
// refusals increase it, since such calls have to be repeated.
float EndpointStats::Cost(int slots, Instant now) const {
  const float latency = this->latency_us.DecayedTowards(
      this->ServiceLatency(now), now, kLatencyHalfLife);
  const float load_per_slot = (this->Load(now) + 1) / this->Limit(slots, now);
  constexpr float kMinShare = 0.02F;
  const float success_share = std::max(kMinShare, 1 - this->FailureShare(now));
  const float accepted_share = std::max(
      kMinShare, 1 - this->refusals.DecayedTowards(0, now, kRefusalHalfLife));
  return latency * load_per_slot /
         (success_share * success_share * accepted_share);
}

float EndpointStats::Load(Instant now) const {
  return static_cast<float>(std::max(0, this->in_flight())) +
         this->other_calls.DecayedTowards(0, now, kReportHalfLife);
}

// The reported limit is used only if it is below the announced slots.
float EndpointStats::Limit(int slots, Instant now) const {
  const auto announced = static_cast<float>(std::max(1, slots));
  const auto reported =
      static_cast<float>(this->limit.load(std::memory_order_relaxed));
  if (reported <= 0 || reported >= announced) {
    return announced;
  }
  const float weight = this->other_calls.Weight(now, kReportHalfLife);
  return announced + (reported - announced) * weight;
}

float EndpointStats::ServiceLatency(Instant now) const {
  const ServiceStats* const service_stats =
      this->service.load(std::memory_order_relaxed);
  return service_stats == nullptr
             ? kDefaultLatencyUs
             : service_stats->latency_us.DecayedTowards(kDefaultLatencyUs, now,
                                                        milliseconds::max());
}

}  // namespace tanagerledge
