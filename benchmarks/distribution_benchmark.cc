// What spreading a release costs, by the machines in virtual time, against a
// baseline in which every node polls the log for the whole state.
//
// Bounds, from the brief and the issue, not from any run:
//   - at 200 nodes at least 20 times fewer control bytes than the baseline;
//   - log reads do not grow with the fleet: at most 2 per reader and release,
//     and the readers are those of the zones;
//   - each node gets at most 1.5 pushes per release;
//   - a release is in force on the last node within 18 s, also under churn;
//   - at most 22 KB/s of control bytes per node, idle and under churn;
//   - a restarted node is ready within 18 s while the log answers, and no node
//     is ready before the log answers again when it was down.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "benchmarks/bounds.h"
#include "tests/distribution/fleet_driver.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_fleet::FleetDriver;
using testing_fleet::FleetOptions;
using testing_fleet::PublishRecord;

constexpr std::size_t kBaselineNodes = 200;
constexpr double kFewerBytesAt200 = 20;
constexpr double kPushesPerNode = 1.5;
constexpr double kReadsPerReader = 2;
constexpr double kBytesPerNodeSecond = 22'000;
constexpr seconds kInForce{18};
constexpr milliseconds kBaselinePoll{1000};

// Bounds --------------------------------------------------------------------

Bounds bounds;

void Check(const char* what, double value, const char* relation, double bound) {
  if (*relation == '<') {
    bounds.AtMost(what, value, bound);
  } else {
    bounds.AtLeast(what, value, bound);
  }
}

double Milliseconds(Instant::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Fleets --------------------------------------------------------------------

struct Size {
  std::size_t zones;
  std::size_t nodes_per_zone;
  std::size_t services;
  std::size_t releases;
};

// The state of a fleet with many services, in one note.
std::string FirstRecord(std::size_t services) {
  wire::Note note;
  for (const char* rank : {"urgent", "normal", "bulk"}) {
    wire::RankChange& change = note.ranks.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item.name = rank;
    change.item.target_ms = 100;
    change.item.worth = 10;
    change.item.floor_percent = 10;
  }
  for (std::size_t i = 0; i < services; ++i) {
    const std::string number = std::to_string(i);
    wire::ServiceChange& service = note.services.emplace_back();
    service.kind = wire::ChangeKind::ADD;
    service.item.name = "service-" + number;
    wire::RouteChange& route = note.routes.emplace_back();
    route.kind = wire::ChangeKind::ADD;
    route.item.name = "route-" + number;
    route.item.prefix = "/service/" + number;
    route.item.service_name = service.item.name;
    route.item.rank = "normal";
    route.item.deadline_ms = 2000;
  }
  return PublishRecord("first", std::move(note));
}

std::string ChangeRecord(std::size_t n) {
  wire::Note note;
  note.base = static_cast<std::int64_t>(n);
  wire::RouteChange& change = note.routes.emplace_back();
  change.kind = wire::ChangeKind::CHANGE;
  change.item.name = "route-" + std::to_string(n);
  change.item.prefix = "/changed/" + std::to_string(n);
  change.item.service_name = "service-" + std::to_string(n);
  change.item.rank = "bulk";
  change.item.deadline_ms = 1000;
  return PublishRecord("change-" + std::to_string(n), std::move(note));
}

FleetOptions Options(Size size) {
  FleetOptions options;
  options.zones = size.zones;
  options.nodes_per_zone = size.nodes_per_zone;
  options.tick = milliseconds(100);
  options.count_bytes = true;
  return options;
}

std::size_t Sum(const std::array<std::size_t, kSendPurposeCount>& counts) {
  return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

std::size_t ControlBytes(const FleetDriver& fleet) {
  return Sum(fleet.bytes) + fleet.log_bytes;
}

// Releases on a quiet fleet -------------------------------------------------

// Every node polls the log for the whole state; only the answers are counted.
double BaselineBytesPerNode(const FleetDriver& fleet, Instant::duration time) {
  const Fold& fold = fleet.nodes.front().machine->fold();
  const double state =
      static_cast<double>(PackState(fold.ToCheckpoint()).packed.size());
  return state * std::ceil(Milliseconds(time) / Milliseconds(kBaselinePoll));
}

void MeasureReleases(Size size) {
  FleetDriver fleet(Options(size));
  fleet.Append(FirstRecord(size.services));
  fleet.RunUntil([&] { return fleet.AllServe({1}); }, kInForce);
  fleet.RunFor(seconds(2));
  const auto nodes = static_cast<double>(fleet.nodes.size());
  const auto releases = static_cast<double>(size.releases);
  const auto push = static_cast<std::size_t>(SendPurpose::kPush);
  const std::size_t bytes = ControlBytes(fleet);
  const std::size_t push_bytes = fleet.bytes[push];
  const std::size_t pushes = fleet.messages[push];
  const std::size_t crossings = fleet.cross_zone_pushes;
  const std::size_t reads = fleet.log.reads;
  const Instant began = fleet.Now();
  std::vector<double> times;
  for (std::size_t i = 1; i <= size.releases; ++i) {
    const Instant published = fleet.Now();
    fleet.Append(ChangeRecord(i));
    fleet.RunUntil([&] { return fleet.AllServe({i + 1}); }, kInForce);
    for (const auto& node : fleet.nodes) {
      times.push_back(Milliseconds(node.activated_at - published));
    }
    fleet.RunFor(seconds(1));
  }
  std::ranges::sort(times);
  const double slowest = times.back();
  const auto time = fleet.Now() - began;
  const double per_node =
      static_cast<double>(ControlBytes(fleet) - bytes) / nodes;
  const double pushes_per_node =
      static_cast<double>(fleet.messages[push] - pushes) / nodes / releases;
  const double reads_per_release =
      static_cast<double>(fleet.log.reads - reads) / releases;
  const double baseline = BaselineBytesPerNode(fleet, time);
  std::printf(
      "%5.0f nodes, %2zu zones: per node and release %.2f pushes, %.0f bytes "
      "pushed, %.0f bytes with summaries; %.1f log reads, %.1f zone crossings "
      "per release; in force p50 %.0f, p99 %.0f, last %.0f ms; baseline %.0f "
      "bytes\n",
      nodes, size.zones, pushes_per_node,
      static_cast<double>(fleet.bytes[push] - push_bytes) / nodes / releases,
      per_node / releases, reads_per_release,
      static_cast<double>(fleet.cross_zone_pushes - crossings) / releases,
      times[times.size() / 2], times[times.size() * 99 / 100], slowest,
      baseline / releases);
  Check("pushes per node and release", pushes_per_node, "<", kPushesPerNode);
  Check("log reads per reader and release",
        reads_per_release / static_cast<double>(size.zones * kReadersPerZone),
        "<", kReadsPerReader);
  Check("last node in force, ms", slowest, "<", Milliseconds(kInForce));
  Check("bytes per node and second", per_node / (Milliseconds(time) / 1000),
        "<", kBytesPerNodeSecond);
  if (fleet.nodes.size() == kBaselineNodes) {
    Check("times fewer bytes than the baseline", baseline / per_node, ">",
          kFewerBytesAt200);
  }
  Check("broken invariants", static_cast<double>(fleet.violations.size()), "<",
        0);
}

// Churn ---------------------------------------------------------------------

// In every second 1 % of the nodes restart: 30 % in half a minute.
constexpr std::size_t kChurnSteps = 30;

void MeasureChurn(Size size) {
  FleetDriver fleet(Options(size));
  fleet.Append(FirstRecord(size.services));
  fleet.RunUntil([&] { return fleet.AllServe({1}); }, kInForce);
  fleet.RunFor(seconds(5));
  const std::size_t bytes = ControlBytes(fleet);
  const Instant began = fleet.Now();
  const std::size_t per_second =
      std::max<std::size_t>(1, fleet.nodes.size() / 100);
  std::size_t victim = 0;
  std::vector<double> times;
  for (std::size_t i = 1; i <= kChurnSteps; ++i) {
    for (std::size_t k = 0; k < per_second; ++k) {
      victim = (victim + 7) % fleet.nodes.size();
      fleet.Kill(victim);
      fleet.Start(victim);
    }
    const Instant published = fleet.Now();
    fleet.Append(ChangeRecord(i));
    fleet.RunUntil([&] { return fleet.AllServe({i + 1}); }, kInForce);
    times.push_back(Milliseconds(fleet.Now() - published));
    fleet.RunFor(seconds(1));
  }
  std::ranges::sort(times);
  const double seconds_spent = Milliseconds(fleet.Now() - began) / 1000;
  const double rate = static_cast<double>(ControlBytes(fleet) - bytes) /
                      static_cast<double>(fleet.nodes.size()) / seconds_spent;
  std::printf(
      "%5zu nodes under churn: in force everywhere p50 %.0f ms, worst %.0f ms; "
      "%.0f bytes per node and second\n",
      fleet.nodes.size(), times[times.size() / 2], times.back(), rate);
  Check("last node in force under churn, ms", times.back(), "<",
        Milliseconds(kInForce));
  Check("bytes per node and second under churn", rate, "<",
        kBytesPerNodeSecond);
  Check("broken invariants", static_cast<double>(fleet.violations.size()), "<",
        0);
}

// Restart rules -------------------------------------------------------------

struct Herd {
  std::size_t reads = 0;
  double p50_ms = 0;
  double last_ms = 0;
  std::size_t ready_in_outage = 0;
  std::size_t max_transfers = 0;
};

// Nine of ten nodes restart, with the log down for `outage`.
Herd RestartHerd(Size size, FloorSource rule, seconds outage) {
  FleetOptions options = Options(size);
  options.config.floor_source = rule;
  options.count_bytes = false;
  FleetDriver fleet(options);
  fleet.Append(FirstRecord(size.services));
  fleet.RunUntil([&] { return fleet.AllServe({1}); }, kInForce);
  const std::size_t reads = fleet.log.reads;
  fleet.log.down = outage.count() > 0;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i % 10 != 0) {
      fleet.Kill(i);
      fleet.Start(i);
    }
  }
  Herd herd;
  const std::size_t survivors = fleet.CountReadyNodes();
  fleet.RunFor(outage);
  herd.ready_in_outage = fleet.CountReadyNodes() - survivors;
  fleet.log.down = false;
  const Instant log_up = fleet.Now();
  fleet.RunUntil([&] { return fleet.AllServe({1}); }, kInForce);
  std::vector<double> times;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    const auto& node = fleet.nodes[i];
    herd.max_transfers = std::max(herd.max_transfers, node.max_transfers);
    if (i % 10 != 0) {
      times.push_back(
          Milliseconds(node.ready_at.value_or(log_up + kInForce * 2) - log_up));
    }
  }
  std::ranges::sort(times);
  herd.reads = fleet.log.reads - reads;
  herd.p50_ms = times[times.size() / 2];
  herd.last_ms = times.back();
  return herd;
}

void MeasureRestart(Size size, const char* name, FloorSource rule) {
  const std::size_t nodes = size.zones * size.nodes_per_zone;
  for (const seconds outage : {seconds(0), seconds(20)}) {
    const Herd herd = RestartHerd(size, rule, outage);
    std::printf(
        "%5zu nodes, 90%% restart, rule %s, log down %2lld s: %zu log reads; "
        "ready after the log is up p50 %.0f ms, last %.0f ms; ready in the "
        "outage %zu; most transfers at once %zu\n",
        nodes, name, static_cast<long long>(outage.count()), herd.reads,
        herd.p50_ms, herd.last_ms, herd.ready_in_outage, herd.max_transfers);
    Check("last restarted node ready, ms", herd.last_ms, "<",
          Milliseconds(kInForce));
    Check("ready without a floor", static_cast<double>(herd.ready_in_outage),
          "<", 0);
    Check("full transfers at once", static_cast<double>(herd.max_transfers),
          "<", static_cast<double>(DistributionConfig().max_state_transfers));
  }
}

// Members -------------------------------------------------------------------

// What one change of the members costs a node; printed for the capacity page.
void PrintTopology(std::size_t nodes) {
  constexpr std::size_t kZones = 18;
  constexpr int kRuns = 5;
  std::vector<Member> members(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    members[i].node = {"10.0.0.1:" + std::to_string(10'000 + i)};
    members[i].zone = {"zone-" + std::to_string(i % kZones)};
  }
  double least = Milliseconds(seconds(60));
  for (int i = 0; i < kRuns; ++i) {
    const auto began = std::chrono::steady_clock::now();
    const Topology topology(members);
    const auto took = std::chrono::steady_clock::now() - began;
    least = std::min(least, Milliseconds(took));
  }
  std::printf("topology of %5zu members: %.2f ms\n", nodes, least);
}

int Run() {
  // The largest fleet holds few services: its figures are messages and rounds.
  constexpr Size kBeryn{3, 4, 610, 10};
  constexpr Size kFifty{3, 17, 610, 10};
  constexpr Size kTwoHundred{4, 50, 610, 10};
  constexpr Size kInTwoYears{18, 528, 10, 2};
  for (const Size size : {kBeryn, kFifty, kTwoHundred, kInTwoYears}) {
    MeasureReleases(size);
  }
  for (const Size size : {kBeryn, kFifty, kTwoHundred}) {
    MeasureChurn(size);
  }
  for (const Size size : {kBeryn, kTwoHundred}) {
    MeasureRestart(size, "shared-read", FloorSource::kSharedRead);
    MeasureRestart(size, "own-read", FloorSource::kOwnRead);
  }
  for (const std::size_t nodes : {200, 2000, 9500}) {
    PrintTopology(nodes);
  }
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return tanagerledge::Run();
}
