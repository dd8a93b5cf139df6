// What notes, the fold and checkpoints cost, at growing numbers of services.
//
// Each service has one route, as in a note that begins a fleet. Bounds, stated
// before any run:
//   - a change of one route is at most a twentieth of the packed whole state
//     at 610 services, so that spreading deltas pays;
//   - the cost per service at 16 times the size is at most 4 times that at the
//     smallest: linear or near it, where a quadratic step would be 16 times;
//   - a fold with 4096 touched items and full memory fits a record of the log.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

#include "benchmarks/bounds.h"
#include "src/adapters/codec.h"
#include "src/distribution/state_codec.h"
#include "tanagerledge/fold.h"
#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::array<std::size_t, 4> kSizes = {153, 610, 1220, 2448};
constexpr std::size_t kLetterServices = 610;
constexpr double kDeltaTimesSmaller = 20;
constexpr double kGrowthPerService = 4;

Bounds bounds;

void Check(const char* what, double value, const char* relation, double bound) {
  if (*relation == '<') {
    bounds.AtMost(what, value, bound);
  } else {
    bounds.AtLeast(what, value, bound);
  }
}

// The least of several runs: others use the machine too.
Microseconds Time(const std::function<void()>& work) {
  constexpr int kRuns = 9;
  Microseconds least = Microseconds::max();
  for (int i = 0; i < kRuns; ++i) {
    const auto began = std::chrono::steady_clock::now();
    work();
    const Microseconds took = std::chrono::steady_clock::now() - began;
    least = std::min(least, took);
  }
  return least;
}

std::string NoteText(std::size_t services) {
  std::string text = "[note]\nbase = 0\ntitle = all\n";
  text += "[add rank normal]\ntarget_ms = 200\nworth = 10\n";
  for (std::size_t i = 0; i < services; ++i) {
    const std::string n = std::to_string(i);
    text += "[add service service-" + n + "]\n[add route route-" + n +
            "]\nprefix = /service/" + n + "\nservice = service-" + n +
            "\nrank = normal\nidempotent = yes\ndeadline_ms = 2000\n";
  }
  return text;
}

std::string Record(const std::string& id, const wire::Note& note) {
  wire::ReleaseRecord record;
  record.publish.publish_id = id;
  record.publish.operator_name = "eira";
  record.publish.note = note;
  record.__isset.publish = true;
  return Encode(record);
}

wire::Note OneChange(std::int64_t base) {
  wire::Note note;
  note.base = base;
  wire::RouteChange& change = note.routes.emplace_back();
  change.kind = wire::ChangeKind::CHANGE;
  change.item.name = "route-7";
  change.item.prefix = "/service/7";
  change.item.service_name = "service-7";
  change.item.rank = "normal";
  change.item.deadline_ms = 1000;
  return note;
}

// One row of figures --------------------------------------------------------

enum Column { kParse, kValidate, kFirstFold, kDeltaFold, kPack, kUnpack };
constexpr std::array<const char*, 6> kColumns = {
    "parse", "validate", "fold of all", "fold of one change", "pack", "unpack"};

struct Row {
  std::size_t services = 0;
  std::array<double, kColumns.size()> us{};
  std::size_t text_bytes = 0;
  std::size_t checkpoint_bytes = 0;
  std::size_t packed_bytes = 0;
  std::size_t delta_bytes = 0;
};

Row Measure(std::size_t services) {
  Row row;
  row.services = services;
  const std::string text = NoteText(services);
  row.text_bytes = text.size();
  ParsedNote parsed;
  row.us[kParse] = Time([&] { parsed = ParseNote(text).value(); }).count();
  row.us[kValidate] =
      Time([&] { Validate(parsed.note, FleetState(), parsed.lines); }).count();
  const std::string all = Record("all", parsed.note);
  Fold fold;
  row.us[kFirstFold] = Time([&] {
                         Fold fresh;
                         fresh.Apply({0}, all);
                       }).count();
  fold.Apply({0}, all);
  std::size_t n = 0;
  row.us[kDeltaFold] =
      Time([&] {
        ++n;
        fold.Apply({n}, Record("one-" + std::to_string(n),
                               OneChange(static_cast<std::int64_t>(n))));
      }).count();
  row.delta_bytes = Record("one", OneChange(1)).size();
  PackedState packed;
  row.us[kPack] =
      Time([&] { packed = PackState(fold.ToCheckpoint()); }).count();
  row.us[kUnpack] = Time([&] {
                      Fold fresh;
                      fresh.Adopt(*UnpackState(packed.packed, packed.hash));
                    }).count();
  row.checkpoint_bytes = Encode(fold.ToCheckpoint()).size();
  row.packed_bytes = packed.packed.size();
  return row;
}

void Print(const Row& row) {
  std::printf("%5zu services:", row.services);
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    std::printf(" %s %.0f us,", kColumns[i], row.us[i]);
  }
  std::printf(" text %zu B, checkpoint %zu B, packed %zu B, one change %zu B\n",
              row.text_bytes, row.checkpoint_bytes, row.packed_bytes,
              row.delta_bytes);
}

// Least squares through the rows: time = at_zero + per_service * services.
void PrintSlope(const std::array<Row, kSizes.size()>& rows,
                std::size_t column) {
  const auto count = static_cast<double>(rows.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const Row& row : rows) {
    const auto x = static_cast<double>(row.services);
    sum_x += x;
    sum_y += row.us[column];
    sum_xx += x * x;
    sum_xy += x * row.us[column];
  }
  const double slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  const double at_zero = (sum_y - slope * sum_x) / count;
  double worst = 0;
  for (const Row& row : rows) {
    const double line = at_zero + slope * static_cast<double>(row.services);
    worst = std::max(worst, std::abs(line - row.us[column]));
  }
  std::printf(
      "slope %-18s %.3f us per service, %.0f us at none, off by at most "
      "%.0f us\n",
      kColumns[column], slope, at_zero, worst);
}

void CheckGrowth(const Row& small, const Row& large) {
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    const double growth = (large.us[i] / static_cast<double>(large.services)) /
                          (small.us[i] / static_cast<double>(small.services));
    Check((std::string("cost per service, times: ") + kColumns[i]).c_str(),
          growth, "<", kGrowthPerService);
  }
}

// A fold with all its memories full.
void CheckFullMemory() {
  Fold fold;
  for (std::size_t i = 0; i < kMaxBaseAgeReleases; ++i) {
    wire::Note note;
    note.base = static_cast<std::int64_t>(i);
    wire::ServiceChange& change = note.services.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item.name = "service-with-a-long-name-" + std::to_string(i);
    fold.Apply({i}, Record("a-long-publish-id-000-" + std::to_string(i), note));
  }
  const std::size_t bytes = Encode(fold.ToCheckpoint()).size();
  std::printf("fold with full memories: checkpoint %zu B, packed %zu B\n",
              bytes, PackState(fold.ToCheckpoint()).packed.size());
  Check("checkpoint bytes", static_cast<double>(bytes), "<",
        static_cast<double>(kMaxRecordBytes));
}

int Run() {
  std::array<Row, kSizes.size()> rows;
  std::ranges::transform(kSizes, rows.begin(), &Measure);
  std::ranges::for_each(rows, &Print);
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    PrintSlope(rows, i);
  }
  const auto letter = std::ranges::find(rows, kLetterServices, &Row::services);
  Check("whole state to one change, bytes",
        static_cast<double>(letter->packed_bytes) /
            static_cast<double>(letter->delta_bytes),
        ">", kDeltaTimesSmaller);
  CheckGrowth(rows.front(), rows.back());
  CheckFullMemory();
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Run();
}
