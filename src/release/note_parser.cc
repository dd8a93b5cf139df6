// Parses the text of a note into its Thrift message.

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "tanagerledge/note.h"

namespace tanagerledge {
namespace {

// Keys ----------------------------------------------------------------------

struct VerbWord {
  std::string_view word;
  wire::ChangeKind::type kind;
};

constexpr std::array<VerbWord, 3> kVerbs = {{
    {"add", wire::ChangeKind::ADD},
    {"change", wire::ChangeKind::CHANGE},
    {"withdraw", wire::ChangeKind::WITHDRAW},
}};

// A key of an item and the function that stores its value.
template <typename Item>
struct KeySpec {
  std::string_view name;
  bool required;
  bool (*store)(Item& item, const std::string& value);
  std::string_view format;  // The expected value, for error messages.
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

constexpr std::string_view kNumberFormat = "a whole number";
constexpr std::string_view kTextFormat = "a text";

constexpr std::array<KeySpec<wire::Note>, 2> kNoteKeys = {{
    {"base", true, &StoreNumber<&wire::Note::base>, kNumberFormat},
    {"title", false, &StoreText<&wire::Note::title>, kTextFormat},
}};

constexpr std::array<KeySpec<wire::ServiceItem>, 0> kServiceKeys = {};

constexpr std::array<KeySpec<wire::RankItem>, 3> kRankKeys = {{
    {"target_ms", true, &StoreNumber<&wire::RankItem::target_ms>,
     kNumberFormat},
    {"worth", true, &StoreNumber<&wire::RankItem::worth>, kNumberFormat},
    {"floor_percent", false, &StoreNumber<&wire::RankItem::floor_percent>,
     kNumberFormat},
}};

constexpr std::array<KeySpec<wire::RouteItem>, 5> kRouteKeys = {{
    {"prefix", true, &StoreText<&wire::RouteItem::prefix>, kTextFormat},
    {"service", true, &StoreText<&wire::RouteItem::service_name>, kTextFormat},
    {"rank", true, &StoreText<&wire::RouteItem::rank>, kTextFormat},
    {"idempotent", false, &StoreIdempotent, "yes or no"},
    {"deadline_ms", true, &StoreNumber<&wire::RouteItem::deadline_ms>,
     kNumberFormat},
}};

// Sections ------------------------------------------------------------------

struct SectionHeader {
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

std::optional<SectionHeader> ParseSectionHeader(std::string_view text) {
  const std::vector<std::string_view> words = SplitWords(text);
  if (words.size() != 3) {
    return std::nullopt;
  }
  const auto verb = std::ranges::find(kVerbs, words[0], &VerbWord::word);
  if (verb == kVerbs.end()) {
    return std::nullopt;
  }
  return SectionHeader{verb->kind, words[1], std::string(words[2])};
}

class NoteParser {
 public:
  void ParseSection(const IniSection& section) {
    if (section.name == "note") {
      this->ParseNoteSection(section);
      return;
    }
    const std::optional<SectionHeader> header =
        ParseSectionHeader(section.name);
    if (!header) {
      this->RejectSection(section);
      return;
    }
    const auto parser =
        std::ranges::find(kItemParsers, header->kind, &ItemParser::kind);
    if (parser == kItemParsers.end()) {
      this->RejectSection(section);
      return;
    }
    (this->*parser->parse)(section, *header);
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
  struct ItemParser {
    std::string_view kind;
    void (NoteParser::*parse)(const IniSection& section,
                              const SectionHeader& header);
  };
  static const std::array<ItemParser, 3> kItemParsers;

  void RejectSection(const IniSection& section) {
    this->faults.push_back(
        {section.line, "unknown section [" + section.name +
                           "]: use [note] or [add|change|withdraw "
                           "service|rank|route NAME]"});
  }

  void ParseNoteSection(const IniSection& section) {
    if (this->note_line != 0) {
      this->faults.push_back({section.line, "[note] is given twice"});
      return;
    }
    this->note_line = section.line;
    this->parsed.lines.push_back({{}, section.line});
    this->ParseKeys(section, kNoteKeys, this->parsed.note);
  }

  void ParseService(const IniSection& section, const SectionHeader& header) {
    this->ParseItem<wire::ServiceChange>(section, header, ItemKind::kService,
                                         kServiceKeys,
                                         this->parsed.note.services);
  }

  void ParseRank(const IniSection& section, const SectionHeader& header) {
    this->ParseItem<wire::RankChange>(section, header, ItemKind::kRank,
                                      kRankKeys, this->parsed.note.ranks);
  }

  void ParseRoute(const IniSection& section, const SectionHeader& header) {
    this->ParseItem<wire::RouteChange>(section, header, ItemKind::kRoute,
                                       kRouteKeys, this->parsed.note.routes);
  }

  template <typename Change, typename Keys>
  void ParseItem(const IniSection& section,
                 const SectionHeader& header,
                 ItemKind kind,
                 const Keys& keys,
                 std::vector<Change>& changes) {
    this->parsed.lines.push_back({{kind, header.name}, section.line});
    Change change;
    change.kind = header.verb;
    change.item.name = header.name;
    if (header.verb == wire::ChangeKind::WITHDRAW) {
      this->RejectKeys(section);
    } else {
      this->ParseKeys(section, keys, change.item);
    }
    changes.push_back(std::move(change));
  }

  void RejectKeys(const IniSection& section) {
    for (const IniEntry& entry : section.entries) {
      this->faults.push_back(
          {entry.line, "'" + entry.key + "': a withdrawal takes no keys"});
    }
  }

  template <typename Keys, typename Item>
  void ParseKeys(const IniSection& section, const Keys& keys, Item& item) {
    for (const IniEntry& entry : section.entries) {
      this->ParseKey(section, entry, keys, item);
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
  void ParseKey(const IniSection& section,
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
                                              std::string(found->format)});
    }
  }

  ParsedNote parsed;
  std::vector<TextFault> faults;
  int note_line = 0;
};

constexpr std::array<NoteParser::ItemParser, 3> NoteParser::kItemParsers = {{
    {"service", &NoteParser::ParseService},
    {"rank", &NoteParser::ParseRank},
    {"route", &NoteParser::ParseRoute},
}};

}  // namespace

tl::expected<ParsedNote, std::vector<TextFault>> ParseNote(
    std::string_view text) {
  const auto document = ParseIni(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  NoteParser parser;
  std::ranges::for_each(
      document->sections,
      [&parser](const IniSection& section) { parser.ParseSection(section); });
  return parser.Finish();
}

}  // namespace tanagerledge
