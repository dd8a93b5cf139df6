// Verdicts, differences and states as people and programs read them.

#ifndef TANAGERLEDGE_SRC_CLI_DESCRIBE_H_
#define TANAGERLEDGE_SRC_CLI_DESCRIBE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerledge/fold.h"

namespace tanagerledge {

// Keeps the order in which members were set.
using Json = nlohmann::ordered_json;

// Verdicts ------------------------------------------------------------------

// "accepted", "rejected", "conflict", "repeat" or "skipped".
std::string_view WordOf(const VerdictResult& result);

// The release that it became; 0 when it became none.
ReleaseNumber ReleaseOf(const VerdictResult& result);

// Each reason against the note as one line; `lines` places items in its text.
std::vector<std::string> ReasonsOf(const VerdictResult& result,
                                   const std::vector<ItemLine>& lines = {});

Json ToJson(const Verdict& verdict, const std::vector<ItemLine>& lines = {});

// Differences ---------------------------------------------------------------

enum class DifferenceKind { kAdded, kChanged, kWithdrawn };

struct Difference {
  DifferenceKind kind = DifferenceKind::kAdded;
  ItemId item;
  std::string before;  // Empty when added.
  std::string after;   // Empty when withdrawn.

  bool operator==(const Difference&) const = default;
};

// What changed between two states: services, then ranks, then routes.
std::vector<Difference> Compare(const FleetState& before,
                                const FleetState& after);

// "+ route curve: ...", "~ rank lookup: ... -> ...", "- service old".
std::string ToText(const Difference& difference);
Json ToJson(const Difference& difference);

// Small things --------------------------------------------------------------

// The first bytes of a digest, enough to tell two apart by eye.
std::string ShortText(const Digest& digest);

// UTC, to the second.
std::string ToText(WallTime time);

// "3 members", "1 member".
std::string Count(std::size_t count, std::string_view noun);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_DESCRIBE_H_
