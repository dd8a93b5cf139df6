// Measures the cost of notes, the fold and checkpoints at growing numbers of
// services.
//
// Each service has one route, as in the first note of a fleet. Bounds, which
// were fixed before the first run:
//   - a change of one route is at most a twentieth of the packed whole state at
//     610 services, so that propagating deltas is worthwhile;
//   - the cost per service at 16 times the smallest size is at most 4 times
//     that at the smallest size: linear or nearly so, where a quadratic step
//     would take 16 times;
//   - the checkpoint of a fold with 4096 touched items and full histories fits
//     in one record of the log.

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
constexpr std::size_t kFullFleetServices = 610;
constexpr double kMinStateToDeltaRatio = 20;
constexpr double kMaxGrowthPerService = 4;

Bounds bounds;

void CheckBound(const char* what,
                double value,
                const char* relation,
                double bound) {
  if (*relation == '<') {
    bounds.AtMost(what, value, bound);
  } else {
    bounds.AtLeast(what, value, bound);
  }
}

// Returns the minimum time of several runs, because other processes use the
// machine too.
Microseconds MinimumTime(const std::function<void()>& work) {
  constexpr int kRuns = 9;
  Microseconds minimum = Microseconds::max();
  for (int i = 0; i < kRuns; ++i) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const Microseconds took = std::chrono::steady_clock::now() - start;
    minimum = std::min(minimum, took);
  }
  return minimum;
}

std::string MakeNoteText(std::size_t services) {
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

std::string MakeRecord(const std::string& id, const wire::Note& note) {
  wire::ReleaseRecord record;
  record.publish.publish_id = id;
  record.publish.operator_name = "eira";
  record.publish.note = note;
  record.__isset.publish = true;
  return Encode(record);
}

wire::Note MakeChangeNote(std::int64_t base) {
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

// Measurements --------------------------------------------------------------

enum Column { kParse, kValidate, kFirstFold, kDeltaFold, kPack, kUnpack };
constexpr std::array<const char*, 6> kColumns = {
    "parse", "validate", "fold of all", "fold of one change", "pack", "unpack"};

struct Row {
  std::size_t services = 0;
  std::array<double, kColumns.size()> microseconds{};
  std::size_t text_bytes = 0;
  std::size_t checkpoint_bytes = 0;
  std::size_t packed_bytes = 0;
  std::size_t delta_bytes = 0;
};

Row MeasureRow(std::size_t services) {
  Row row;
  row.services = services;
  const std::string text = MakeNoteText(services);
  row.text_bytes = text.size();
  ParsedNote parsed;
  row.microseconds[kParse] =
      MinimumTime([&] { parsed = ParseNote(text).value(); }).count();
  row.microseconds[kValidate] =
      MinimumTime([&] {
        Validate(parsed.note, FleetState(), parsed.lines);
      }).count();
  const std::string all = MakeRecord("all", parsed.note);
  Fold fold;
  row.microseconds[kFirstFold] = MinimumTime([&] {
                                   Fold fresh;
                                   fresh.Apply({0}, all);
                                 }).count();
  fold.Apply({0}, all);
  std::size_t n = 0;
  row.microseconds[kDeltaFold] =
      MinimumTime([&] {
        ++n;
        fold.Apply({n},
                   MakeRecord("one-" + std::to_string(n),
                              MakeChangeNote(static_cast<std::int64_t>(n))));
      }).count();
  row.delta_bytes = MakeRecord("one", MakeChangeNote(1)).size();
  PackedState packed;
  row.microseconds[kPack] =
      MinimumTime([&] { packed = PackState(fold.ToCheckpoint()); }).count();
  row.microseconds[kUnpack] =
      MinimumTime([&] {
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
    std::printf(" %s %.0f us,", kColumns[i], row.microseconds[i]);
  }
  std::printf(" text %zu B, checkpoint %zu B, packed %zu B, one change %zu B\n",
              row.text_bytes, row.checkpoint_bytes, row.packed_bytes,
              row.delta_bytes);
}

// Prints the least-squares fit through the rows: time = intercept + slope *
// services.
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
    sum_y += row.microseconds[column];
    sum_xx += x * x;
    sum_xy += x * row.microseconds[column];
  }
  const double slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  const double intercept = (sum_y - slope * sum_x) / count;
  double max_error = 0;
  for (const Row& row : rows) {
    const double line = intercept + slope * static_cast<double>(row.services);
    max_error = std::max(max_error, std::abs(line - row.microseconds[column]));
  }
  std::printf(
      "slope %-18s %.3f us per service, %.0f us at none, off by at most "
      "%.0f us\n",
      kColumns[column], slope, intercept, max_error);
}

void CheckGrowth(const Row& small, const Row& large) {
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    const double growth =
        (large.microseconds[i] / static_cast<double>(large.services)) /
        (small.microseconds[i] / static_cast<double>(small.services));
    CheckBound((std::string("cost per service, times: ") + kColumns[i]).c_str(),
               growth, "<", kMaxGrowthPerService);
  }
}

// Checks the checkpoint size of a fold whose bounded histories are all full.
void CheckFullHistories() {
  Fold fold;
  for (std::size_t i = 0; i < kMaxBaseAgeReleases; ++i) {
    wire::Note note;
    note.base = static_cast<std::int64_t>(i);
    wire::ServiceChange& change = note.services.emplace_back();
    change.kind = wire::ChangeKind::ADD;
    change.item.name = "service-with-a-long-name-" + std::to_string(i);
    fold.Apply({i},
               MakeRecord("a-long-publish-id-000-" + std::to_string(i), note));
  }
  const std::size_t bytes = Encode(fold.ToCheckpoint()).size();
  std::printf("fold with full memories: checkpoint %zu B, packed %zu B\n",
              bytes, PackState(fold.ToCheckpoint()).packed.size());
  CheckBound("checkpoint bytes", static_cast<double>(bytes), "<",
             static_cast<double>(kMaxRecordBytes));
}

int Run() {
  std::array<Row, kSizes.size()> rows;
  std::ranges::transform(kSizes, rows.begin(), &MeasureRow);
  std::ranges::for_each(rows, &Print);
  for (std::size_t i = 0; i < kColumns.size(); ++i) {
    PrintSlope(rows, i);
  }
  const auto full_fleet_row =
      std::ranges::find(rows, kFullFleetServices, &Row::services);
  CheckBound("whole state to one change, bytes",
             static_cast<double>(full_fleet_row->packed_bytes) /
                 static_cast<double>(full_fleet_row->delta_bytes),
             ">", kMinStateToDeltaRatio);
  CheckGrowth(rows.front(), rows.back());
  CheckFullHistories();
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Run();
}
