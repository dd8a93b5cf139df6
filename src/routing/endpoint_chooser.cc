#include "tanagerledge/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <iterator>

#include "src/routing/endpoint_stats.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Maximum number of endpoints compared for one call. Of larger services, a
// random sample is compared.
constexpr std::size_t kMaxCandidates = 16;

// An endpoint counts as failing when more than this share of its recent calls
// failed. Failing endpoints get no calls while they are at most the maximum
// share of the candidates. When more are failing, all candidates get calls.
constexpr float kFailingThreshold = 0.5F;
constexpr float kMaxFailingShare = 0.67F;

// A new endpoint starts with this fraction of a full share of calls, which then
// grows during the warm-up time.
constexpr float kInitialShare = 0.1F;
constexpr milliseconds kWarmUpTime{10'000};

// Extra cost of a call to another availability zone, in addition to its
// measured latency.
constexpr float kCrossZoneCostUs = 500;

// Number of calls sent for each call that was admitted recently: while at least
// one endpoint accepts the rank, and when all refuse it.
constexpr float kThrottleFactor = 2.0F;
constexpr float kThrottleFactorAllRefuse = 1.2F;

struct Candidate {
  const Endpoint* endpoint = nullptr;
  const EndpointStats* stats = nullptr;
  float share = 1;
  float cost = 0;
  bool failing = false;
  bool refuses = false;
};

class Pool {
 public:
  std::span<Candidate> candidates() { return {this->slots.data(), this->size}; }
  bool full() const { return this->size == kMaxCandidates; }
  bool empty() const { return this->size == 0; }
  void Add(const Candidate& candidate) {
    this->slots[this->size++] = candidate;
  }
  bool Has(const Endpoint& endpoint) {
    return std::ranges::find(this->candidates(), &endpoint,
                             &Candidate::endpoint) != this->candidates().end();
  }
  void Drop(bool Candidate::*mark) {
    const auto begin = this->slots.begin();
    const auto end = std::next(begin, static_cast<std::ptrdiff_t>(this->size));
    const auto kept = std::remove_if(begin, end, std::mem_fn(mark));
    this->size = static_cast<std::size_t>(kept - begin);
  }

 private:
  std::array<Candidate, kMaxCandidates> slots{};
  std::size_t size = 0;
};

bool IsEligible(const Endpoint& endpoint, std::span<const NodeId> excluded) {
  const bool accepts_calls = endpoint.state == EndpointState::kWarming ||
                             endpoint.state == EndpointState::kReady;
  return accepts_calls &&
         std::ranges::find(excluded, endpoint.node) == excluded.end();
}

// All endpoints that are eligible for the call, or a random sample if there are
// many.
Pool SamplePool(const std::vector<Endpoint>& endpoints,
                std::span<const NodeId> excluded,
                Rng& rng) {
  Pool pool;
  if (endpoints.size() > kMaxCandidates) {
    for (std::size_t draw = 0; draw < 2 * kMaxCandidates && !pool.full();
         ++draw) {
      const Endpoint& endpoint = endpoints[rng() % endpoints.size()];
      if (IsEligible(endpoint, excluded) && !pool.Has(endpoint)) {
        pool.Add({.endpoint = &endpoint});
      }
    }
    if (!pool.empty()) {
      return pool;
    }
  }
  for (const Endpoint& endpoint : endpoints) {
    if (!pool.full() && IsEligible(endpoint, excluded)) {
      pool.Add({.endpoint = &endpoint});
    }
  }
  return pool;
}

float WarmUpShare(const Endpoint& endpoint, Instant now) {
  const auto age = std::chrono::duration<float>(now - endpoint.since);
  const float progress = age / std::chrono::duration<float>(kWarmUpTime);
  return std::clamp(progress, kInitialShare, 1.0F);
}

// Removes failing candidates, unless too many are failing.
void DropFailing(Pool& pool) {
  const auto failing =
      std::ranges::count_if(pool.candidates(), &Candidate::failing);
  const auto max_failing =
      kMaxFailingShare * static_cast<float>(pool.candidates().size());
  if (static_cast<float>(failing) <= max_failing) {
    pool.Drop(&Candidate::failing);
  }
}

float Uniform(Rng& rng) {
  constexpr float kScale = 1.0F / (1ULL << 24U);
  return static_cast<float>(rng() >> 40U) * kScale;
}

// Draws a random candidate, weighted by share. `excluded_candidate` is never
// drawn.
const Candidate* DrawByShare(std::span<const Candidate> candidates,
                             const Candidate* excluded_candidate,
                             Rng& rng) {
  float total = 0;
  for (const Candidate& candidate : candidates) {
    total += &candidate == excluded_candidate ? 0 : candidate.share;
  }
  float remaining = Uniform(rng) * total;
  const Candidate* drawn = nullptr;
  for (const Candidate& candidate : candidates) {
    if (&candidate == excluded_candidate) {
      continue;
    }
    drawn = &candidate;
    remaining -= candidate.share;
    if (remaining < 0) {
      break;
    }
  }
  return drawn;
}

// Power of two random choices: the better of two random candidates. This avoids
// that all calls go to the one endpoint that looked best a moment ago.
const Candidate& BetterOfTwo(std::span<const Candidate> candidates, Rng& rng) {
  const Candidate* first = DrawByShare(candidates, nullptr, rng);
  const Candidate* second = DrawByShare(candidates, first, rng);
  const bool take_second = second != nullptr && second->cost < first->cost;
  return take_second ? *second : *first;
}

}  // namespace

// State ---------------------------------------------------------------------

struct EndpointChooser::State {
  static constexpr std::size_t kMaxEndpoints = 32'768;
  static constexpr std::size_t kMaxServices = 4'096;

  GrowingTable<NodeId, EndpointStats, 8'192, kMaxEndpoints> endpoints;
  GrowingTable<ServiceName, ServiceStats, 1'024, kMaxServices> services;

  // Fills in the share, the cost and the flags of each candidate.
  void Evaluate(Pool& pool,
                ServiceStats* service,
                int worth,
                const Zone& own_zone,
                Instant now);
};

void EndpointChooser::State::Evaluate(Pool& pool,
                                      ServiceStats* service,
                                      int worth,
                                      const Zone& own_zone,
                                      Instant now) {
  for (Candidate& candidate : pool.candidates()) {
    const Endpoint& endpoint = *candidate.endpoint;
    candidate.share = WarmUpShare(endpoint, now);
    EndpointStats* const stats = this->endpoints.FindOrAdd(endpoint.node);
    if (stats == nullptr) {
      continue;
    }
    stats->service.store(service, std::memory_order_relaxed);
    candidate.stats = stats;
    candidate.failing = stats->FailureShare(now) > kFailingThreshold;
    candidate.refuses = stats->Refuses(worth, now);
    candidate.cost = stats->Cost(endpoint.slots, now);
    candidate.cost += endpoint.zone == own_zone ? 0 : kCrossZoneCostUs;
  }
}

// EndpointChooser -----------------------------------------------------------

EndpointChooser::EndpointChooser() : state(std::make_unique<State>()) {}

EndpointChooser::~EndpointChooser() = default;

std::optional<NodeId> EndpointChooser::Choose(
    const Snapshot& snapshot,
    const ServiceName& service,
    const RankName& rank,
    const ClientAccount& client_account,
    const Zone& own_zone,
    std::span<const NodeId> excluded,
    Instant now,
    Rng& rng) {
  Pool pool = SamplePool(snapshot.EndpointsOf(service), excluded, rng);
  if (pool.empty()) {
    return std::nullopt;
  }
  ServiceStats* const stats = this->state->services.FindOrAdd(service);
  const RankPolicy* const policy = snapshot.Rank(rank);
  const int worth = policy == nullptr ? 0 : policy->worth;
  this->state->Evaluate(pool, stats, worth, own_zone, now);
  DropFailing(pool);

  const bool all_refuse =
      std::ranges::all_of(pool.candidates(), &Candidate::refuses);
  RankThrottle* const throttle =
      stats == nullptr ? nullptr : stats->throttles.FindOrAdd(rank);
  if (throttle != nullptr) {
    const float factor =
        all_refuse ? kThrottleFactorAllRefuse : kThrottleFactor;
    if (Uniform(rng) < throttle->RefusalChance(client_account, factor, now)) {
      throttle->OnRefused(client_account, now);
      return std::nullopt;
    }
  }
  if (!all_refuse) {
    pool.Drop(&Candidate::refuses);
  }
  return BetterOfTwo(pool.candidates(), rng).endpoint->node;
}

void EndpointChooser::OnStart(const NodeId& node) {
  if (EndpointStats* stats = this->state->endpoints.FindOrAdd(node)) {
    stats->OnStart();
  }
}

void EndpointChooser::OnReply(const NodeId& node,
                              const RankName& rank,
                              const ClientAccount& client_account,
                              FinishKind kind,
                              const LoadReport& load,
                              std::chrono::microseconds latency,
                              Instant now) {
  EndpointStats* const stats = this->state->endpoints.Find(node);
  if (stats == nullptr) {
    return;
  }
  stats->OnReply(kind, load, latency, now);
  ServiceStats* const service = stats->service.load(std::memory_order_relaxed);
  RankThrottle* const throttle =
      service == nullptr ? nullptr : service->throttles.FindOrAdd(rank);
  if (throttle == nullptr) {
    return;
  }
  if (kind == FinishKind::kShed) {
    throttle->OnRefused(client_account, now);
  } else {
    throttle->OnAdmitted(client_account, now);
  }
}

void EndpointChooser::OnUnreachable(const NodeId& node, Instant now) {
  if (EndpointStats* stats = this->state->endpoints.Find(node)) {
    stats->OnUnreachable(now);
  }
}

int EndpointChooser::InFlight(const NodeId& node) const {
  const EndpointStats* stats = this->state->endpoints.Find(node);
  return stats == nullptr ? 0 : stats->in_flight();
}

}  // namespace tanagerledge
