#include "src/cli/describe.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iterator>
#include <map>
#include <optional>

namespace tanagerledge {
namespace {

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

int FindLine(const ItemId& item, const std::vector<ItemLine>& lines) {
  const auto found = std::ranges::find(lines, item, &ItemLine::item);
  return found == lines.end() ? 0 : found->line;
}

std::string FormatReason(const ItemId& item,
                         int line,
                         const std::string& text) {
  const std::string place =
      line > 0 ? "line " + std::to_string(line) + ": " : std::string();
  return place + ToText(item) + ": " + text;
}

// The description of each item of a state.
using ItemTexts = std::map<ItemId, std::string>;

std::string Describe(const RankPolicy& rank) {
  return "target " + std::to_string(rank.target.count()) + " ms, worth " +
         std::to_string(rank.worth) + ", floor " +
         std::to_string(rank.floor_percent) + " %";
}

std::string Describe(const Route& route) {
  return route.prefix + " to " + route.service.value + ", rank " +
         route.rank.value + ", " +
         (route.idempotent ? "idempotent" : "not idempotent") + ", deadline " +
         std::to_string(route.deadline.count()) + " ms";
}

ItemTexts DescribeItems(const FleetState& state) {
  ItemTexts texts;
  std::ranges::for_each(state.services, [&](const ServiceName& service) {
    texts[{ItemKind::kService, service.value}] = "";
  });
  std::ranges::for_each(state.ranks, [&](const auto& entry) {
    texts[{ItemKind::kRank, entry.first.value}] = Describe(entry.second);
  });
  std::ranges::for_each(state.routes, [&](const auto& entry) {
    texts[{ItemKind::kRoute, entry.first.value}] = Describe(entry.second);
  });
  return texts;
}

struct DifferenceLabel {
  std::string_view symbol;
  std::string_view name;
};

// Indexed by DifferenceKind.
constexpr std::array<DifferenceLabel, 3> kDifferenceLabels = {
    {{"+", "added"}, {"~", "changed"}, {"-", "withdrawn"}}};

const DifferenceLabel& LabelOf(DifferenceKind kind) {
  return kDifferenceLabels[static_cast<std::size_t>(kind)];
}

}  // namespace

// Verdicts ------------------------------------------------------------------

std::string_view VerdictName(const VerdictResult& result) {
  constexpr std::array<std::string_view, 5> kNames = {
      "accepted", "rejected", "conflict", "repeat", "skipped"};
  static_assert(kNames.size() == std::variant_size_v<VerdictResult>);
  return kNames[result.index()];
}

ReleaseNumber ReleaseOf(const VerdictResult& result) {
  if (const auto* accepted = std::get_if<Accepted>(&result)) {
    return accepted->release;
  }
  if (const auto* repeat = std::get_if<Repeat>(&result)) {
    return repeat->release;
  }
  return {};
}

std::vector<std::string> ReasonsOf(const VerdictResult& result,
                                   const std::vector<ItemLine>& lines) {
  std::vector<std::string> reasons;
  const auto add = std::back_inserter(reasons);
  std::visit(
      Overloaded{
          [](const Accepted&) {},
          [&](const Rejected& rejected) {
            std::ranges::transform(
                rejected.faults, add, [&](const NoteFault& fault) {
                  return FormatReason(fault.item, FindLine(fault.item, lines),
                                      fault.text);
                });
          },
          [&](const Conflict& conflict) {
            std::ranges::transform(
                conflict.items, add, [&](const ChangedItem& changed) {
                  return FormatReason(
                      changed.item, FindLine(changed.item, lines),
                      "changed in release " +
                          std::to_string(changed.changed_in.value) +
                          ", after the note's base");
                });
          },
          [&](const Repeat& repeat) {
            reasons.push_back("already judged at offset " +
                              std::to_string(repeat.first.value));
          },
          [&](const Skipped& skipped) { reasons.push_back(skipped.text); }},
      result);
  return reasons;
}

Json ToJson(const Verdict& verdict, const std::vector<ItemLine>& lines) {
  return {{"offset", verdict.offset.value},
          {"publish_id", verdict.publish_id},
          {"operator", verdict.operator_name},
          {"title", verdict.title},
          {"published_at", ToText(verdict.published_at)},
          {"verdict", VerdictName(verdict.result)},
          {"release", ReleaseOf(verdict.result).value},
          {"reasons", ReasonsOf(verdict.result, lines)}};
}

// Differences ---------------------------------------------------------------

std::vector<Difference> Compare(const FleetState& before,
                                const FleetState& after) {
  const ItemTexts old_texts = DescribeItems(before);
  const ItemTexts new_texts = DescribeItems(after);
  std::vector<Difference> differences;
  std::ranges::for_each(new_texts, [&](const auto& entry) {
    const auto old = old_texts.find(entry.first);
    if (old == old_texts.end()) {
      differences.push_back(
          {DifferenceKind::kAdded, entry.first, "", entry.second});
    } else if (old->second != entry.second) {
      differences.push_back(
          {DifferenceKind::kChanged, entry.first, old->second, entry.second});
    }
  });
  std::ranges::for_each(old_texts, [&](const auto& entry) {
    if (!new_texts.contains(entry.first)) {
      differences.push_back(
          {DifferenceKind::kWithdrawn, entry.first, entry.second, ""});
    }
  });
  std::ranges::stable_sort(differences, {}, &Difference::item);
  return differences;
}

std::string ToText(const Difference& difference) {
  std::string text = std::string(LabelOf(difference.kind).symbol) + " " +
                     ToText(difference.item);
  if (difference.kind == DifferenceKind::kChanged) {
    return text + ": " + difference.before + " -> " + difference.after;
  }
  return difference.after.empty() ? text : text + ": " + difference.after;
}

Json ToJson(const Difference& difference) {
  return {{"change", LabelOf(difference.kind).name},
          {"item", ToText(difference.item)},
          {"before", difference.before},
          {"after", difference.after}};
}

// Formatting ----------------------------------------------------------------

std::string ShortDigest(const Digest& digest) {
  constexpr std::size_t kPrefixBytes = 4;
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 15;
  std::string text;
  std::for_each_n(digest.begin(), kPrefixBytes, [&](std::uint8_t byte) {
    text += kHex[byte >> kBitsPerDigit];
    text += kHex[byte & kDigitMask];
  });
  return text;
}

std::string ToText(WallTime time) {
  constexpr std::size_t kTextBytes = 32;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) {
    return "?";
  }
  std::array<char, kTextBytes> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

std::string FormatCount(std::size_t count, std::string_view noun) {
  return std::to_string(count) + " " + std::string(noun) +
         (count == 1 ? "" : "s");
}

}  // namespace tanagerledge
