#include "src/cli/reach_page.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace tanagerledge {
namespace {

std::uint64_t Total(const ReachPage& reach,
                    std::uint64_t ZoneReachCounts::*member) {
  return std::accumulate(
      reach.zones.begin(), reach.zones.end(), std::uint64_t{0},
      [member](std::uint64_t sum, const ZoneReachCounts& zone) {
        return sum + zone.*member;
      });
}

std::string FormatFraction(std::uint64_t in_force, std::uint64_t members) {
  return std::to_string(in_force) + "/" + std::to_string(members);
}

}  // namespace

tl::expected<ReachPage, std::string> ParseReachPage(
    const nlohmann::json& page) {
  if (!page.is_object() || !page.contains("zones")) {
    return tl::unexpected(std::string("the node's answer has no zones"));
  }
  ReachPage reach;
  reach.release = {NumberAt(page, "release")};
  std::ranges::transform(ListAt(page, "zones"), std::back_inserter(reach.zones),
                         [](const nlohmann::json& zone) {
                           return ZoneReachCounts{
                               {TextAt(zone, "zone")},
                               NumberAt(zone, "members"),
                               NumberAt(zone, "in_force"),
                               TextAt(zone, "answered") != "false"};
                         });
  std::ranges::transform(ListAt(page, "laggards"),
                         std::back_inserter(reach.laggards),
                         [](const nlohmann::json& laggard) {
                           return LaggingNode{{TextAt(laggard, "node")},
                                              {NumberAt(laggard, "release")},
                                              TextAt(laggard, "reason")};
                         });
  return reach;
}

bool IsEverywhere(const ReachPage& reach) {
  const std::uint64_t members = Total(reach, &ZoneReachCounts::members);
  const bool all_answered =
      std::ranges::all_of(reach.zones, &ZoneReachCounts::answered);
  return members > 0 && all_answered && reach.laggards.empty() &&
         Total(reach, &ZoneReachCounts::in_force) == members;
}

std::string ToSummaryLine(const ReachPage& reach) {
  if (reach.zones.empty()) {
    return "release " + std::to_string(reach.release.value) +
           ": the node knows no zone to ask";
  }
  std::string zones;
  std::ranges::for_each(reach.zones, [&](const ZoneReachCounts& zone) {
    zones += (zones.empty() ? "" : ", ") + zone.zone.value + " " +
             FormatFraction(zone.in_force, zone.members) +
             (zone.answered ? "" : " no answer");
  });
  return "release " + std::to_string(reach.release.value) + ": " +
         std::to_string(Total(reach, &ZoneReachCounts::in_force)) + " of " +
         std::to_string(Total(reach, &ZoneReachCounts::members)) +
         " in force (" + zones + ")";
}

std::string ToTable(const ReachPage& reach) {
  std::string text = ToSummaryLine(reach) + "\n";
  std::ranges::for_each(reach.laggards, [&](const LaggingNode& laggard) {
    text += "  " + laggard.node.value + " at release " +
            std::to_string(laggard.release.value) + ": " + laggard.reason +
            "\n";
  });
  return text;
}

Json ToJson(const ReachPage& reach) {
  Json json = {{"release", reach.release.value},
               {"everywhere", IsEverywhere(reach)},
               {"zones", Json::array()},
               {"laggards", Json::array()}};
  std::ranges::transform(reach.zones, std::back_inserter(json["zones"]),
                         [](const ZoneReachCounts& zone) {
                           return Json{{"zone", zone.zone.value},
                                       {"members", zone.members},
                                       {"in_force", zone.in_force},
                                       {"answered", zone.answered}};
                         });
  std::ranges::transform(reach.laggards, std::back_inserter(json["laggards"]),
                         [](const LaggingNode& laggard) {
                           return Json{{"node", laggard.node.value},
                                       {"release", laggard.release.value},
                                       {"reason", laggard.reason}};
                         });
  return json;
}

std::string FormatDecisions(const nlohmann::json& decisions, std::size_t last) {
  const std::size_t skipped =
      last > 0 && last < decisions.size() ? decisions.size() - last : 0;
  std::string text;
  std::for_each(decisions.begin() + static_cast<std::ptrdiff_t>(skipped),
                decisions.end(), [&](const nlohmann::json& decision) {
                  const WallTime at{
                      std::chrono::milliseconds(NumberAt(decision, "at_ms"))};
                  const std::string reason = TextAt(decision, "reason");
                  text += "  " + ToText(at) + " " + TextAt(decision, "part") +
                          " " + TextAt(decision, "what") +
                          (reason.empty() ? "" : ": " + reason) + "\n";
                });
  return text.empty() ? "  none\n" : text;
}

std::string TextAt(const nlohmann::json& page, std::string_view key) {
  const auto found =
      page.is_object() ? page.find(std::string(key)) : page.end();
  if (found == page.end()) {
    return "?";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

nlohmann::json ListAt(const nlohmann::json& page, std::string_view key) {
  const auto found =
      page.is_object() ? page.find(std::string(key)) : page.end();
  const bool list = found != page.end() && found->is_array();
  return list ? *found : nlohmann::json::array();
}

std::uint64_t NumberAt(const nlohmann::json& page, std::string_view key) {
  const auto found =
      page.is_object() ? page.find(std::string(key)) : page.end();
  const bool number = found != page.end() && found->is_number_integer();
  const bool in_range = number && (found->is_number_unsigned() ||
                                   found->get<std::int64_t>() >= 0);
  return in_range ? found->get<std::uint64_t>() : 0;
}

}  // namespace tanagerledge
