#include "src/node/call_metrics.h"

#include <mutex>
#include <string>

namespace tanagerledge {
namespace {

prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
          0.05,   0.1,   0.25,   0.5,   1.0,  5.0};
}

}  // namespace

CallMetrics::CallMetrics(prometheus::Registry& registry)
    : calls(prometheus::BuildCounter()
                .Name("tanagerledge_calls_total")
                .Help("Calls answered by this entry.")
                .Register(registry)),
      seconds(prometheus::BuildHistogram()
                  .Name("tanagerledge_call_seconds")
                  .Help("Time from a call's arrival to its answer.")
                  .Register(registry)) {}

void CallMetrics::Record(const RankName& rank,
                         Outcome outcome,
                         Reason reason,
                         std::chrono::microseconds latency) {
  this->CounterOf({rank, outcome, reason}).Increment();
  this->HistogramOf(rank).Observe(
      std::chrono::duration<double>(latency).count());
}

prometheus::Counter& CallMetrics::CounterOf(const Key& key) {
  {
    const std::shared_lock lock(this->mutex);
    const auto found = this->counters.find(key);
    if (found != this->counters.end()) {
      return *found->second;
    }
  }
  const std::unique_lock lock(this->mutex);
  prometheus::Counter& added =
      this->calls.Add({{"rank", key.rank.value},
                       {"outcome", std::string(ToText(key.outcome))},
                       {"reason", std::string(ToText(key.reason))}});
  this->counters[key] = &added;
  return added;
}

prometheus::Histogram& CallMetrics::HistogramOf(const RankName& rank) {
  {
    const std::shared_lock lock(this->mutex);
    const auto found = this->histograms.find(rank);
    if (found != this->histograms.end()) {
      return *found->second;
    }
  }
  const std::unique_lock lock(this->mutex);
  prometheus::Histogram& added =
      this->seconds.Add({{"rank", rank.value}}, LatencyBuckets());
  this->histograms[rank] = &added;
  return added;
}

}  // namespace tanagerledge
