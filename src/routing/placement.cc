#include "tanagerledge/placement.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// After this time a report counts half: calls at a back end last 50 to 120 ms.
constexpr milliseconds kReportHalfLife{250};
// A node that could not be reached is left out so long, unless it is the last.
constexpr milliseconds kUnreachablePause{500};
// Crossing zones costs bytes that are paid for; it must save this part of the
// target time to be worth it.
constexpr double kZoneCostShare = 0.35;
constexpr microseconds kZoneCostLeast{20'000};
// A call that fails is repeated or lost: counted as this many targets of time.
constexpr double kFailureCostTargets = 3.0;
// Taken for the time of work at a node that has not reported yet.
constexpr microseconds kUnknownWork{1'000};

microseconds Scaled(microseconds time, double by) {
  return microseconds(
      static_cast<microseconds::rep>(static_cast<double>(time.count()) * by));
}

}  // namespace

Placement::Placement(NodeId own_node, Zone own_zone)
    : self(std::move(own_node)), zone(std::move(own_zone)) {}

void Placement::SetEndpoints(const std::vector<Endpoint>& endpoints) {
  this->by_service.clear();
  const auto open = [](const Endpoint& endpoint) {
    return endpoint.state == EndpointState::kReady ||
           endpoint.state == EndpointState::kWarming;
  };
  std::ranges::for_each(endpoints | std::views::filter(open),
                        [this](const Endpoint& endpoint) {
                          this->by_service[endpoint.service].push_back(
                              {endpoint.node, endpoint.zone, endpoint.slots});
                        });
}

std::optional<NodeId> Placement::Choose(const PlacementAsk& ask,
                                        Instant now) const {
  const auto found = this->by_service.find(ask.service);
  if (found == this->by_service.end()) {
    return std::nullopt;
  }
  const Place* best = nullptr;
  microseconds best_score{0};
  const auto untried = [&ask](const Place& place) {
    return std::ranges::find(ask.tried, place.node) == ask.tried.end();
  };
  for (const Place& place : found->second | std::views::filter(untried)) {
    const microseconds score = this->Score(place, ask, now);
    if (best == nullptr || score < best_score) {
      best = &place;
      best_score = score;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

// Expected time to the answer, with what crossing zones and failures cost.
microseconds Placement::Score(const Place& place,
                              const PlacementAsk& ask,
                              Instant now) const {
  static const Evidence kNothing;
  const auto found = this->seen.find(place.node);
  const Evidence& evidence =
      found == this->seen.end() ? kNothing : found->second;
  const double age = static_cast<double>(
      duration_cast<microseconds>(now - evidence.reported).count());
  const double say = std::exp2(
      -age / static_cast<double>(microseconds(kReportHalfLife).count()));
  const int others = std::max(0, evidence.load.running + evidence.load.queued -
                                     evidence.in_flight_at_report);
  const double busy = evidence.in_flight + say * others;
  const int slots =
      std::max(1, evidence.load.limit > 0 ? evidence.load.limit : place.slots);
  const microseconds work = std::max(kUnknownWork, evidence.load.service_time);
  const double waiting = std::max(0.0, busy + 1 - slots);
  microseconds score = work + Scaled(work, waiting / slots);
  // Among nodes with free slots the emptier one: reports are never quite fresh.
  score += Scaled(work, 0.2 * std::min(1.0, busy / slots));
  if (place.zone != this->zone) {
    score += std::max(kZoneCostLeast, Scaled(ask.target, kZoneCostShare));
  }
  score +=
      Scaled(std::max(ask.target, work),
             kFailureCostTargets * evidence.load.failing_permille / 1000.0);
  if (now < evidence.unreachable_until) {
    score += std::chrono::seconds(60);
  }
  return score;
}

void Placement::OnSent(const NodeId& node) {
  ++this->seen[node].in_flight;
}

void Placement::OnReply(const NodeId& node,
                        const LoadReport& load,
                        Instant now) {
  Evidence& evidence = this->seen[node];
  --evidence.in_flight;
  evidence.load = load;
  evidence.reported = now;
  evidence.in_flight_at_report = evidence.in_flight;
  evidence.unreachable_until = Instant{};
}

void Placement::OnUnreachable(const NodeId& node, Instant now) {
  Evidence& evidence = this->seen[node];
  --evidence.in_flight;
  evidence.unreachable_until = now + kUnreachablePause;
}

void Placement::OnGivenUp(const NodeId& node) {
  --this->seen[node].in_flight;
}

std::size_t Placement::EndpointsOf(const ServiceName& service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? 0 : found->second.size();
}

}  // namespace tanagerledge
