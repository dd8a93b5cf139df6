// Counts and times of calls at their entry, for Prometheus.

#ifndef TANAGERLEDGE_SRC_NODE_CALL_METRICS_H_
#define TANAGERLEDGE_SRC_NODE_CALL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <memory>
#include <shared_mutex>

#include "tanagerledge/outcome.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Safe from any thread.
class CallMetrics {
 public:
  explicit CallMetrics(prometheus::Registry& registry);

  void Count(const RankName& rank,
             Outcome outcome,
             Reason reason,
             std::chrono::microseconds took);

 private:
  struct Key {
    RankName rank;
    Outcome outcome;
    Reason reason;
    auto operator<=>(const Key&) const = default;
  };

  prometheus::Counter& CounterOf(const Key& key);
  prometheus::Histogram& HistogramOf(const RankName& rank);

  prometheus::Family<prometheus::Counter>& calls;
  prometheus::Family<prometheus::Histogram>& seconds;
  std::shared_mutex mutex;  // Guards the maps: written once for each key.
  std::map<Key, prometheus::Counter*> counters;
  std::map<RankName, prometheus::Histogram*> histograms;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_METRICS_H_
