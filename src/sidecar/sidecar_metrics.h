// What a sidecar shows of itself, for Prometheus: gauges that are read when
// somebody asks for them. Calls are counted by CallMetrics as they end.

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

  // Shows the value that `read` gives at each scrape.
  void Show(const std::string& name,
            const std::string& help,
            std::function<double()> read);

  // All metrics of the registry, in Prometheus' text format.
  std::string Scrape();

 private:
  struct Shown {
    prometheus::Gauge* gauge = nullptr;
    std::function<double()> read;
  };

  std::shared_ptr<prometheus::Registry> registry;
  std::vector<Shown> shown;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_SIDECAR_METRICS_H_
