#include "tanagerledge/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <iterator>

#include "src/routing/endpoint_evidence.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Endpoints that are looked at for one call; of a larger service, a sample.
constexpr std::size_t kMaxPool = 16;

// An endpoint whose calls mostly failed lately gets none, as long as it is one
// of at most this share of those looked at. Beyond it, all get calls again.
constexpr float kBadFailureShare = 0.5F;
constexpr float kMaxBadShare = 0.67F;

// A new endpoint starts with this part of a full share of calls.
constexpr float kFirstShare = 0.1F;
constexpr milliseconds kWarmUp{10'000};

// What a call to another zone costs more, beside what its latency shows.
constexpr float kOtherZoneUs = 500;

// Calls let through for each one taken in lately: as long as some endpoint
// does not refuse the rank, and when all do.
constexpr float kSpare = 2.0F;
constexpr float kSpareWhenRefused = 1.2F;

struct Candidate {
  const Endpoint* endpoint = nullptr;
  const EndpointEvidence* evidence = nullptr;
  float share = 1;
  float cost = 0;
  bool bad = false;
  bool refuses = false;
};

class Pool {
 public:
  std::span<Candidate> all() { return {this->slots.data(), this->size}; }
  bool full() const { return this->size == kMaxPool; }
  bool empty() const { return this->size == 0; }
  void Add(const Candidate& candidate) {
    this->slots[this->size++] = candidate;
  }
  bool Has(const Endpoint& endpoint) {
    return std::ranges::find(this->all(), &endpoint, &Candidate::endpoint) !=
           this->all().end();
  }
  void Drop(bool Candidate::*mark) {
    const auto begin = this->slots.begin();
    const auto end = std::next(begin, static_cast<std::ptrdiff_t>(this->size));
    const auto kept = std::remove_if(begin, end, std::mem_fn(mark));
    this->size = static_cast<std::size_t>(kept - begin);
  }

 private:
  std::array<Candidate, kMaxPool> slots{};
  std::size_t size = 0;
};

bool MayTake(const Endpoint& endpoint, std::span<const NodeId> excluded) {
  const bool takes_work = endpoint.state == EndpointState::kWarming ||
                          endpoint.state == EndpointState::kReady;
  return takes_work &&
         std::ranges::find(excluded, endpoint.node) == excluded.end();
}

// All endpoints that may take the call, or a random sample of many.
Pool DrawPool(const std::vector<Endpoint>& endpoints,
              std::span<const NodeId> excluded,
              Rng& rng) {
  Pool pool;
  if (endpoints.size() > kMaxPool) {
    for (std::size_t draw = 0; draw < 2 * kMaxPool && !pool.full(); ++draw) {
      const Endpoint& endpoint = endpoints[rng() % endpoints.size()];
      if (MayTake(endpoint, excluded) && !pool.Has(endpoint)) {
        pool.Add({.endpoint = &endpoint});
      }
    }
    if (!pool.empty()) {
      return pool;
    }
  }
  for (const Endpoint& endpoint : endpoints) {
    if (!pool.full() && MayTake(endpoint, excluded)) {
      pool.Add({.endpoint = &endpoint});
    }
  }
  return pool;
}

float WarmUpShare(const Endpoint& endpoint, Instant now) {
  const auto age = std::chrono::duration<float>(now - endpoint.since);
  const float grown = age / std::chrono::duration<float>(kWarmUp);
  return std::clamp(grown, kFirstShare, 1.0F);
}

// Leaves out those that look bad, unless too many do.
void DropBad(Pool& pool) {
  const auto bad = std::ranges::count_if(pool.all(), &Candidate::bad);
  const auto allowed = kMaxBadShare * static_cast<float>(pool.all().size());
  if (static_cast<float>(bad) <= allowed) {
    pool.Drop(&Candidate::bad);
  }
}

float Uniform(Rng& rng) {
  constexpr float kScale = 1.0F / (1ULL << 24U);
  return static_cast<float>(rng() >> 40U) * kScale;
}

// Draws one by share; `but` is left out.
const Candidate* Draw(std::span<const Candidate> candidates,
                      const Candidate* but,
                      Rng& rng) {
  float total = 0;
  for (const Candidate& candidate : candidates) {
    total += &candidate == but ? 0 : candidate.share;
  }
  float left = Uniform(rng) * total;
  const Candidate* drawn = nullptr;
  for (const Candidate& candidate : candidates) {
    if (&candidate == but) {
      continue;
    }
    drawn = &candidate;
    left -= candidate.share;
    if (left < 0) {
      break;
    }
  }
  return drawn;
}

// The better of two random ones: good choices without all rushing to the one
// endpoint that looked best a moment ago.
const Candidate& BetterOfTwo(std::span<const Candidate> candidates, Rng& rng) {
  const Candidate* first = Draw(candidates, nullptr, rng);
  const Candidate* second = Draw(candidates, first, rng);
  const bool take_second = second != nullptr && second->cost < first->cost;
  return take_second ? *second : *first;
}

}  // namespace

// State ---------------------------------------------------------------------

struct EndpointChooser::State {
  static constexpr std::size_t kMaxEndpoints = 32'768;
  static constexpr std::size_t kMaxServices = 4'096;

  GrowingTable<NodeId, EndpointEvidence, 8'192, kMaxEndpoints> endpoints;
  GrowingTable<ServiceName, ServiceEvidence, 1'024, kMaxServices> services;

  // Adds what is known to each candidate.
  void Judge(Pool& pool,
             ServiceEvidence* service,
             int worth,
             const Zone& own_zone,
             Instant now);
};

void EndpointChooser::State::Judge(Pool& pool,
                                   ServiceEvidence* service,
                                   int worth,
                                   const Zone& own_zone,
                                   Instant now) {
  for (Candidate& candidate : pool.all()) {
    const Endpoint& endpoint = *candidate.endpoint;
    candidate.share = WarmUpShare(endpoint, now);
    EndpointEvidence* const evidence = this->endpoints.FindOrAdd(endpoint.node);
    if (evidence == nullptr) {
      continue;
    }
    evidence->service.store(service, std::memory_order_relaxed);
    candidate.evidence = evidence;
    candidate.bad = evidence->FailureShare(now) > kBadFailureShare;
    candidate.refuses = evidence->Refuses(worth, now);
    candidate.cost = evidence->Cost(endpoint.slots, now);
    candidate.cost += endpoint.zone == own_zone ? 0 : kOtherZoneUs;
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
  Pool pool = DrawPool(snapshot.EndpointsOf(service), excluded, rng);
  if (pool.empty()) {
    return std::nullopt;
  }
  ServiceEvidence* const evidence = this->state->services.FindOrAdd(service);
  const RankPolicy* const policy = snapshot.Rank(rank);
  const int worth = policy == nullptr ? 0 : policy->worth;
  this->state->Judge(pool, evidence, worth, own_zone, now);
  DropBad(pool);

  const bool all_refuse = std::ranges::all_of(pool.all(), &Candidate::refuses);
  RankThrottle* const throttle =
      evidence == nullptr ? nullptr : evidence->throttles.FindOrAdd(rank);
  if (throttle != nullptr) {
    const float spare = all_refuse ? kSpareWhenRefused : kSpare;
    if (Uniform(rng) < throttle->RefusalChance(client_account, spare, now)) {
      throttle->OnRefused(client_account, now);
      return std::nullopt;
    }
  }
  if (!all_refuse) {
    pool.Drop(&Candidate::refuses);
  }
  return BetterOfTwo(pool.all(), rng).endpoint->node;
}

void EndpointChooser::OnStart(const NodeId& node) {
  if (EndpointEvidence* evidence = this->state->endpoints.FindOrAdd(node)) {
    evidence->OnStart();
  }
}

void EndpointChooser::OnReply(const NodeId& node,
                              const RankName& rank,
                              const ClientAccount& client_account,
                              FinishKind kind,
                              const LoadReport& load,
                              std::chrono::microseconds latency,
                              Instant now) {
  EndpointEvidence* const evidence = this->state->endpoints.Find(node);
  if (evidence == nullptr) {
    return;
  }
  evidence->OnReply(kind, load, latency, now);
  ServiceEvidence* const service =
      evidence->service.load(std::memory_order_relaxed);
  RankThrottle* const throttle =
      service == nullptr ? nullptr : service->throttles.FindOrAdd(rank);
  if (throttle == nullptr) {
    return;
  }
  if (kind == FinishKind::kShed) {
    throttle->OnRefused(client_account, now);
  } else {
    throttle->OnTakenIn(client_account, now);
  }
}

void EndpointChooser::OnUnreachable(const NodeId& node, Instant now) {
  if (EndpointEvidence* evidence = this->state->endpoints.Find(node)) {
    evidence->OnUnreachable(now);
  }
}

int EndpointChooser::InFlight(const NodeId& node) const {
  const EndpointEvidence* evidence = this->state->endpoints.Find(node);
  return evidence == nullptr ? 0 : evidence->in_flight();
}

}  // namespace tanagerledge
