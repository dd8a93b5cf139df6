// Applies a note to a state. The result is the changed state, or every reason
// to reject the note.

#include "tanagerledge/note.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace tanagerledge {
namespace {

// Texts ---------------------------------------------------------------------

constexpr std::array<std::string_view, 4> kKindTexts = {"note", "service",
                                                        "rank", "route"};

constexpr std::string_view kNameRule =
    "a name is 1 to 64 of A-Z a-z 0-9 . _ - and begins with a letter or digit";

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsValidName(std::string_view text) {
  const auto allowed = [](char c) {
    return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         IsLetterOrDigit(text.front()) && std::ranges::all_of(text, allowed);
}

bool IsValidPrefix(std::string_view text) {
  const auto visible = [](char c) { return c > ' ' && c <= '~'; };
  return text.starts_with('/') && text.size() <= kMaxPrefixBytes &&
         std::ranges::all_of(text, visible);
}

bool IsValidTitle(std::string_view text) {
  const auto control = [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  };
  return text.size() <= kMaxTitleBytes && std::ranges::none_of(text, control);
}

bool IsValidDuration(std::int64_t value) {
  return value > 0 && value <= kMaxDeadline.count();
}

// Messages repeat a name only if it is valid, so that they cannot contain
// control characters from the note.
std::string Quoted(const std::string& name) {
  return IsValidName(name) ? "'" + name + "'" : "(not a name)";
}

// Applying ------------------------------------------------------------------

class NoteApplier {
 public:
  NoteApplier(const wire::Note& applied_note,
              const FleetState& state,
              const std::vector<ItemLine>& item_lines)
      : note(applied_note),
        changed(state),
        services(state.services.begin(), state.services.end()) {
    for (const ItemLine& entry : item_lines) {
      this->lines.emplace(entry.item, entry.line);
    }
  }

  tl::expected<FleetState, std::vector<NoteFault>> Apply() {
    if (!this->CheckNote()) {
      return tl::unexpected(std::move(this->faults));
    }
    this->MergeServices();
    this->MergeRanks();
    this->MergeRoutes();
    this->CheckTouchedRoutes();
    this->CheckUntouchedRoutes();
    this->CheckPrefixes();
    this->CheckFloors();
    this->CheckCounts();
    if (!this->faults.empty()) {
      return tl::unexpected(std::move(this->faults));
    }
    this->changed.services.assign(this->services.begin(), this->services.end());
    return std::move(this->changed);
  }

 private:
  // Faults ------------------------------------------------------------------

  void AddFault(const ItemId& item, std::string text) {
    const auto line = this->lines.find(item);
    this->faults.push_back(
        {item, std::move(text), line == this->lines.end() ? 0 : line->second});
  }

  // The note as a whole -----------------------------------------------------

  // Returns false when the note is too large to check each item.
  bool CheckNote() {
    const std::size_t items = this->note.services.size() +
                              this->note.ranks.size() +
                              this->note.routes.size();
    if (items > kMaxServices + kMaxRanks + kMaxRoutes) {
      this->AddFault({}, "the note has too many items");
      return false;
    }
    if (items == 0) {
      this->AddFault({}, "the note changes nothing");
    }
    if (!IsValidTitle(this->note.title)) {
      this->AddFault({},
                     "a title is at most 200 bytes without control characters");
    }
    return true;
  }

  // Merging -----------------------------------------------------------------

  // Whether a change can be merged. `present` tells whether its item is already
  // in the state.
  bool CanMerge(const ItemId& item, wire::ChangeKind::type kind, bool present) {
    if (!IsValidName(item.name)) {
      this->AddFault({item.kind, {}}, std::string(kNameRule));
      return false;
    }
    if (!this->seen.insert(item).second) {
      this->AddFault(item, "is in the note more than once");
      return false;
    }
    switch (kind) {
      case wire::ChangeKind::ADD:
        return this->Require(item, !present, "is already in the release");
      case wire::ChangeKind::CHANGE:
      case wire::ChangeKind::WITHDRAW:
        return this->Require(item, present, "is not in the release");
    }
    this->AddFault(item, "is neither added, changed nor withdrawn");
    return false;
  }

  bool Require(const ItemId& item, bool condition, std::string_view text) {
    if (!condition) {
      this->AddFault(item, std::string(text));
    }
    return condition;
  }

  void MergeServices() {
    for (const wire::ServiceChange& change : this->note.services) {
      const ItemId item{ItemKind::kService, change.item.name};
      const ServiceName name{change.item.name};
      if (!this->CanMerge(item, change.kind, this->services.contains(name))) {
        continue;
      }
      if (change.kind == wire::ChangeKind::WITHDRAW) {
        this->services.erase(name);
        this->withdrawn.insert(item);
      } else {
        this->services.insert(name);
      }
    }
  }

  void MergeRanks() {
    for (const wire::RankChange& change : this->note.ranks) {
      const ItemId item{ItemKind::kRank, change.item.name};
      const RankName name{change.item.name};
      if (!this->CanMerge(item, change.kind,
                          this->changed.ranks.contains(name))) {
        continue;
      }
      if (change.kind == wire::ChangeKind::WITHDRAW) {
        this->changed.ranks.erase(name);
        this->withdrawn.insert(item);
      } else {
        this->CheckRank(item, change.item);
        this->changed.ranks[name] = {
            name, std::chrono::milliseconds(change.item.target_ms),
            change.item.worth, change.item.floor_percent};
      }
    }
  }

  void CheckRank(const ItemId& item, const wire::RankItem& rank) {
    this->Require(item, IsValidDuration(rank.target_ms),
                  "target_ms must be 1 to 3600000");
    this->Require(item, rank.worth >= 0 && rank.worth <= kMaxWorth,
                  "worth must be 0 to 1000");
    this->Require(item, rank.floor_percent >= 0 && rank.floor_percent <= 100,
                  "floor_percent must be 0 to 100");
  }

  void MergeRoutes() {
    for (const wire::RouteChange& change : this->note.routes) {
      const ItemId item{ItemKind::kRoute, change.item.name};
      const RouteName name{change.item.name};
      if (!this->CanMerge(item, change.kind,
                          this->changed.routes.contains(name))) {
        continue;
      }
      if (change.kind == wire::ChangeKind::WITHDRAW) {
        this->changed.routes.erase(name);
      } else {
        this->CheckRoute(item, change.item);
        this->changed.routes[name] = ToRoute(change.item);
        this->touched_routes.push_back(name);
      }
    }
  }

  static Route ToRoute(const wire::RouteItem& item) {
    return {{item.name},         item.prefix,
            {item.service_name}, {item.rank},
            item.idempotent,     std::chrono::milliseconds(item.deadline_ms)};
  }

  void CheckRoute(const ItemId& item, const wire::RouteItem& route) {
    this->Require(item, IsValidPrefix(route.prefix),
                  "a prefix begins with / and is at most 256 visible bytes");
    this->Require(item, IsValidDuration(route.deadline_ms),
                  "deadline_ms must be 1 to 3600000");
  }

  // The changed state as a whole --------------------------------------------

  void CheckTouchedRoutes() {
    for (const RouteName& name : this->touched_routes) {
      const Route& route = this->changed.routes.at(name);
      const ItemId item{ItemKind::kRoute, name.value};
      this->Require(
          item, this->services.contains(route.service),
          "service " + Quoted(route.service.value) + " is not in the release");
      this->Require(
          item, this->changed.ranks.contains(route.rank),
          "rank " + Quoted(route.rank.value) + " is not in the release");
    }
  }

  // Checks that the routes that the note does not touch use none of the
  // services and ranks that it withdraws.
  void CheckUntouchedRoutes() {
    if (this->withdrawn.empty()) {
      return;
    }
    for (const auto& [name, route] : this->changed.routes) {
      if (this->seen.contains({ItemKind::kRoute, name.value})) {
        continue;
      }
      this->CheckNotWithdrawn({ItemKind::kService, route.service.value}, name);
      this->CheckNotWithdrawn({ItemKind::kRank, route.rank.value}, name);
    }
  }

  void CheckNotWithdrawn(const ItemId& item, const RouteName& user) {
    this->Require(item, !this->withdrawn.contains(item),
                  "is still used by route '" + user.value + "'");
  }

  void CheckPrefixes() {
    if (this->touched_routes.empty()) {
      return;
    }
    std::map<std::string_view, const RouteName*> owners;
    const std::set<RouteName> touched(this->touched_routes.begin(),
                                      this->touched_routes.end());
    for (const auto& [name, route] : this->changed.routes) {
      const auto [owner, inserted] = owners.emplace(route.prefix, &name);
      if (inserted) {
        continue;
      }
      // The fault is reported on a route that the note touches.
      const bool owner_at_fault = !touched.contains(name);
      const RouteName& faulty = owner_at_fault ? *owner->second : name;
      const RouteName& other = owner_at_fault ? name : *owner->second;
      this->AddFault({ItemKind::kRoute, faulty.value},
                     "route '" + other.value + "' has the same prefix");
    }
  }

  void CheckFloors() {
    std::int64_t sum = 0;
    for (const auto& [name, rank] : this->changed.ranks) {
      sum += rank.floor_percent;
    }
    this->Require({}, sum <= 100,
                  "the floors of all ranks sum to " + std::to_string(sum) +
                      " %, over 100 %");
  }

  void CheckCounts() {
    this->Require({}, this->services.size() <= kMaxServices,
                  "the release would hold too many services");
    this->Require({}, this->changed.ranks.size() <= kMaxRanks,
                  "the release would hold too many ranks");
    this->Require({}, this->changed.routes.size() <= kMaxRoutes,
                  "the release would hold too many routes");
  }

  const wire::Note& note;
  FleetState changed;
  std::set<ServiceName> services;
  std::map<ItemId, int> lines;
  std::set<ItemId> seen;
  std::set<ItemId> withdrawn;
  std::vector<RouteName> touched_routes;
  std::vector<NoteFault> faults;
};

}  // namespace

// Items ---------------------------------------------------------------------

std::string ToText(const ItemId& item) {
  const std::string kind(kKindTexts[static_cast<std::size_t>(item.kind)]);
  return item.name.empty() ? kind : kind + " " + item.name;
}

ItemId ItemFromText(std::string_view text) {
  const std::size_t space = text.find(' ');
  const auto kind = std::ranges::find(kKindTexts, text.substr(0, space));
  if (kind == kKindTexts.end() || space == std::string_view::npos) {
    return {};
  }
  return {static_cast<ItemKind>(kind - kKindTexts.begin()),
          std::string(text.substr(space + 1))};
}

std::vector<ItemId> ItemsTouchedBy(const wire::Note& note) {
  std::set<ItemId> items;
  for (const wire::ServiceChange& change : note.services) {
    items.insert({ItemKind::kService, change.item.name});
  }
  for (const wire::RankChange& change : note.ranks) {
    items.insert({ItemKind::kRank, change.item.name});
  }
  for (const wire::RouteChange& change : note.routes) {
    items.insert({ItemKind::kRoute, change.item.name});
  }
  return {items.begin(), items.end()};
}

std::vector<ItemId> ItemsReferencedBy(const wire::Note& note) {
  const std::vector<ItemId> touched = ItemsTouchedBy(note);
  std::set<ItemId> items(touched.begin(), touched.end());
  for (const wire::RouteChange& change : note.routes) {
    if (change.kind != wire::ChangeKind::WITHDRAW) {
      items.insert({ItemKind::kService, change.item.service_name});
      items.insert({ItemKind::kRank, change.item.rank});
    }
  }
  return {items.begin(), items.end()};
}

// Validation ----------------------------------------------------------------

tl::expected<FleetState, std::vector<NoteFault>> ApplyNote(
    const wire::Note& note,
    const FleetState& state,
    const std::vector<ItemLine>& lines) {
  return NoteApplier(note, state, lines).Apply();
}

std::vector<NoteFault> Validate(const wire::Note& note,
                                const FleetState& state,
                                const std::vector<ItemLine>& lines) {
  auto changed = ApplyNote(note, state, lines);
  return changed ? std::vector<NoteFault>() : std::move(changed.error());
}

}  // namespace tanagerledge
