#include "tanagerledge/rollout_verdict.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace tanagerledge {
namespace {

constexpr double kBinsPerOctave = 3;
// A bad server of 1.5 times the mean speed is 8 / 1.5 = 5.3 times slower than
// the mean. A good one of half the speed is 2 times slower, and 4 times while
// it is cold.
constexpr double kSlowFactor = 5;
// The mean over a server's answers varies less than single ones do.
constexpr double kSlowMeanFactor = 4.2;
constexpr std::int64_t kMinAnswersForMean = 16;
// With fewer answers of other versions there is no time to compare with.
constexpr std::int64_t kMinAnswersToCompare = 8;

// The part of the answers that is bad in a good and in a bad version.
struct Rates {
  double good = 0;
  double bad = 0;
};

double LogRatio(std::int64_t bad, std::int64_t all, const Rates& rates) {
  return static_cast<double>(bad) * std::log(rates.bad / rates.good) +
         static_cast<double>(all - bad) *
             std::log((1 - rates.bad) / (1 - rates.good));
}

double Part(std::int64_t some, std::int64_t all) {
  return all == 0 ? 0 : static_cast<double>(some) / static_cast<double>(all);
}

// The good rate allows for 1.5 times the failures of the other versions, which
// are an estimate too. Half of the answers of a bad version fail, or fewer
// while its fault shows only now and then.
double FailureLogRatio(const EvidenceCounts& target,
                       const EvidenceCounts& others) {
  const double good =
      std::min(0.4, 0.05 + 1.5 * Part(others.failures, others.answers));
  const auto log_ratio = [&](double factor) {
    return LogRatio(target.failures, target.answers,
                    {good, std::min(0.8, factor * good)});
  };
  return std::max(log_ratio(3), log_ratio(8));
}

std::int64_t Sum(const EvidenceCounts& counts, std::size_t from_bin) {
  return std::accumulate(counts.times.begin() + from_bin, counts.times.end(),
                         std::int64_t{0});
}

double MeanBin(const EvidenceCounts& counts) {
  double sum = 0;
  for (std::size_t bin = 0; bin < kTimeBins; ++bin) {
    sum += static_cast<double>(bin) * static_cast<double>(counts.times[bin]);
  }
  return sum / static_cast<double>(std::max<std::int64_t>(1, Sum(counts, 0)));
}

double Bins(double factor) {
  return kBinsPerOctave * std::log2(factor);
}

// The log of the likelihood ratio of slow answers; 0 if there is nothing to
// compare with.
double SlowLogRatio(const EvidenceCounts& target,
                    const EvidenceCounts& others) {
  if (others.answers < kMinAnswersToCompare) {
    return 0;
  }
  const auto first_slow = static_cast<std::size_t>(std::min<double>(
      kTimeBins - 1, std::round(MeanBin(others) + Bins(kSlowFactor))));
  const double good =
      std::min(0.35, 0.1 + 1.5 * Part(Sum(others, first_slow), others.answers));
  return LogRatio(Sum(target, first_slow), target.answers,
                  {good, std::max(0.45, 2 * good)});
}

bool IsSlow(const EvidenceCounts& target,
            const EvidenceCounts& others,
            double log_ratio) {
  const bool mean_is_slow =
      others.answers >= kMinAnswersToCompare &&
      target.answers >= kMinAnswersForMean &&
      MeanBin(target) - MeanBin(others) >= Bins(kSlowMeanFactor);
  return mean_is_slow || SlowLogRatio(target, others) >= log_ratio;
}

const EvidenceCounts& OthersOn(const RolloutEvidence& evidence,
                               const RouteName& route) {
  static const EvidenceCounts kNone;
  const auto found = evidence.find({NodeId{}, route});
  return found == evidence.end() ? kNone : found->second;
}

bool IsTarget(const EvidenceKey& key) {
  return !key.server.value.empty();
}

}  // namespace

void EvidenceCounts::Add(bool failure, std::chrono::microseconds time) {
  const double ms = std::max(1.0, static_cast<double>(time.count()) / 1000);
  const auto bin = static_cast<std::size_t>(std::min<double>(
      kTimeBins - 1, std::round(kBinsPerOctave * std::log2(ms))));
  ++this->answers;
  this->failures += failure ? 1 : 0;
  ++this->times[bin];
}

EvidenceCounts& EvidenceCounts::operator+=(const EvidenceCounts& other) {
  this->answers += other.answers;
  this->failures += other.failures;
  std::ranges::transform(this->times, other.times, this->times.begin(),
                         std::plus());
  return *this;
}

EvidenceCounts& EvidenceCounts::operator-=(const EvidenceCounts& other) {
  this->answers -= other.answers;
  this->failures -= other.failures;
  std::ranges::transform(this->times, other.times, this->times.begin(),
                         std::minus());
  return *this;
}

BadServers FindBadServers(const RolloutEvidence& evidence, double log_ratio) {
  BadServers bad;
  std::map<NodeId, EvidenceCounts> by_server;
  for (const auto& [key, counts] : evidence) {
    by_server[key.server] += counts;
    if (!IsTarget(key)) {
      continue;
    }
    const EvidenceCounts& others = OthersOn(evidence, key.route);
    if (FailureLogRatio(counts, others) >= log_ratio) {
      bad.failing.insert(key.server);
    }
    if (IsSlow(counts, others, log_ratio)) {
      bad.slow.insert(key.server);
    }
  }
  const EvidenceCounts& all_others = by_server[NodeId{}];
  for (const auto& [server, counts] : by_server) {
    if (!server.value.empty() &&
        FailureLogRatio(counts, all_others) >= log_ratio) {
      bad.failing.insert(server);
    }
  }
  return bad;
}

bool IsLikelyBad(const RolloutEvidence& evidence) {
  // A few more answers would decide; at this ratio a bad version is 4 times as
  // likely as a good one.
  constexpr double kLikelyRatio = 1.5;
  std::map<RouteName, EvidenceCounts> by_route;
  EvidenceCounts target;
  EvidenceCounts others;
  for (const auto& [key, counts] : evidence) {
    (IsTarget(key) ? target : others) += counts;
    if (IsTarget(key)) {
      by_route[key.route] += counts;
    }
  }
  return FailureLogRatio(target, others) >= kLikelyRatio ||
         std::ranges::any_of(by_route, [&](const auto& row) {
           const EvidenceCounts& same_route = OthersOn(evidence, row.first);
           return FailureLogRatio(row.second, same_route) >= kLikelyRatio ||
                  SlowLogRatio(row.second, same_route) >= kLikelyRatio;
         });
}

std::int64_t TargetAnswers(const RolloutEvidence& evidence) {
  return std::accumulate(evidence.begin(), evidence.end(), std::int64_t{0},
                         [](std::int64_t sum, const auto& row) {
                           return IsTarget(row.first) ? sum + row.second.answers
                                                      : sum;
                         });
}

RolloutEvidence Difference(const RolloutEvidence& later,
                           const RolloutEvidence& earlier) {
  RolloutEvidence difference = later;
  for (const auto& [key, counts] : earlier) {
    if (const auto found = difference.find(key); found != difference.end()) {
      found->second -= counts;
    }
  }
  return difference;
}

}  // namespace tanagerledge
