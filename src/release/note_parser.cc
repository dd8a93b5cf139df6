// The text of a note to its message.

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

// Words ---------------------------------------------------------------------

struct VerbWord {
  std::string_view word;
  wire::ChangeKind::type kind;
};

constexpr std::array<VerbWord, 3> kVerbs = {{
    {"add", wire::ChangeKind::ADD},
    {"change", wire::ChangeKind::CHANGE},
    {"withdraw", wire::ChangeKind::WITHDRAW},
}};

// One key of an item and where its value goes.
template <typename Item>
struct Key {
  std::string_view name;
  bool required;
  bool (*store)(Item& item, const std::string& value);
  std::string_view shape;  // Of the value, for faults.
};

template <typename Integer>
bool StoreInteger(Integer& to, const std::string& value) {
  const char* const end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, to);
  return error == std::errc() && rest == end;
}

template <auto member, typename Item>
bool StoreNumber(Item& item, const std::string& value) {
  return StoreInteger(item.*member, value);
}

template <auto member, typename Item>
bool StoreText(Item& item, const std::string& value) {
  item.*member = value;
  return !value.empty();
}

bool StoreIdempotent(wire::RouteItem& item, const std::string& value) {
  item.idempotent = value == "yes";
  return item.idempotent || value == "no";
}

constexpr std::string_view kNumberShape = "a whole number";
constexpr std::string_view kTextShape = "a text";

constexpr std::array<Key<wire::Note>, 2> kNoteKeys = {{
    {"base", true, &StoreNumber<&wire::Note::base>, kNumberShape},
    {"title", false, &StoreText<&wire::Note::title>, kTextShape},
}};

constexpr std::array<Key<wire::ServiceItem>, 0> kServiceKeys = {};

constexpr std::array<Key<wire::RankItem>, 3> kRankKeys = {{
    {"target_ms", true, &StoreNumber<&wire::RankItem::target_ms>, kNumberShape},
    {"worth", true, &StoreNumber<&wire::RankItem::worth>, kNumberShape},
    {"floor_percent", false, &StoreNumber<&wire::RankItem::floor_percent>,
     kNumberShape},
}};

constexpr std::array<Key<wire::RouteItem>, 5> kRouteKeys = {{
    {"prefix", true, &StoreText<&wire::RouteItem::prefix>, kTextShape},
    {"service", true, &StoreText<&wire::RouteItem::service_name>, kTextShape},
    {"rank", true, &StoreText<&wire::RouteItem::rank>, kTextShape},
    {"idempotent", false, &StoreIdempotent, "yes or no"},
    {"deadline_ms", true, &StoreNumber<&wire::RouteItem::deadline_ms>,
     kNumberShape},
}};

// Sections ------------------------------------------------------------------

struct Header {
  wire::ChangeKind::type verb = wire::ChangeKind::ADD;
  std::string_view kind;
  std::string name;
};

std::vector<std::string_view> SplitWords(std::string_view text) {
  std::vector<std::string_view> words;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find_first_of(" \t"), text.size());
    if (end > 0) {
      words.push_back(text.substr(0, end));
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return words;
}

std::optional<Header> ReadHeader(std::string_view text) {
  const std::vector<std::string_view> words = SplitWords(text);
  if (words.size() != 3) {
    return std::nullopt;
  }
  const auto verb = std::ranges::find(kVerbs, words[0], &VerbWord::word);
  if (verb == kVerbs.end()) {
    return std::nullopt;
  }
  return Header{verb->kind, words[1], std::string(words[2])};
}

class NoteReader {
 public:
  void Take(const IniSection& section) {
    if (section.name == "note") {
      this->TakeNote(section);
      return;
    }
    const std::optional<Header> header = ReadHeader(section.name);
    if (!header) {
      this->RefuseSection(section);
      return;
    }
    const auto taker =
        std::ranges::find(kItemTakers, header->kind, &ItemTaker::kind);
    if (taker == kItemTakers.end()) {
      this->RefuseSection(section);
      return;
    }
    (this->*taker->take)(section, *header);
  }

  tl::expected<ParsedNote, std::vector<TextFault>> Finish() {
    if (this->note_line == 0) {
      this->faults.push_back({0, "the section [note] is missing"});
    }
    if (!this->faults.empty()) {
      std::ranges::stable_sort(this->faults, {}, &TextFault::line);
      return tl::unexpected(std::move(this->faults));
    }
    return std::move(this->parsed);
  }

 private:
  struct ItemTaker {
    std::string_view kind;
    void (NoteReader::*take)(const IniSection& section, const Header& header);
  };
  static const std::array<ItemTaker, 3> kItemTakers;

  void RefuseSection(const IniSection& section) {
    this->faults.push_back(
        {section.line, "unknown section [" + section.name +
                           "]: use [note] or [add|change|withdraw "
                           "service|rank|route NAME]"});
  }

  void TakeNote(const IniSection& section) {
    if (this->note_line != 0) {
      this->faults.push_back({section.line, "[note] is given twice"});
      return;
    }
    this->note_line = section.line;
    this->parsed.lines.push_back({{}, section.line});
    this->TakeKeys(section, kNoteKeys, this->parsed.note);
  }

  void TakeService(const IniSection& section, const Header& header) {
    this->TakeItem<wire::ServiceChange>(section, header, ItemKind::kService,
                                        kServiceKeys,
                                        this->parsed.note.services);
  }

  void TakeRank(const IniSection& section, const Header& header) {
    this->TakeItem<wire::RankChange>(section, header, ItemKind::kRank,
                                     kRankKeys, this->parsed.note.ranks);
  }

  void TakeRoute(const IniSection& section, const Header& header) {
    this->TakeItem<wire::RouteChange>(section, header, ItemKind::kRoute,
                                      kRouteKeys, this->parsed.note.routes);
  }

  template <typename Change, typename Keys>
  void TakeItem(const IniSection& section,
                const Header& header,
                ItemKind kind,
                const Keys& keys,
                std::vector<Change>& changes) {
    this->parsed.lines.push_back({{kind, header.name}, section.line});
    Change change;
    change.kind = header.verb;
    change.item.name = header.name;
    if (header.verb == wire::ChangeKind::WITHDRAW) {
      this->RefuseKeys(section);
    } else {
      this->TakeKeys(section, keys, change.item);
    }
    changes.push_back(std::move(change));
  }

  void RefuseKeys(const IniSection& section) {
    for (const IniEntry& entry : section.entries) {
      this->faults.push_back(
          {entry.line, "'" + entry.key + "': a withdrawal takes no keys"});
    }
  }

  template <typename Keys, typename Item>
  void TakeKeys(const IniSection& section, const Keys& keys, Item& item) {
    for (const IniEntry& entry : section.entries) {
      this->TakeKey(section, entry, keys, item);
    }
    for (const auto& key : keys) {
      const bool given =
          std::ranges::find(section.entries, key.name, &IniEntry::key) !=
          section.entries.end();
      if (key.required && !given) {
        this->faults.push_back({section.line, "[" + section.name + "] needs '" +
                                                  std::string(key.name) + "'"});
      }
    }
  }

  template <typename Keys, typename Item>
  void TakeKey(const IniSection& section,
               const IniEntry& entry,
               const Keys& keys,
               Item& item) {
    const auto found = std::ranges::find_if(
        keys, [&entry](const auto& key) { return key.name == entry.key; });
    if (found == keys.end()) {
      this->faults.push_back(
          {entry.line,
           "[" + section.name + "] has no key '" + entry.key + "'"});
      return;
    }
    if (!found->store(item, entry.value)) {
      this->faults.push_back({entry.line, "'" + entry.key + "' must be " +
                                              std::string(found->shape)});
    }
  }

  ParsedNote parsed;
  std::vector<TextFault> faults;
  int note_line = 0;
};

constexpr std::array<NoteReader::ItemTaker, 3> NoteReader::kItemTakers = {{
    {"service", &NoteReader::TakeService},
    {"rank", &NoteReader::TakeRank},
    {"route", &NoteReader::TakeRoute},
}};

}  // namespace

tl::expected<ParsedNote, std::vector<TextFault>> ParseNote(
    std::string_view text) {
  const auto document = ParseIni(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  NoteReader reader;
  std::ranges::for_each(
      document->sections,
      [&reader](const IniSection& section) { reader.Take(section); });
  return reader.Finish();
}

}  // namespace tanagerledge
