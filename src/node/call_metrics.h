// Prometheus metrics of the calls that callers make at this node.

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

// Counts calls by rank, outcome and reason, and records their latency by rank.
// Thread-safe.
class CallMetrics {
 public:
  explicit CallMetrics(prometheus::Registry& registry);

  void Record(const RankName& rank,
              Outcome outcome,
              Reason reason,
              std::chrono::microseconds latency);

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
  std::shared_mutex mutex;  // Guards the maps. Each key is added only once.
  std::map<Key, prometheus::Counter*> counters;
  std::map<RankName, prometheus::Histogram*> histograms;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_METRICS_H_
