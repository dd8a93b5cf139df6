// How far a release has reached, as a node's admin page tells it. The page is
// another program's word: what is absent or of a wrong type reads as nothing.

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

struct ReachedZone {
  Zone zone;
  std::uint64_t members = 0;
  std::uint64_t in_force = 0;
  bool answered = true;  // False: nobody there could be asked.
};

// A node that has not got there.
struct LaggingNode {
  NodeId node;
  ReleaseNumber release;
  std::string reason;
};

struct ReachPage {
  ReleaseNumber release;
  std::vector<ReachedZone> zones;
  std::vector<LaggingNode> laggards;  // Perhaps not all of them.
};

tl::expected<ReachPage, std::string> ParseReachPage(const nlohmann::json& page);

// True when every known member has it in force, and there is one.
bool IsEverywhere(const ReachPage& reach);

// "release 12: 5 of 6 in force (zone-a 3/3, zone-b 2/3)"
std::string LineOf(const ReachPage& reach);

// Zones and laggards, a line each.
std::string TableOf(const ReachPage& reach);

Json ToJson(const ReachPage& reach);

// The newest `last` decisions of a list, a line each; all of them for 0.
std::string DecisionLines(const nlohmann::json& decisions, std::size_t last);

// Members of a page: text as it stands, a number, a list; "?", 0 or an empty
// list when there is none.
std::string TextAt(const nlohmann::json& page, std::string_view key);
nlohmann::json ListAt(const nlohmann::json& page, std::string_view key);
std::uint64_t NumberAt(const nlohmann::json& page, std::string_view key);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_REACH_PAGE_H_
