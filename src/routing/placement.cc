#include "tanagerledge/placement.h"

#include <algorithm>
#include <cmath>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// After this time a report counts half: calls at a back end last 50 to 120 ms.
constexpr milliseconds kReportHalfLife{250};
// A node that could not be reached is left out so long, unless it is the last.
constexpr milliseconds kUnreachablePause{500};
// The risk to miss the target grows from this part of it, up to the whole risk
// where the expected time is the target: work times vary by about half.
constexpr double kSafeShare = 0.6;
// Past the target each further one costs this much more.
constexpr double kLateCost = 0.5;
// Crossing zones is worth it when it takes off this much of the risk for each
// KB: its bytes are paid for, and a call that is in time in its own zone gains
// nothing. Even a small call costs something, and no call is worth waiting for
// ever.
constexpr double kZoneCostPerKb = 0.8;
constexpr double kLeastZoneCost = 0.6;
constexpr double kMostZoneCost = 1.2;
// Among places without risk the quicker one: reports are never quite fresh.
constexpr double kTimeCost = 0.1;
// A call that fails is repeated or lost.
constexpr double kFailureCost = 1.5;
constexpr double kUnreachableCost = 100.0;
// Work without a target is placed as if it had this one.
constexpr milliseconds kLeastTarget{100};
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
  std::ranges::for_each(endpoints, [this](const Endpoint& endpoint) {
    if (endpoint.state == EndpointState::kReady ||
        endpoint.state == EndpointState::kWarming) {
      this->by_service[endpoint.service].push_back(
          {endpoint.node, endpoint.zone, endpoint.slots});
    }
  });
}

std::optional<NodeId> Placement::Choose(const PlacementAsk& ask,
                                        Instant now) const {
  const auto found = this->by_service.find(ask.service);
  if (found == this->by_service.end()) {
    return std::nullopt;
  }
  const Place* best = nullptr;
  double best_cost = 0;
  std::ranges::for_each(found->second, [&](const Place& place) {
    if (std::ranges::find(ask.tried, place.node) != ask.tried.end()) {
      return;
    }
    const double cost = this->Cost(place, ask, now);
    if (best == nullptr || cost < best_cost) {
      best = &place;
      best_cost = cost;
    }
  });
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

// What is lost by placing the call there, where a missed target is 1.
double Placement::Cost(const Place& place,
                       const PlacementAsk& ask,
                       Instant now) const {
  static const Evidence kNothing;
  const auto found = this->seen.find(place.node);
  const Evidence& evidence =
      found == this->seen.end() ? kNothing : found->second;
  const microseconds target = std::max<microseconds>(ask.target, kLeastTarget);
  const double expected =
      static_cast<double>(ExpectedTime(place, evidence, now).count()) /
      static_cast<double>(target.count());
  const double risk =
      std::clamp((expected - kSafeShare) / (1.0 - kSafeShare), 0.0, 1.0);
  double cost = risk * risk + kLateCost * std::max(0.0, expected - 1.0) +
                kTimeCost * expected;
  if (place.zone != this->zone) {
    constexpr double kBytesInKb = 1024;
    cost +=
        std::clamp(kZoneCostPerKb * static_cast<double>(ask.bytes) / kBytesInKb,
                   kLeastZoneCost, kMostZoneCost);
  }
  cost += kFailureCost * evidence.load.failing_permille / 1000.0;
  const bool reachable =
      evidence.connected && now >= evidence.unreachable_until;
  cost += reachable ? 0.0 : kUnreachableCost;
  return cost;
}

// From the send to the end of the work: behind what is there already, as far as
// this node knows.
microseconds Placement::ExpectedTime(const Place& place,
                                     const Evidence& evidence,
                                     Instant now) {
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
  // Near full slots some of the others' calls are not known of yet.
  const double filling = 0.2 * std::min(1.0, busy / slots);
  return work + Scaled(work, waiting / slots + filling);
}

void Placement::SetConnected(const NodeId& node, bool connected) {
  this->seen[node].connected = connected;
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

}  // namespace tanagerledge
