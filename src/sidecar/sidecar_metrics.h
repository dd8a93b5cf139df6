// Prometheus gauges of a sidecar, read at each scrape. CallMetrics counts the
// calls when they end.

#ifndef TANAGERLEDGE_SRC_SIDECAR_SIDECAR_METRICS_H_
#define TANAGERLEDGE_SRC_SIDECAR_SIDECAR_METRICS_H_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerledge {

class SidecarMetrics {
 public:
  explicit SidecarMetrics(std::shared_ptr<prometheus::Registry> shared_registry)
      : registry(std::move(shared_registry)) {}

  // Adds a gauge whose value `read` returns at each scrape.
  void AddGauge(const std::string& name,
                const std::string& help,
                std::function<double()> read);

  // Returns all metrics of the registry in the Prometheus text format.
  std::string Scrape();

 private:
  struct CallbackGauge {
    prometheus::Gauge* gauge = nullptr;
    std::function<double()> read;
  };

  std::shared_ptr<prometheus::Registry> registry;
  std::vector<CallbackGauge> gauges;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_SIDECAR_METRICS_H_
