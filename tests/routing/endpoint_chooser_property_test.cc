// Properties of EndpointChooser that hold for any load reports and latencies,
// with values at their bounds.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "src/node/call_messages.h"
#include "tanagerledge/endpoint_chooser.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

rc::Gen<std::int32_t> AnyInt32() {
  return rc::gen::element<std::int32_t>(
      0, 1, -1, 13, 1'000'000, std::numeric_limits<std::int32_t>::min(),
      std::numeric_limits<std::int32_t>::max());
}

rc::Gen<std::int64_t> AnyTimeUs() {
  return rc::gen::element<std::int64_t>(
      0, 1, -1, 80'000, std::numeric_limits<std::int64_t>::min(),
      std::numeric_limits<std::int64_t>::max());
}

// As a peer's frame may have it.
LoadReport AnyReport() {
  wire::LoadReport report;
  report.limit = *AnyInt32();
  report.running = *AnyInt32();
  report.queued = *AnyInt32();
  report.admission_level = *AnyInt32();
  report.failing_permille = *AnyInt32();
  report.service_time_us = *AnyTimeUs();
  return FromWire(report);
}

RC_GTEST_PROP(EndpointChooserProperty,
              ValuesAtTheirBounds_ChosenOnesAreKnownAndNotExcluded,
              ()) {
  constexpr int kNodes = 6;
  constexpr int kCalls = 100;
  auto fleet = std::make_shared<FleetState>();
  fleet->services = {{"claims"}};
  fleet->ranks[{"urgent"}] = {{"urgent"}, {}, 100, 10};
  std::vector<Endpoint> endpoints;
  for (int number = 0; number < kNodes; ++number) {
    Endpoint endpoint;
    endpoint.node = {"node-" + std::to_string(number)};
    endpoint.zone = {number % 2 == 0 ? "a" : "b"};
    endpoint.service = {"claims"};
    endpoint.slots = *AnyInt32();
    endpoints.push_back(endpoint);
  }
  const Snapshot snapshot(fleet, endpoints);
  EndpointChooser chooser;
  Rng random(1);
  Instant now = Instant{} + std::chrono::hours(1);
  for (int call = 0; call < kCalls; ++call) {
    const std::vector<NodeId> excluded = {
        endpoints[static_cast<std::size_t>(*rc::gen::inRange(0, kNodes))].node};
    const auto node = chooser.Choose(snapshot, {"claims"}, {"urgent"}, {"skf"},
                                     {"a"}, excluded, now, random);
    now += milliseconds(*rc::gen::element(0, 1, 500, 60'000));
    if (!node) {
      continue;  // Throttled after refusals.
    }
    RC_ASSERT(*node != excluded.front());
    RC_ASSERT(std::ranges::find(endpoints, *node, &Endpoint::node) !=
              endpoints.end());
    chooser.OnStart(*node);
    if (*rc::gen::inRange(0, 5) == 0) {
      chooser.OnUnreachable(*node, now);
    } else {
      chooser.OnReply(
          *node, {"urgent"}, {"skf"},
          *rc::gen::element(FinishKind::kOk, FinishKind::kFailed,
                            FinishKind::kShed, FinishKind::kLost),
          AnyReport(),
          microseconds(*rc::gen::element<std::int64_t>(0, 1, 600'000'000)),
          now);
    }
    RC_ASSERT(chooser.InFlight(*node) == 0);
  }
}

}  // namespace
}  // namespace tanagerledge
