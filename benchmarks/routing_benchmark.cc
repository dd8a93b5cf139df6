// Measures the cost of the decisions that each call needs: matching a route,
// choosing an endpoint, and admission.
//
// Bounds, as counts and ratios:
//   - match and choose allocate nothing but the name of the returned node;
//   - offer and finish allocate at most 8 times for a call that runs at once;
//   - at 610 services and 9,500 endpoints, match and choose take at most 8
//     times as long as at 3 services and 12 endpoints;
//   - placing a call among 300 backend servers of unequal speed, with its load
//     report and work time, allocates at most twice;
//   - each of the four takes less than a hundredth of the 1.1 ms that the
//     users allow two nodes to add to a call.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include "benchmarks/bounds.h"
#include "benchmarks/call_model.h"
#include "tanagerledge/admission.h"
#include "tanagerledge/endpoint_chooser.h"
#include "tanagerledge/placement.h"
#include "tanagerledge/snapshot.h"

namespace {

std::atomic<long> allocations{0};

}  // namespace

// Counting allocator --------------------------------------------------------

void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::chrono::duration<double, std::nano> kMaxAddedLatency =
    microseconds(1'100);

struct Cost {
  double nanoseconds = 0;  // Per call; the minimum of several rounds.
  double allocations = 0;  // Per call; the minimum of several rounds.
};

Cost Measure(const std::function<void(int)>& work) {
  constexpr int kRounds = 7;
  constexpr int kCalls = 20'000;
  Cost minimum{1e18, 1e18};
  int number = 0;
  for (int round = 0; round < kRounds; ++round) {
    const long allocations_before = allocations.load();
    const auto start = std::chrono::steady_clock::now();
    for (int call = 0; call < kCalls; ++call) {
      work(number++);
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    minimum.nanoseconds = std::min(minimum.nanoseconds, took.count() / kCalls);
    minimum.allocations = std::min(
        minimum.allocations,
        static_cast<double>(allocations.load() - allocations_before) / kCalls);
  }
  return minimum;
}

// Fleet ---------------------------------------------------------------------

struct FleetSize {
  int services = 0;
  int endpoints = 0;
};

std::unique_ptr<Snapshot> BuildFleet(const FleetSize& size) {
  auto fleet = std::make_shared<FleetState>();
  fleet->ranks[{"urgent"}] = {{"urgent"}, milliseconds(100), 100, 20};
  for (int number = 0; number < size.services; ++number) {
    const std::string name = "service" + std::to_string(number);
    fleet->services.push_back({name});
    for (const char* part : {"/read", "/write"}) {
      Route route;
      route.name = {name + part};
      route.prefix = "/" + name + part;
      route.service = {name};
      route.rank = {"urgent"};
      fleet->routes[route.name] = route;
    }
  }
  std::ranges::sort(fleet->services);
  std::vector<Endpoint> endpoints;
  for (int number = 0; number < size.endpoints; ++number) {
    Endpoint endpoint;
    endpoint.node = {"10.0." + std::to_string(number / 250) + "." +
                     std::to_string(number % 250) + ":7000"};
    endpoint.service = {"service" + std::to_string(number % size.services)};
    endpoint.zone = {"z" + std::to_string(number % 18)};
    endpoint.slots = 13;
    endpoints.push_back(endpoint);
  }
  return std::make_unique<Snapshot>(fleet, std::move(endpoints));
}

// Measurements --------------------------------------------------------------

Cost MeasureMatch(const Snapshot& snapshot, const FleetSize& size) {
  std::vector<std::string> paths;
  for (int number = 0; number < size.services; ++number) {
    paths.push_back("/service" + std::to_string(number) + "/read/curve/7");
  }
  return Measure([&](int number) {
    const Route* route = snapshot.Match(paths[number % paths.size()]);
    if (route == nullptr) {
      std::abort();
    }
  });
}

// Measures Choose, OnStart and OnReply of one call.
Cost MeasureChoose(const Snapshot& snapshot, const FleetSize& size) {
  EndpointChooser chooser;
  Rng rng(1);
  Instant now{std::chrono::hours(1)};
  std::vector<ServiceName> services;
  for (int number = 0; number < size.services; ++number) {
    services.push_back({"service" + std::to_string(number)});
  }
  return Measure([&](int number) {
    now += microseconds(50);
    const auto node =
        chooser.Choose(snapshot, services[number % services.size()], {"urgent"},
                       {"skf"}, {"z1"}, {}, now, rng);
    if (!node) {
      std::abort();
    }
    chooser.OnStart(*node);
    chooser.OnReply(*node, {"urgent"}, {"skf"}, FinishKind::kOk, {.limit = 13},
                    microseconds(900), now);
  });
}

// Measures Choose, OnSent, OnReply and OnKindTime of one call.
Cost MeasurePlacement() {
  constexpr int kServers = 300;
  constexpr int kZones = 4;
  Placement placement({"z0"}, 1);
  std::vector<Endpoint> endpoints(kServers);
  for (int number = 0; number < kServers; ++number) {
    Endpoint& endpoint = endpoints[number];
    endpoint.node = {"10.0." + std::to_string(number / 250) + "." +
                     std::to_string(number % 250) + ":7000"};
    endpoint.service = {"service"};
    endpoint.zone = {"z" + std::to_string(number % kZones)};
    endpoint.slots = 12;
  }
  placement.SetEndpoints(endpoints);
  PlacementRequest request;
  request.service = {"service"};
  request.kind = {"read"};
  request.target = milliseconds(250);
  Instant now{std::chrono::hours(1)};
  LoadReport load{.limit = 12, .running = 5};
  load.service_time = milliseconds(80);
  return Measure([&](int number) {
    now += microseconds(500);
    const auto node = placement.Choose(request, now);
    if (!node) {
      std::abort();
    }
    placement.OnSent(*node);
    placement.OnReply(*node, request.service, load, now);
    placement.OnKindTime(*node,
                         {request.kind, milliseconds(40 + number % 80), 100});
  });
}

// Measures Offer and OnFinished of one call while ten other calls are running.
Cost MeasureAdmission() {
  AdmissionController controller;
  Instant now{std::chrono::hours(1)};
  controller.OnSlots(13, now);
  controller.OnPolicies({{{"urgent"}, {{"urgent"}, milliseconds(100), 100, 20}},
                         {{"normal"}, {{"normal"}, milliseconds(200), 50, 30}},
                         {{"bulk"}, {{"bulk"}, milliseconds(400), 10, 25}}});
  constexpr std::uint64_t kConcurrentCalls = 10;
  return Measure([&](int number) {
    now += microseconds(100);
    const auto id = static_cast<std::uint64_t>(number);
    controller.Offer(
        {id, {"urgent"}, {"skf"}, now, now + milliseconds(200), false}, now);
    if (id >= kConcurrentCalls) {
      controller.OnFinished(id - kConcurrentCalls, FinishKind::kOk, now);
    }
  });
}

void PrintCost(const std::string& what, const Cost& cost) {
  std::printf("%-44s %8.0f ns  %5.2f allocations\n", what.c_str(),
              cost.nanoseconds, cost.allocations);
}

int Main() {
  const FleetSize small_size{3, 12};
  const FleetSize large_size{610, 9'500};
  const auto small = BuildFleet(small_size);
  const auto start = std::chrono::steady_clock::now();
  const auto large = BuildFleet(large_size);
  const std::chrono::duration<double, std::milli> built =
      std::chrono::steady_clock::now() - start;
  std::printf("fleet of 610 services and 9,500 endpoints built in %.1f ms\n",
              built.count());

  const Cost match_small = MeasureMatch(*small, small_size);
  const Cost match_large = MeasureMatch(*large, large_size);
  const Cost choose_small = MeasureChoose(*small, small_size);
  const Cost choose_large = MeasureChoose(*large, large_size);
  const Cost placement = MeasurePlacement();
  const Cost admission = MeasureAdmission();
  PrintCost("match, 3 services", match_small);
  PrintCost("match, 610 services", match_large);
  PrintCost("choose, start, reply, 12 endpoints", choose_small);
  PrintCost("choose, start, reply, 9,500 endpoints", choose_large);
  PrintCost("place, sent, reply, 300 servers", placement);
  PrintCost("offer, finish", admission);

  Bounds bounds;
  bounds.AtMost("allocations of match", match_large.allocations, 0);
  bounds.AtMost("allocations of choose", choose_large.allocations, 1.1);
  bounds.AtMost("allocations of placing a call", placement.allocations, 2);
  bounds.AtMost("allocations of offer and finish", admission.allocations, 8);
  bounds.AtMost("match, large against small",
                match_large.nanoseconds / match_small.nanoseconds, 8);
  bounds.AtMost("choose, large against small",
                choose_large.nanoseconds / choose_small.nanoseconds, 8);
  for (const Cost& cost : {match_large, choose_large, placement, admission}) {
    bounds.AtMost("part of the allowance for a call",
                  cost.nanoseconds / kMaxAddedLatency.count(), 0.01);
  }
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Main();
}
