// What a release and a table of members cost at an eighth to the whole of
// 9,500 endpoints in 610 services: processor time, allocations and bytes, with
// a straight line through the sizes.
//
// Bounds, stated before measuring:
//   - state held by a node at the whole size (releases and their fold,
//     snapshot, membership, topology) takes at most half of the 32 MB of
//     control;
//   - the time of each step grows no faster than n log n, within a factor of 2;
//   - a match by path allocates nothing;
//   - the note of one change takes at most a hundredth of the whole state, in
//     bytes on the log.

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

void* Counted(void* memory) {
  ++allocations;
  live_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}

void Release(void* memory) {
  live_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return Counted(memory);
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  Release(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  Release(memory);
}

namespace tanagerledge {
namespace {

// Measuring -----------------------------------------------------------------

struct Cost {
  double microseconds = 0;
  double allocations = 0;
  double bytes = 0;  // Still held by the result.
};

// Processor time of this thread: other programs' work does not count.
std::chrono::duration<double, std::micro> ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

// The least of several runs; the result is dropped outside the time.
template <typename Work>
Cost Measure(Work work) {
  constexpr int kRuns = 9;
  Cost least;
  for (int run = 0; run < kRuns; ++run) {
    const std::uint64_t allocations_before = allocations;
    const std::int64_t bytes_before = live_bytes;
    const auto start = ProcessorTime();
    [[maybe_unused]] const auto result = work();
    const auto time = ProcessorTime() - start;
    const bool first = run == 0;
    least.microseconds =
        first ? time.count() : std::min(least.microseconds, time.count());
    least.allocations = static_cast<double>(allocations - allocations_before);
    least.bytes = static_cast<double>(live_bytes - bytes_before);
  }
  return least;
}

// What was measured of one step at each size.
struct Series {
  std::string name;
  std::vector<double> endpoints;
  std::vector<Cost> costs;
};

// Straight line by least squares: y = intercept + slope * x.
struct Line {
  double slope = 0;
  double intercept = 0;
  double error_share = 0;  // Root mean square error over the mean.
};

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / count;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count;
  double covariance = 0;
  double variance = 0;
  for (std::size_t at = 0; at < x.size(); ++at) {
    covariance += (x[at] - mean_x) * (y[at] - mean_y);
    variance += (x[at] - mean_x) * (x[at] - mean_x);
  }
  Line line;
  line.slope = covariance / variance;
  line.intercept = mean_y - line.slope * mean_x;
  double squares = 0;
  for (std::size_t at = 0; at < x.size(); ++at) {
    const double error = y[at] - (line.intercept + line.slope * x[at]);
    squares += error * error;
  }
  line.error_share = mean_y > 0 ? std::sqrt(squares / count) / mean_y : 0;
  return line;
}

std::vector<double> Column(const Series& series, double Cost::*member) {
  std::vector<double> values;
  std::ranges::transform(series.costs, std::back_inserter(values),
                         [member](const Cost& cost) { return cost.*member; });
  return values;
}

void Print(const Series& series) {
  std::printf("%s\n", series.name.c_str());
  for (std::size_t at = 0; at < series.costs.size(); ++at) {
    const Cost& cost = series.costs[at];
    std::printf("  %6.0f endpoints %12.2f us %10.0f allocations %12.0f bytes\n",
                series.endpoints[at], cost.microseconds, cost.allocations,
                cost.bytes);
  }
  const Line time =
      FitLine(series.endpoints, Column(series, &Cost::microseconds));
  const Line bytes = FitLine(series.endpoints, Column(series, &Cost::bytes));
  std::printf(
      "  line: %.4f us per endpoint + %.1f (error %.1f %%), "
      "%.1f bytes per endpoint + %.0f (error %.1f %%)\n",
      time.slope, time.intercept, time.error_share * 100, bytes.slope,
      bytes.intercept, bytes.error_share * 100);
}

// Steps ---------------------------------------------------------------------

// Everything that one size needs, built once.
struct Fleet {
  explicit Fleet(const FleetSize& fleet_size)
      : size(fleet_size),
        text(MakeFullNote(size)),
        note(ParseNote(text).value().note),
        record(ToRecord(note)),
        endpoints(MakeEndpoints(size)) {
    this->fold.Apply({0}, this->record);
    this->snapshot =
        std::make_unique<Snapshot>(this->fold.State(), this->endpoints);
    this->small = ToRecord(ParseNote(MakeSmallNote(0, {1})).value().note);
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
  std::string record;
  std::string small;
  std::vector<Endpoint> endpoints;
  Fold fold;
  std::unique_ptr<Snapshot> snapshot;
};

struct Step {
  const char* name;
  std::function<Cost(const Fleet&)> measure;
};

constexpr std::size_t kMatches = 20'000;

Cost MeasureMatch(const Fleet& fleet) {
  std::vector<std::string> paths;
  for (std::size_t call = 0; call < kMatches; ++call) {
    paths.push_back(MakePath(fleet.size, call));
  }
  Cost cost = Measure([&] {
    return std::ranges::count_if(paths, [&](const std::string& path) {
      return fleet.snapshot->Match(path) != nullptr;
    });
  });
  cost.microseconds /= kMatches;
  cost.allocations /= kMatches;
  return cost;
}

// A machine that has heard of every member.
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

std::vector<Step> Steps() {
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
           fold->Apply({0}, fleet.record);
           return fold;
         });
       }},
      {"fold one change on top",
       [](const Fleet& fleet) {
         return Measure([&] {
           auto fold = std::make_unique<Fold>(fleet.fold);
           fold->Apply({1}, fleet.small);
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

bool Check(bool holds, const std::string& bound) {
  return bounds.Holds(bound, holds);
}

// From half of the size to the whole, against n log n.
bool GrowsAsAllowed(const Series& series) {
  constexpr double kSlack = 2;
  const double large = series.endpoints.back();
  const double half = series.endpoints[series.endpoints.size() - 2];
  const double allowed =
      kSlack * large * std::log(large) / (half * std::log(half));
  const double grown = series.costs.back().microseconds /
                       series.costs[series.costs.size() - 2].microseconds;
  return Check(grown <= allowed,
               series.name + ": time grew " + std::to_string(grown) +
                   " times, allowed " + std::to_string(allowed));
}

const Series& Find(const std::vector<Series>& all, const std::string& name) {
  return *std::ranges::find(all, name, &Series::name);
}

bool CheckBounds(const std::vector<Series>& all, const Fleet& whole) {
  constexpr double kControlBytes = 32e6;
  constexpr double kSmallShare = 100;
  const double state = Find(all, "fold one change on top").costs.back().bytes +
                       Find(all, "build a snapshot").costs.back().bytes +
                       Find(all, "membership machine").costs.back().bytes +
                       Find(all, "list of its members").costs.back().bytes +
                       Find(all, "build the topology").costs.back().bytes;
  bool holds = Check(state <= kControlBytes / 2,
                     "state of a node: " + std::to_string(state) + " bytes");
  const double per_match = Find(all, "match one path").costs.back().allocations;
  holds &= Check(per_match < 1, "match one path: " + std::to_string(per_match) +
                                    " allocations");
  const auto small_bytes = static_cast<double>(whole.small.size());
  const auto whole_bytes = static_cast<double>(whole.CheckpointRecord().size());
  holds &= Check(small_bytes * kSmallShare <= whole_bytes,
                 "one change: " + std::to_string(whole.small.size()) +
                     " bytes on the log, the whole state " +
                     std::to_string(whole.CheckpointRecord().size()));
  std::ranges::for_each(
      all, [&](const Series& series) { holds &= GrowsAsAllowed(series); });
  return holds;
}

int Run() {
  constexpr std::array<std::size_t, 4> kParts = {1, 2, 4, 8};
  std::vector<Series> all;
  std::ranges::transform(Steps(), std::back_inserter(all),
                         [](const Step& step) {
                           return Series{step.name, {}, {}};
                         });
  std::unique_ptr<Fleet> fleet;
  for (const std::size_t part : kParts) {
    fleet = std::make_unique<Fleet>(ScaledFleet(part, kParts.back()));
    const std::vector<Step> steps = Steps();
    for (std::size_t at = 0; at < steps.size(); ++at) {
      all[at].endpoints.push_back(static_cast<double>(fleet->size.endpoints));
      all[at].costs.push_back(steps[at].measure(*fleet));
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
