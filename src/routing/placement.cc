#include "tanagerledge/placement.h"

#include <algorithm>
#include <cmath>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Half-life of the weight of a report. It is as long as two calls take, because
// most calls that the report counted have ended by then, but at least the
// minimum.
constexpr milliseconds kMinHalfLife{250};
constexpr int kHalfLifeInCalls = 2;
// Weight of one report in the mean load of a service.
constexpr double kReportWeight = 1.0 / 32;
// Number of candidates drawn in the own zone and in the other zones. When all
// candidates were considered, the busiest backend server of a fleet of 60
// got 3.1 to 4.7 times the mean number of calls.
constexpr std::size_t kSampleSize = 3;
// Work times are modelled by a log-logistic distribution: the risk that a call
// misses its target is 1 / (1 + (target / median)^3). The work times in the
// platform's load sheets have a spread of 0.5 to 0.8.
constexpr double kMedianToMeanRatio = 0.8;
// An unreachable node is avoided for this time, unless no other is left.
constexpr milliseconds kUnreachableTimeout{500};
// The same for a node whose backend server has no slots or is not known yet. A
// restarted node knows it soon.
constexpr milliseconds kNoSlotsTimeout{100};
// Cost of each multiple of the target by which the expected time exceeds it.
constexpr double kLateCost = 0.5;
// Extra cost of a call to another availability zone for each KB, in the same
// unit as the risk. Traffic between zones is paid for, and a call that meets
// its target in its own zone gains nothing elsewhere. The minimum makes small
// calls cost something too; the maximum lets large calls leave a zone that is
// too busy.
constexpr double kZoneCostPerKb = 0.8;
constexpr double kMinZoneCost = 0.6;
constexpr double kMaxZoneCost = 1.2;
// The part of this cost that is waived when the own zone is full, and the wait
// there, as a part of the target, from which on it is. In a replay of swinging
// load, a full discount from 0.02 on sent 39 % of the calls to other zones,
// this one 2.6 %.
constexpr double kFullHomeDiscount = 0.9;
constexpr double kFullHomeWait = 0.05;
// Cost of the expected time itself. It prefers the faster of two candidates
// without risk, because load reports are never fully up to date.
constexpr double kTimeCost = 0.1;
// A failed call has to be repeated or is lost.
constexpr double kFailureCost = 1.5;
constexpr double kAvoidedCost = 100.0;
// Calls with a shorter target or none are placed as if they had this one.
constexpr milliseconds kMinTarget{100};
// Minimum for the mean work time of a service, used until the first report.
constexpr microseconds kDefaultWorkTime{1'000};
// Half-life of a slowdown that a node reported.
constexpr milliseconds kSlowdownHalfLife{2000};
// Half-life of what a node usually reports, and the bounds of the weight of one
// report in it. A single old report must not pass for the usual load.
constexpr milliseconds kUsualHalfLife{1000};
constexpr double kMinUsualWeight = 1.0 / 16;
constexpr double kMaxUsualWeight = 0.5;
constexpr double kMinLoadVariance = 0.25;
// How long the weights with which candidates are drawn are kept.
constexpr milliseconds kWeightUpdateInterval{200};
// Part of its weight with which a node is drawn while it is avoided.
constexpr double kUnusableWeight = 0.02;
// A node of which at least this part of the slots is usually free is drawn with
// its full weight, and one that is usually full with the least part of it.
constexpr double kAmpleShare = 0.35;
constexpr double kMinRoom = 0.1;
// The relative time of a node starts as if this many calls had shown a node of
// average speed. A node that a few long calls made look slow would get no calls
// that could correct it.
constexpr double kAssumedSamples = 8;
// Kinds of work beyond this number are not kept for a node.
constexpr std::size_t kMaxKinds = 32;

// The weight of a report of this age.
double HalvingWeight(Instant::duration age, microseconds half_life) {
  return std::exp2(
      -std::max(0.0, std::chrono::duration<double>(age) /
                         std::chrono::duration<double>(half_life)));
}

// The expected positive part of a value with this mean and deviation. It is a
// softplus, which is close to that of a normal distribution.
double ExpectedExcess(double mean, double deviation) {
  constexpr double kLogisticScale = 0.6;
  const double scale = kLogisticScale * deviation;
  const double ratio = mean / scale;
  constexpr double kLinearFrom = 20;
  return ratio > kLinearFrom ? mean : scale * std::log1p(std::exp(ratio));
}

microseconds TargetOf(const PlacementRequest& request) {
  return std::max<microseconds>(request.target, kMinTarget);
}

int SlotsOf(int announced, const LoadReport& load) {
  return std::max(1, load.limit > 0 ? load.limit : announced);
}

}  // namespace

Placement::Placement(Zone own_zone, std::uint64_t seed, NodeId own_node)
    : zone(std::move(own_zone)),
      self(std::move(own_node)),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

void Placement::SetEndpoints(const std::vector<Endpoint>& endpoints) {
  this->candidates_by_service.clear();
  std::ranges::for_each(endpoints, [this](const Endpoint& endpoint) {
    if (endpoint.state == EndpointState::kReady ||
        endpoint.state == EndpointState::kWarming) {
      ServiceCandidates& candidates =
          this->candidates_by_service[endpoint.service];
      CandidateGroup& group = endpoint.zone == this->zone
                                  ? candidates.in_own_zone
                                  : candidates.in_other_zones;
      NodeStats& stats = this->stats_by_node[endpoint.node];
      if (stats.service != endpoint.service) {
        this->ForgetKindTimes(stats);
        stats.service = endpoint.service;
      }
      const bool is_local = endpoint.node == this->self;
      if (is_local) {
        candidates.local_index = group.candidates.size();
      }
      group.candidates.push_back(
          {endpoint.node, endpoint.slots, endpoint.version, &stats, is_local});
    }
  });
}

std::optional<NodeId> Placement::Choose(const PlacementRequest& request,
                                        Instant now) {
  const auto found = this->candidates_by_service.find(request.service);
  if (found == this->candidates_by_service.end()) {
    return std::nullopt;
  }
  const auto load = this->load_by_service.find(request.service);
  Choice choice{
      request,
      load == this->load_by_service.end() ? ServiceLoad{} : load->second,
      request.work, now};
  choice.work = this->WorkOf(choice);
  ServiceCandidates& candidates = found->second;
  BestCandidate best;
  this->ConsiderSample(candidates.in_own_zone, 0.0, choice, best);
  if (request.upload_time.count() > 0 && candidates.local_index) {
    Consider(candidates.in_own_zone.candidates[*candidates.local_index], 0.0,
             choice, best);
  }
  const double crossing_cost = CrossingCost(best, choice);
  this->ConsiderSample(candidates.in_other_zones, crossing_cost, choice, best);
  if (best.candidate == nullptr || best.cost >= kAvoidedCost) {
    // No usable candidate was drawn: consider all.
    const auto consider_with = [&](double extra_cost) {
      return [&, extra_cost](const Candidate& candidate) {
        Consider(candidate, extra_cost, choice, best);
      };
    };
    std::ranges::for_each(candidates.in_own_zone.candidates,
                          consider_with(0.0));
    std::ranges::for_each(candidates.in_other_zones.candidates,
                          consider_with(crossing_cost));
  }
  return best.candidate == nullptr ? std::nullopt
                                   : std::optional(best.candidate->node);
}

// The cost of a call to another zone. The whole cost applies while the best
// candidate at home has a free slot, and less the longer the call would wait.
double Placement::CrossingCost(const BestCandidate& at_home,
                               const Choice& choice) {
  constexpr double kBytesInKb = 1024;
  const double cost = std::clamp(
      kZoneCostPerKb * static_cast<double>(choice.request.bytes) / kBytesInKb,
      kMinZoneCost, kMaxZoneCost);
  const double wait = std::chrono::duration<double>(at_home.wait) /
                      std::chrono::duration<double>(TargetOf(choice.request));
  const double fullness = std::min(1.0, wait / kFullHomeWait);
  return cost * (1.0 - kFullHomeDiscount * fullness);
}

bool Placement::IsAllowed(const Candidate& candidate,
                          const PlacementRequest& request) {
  const bool version_matches =
      (!request.only_version || candidate.version == *request.only_version) &&
      (!request.not_version || candidate.version != *request.not_version);
  return version_matches && std::ranges::find(request.tried, candidate.node) ==
                                request.tried.end();
}

void Placement::ConsiderSample(CandidateGroup& group,
                               double extra_cost,
                               const Choice& choice,
                               BestCandidate& best) {
  if (group.candidates.size() <= kSampleSize) {
    std::ranges::for_each(group.candidates, [&](const Candidate& candidate) {
      Consider(candidate, extra_cost, choice, best);
    });
    return;
  }
  const PlacementRequest& request = choice.request;
  std::vector<double> allowed_sums;
  const bool restricted = request.only_version || request.not_version;
  if (restricted) {
    allowed_sums = SumWeights(group, choice, true);
  } else if (choice.now - group.weighted_at > kWeightUpdateInterval ||
             group.weight_sums.empty()) {
    group.weight_sums = SumWeights(group, choice, false);
    group.weighted_at = choice.now;
  }
  const std::vector<double>& sums =
      restricted ? allowed_sums : group.weight_sums;
  std::uniform_real_distribution<double> any_weight(0.0, sums.back());
  for (std::size_t i = 0; i < kSampleSize && sums.back() > 0; ++i) {
    const auto drawn = std::ranges::upper_bound(sums, any_weight(this->random));
    const auto index =
        std::min<std::size_t>(drawn - sums.begin(), sums.size() - 1);
    Consider(group.candidates[index], extra_cost, choice, best);
  }
}

// The sums of the weights up to each candidate. A faster candidate, or one with
// more slots, is drawn more often.
std::vector<double> Placement::SumWeights(const CandidateGroup& group,
                                          const Choice& choice,
                                          bool only_allowed) {
  std::vector<double> sums;
  sums.reserve(group.candidates.size());
  double sum = 0;
  std::ranges::for_each(group.candidates, [&](const Candidate& candidate) {
    const NodeStats& stats = *candidate.stats;
    if (!only_allowed || IsAllowed(candidate, choice.request)) {
      const bool usable = stats.connected && choice.now >= stats.avoided_until;
      const int slots = SlotsOf(candidate.slots, stats.load);
      const double usual_load = (stats.in_flight + stats.usual_calls) / slots;
      // Without reported times of kinds of work, the speed is a guess that a
      // mix of kinds distorts, and must not attract the calls of all nodes.
      const double speed =
          stats.relative_time > 0 ? 1.0 / RelativeTimeOf(stats, choice) : 1.0;
      const double room =
          std::clamp((1.0 - usual_load) / kAmpleShare, kMinRoom, 1.0);
      sum += (usable ? 1.0 : kUnusableWeight) * slots * speed * speed * room;
    }
    sums.push_back(sum);
  });
  return sums;
}

// The expected loss if the call goes to this candidate. A missed target
// costs 1.
void Placement::Consider(const Candidate& candidate,
                         double extra_cost,
                         const Choice& choice,
                         BestCandidate& best) {
  if (!IsAllowed(candidate, choice.request)) {
    return;
  }
  const NodeStats& stats = *candidate.stats;
  const microseconds target = TargetOf(choice.request);
  const ExpectedTime time = ExpectedTimeAt(candidate, choice);
  const double expected = static_cast<double>(time.total.count()) /
                          static_cast<double>(target.count());
  const double relative = kMedianToMeanRatio * expected;
  const double cubed = relative * relative * relative;
  const double risk = cubed / (1.0 + cubed);
  double cost = extra_cost + risk + kLateCost * std::max(0.0, expected - 1.0) +
                kTimeCost * expected;
  cost += kFailureCost * stats.load.failing_permille / 1000.0;
  const bool usable = stats.connected && choice.now >= stats.avoided_until;
  cost += usable ? 0.0 : kAvoidedCost;
  if (best.candidate == nullptr || cost < best.cost) {
    best = {&candidate, cost, time.wait};
  }
}

// Work time at the node now over that at the mean of its service.
double Placement::RelativeTimeOf(const NodeStats& stats, const Choice& choice) {
  if (stats.relative_time > 0) {
    // A slowdown that was reported fades: the node is tried again.
    const double weight =
        HalvingWeight(choice.now - stats.reported, kSlowdownHalfLife);
    return stats.relative_time * (1.0 + (stats.load.slowdown - 1.0) * weight);
  }
  const microseconds mean = choice.service_load.work_time;
  if (stats.load.service_time.count() <= 0 || mean.count() <= 0) {
    return 1.0;
  }
  return static_cast<double>(stats.load.service_time.count()) /
         static_cast<double>(std::max(kDefaultWorkTime, mean).count());
}

// Time of this kind of work at a backend server of average speed.
microseconds Placement::WorkOf(const Choice& choice) const {
  const auto kinds = this->kinds_by_service.find(choice.request.service);
  if (kinds != this->kinds_by_service.end()) {
    const auto kind = kinds->second.find(choice.request.kind);
    if (kind != kinds->second.end() && kind->second.servers > 0) {
      return microseconds(static_cast<std::int64_t>(kind->second.mean_us()));
    }
  }
  return choice.request.work.count() > 0
             ? choice.request.work
             : std::max(kDefaultWorkTime, choice.service_load.work_time);
}

// Expected time from sending the call to its end, behind the calls that this
// node assumes to be at the candidate already.
Placement::ExpectedTime Placement::ExpectedTimeAt(const Candidate& candidate,
                                                  const Choice& choice) {
  const NodeStats& stats = *candidate.stats;
  const ServiceLoad& service_mean = choice.service_load;
  const int slots = SlotsOf(candidate.slots, candidate.stats->load);
  const microseconds mean_time =
      std::max(kDefaultWorkTime, service_mean.work_time);
  const auto half_life = std::max<microseconds>(
      kMinHalfLife, kHalfLifeInCalls * service_mean.work_time);
  const double report_weight =
      HalvingWeight(choice.now - stats.reported, half_life);
  const double reported_calls = std::max(
      0, stats.load.running + stats.load.queued - stats.in_flight_at_report);
  const double usual_calls = stats.load.limit > 0
                                 ? stats.usual_calls
                                 : service_mean.load_per_slot * slots;
  const double other_calls =
      report_weight * reported_calls + (1.0 - report_weight) * usual_calls;
  // The number of calls of other nodes is known to about its square root,
  // except right after a report.
  const double deviation =
      std::sqrt(kMinLoadVariance + (1.0 - report_weight) * other_calls);
  const double excess =
      ExpectedExcess(stats.in_flight + other_calls + 1 - slots, deviation);
  const double relative_time = RelativeTimeOf(stats, choice);
  const microseconds wait = Scaled(mean_time, relative_time * excess / slots);
  const microseconds upload_time =
      candidate.is_local ? microseconds{0} : choice.request.upload_time;
  return {wait, upload_time + wait + Scaled(choice.work, relative_time) +
                    choice.request.nested_wait};
}

void Placement::SetConnected(const NodeId& node, bool connected) {
  this->stats_by_node[node].connected = connected;
}

void Placement::OnSent(const NodeId& node) {
  ++this->stats_by_node[node].in_flight;
}

void Placement::OnReply(const NodeId& node,
                        const ServiceName& service,
                        const LoadReport& load,
                        Instant now) {
  NodeStats& stats = this->stats_by_node[node];
  --stats.in_flight;
  UpdateStats(stats, load, now);
  if (load.limit <= 0 || load.service_time.count() <= 0) {
    return;  // The node has no backend server, or no call has ended there yet.
  }
  ServiceLoad& service_mean = this->load_by_service[service];
  const double load_per_slot =
      static_cast<double>(load.running + load.queued) / load.limit;
  const double weight =
      service_mean.work_time.count() == 0 ? 1.0 : kReportWeight;
  service_mean.load_per_slot +=
      (load_per_slot - service_mean.load_per_slot) * weight;
  service_mean.work_time +=
      Scaled(load.service_time - service_mean.work_time, weight);
}

void Placement::OnLoad(const NodeId& node,
                       const LoadReport& load,
                       Instant now) {
  UpdateStats(this->stats_by_node[node], load, now);
}

void Placement::OnKindTime(const NodeId& node, const KindTime& reported) {
  const auto found = this->stats_by_node.find(node);
  if (found == this->stats_by_node.end() || reported.time.count() <= 0 ||
      reported.samples <= 0 || found->second.service.value.empty()) {
    return;
  }
  NodeStats& stats = found->second;
  KindSum& sum = this->kinds_by_service[stats.service][reported.kind];
  const auto known =
      std::ranges::find(stats.kind_times, reported.kind, &KindTime::kind);
  if (known != stats.kind_times.end()) {
    sum.us += static_cast<double>((reported.time - known->time).count());
    *known = reported;
  } else if (stats.kind_times.size() < kMaxKinds) {
    sum.us += static_cast<double>(reported.time.count());
    ++sum.servers;
    stats.kind_times.push_back(reported);
  }
  this->UpdateRelativeTime(stats);
}

void Placement::ForgetKindTimes(NodeStats& stats) {
  KindSums& sums = this->kinds_by_service[stats.service];
  std::ranges::for_each(stats.kind_times, [&sums](const KindTime& each) {
    KindSum& sum = sums[each.kind];
    sum.us -= static_cast<double>(each.time.count());
    --sum.servers;
  });
  stats.kind_times.clear();
  stats.relative_time = 0;
}

// The mean ratio over the kinds of work, so that their mix does not matter.
void Placement::UpdateRelativeTime(NodeStats& stats) const {
  const KindSums& sums = this->kinds_by_service.at(stats.service);
  double log_sum = 0;
  double samples = kAssumedSamples;
  std::ranges::for_each(stats.kind_times, [&](const KindTime& each) {
    const double ratio =
        static_cast<double>(each.time.count()) / sums.at(each.kind).mean_us();
    log_sum += each.samples * std::log(ratio);
    samples += each.samples;
  });
  stats.relative_time = std::exp(log_sum / samples);
}

void Placement::UpdateStats(NodeStats& stats,
                            const LoadReport& load,
                            Instant now) {
  const bool first = stats.load.limit <= 0;
  const double weight =
      first ? 1.0
            : std::clamp(
                  1.0 - HalvingWeight(now - stats.reported, kUsualHalfLife),
                  kMinUsualWeight, kMaxUsualWeight);
  const double other_calls =
      std::max(0, load.running + load.queued - stats.in_flight);
  stats.usual_calls += (other_calls - stats.usual_calls) * weight;
  stats.load = load;
  stats.reported = now;
  stats.in_flight_at_report = stats.in_flight;
  // The report of a node without slots says that no call waits there, but each
  // call would be rejected.
  stats.avoided_until = load.limit > 0 ? Instant{} : now + kNoSlotsTimeout;
}

void Placement::OnUnreachable(const NodeId& node, Instant now) {
  NodeStats& stats = this->stats_by_node[node];
  --stats.in_flight;
  stats.avoided_until = now + kUnreachableTimeout;
}

void Placement::OnCancel(const NodeId& node) {
  --this->stats_by_node[node].in_flight;
}

double Placement::LoadPerSlot(const ServiceName& service) const {
  const auto found = this->load_by_service.find(service);
  return found == this->load_by_service.end() ? 0 : found->second.load_per_slot;
}

}  // namespace tanagerledge
