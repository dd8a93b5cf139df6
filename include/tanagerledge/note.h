// A release note: what is added, changed and withdrawn.
//
//   auto parsed = ParseNote(text);        // Faults of the text, by line.
//   auto faults = Validate(parsed->note, state, parsed->lines);
//
// The text is INI. `base` is the release that the author looked at.
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

// One thing that a note can touch. The note itself has no name.
struct ItemId {
  ItemKind kind = ItemKind::kNote;
  std::string name;

  auto operator<=>(const ItemId&) const = default;
  bool operator==(const ItemId&) const = default;
};

// "route curve", "service curves", "note".
std::string ToText(const ItemId& item);

// The reverse; an unknown text gives an item of kind kNote without a name.
ItemId ItemFromText(std::string_view text);

// Where an item stands in a note's text.
struct ItemLine {
  ItemId item;
  int line = 0;
};

// Why a note cannot be accepted. Line 0 means that no text is at hand.
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

// Reads the text of a note; all faults at once.
tl::expected<ParsedNote, std::vector<TextFault>> ParseNote(
    std::string_view text);

// Judging -------------------------------------------------------------------

// The state with the note's changes in it, or every reason against it. The
// release number and digest are left as they were.
tl::expected<FleetState, std::vector<NoteFault>> ApplyNote(
    const wire::Note& note,
    const FleetState& state,
    const std::vector<ItemLine>& lines = {});

// Every reason against the note; none means that the note fits the state.
std::vector<NoteFault> Validate(const wire::Note& note,
                                const FleetState& state,
                                const std::vector<ItemLine>& lines = {});

// The items that a note touches or that its routes depend on, each once.
std::vector<ItemId> ItemsOf(const wire::Note& note);

// The items that a note adds, changes or withdraws, each once.
std::vector<ItemId> ItemsTouchedBy(const wire::Note& note);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_NOTE_H_
