#include "tanagerledge/endpoint_chooser.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/routing/endpoint_table.h"

namespace tanagerledge {
namespace {

bool TakesWork(const Endpoint& endpoint) {
  return endpoint.state == EndpointState::kWarming ||
         endpoint.state == EndpointState::kReady;
}

}  // namespace

struct EndpointChooser::State {
  EndpointTable table;
};

EndpointChooser::EndpointChooser() : state(std::make_unique<State>()) {}

EndpointChooser::~EndpointChooser() = default;

std::optional<NodeId> EndpointChooser::Choose(const Snapshot& snapshot,
                                              const ServiceName& service,
                                              const RankName& /*rank*/,
                                              const Zone& /*own_zone*/,
                                              std::span<const NodeId> excluded,
                                              Instant /*now*/,
                                              Rng& rng) {
  const std::vector<Endpoint>& endpoints = snapshot.EndpointsOf(service);
  const Endpoint* best = nullptr;
  int best_load = 0;
  std::size_t seen = 0;
  for (const Endpoint& endpoint : endpoints) {
    if (!TakesWork(endpoint) ||
        std::ranges::find(excluded, endpoint.node) != excluded.end()) {
      continue;
    }
    ++seen;
    const int load = this->InFlight(endpoint.node);
    const bool tie_won = load == best_load && rng() % seen == 0;
    if (best == nullptr || load < best_load || tie_won) {
      best = &endpoint;
      best_load = load;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->node;
}

void EndpointChooser::OnStart(const NodeId& node) {
  if (EndpointEntry* entry = this->state->table.FindOrAdd(node)) {
    entry->in_flight.fetch_add(1, std::memory_order_relaxed);
  }
}

void EndpointChooser::OnReply(const NodeId& node,
                              const RankName& /*rank*/,
                              FinishKind /*kind*/,
                              const LoadReport& /*load*/,
                              std::chrono::microseconds /*latency*/,
                              Instant now) {
  this->OnUnreachable(node, now);
}

void EndpointChooser::OnUnreachable(const NodeId& node, Instant /*now*/) {
  if (EndpointEntry* entry = this->state->table.Find(node)) {
    entry->in_flight.fetch_sub(1, std::memory_order_relaxed);
  }
}

int EndpointChooser::InFlight(const NodeId& node) const {
  const EndpointEntry* entry = this->state->table.Find(node);
  return entry == nullptr ? 0
                          : entry->in_flight.load(std::memory_order_relaxed);
}

}  // namespace tanagerledge
