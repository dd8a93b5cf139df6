#include "src/rollout/rollout_wire.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr double kPermille = 1000;
constexpr std::int64_t kMaxMs = 7LL * 24 * 3'600'000;
// A count beyond this is no count of requests.
constexpr std::int64_t kMaxCount = 1LL << 40;

bool IsWithin(std::int64_t value, std::int64_t most) {
  return value >= 0 && value <= most;
}

}  // namespace

wire::RolloutOrderRecord ToWire(const RolloutOrder& order) {
  wire::RolloutOrderRecord record;
  record.service_name = order.service.value;
  record.new_version = order.new_version;
  record.duration_ms = order.duration.count();
  record.offset = static_cast<std::int64_t>(order.offset.value);
  record.era = static_cast<std::int64_t>(order.era);
  return record;
}

std::optional<RolloutOrder> FromWire(const wire::RolloutOrderRecord& record) {
  if (record.service_name.empty() || record.new_version.empty() ||
      !IsWithin(record.duration_ms, kMaxMs) || record.offset < 0 ||
      record.era < 0) {
    return std::nullopt;
  }
  return RolloutOrder{{record.service_name},
                      record.new_version,
                      milliseconds(record.duration_ms),
                      {static_cast<std::uint64_t>(record.offset)},
                      static_cast<std::uint64_t>(record.era)};
}

wire::RolloutDirective ToWire(const RolloutDirective& directive) {
  wire::RolloutDirective message;
  message.order = ToWire(directive.order);
  message.age_ms = directive.age.count();
  message.phase = static_cast<std::int32_t>(directive.phase);
  message.share_permille =
      static_cast<std::int32_t>(std::lround(directive.share * kPermille));
  std::ranges::transform(directive.servers, std::back_inserter(message.servers),
                         &NodeId::value);
  message.fleet_size = static_cast<std::int32_t>(directive.fleet_size);
  return message;
}

std::optional<RolloutDirective> FromWire(
    const wire::RolloutDirective& message) {
  const auto order = FromWire(message.order);
  const auto phase = PhaseFromWire(message.phase);
  if (!order || !phase || !IsWithin(message.age_ms, kMaxMs) ||
      !IsWithin(message.share_permille, 1000) || message.fleet_size < 0) {
    return std::nullopt;
  }
  RolloutDirective directive;
  directive.order = *order;
  directive.age = milliseconds(message.age_ms);
  directive.phase = *phase;
  directive.share = message.share_permille / kPermille;
  directive.fleet_size = static_cast<std::size_t>(message.fleet_size);
  std::ranges::transform(message.servers, std::back_inserter(directive.servers),
                         [](const std::string& node) { return NodeId{node}; });
  return directive;
}

std::vector<wire::RolloutEvidenceRow> ToWire(const RolloutEvidence& evidence) {
  std::vector<wire::RolloutEvidenceRow> rows;
  for (const auto& [key, counts] : evidence) {
    wire::RolloutEvidenceRow& row = rows.emplace_back();
    row.server = key.server.value;
    row.route = key.route.value;
    row.answers = counts.answers;
    row.failures = counts.failures;
    const auto is_filled = [](std::int64_t count) { return count > 0; };
    const auto first = std::ranges::find_if(counts.times, is_filled);
    const auto last =
        std::find_if(counts.times.rbegin(), counts.times.rend(), is_filled)
            .base();
    if (first < last) {
      row.first_bin = static_cast<std::int32_t>(first - counts.times.begin());
      std::ranges::transform(
          first, last, std::back_inserter(row.times),
          [](std::int64_t count) { return static_cast<std::int32_t>(count); });
    }
  }
  return rows;
}

std::optional<RolloutEvidence> FromWire(
    const std::vector<wire::RolloutEvidenceRow>& rows) {
  constexpr std::size_t kMaxRows = 4096;
  if (rows.size() > kMaxRows) {
    return std::nullopt;
  }
  RolloutEvidence evidence;
  for (const wire::RolloutEvidenceRow& row : rows) {
    if (!IsWithin(row.answers, kMaxCount) ||
        !IsWithin(row.failures, row.answers) ||
        !IsWithin(row.first_bin, kTimeBins) ||
        row.times.size() >
            kTimeBins - static_cast<std::size_t>(row.first_bin) ||
        std::ranges::any_of(row.times, [](auto count) { return count < 0; })) {
      return std::nullopt;
    }
    EvidenceCounts& counts = evidence[{{row.server}, {row.route}}];
    counts.answers = row.answers;
    counts.failures = row.failures;
    std::ranges::copy(row.times, counts.times.begin() + row.first_bin);
  }
  return evidence;
}

std::optional<RolloutPhase> PhaseFromWire(std::int32_t phase) {
  return IsWithin(phase, static_cast<std::int32_t>(RolloutPhase::kRolledBack))
             ? std::optional(static_cast<RolloutPhase>(phase))
             : std::nullopt;
}

}  // namespace tanagerledge
