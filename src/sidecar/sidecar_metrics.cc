#include "src/sidecar/sidecar_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace tanagerledge {

void SidecarMetrics::AddGauge(const std::string& name,
                              const std::string& help,
                              std::function<double()> read) {
  auto& family =
      prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry);
  this->gauges.push_back({&family.Add({}), std::move(read)});
}

std::string SidecarMetrics::Scrape() {
  std::ranges::for_each(this->gauges, [](const CallbackGauge& each) {
    each.gauge->Set(each.read());
  });
  return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}  // namespace tanagerledge
