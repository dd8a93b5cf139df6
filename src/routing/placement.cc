#include "tanagerledge/placement.h"

#include <algorithm>
#include <cmath>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// After this time a report counts half: as long as two calls take, since by
// then most calls that it counted have ended, and no less than this.
constexpr milliseconds kLeastHalfLife{250};
constexpr int kHalfLifeInCalls = 2;
// Weight of one report in the mean load of a service.
constexpr double kMeanWeight = 1.0 / 32;
// Places that are drawn in the own zone and in the others. With all places
// considered, the busiest backend server of a fleet of 60 got 3.1 to 4.7 times
// the mean.
constexpr std::size_t kDrawn = 3;
// How work times spread: the risk that a call misses its target is
// 1 / (1 + (target / median)^steepness), the tail of a log-logistic spread with
// that steepness. Times of the platform's sheets spread by 0.5 to 0.8.
constexpr double kSteepness = 3.0;
constexpr double kMedianOfMean = 0.8;
// A node that could not be reached is left out so long, unless it is the last.
constexpr milliseconds kUnreachablePause{500};
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

}  // namespace

Placement::Placement(Zone own_zone, std::uint64_t seed)
    : zone(std::move(own_zone)),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

void Placement::SetEndpoints(const std::vector<Endpoint>& endpoints) {
  this->by_service.clear();
  std::ranges::for_each(endpoints, [this](const Endpoint& endpoint) {
    if (endpoint.state == EndpointState::kReady ||
        endpoint.state == EndpointState::kWarming) {
      ServicePlaces& places = this->by_service[endpoint.service];
      Places& side = endpoint.zone == this->zone ? places.near : places.far;
      side.push_back({endpoint.node, endpoint.slots});
    }
  });
}

std::optional<NodeId> Placement::Choose(const PlacementRequest& ask,
                                        Instant now) {
  const auto found = this->by_service.find(ask.service);
  if (found == this->by_service.end()) {
    return std::nullopt;
  }
  constexpr double kBytesInKb = 1024;
  const double crossing =
      std::clamp(kZoneCostPerKb * static_cast<double>(ask.bytes) / kBytesInKb,
                 kLeastZoneCost, kMostZoneCost);
  const auto load = this->loads.find(ask.service);
  const Choice choice{
      ask, load == this->loads.end() ? ServiceLoad{} : load->second, now};
  const ServicePlaces& places = found->second;
  Best best;
  this->Draw(places.near, 0.0, choice, best);
  this->Draw(places.far, crossing, choice, best);
  if (best.place == nullptr || best.cost >= kUnreachableCost) {
    // Bad luck with the draw, or few are left: look at all.
    const auto consider = [&](double extra) {
      return [&, extra](const Place& place) {
        this->Consider(place, extra, choice, best);
      };
    };
    std::ranges::for_each(places.near, consider(0.0));
    std::ranges::for_each(places.far, consider(crossing));
  }
  return best.place == nullptr ? std::nullopt : std::optional(best.place->node);
}

void Placement::Draw(const Places& places,
                     double extra,
                     const Choice& choice,
                     Best& best) {
  if (places.size() <= kDrawn) {
    std::ranges::for_each(places, [&](const Place& place) {
      this->Consider(place, extra, choice, best);
    });
    return;
  }
  std::uniform_int_distribution<std::size_t> any(0, places.size() - 1);
  for (std::size_t drawn = 0; drawn < kDrawn; ++drawn) {
    this->Consider(places[any(this->random)], extra, choice, best);
  }
}

void Placement::Consider(const Place& place,
                         double extra,
                         const Choice& choice,
                         Best& best) const {
  if (std::ranges::find(choice.ask.tried, place.node) !=
      choice.ask.tried.end()) {
    return;
  }
  const double cost = this->Cost(place, choice) + extra;
  if (best.place == nullptr || cost < best.cost) {
    best = {&place, cost};
  }
}

// What is lost by placing the call there, where a missed target is 1.
double Placement::Cost(const Place& place, const Choice& choice) const {
  static const Evidence kNothing;
  const auto found = this->seen.find(place.node);
  const Evidence& evidence =
      found == this->seen.end() ? kNothing : found->second;
  const microseconds target =
      std::max<microseconds>(choice.ask.target, kLeastTarget);
  const double expected =
      static_cast<double>(ExpectedTime(place, evidence, choice).count()) /
      static_cast<double>(target.count());
  const double risk =
      1.0 / (1.0 + std::pow(kMedianOfMean * expected, -kSteepness));
  double cost =
      risk + kLateCost * std::max(0.0, expected - 1.0) + kTimeCost * expected;
  cost += kFailureCost * evidence.load.failing_permille / 1000.0;
  const bool reachable =
      evidence.connected && choice.now >= evidence.unreachable_until;
  cost += reachable ? 0.0 : kUnreachableCost;
  return cost;
}

// From the send to the end of the work: behind what is there already, as far as
// this node knows.
microseconds Placement::ExpectedTime(const Place& place,
                                     const Evidence& evidence,
                                     const Choice& choice) {
  const ServiceLoad& mean = choice.usual;
  const int slots =
      std::max(1, evidence.load.limit > 0 ? evidence.load.limit : place.slots);
  const microseconds usual = std::max(kUnknownWork, mean.work);
  const microseconds here = evidence.load.service_time.count() > 0
                                ? evidence.load.service_time
                                : usual;
  const auto half_life =
      std::max<microseconds>(kLeastHalfLife, kHalfLifeInCalls * mean.work);
  const double age = static_cast<double>(
      duration_cast<microseconds>(choice.now - evidence.reported).count());
  const double say = std::exp2(-age / static_cast<double>(half_life.count()));
  const double others =
      std::max(0, evidence.load.running + evidence.load.queued -
                      evidence.in_flight_at_report);
  const double busy =
      evidence.in_flight + say * others + (1.0 - say) * mean.busy * slots;
  const double waiting = std::max(0.0, busy + 1 - slots);
  // Near full slots some of the others' calls are not known of yet.
  const double filling = 0.2 * std::min(1.0, busy / slots);
  // Speeds differ between backend servers, work between routes.
  const double slowness =
      static_cast<double>(here.count()) / static_cast<double>(usual.count());
  const microseconds work =
      choice.ask.work.count() > 0 ? Scaled(choice.ask.work, slowness) : here;
  return work + Scaled(here, waiting / slots + filling);
}

void Placement::SetConnected(const NodeId& node, bool connected) {
  this->seen[node].connected = connected;
}

void Placement::OnSent(const NodeId& node) {
  ++this->seen[node].in_flight;
}

void Placement::OnReply(const NodeId& node,
                        const ServiceName& service,
                        const LoadReport& load,
                        Instant now) {
  Evidence& evidence = this->seen[node];
  --evidence.in_flight;
  evidence.load = load;
  evidence.reported = now;
  evidence.in_flight_at_report = evidence.in_flight;
  evidence.unreachable_until = Instant{};
  if (load.limit <= 0 || load.service_time.count() <= 0) {
    return;  // It knows no backend server, or nothing has ended there yet.
  }
  ServiceLoad& mean = this->loads[service];
  const double busy =
      static_cast<double>(load.running + load.queued) / load.limit;
  const double weight = mean.work.count() == 0 ? 1.0 : kMeanWeight;
  mean.busy += (busy - mean.busy) * weight;
  mean.work += Scaled(load.service_time - mean.work, weight);
}

void Placement::OnUnreachable(const NodeId& node, Instant now) {
  Evidence& evidence = this->seen[node];
  --evidence.in_flight;
  evidence.unreachable_until = now + kUnreachablePause;
}

void Placement::OnCancel(const NodeId& node) {
  --this->seen[node].in_flight;
}

}  // namespace tanagerledge
