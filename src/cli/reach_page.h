// Parses and formats the /reach page of a node's admin interface. The page
// reports, for each availability zone, how many nodes have a release in force.
// It is untrusted input: members that are missing or of a wrong type get
// default values.

#ifndef TANAGERLEDGE_SRC_CLI_REACH_PAGE_H_
#define TANAGERLEDGE_SRC_CLI_REACH_PAGE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/cli/describe.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Number of nodes of one availability zone that have the release in force.
struct ZoneReachCounts {
  Zone zone;
  std::uint64_t members = 0;
  std::uint64_t in_force = 0;
  bool answered = true;  // False: no node of the zone responded.
};

// A node that does not have the release in force yet.
struct LaggingNode {
  NodeId node;
  ReleaseNumber release;
  std::string reason;
};

struct ReachPage {
  ReleaseNumber release;
  std::vector<ZoneReachCounts> zones;
  std::vector<LaggingNode> laggards;  // May be incomplete.
};

tl::expected<ReachPage, std::string> ParseReachPage(const nlohmann::json& page);

// True if every availability zone answered, every known member has the release
// in force, and there is at least one member.
bool IsEverywhere(const ReachPage& reach);

// Example: "release 12: 5 of 6 in force (zone-a 3/3, zone-b 2/3)".
std::string ToSummaryLine(const ReachPage& reach);

// The summary line, followed by one line per laggard.
std::string ToTable(const ReachPage& reach);

Json ToJson(const ReachPage& reach);

// Formats the newest `last` decisions of a list, one line each; 0 means all.
std::string FormatDecisions(const nlohmann::json& decisions, std::size_t last);

// Read a member of a JSON object without failing on unexpected input. A missing
// member yields "?", an empty list or 0; so does a member of a wrong type,
// except that TextAt returns the JSON text of a member that is not a string.
std::string TextAt(const nlohmann::json& page, std::string_view key);
nlohmann::json ListAt(const nlohmann::json& page, std::string_view key);
std::uint64_t NumberAt(const nlohmann::json& page, std::string_view key);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_REACH_PAGE_H_
