// Formats verdicts, differences between releases, and times as text and JSON.

#ifndef TANAGERLEDGE_SRC_CLI_DESCRIBE_H_
#define TANAGERLEDGE_SRC_CLI_DESCRIBE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerledge/fold.h"

namespace tanagerledge {

// Ordered, so that members are printed in the order in which they were set.
using Json = nlohmann::ordered_json;

// Verdicts ------------------------------------------------------------------

// "accepted", "rejected", "conflict", "repeat" or "skipped".
std::string_view VerdictName(const VerdictResult& result);

// The number of the release that the note became; 0 if it was not accepted.
ReleaseNumber ReleaseOf(const VerdictResult& result);

// The reasons why a note was not accepted, one line each. `lines` maps items to
// line numbers of the note; items that it contains are prefixed with theirs.
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

// Lists the differences between two states: services first, then ranks, then
// routes.
std::vector<Difference> Compare(const FleetState& before,
                                const FleetState& after);

// Examples: "+ route curve: ...", "~ rank lookup: ... -> ...",
// "- service old".
std::string ToText(const Difference& difference);
Json ToJson(const Difference& difference);

// Formatting ----------------------------------------------------------------

// The first bytes of a digest in hexadecimal, enough to compare two digests by
// eye.
std::string ShortDigest(const Digest& digest);

// ISO 8601 in UTC, with a resolution of one second.
std::string ToText(WallTime time);

// A count with its noun in singular or plural: "1 member", "3 members".
std::string FormatCount(std::size_t count, std::string_view noun);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_DESCRIBE_H_
