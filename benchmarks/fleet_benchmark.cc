// Measures processor time, allocations and bytes of the steps that process a
// release and a member table. The fleet grows in steps from an eighth to the
// whole of 9,500 endpoints in 610 services, and a straight line is fitted to
// the costs.
//
// Bounds, which were fixed before the first measurement:
//   - the state that a node holds at the full size (releases with their fold,
//     snapshot, membership, topology) takes at most half of the 32 MB that a
//     node may use for control;
//   - the time of each step grows no faster than n log n, within a factor of 2;
//   - matching a path allocates nothing;
//   - the note of one change takes at most a hundredth of the bytes that the
//     whole state takes on the log.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <memory>
#include <new>
#include <numeric>
#include <string>
#include <vector>

#include "benchmarks/bounds.h"
#include "benchmarks/fleet_generator.h"
#include "src/adapters/codec.h"
#include "src/distribution/topology.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/membership.h"
#include "tanagerledge/note.h"

// Counted memory ------------------------------------------------------------

namespace {

std::uint64_t allocations = 0;
std::int64_t live_bytes = 0;

void* CountAllocation(void* memory) {
  ++allocations;
  live_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}

void CountedFree(void* memory) {
  live_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return CountAllocation(memory);
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  CountedFree(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  CountedFree(memory);
}

namespace tanagerledge {
namespace {

// Measuring -----------------------------------------------------------------

struct Cost {
  double microseconds = 0;
  double allocations = 0;
  double bytes = 0;  // Held by the result of the step.
};

// Returns the processor time of this thread, which other programs don't affect.
std::chrono::duration<double, std::micro> ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// Returns the minimum time of several runs and the memory of the last run. The
// result is destroyed outside the measured time.
template <typename Work>
Cost Measure(Work work) {
  constexpr int kRuns = 9;
  Cost minimum;
  for (int run = 0; run < kRuns; ++run) {
    const std::uint64_t allocations_before = allocations;
    const std::int64_t bytes_before = live_bytes;
    const auto start = ProcessorTime();
    [[maybe_unused]] const auto result = work();
    const auto time = ProcessorTime() - start;
    const bool first = run == 0;
    minimum.microseconds =
        first ? time.count() : std::min(minimum.microseconds, time.count());
    minimum.allocations = static_cast<double>(allocations - allocations_before);
    minimum.bytes = static_cast<double>(live_bytes - bytes_before);
  }
  return minimum;
}

// The costs of one step at each fleet size.
struct Series {
  std::string name;
  std::vector<double> endpoints;
  std::vector<Cost> costs;
};

// A least-squares fit: y = intercept + slope * x.
struct LinearFit {
  double slope = 0;
  double intercept = 0;
  double relative_error = 0;  // Root-mean-square error divided by mean y.
};

LinearFit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / count;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count;
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    covariance += (x[i] - mean_x) * (y[i] - mean_y);
    variance += (x[i] - mean_x) * (x[i] - mean_x);
  }
  LinearFit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_y - fit.slope * mean_x;
  double squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double error = y[i] - (fit.intercept + fit.slope * x[i]);
    squares += error * error;
  }
  fit.relative_error = mean_y > 0 ? std::sqrt(squares / count) / mean_y : 0;
  return fit;
}

std::vector<double> ValuesOf(const Series& series, double Cost::*member) {
  std::vector<double> values;
  std::ranges::transform(series.costs, std::back_inserter(values),
                         [member](const Cost& cost) { return cost.*member; });
  return values;
}

void Print(const Series& series) {
  std::printf("%s\n", series.name.c_str());
  for (std::size_t i = 0; i < series.costs.size(); ++i) {
    const Cost& cost = series.costs[i];
    std::printf("  %6.0f endpoints %12.2f us %10.0f allocations %12.0f bytes\n",
                series.endpoints[i], cost.microseconds, cost.allocations,
                cost.bytes);
  }
  const LinearFit time =
      FitLine(series.endpoints, ValuesOf(series, &Cost::microseconds));
  const LinearFit bytes =
      FitLine(series.endpoints, ValuesOf(series, &Cost::bytes));
  std::printf(
      "  line: %.4f us per endpoint + %.1f (error %.1f %%), "
      "%.1f bytes per endpoint + %.0f (error %.1f %%)\n",
      time.slope, time.intercept, time.relative_error * 100, bytes.slope,
      bytes.intercept, bytes.relative_error * 100);
}

// Steps ---------------------------------------------------------------------

// The inputs of all steps at one fleet size, built once.
struct Fleet {
  explicit Fleet(const FleetSize& fleet_size)
      : size(fleet_size),
        text(MakeFullNote(size)),
        note(ParseNote(text).value().note),
        full_record(ToRecord(note)),
        endpoints(MakeEndpoints(size)) {
    this->fold.Apply({0}, this->full_record);
    this->snapshot =
        std::make_unique<Snapshot>(this->fold.State(), this->endpoints);
    this->change_record =
        ToRecord(ParseNote(MakeOneChangeNote(0, {1})).value().note);
  }

  static std::string ToRecord(const wire::Note& note) {
    wire::Publish publish;
    publish.publish_id = "id";
    publish.operator_name = "operator";
    publish.note = note;
    wire::ReleaseRecord record;
    record.__set_publish(publish);
    return Encode(record);
  }

  std::string CheckpointRecord() const {
    wire::ReleaseRecord checkpoint;
    checkpoint.__set_checkpoint(this->fold.ToCheckpoint());
    return Encode(checkpoint);
  }

  FleetSize size;
  std::string text;
  wire::Note note;
  std::string full_record;
  std::string change_record;
  std::vector<Endpoint> endpoints;
  Fold fold;
  std::unique_ptr<Snapshot> snapshot;
};

struct Step {
  const char* name;
  std::function<Cost(const Fleet&)> measure;
};

constexpr std::size_t kMatchCount = 20'000;

Cost MeasureMatch(const Fleet& fleet) {
  std::vector<std::string> paths;
  for (std::size_t call = 0; call < kMatchCount; ++call) {
    paths.push_back(MakePath(fleet.size, call));
  }
  Cost cost = Measure([&] {
    return std::ranges::count_if(paths, [&](const std::string& path) {
      return fleet.snapshot->Match(path) != nullptr;
    });
  });
  cost.microseconds /= kMatchCount;
  cost.allocations /= kMatchCount;
  return cost;
}

// Returns a membership state machine that knows every member.
std::unique_ptr<Membership> MakeMembership(const std::vector<Endpoint>& all) {
  MembershipConfig config;
  config.self = {"10.99.0.1:7001"};
  config.zone = {"zone-0"};
  config.fleet = "fleet";
  config.incarnation = {1};
  auto membership = std::make_unique<Membership>(config, Instant{});
  wire::SyncReply reply;
  std::ranges::transform(all, std::back_inserter(reply.updates),
                         [](const Endpoint& endpoint) {
                           wire::MemberUpdate update;
                           update.node = endpoint.node.value;
                           update.incarnation = 1;
                           update.__set_zone(endpoint.zone.value);
                           update.__set_version(1);
                           wire::Announcement announcement;
                           announcement.service_name = endpoint.service.value;
                           announcement.slots = endpoint.slots;
                           update.__set_announcement(announcement);
                           return update;
                         });
  membership->OnSyncReply({}, reply, Instant{});
  return membership;
}

std::vector<Step> MakeSteps() {
  return {
      {"parse the whole note",
       [](const Fleet& fleet) {
         return Measure([&] { return ParseNote(fleet.text); });
       }},
      {"validate the whole note",
       [](const Fleet& fleet) {
         return Measure([&] { return Validate(fleet.note, FleetState()); });
       }},
      {"fold the whole note",
       [](const Fleet& fleet) {
         return Measure([&] {
           auto fold = std::make_unique<Fold>();
           fold->Apply({0}, fleet.full_record);
           return fold;
         });
       }},
      {"fold one change on top",
       [](const Fleet& fleet) {
         return Measure([&] {
           auto fold = std::make_unique<Fold>(fleet.fold);
           fold->Apply({1}, fleet.change_record);
           return fold;
         });
       }},
      {"build a snapshot",
       [](const Fleet& fleet) {
         return Measure([&] {
           return std::make_unique<Snapshot>(fleet.fold.State(),
                                             fleet.endpoints);
         });
       }},
      {"match one path", &MeasureMatch},
      {"write a checkpoint",
       [](const Fleet& fleet) {
         return Measure([&] { return fleet.CheckpointRecord(); });
       }},
      {"read and adopt a checkpoint",
       [](const Fleet& fleet) {
         const std::string bytes = fleet.CheckpointRecord();
         return Measure([&] {
           auto fold = std::make_unique<Fold>();
           const auto record = Decode<wire::ReleaseRecord>(bytes);
           fold->Adopt(record->checkpoint);
           return fold;
         });
       }},
      {"membership machine",
       [](const Fleet& fleet) {
         return Measure([&] { return MakeMembership(fleet.endpoints); });
       }},
      {"list of its members",
       [](const Fleet& fleet) {
         const auto membership = MakeMembership(fleet.endpoints);
         return Measure([&] { return membership->Members(Instant{}); });
       }},
      {"build the topology",
       [](const Fleet& fleet) {
         const auto members =
             MakeMembership(fleet.endpoints)->Members(Instant{});
         return Measure([&] { return std::make_unique<Topology>(members); });
       }},
  };
}

// Bounds --------------------------------------------------------------------

Bounds bounds;

bool CheckBound(bool holds, const std::string& bound) {
  return bounds.Holds(bound, holds);
}

// Checks that the time grows no faster than n log n, within a factor of 2, from
// half of the full size to the full size.
bool CheckTimeGrowth(const Series& series) {
  constexpr double kTolerance = 2;
  const double full_size = series.endpoints.back();
  const double half_size = series.endpoints[series.endpoints.size() - 2];
  const double max_growth = kTolerance * full_size * std::log(full_size) /
                            (half_size * std::log(half_size));
  const double growth = series.costs.back().microseconds /
                        series.costs[series.costs.size() - 2].microseconds;
  return CheckBound(growth <= max_growth,
                    series.name + ": time grew " + std::to_string(growth) +
                        " times, allowed " + std::to_string(max_growth));
}

const Series& Find(const std::vector<Series>& all, const std::string& name) {
  return *std::ranges::find(all, name, &Series::name);
}

bool CheckBounds(const std::vector<Series>& all, const Fleet& full_fleet) {
  constexpr double kControlMemoryBytes = 32e6;
  constexpr double kMinStateToChangeRatio = 100;
  const double state = Find(all, "fold one change on top").costs.back().bytes +
                       Find(all, "build a snapshot").costs.back().bytes +
                       Find(all, "membership machine").costs.back().bytes +
                       Find(all, "list of its members").costs.back().bytes +
                       Find(all, "build the topology").costs.back().bytes;
  bool holds =
      CheckBound(state <= kControlMemoryBytes / 2,
                 "state of a node: " + std::to_string(state) + " bytes");
  const double per_match = Find(all, "match one path").costs.back().allocations;
  holds &=
      CheckBound(per_match < 1, "match one path: " + std::to_string(per_match) +
                                    " allocations");
  const auto change_bytes =
      static_cast<double>(full_fleet.change_record.size());
  const auto state_bytes =
      static_cast<double>(full_fleet.CheckpointRecord().size());
  holds &= CheckBound(
      change_bytes * kMinStateToChangeRatio <= state_bytes,
      "one change: " + std::to_string(full_fleet.change_record.size()) +
          " bytes on the log, the whole state " +
          std::to_string(full_fleet.CheckpointRecord().size()));
  std::ranges::for_each(
      all, [&](const Series& series) { holds &= CheckTimeGrowth(series); });
  return holds;
}

int Run() {
  constexpr std::array<std::size_t, 4> kEighths = {1, 2, 4, 8};
  std::vector<Series> all;
  std::ranges::transform(MakeSteps(), std::back_inserter(all),
                         [](const Step& step) {
                           return Series{step.name, {}, {}};
                         });
  std::unique_ptr<Fleet> fleet;
  for (const std::size_t eighths : kEighths) {
    fleet = std::make_unique<Fleet>(ScaledFleet(eighths, kEighths.back()));
    const std::vector<Step> steps = MakeSteps();
    for (std::size_t i = 0; i < steps.size(); ++i) {
      all[i].endpoints.push_back(static_cast<double>(fleet->size.endpoints));
      all[i].costs.push_back(steps[i].measure(*fleet));
    }
  }
  std::ranges::for_each(all, [](const Series& series) { Print(series); });
  return CheckBounds(all, *fleet) ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Run();
}
