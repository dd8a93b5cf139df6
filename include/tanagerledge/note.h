// A release note lists the items that a release adds, changes and withdraws.
//
//   auto parsed = ParseNote(text);  // On failure: every fault with its line.
//   auto faults = Validate(parsed->note, state, parsed->lines);
//
// The text is INI. `base` is the release that the author based the note on.
//
//   [note]
//   base = 12
//   title = curves get their own rank
//
//   [add service curves]
//
//   [add rank lookup]
//   target_ms = 250
//   worth = 10
//   floor_percent = 5
//
//   [change route curve]            ; replaces the whole item
//   prefix = /curve
//   service = curves
//   rank = lookup
//   idempotent = yes
//   deadline_ms = 2000
//
//   [withdraw route old-curve]

#ifndef TANAGERLEDGE_NOTE_H_
#define TANAGERLEDGE_NOTE_H_

#include <release_types.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/ini.h"
#include "tanagerledge/snapshot.h"

namespace tanagerledge {

// Limits --------------------------------------------------------------------

inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxPrefixBytes = 256;
inline constexpr std::size_t kMaxTitleBytes = 200;
inline constexpr std::size_t kMaxServices = 4096;
inline constexpr std::size_t kMaxRanks = 64;
inline constexpr std::size_t kMaxRoutes = 16384;
inline constexpr int kMaxWorth = 1000;
inline constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::hours(1);

// Items ---------------------------------------------------------------------

enum class ItemKind { kNote = 0, kService = 1, kRank = 2, kRoute = 3 };

// Identifies an item that a note can add, change or withdraw, or the note
// itself, which has no name.
struct ItemId {
  ItemKind kind = ItemKind::kNote;
  std::string name;

  auto operator<=>(const ItemId&) const = default;
  bool operator==(const ItemId&) const = default;
};

// "route curve", "service curves", "note".
std::string ToText(const ItemId& item);

// The inverse of ToText. An unknown text gives an item of kind kNote without a
// name.
ItemId ItemFromText(std::string_view text);

// The line of an item in a note's text.
struct ItemLine {
  ItemId item;
  int line = 0;
};

// A reason to reject a note. Line 0 means that the line is unknown.
struct NoteFault {
  ItemId item;
  std::string text;
  int line = 0;

  bool operator==(const NoteFault&) const = default;
};

// Parsing -------------------------------------------------------------------

struct ParsedNote {
  wire::Note note;
  std::vector<ItemLine> lines;
};

// Parses the text of a note and reports all faults at once.
tl::expected<ParsedNote, std::vector<TextFault>> ParseNote(
    std::string_view text);

// Validation
// -------------------------------------------------------------------

// Returns the state with the note's changes applied, or every reason to reject
// the note. The release number and digest stay unchanged.
tl::expected<FleetState, std::vector<NoteFault>> ApplyNote(
    const wire::Note& note,
    const FleetState& state,
    const std::vector<ItemLine>& lines = {});

// Returns every reason to reject the note; an empty list means that it is valid
// in this state.
std::vector<NoteFault> Validate(const wire::Note& note,
                                const FleetState& state,
                                const std::vector<ItemLine>& lines = {});

// The items that a note touches and the services and ranks that its routes use,
// without duplicates.
std::vector<ItemId> ItemsReferencedBy(const wire::Note& note);

// The items that a note adds, changes or withdraws, without duplicates.
std::vector<ItemId> ItemsTouchedBy(const wire::Note& note);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_NOTE_H_
