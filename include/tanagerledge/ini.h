// Parses INI text into sections with line numbers. Notes and settings use it.
//
//   auto document = ParseIni(text);
//   if (!document) { /* document.error() lists every fault, by line */ }

#ifndef TANAGERLEDGE_INI_H_
#define TANAGERLEDGE_INI_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerledge {

// A fault in a text and its line number; 0 means the whole text.
struct TextFault {
  int line = 0;
  std::string text;

  bool operator==(const TextFault&) const = default;
};

struct IniEntry {
  int line = 0;
  std::string key;
  std::string value;
};

struct IniSection {
  int line = 0;
  std::string name;
  std::vector<IniEntry> entries;
};

struct IniDocument {
  std::vector<IniSection> sections;  // In the order of the text.
};

inline constexpr std::size_t kMaxIniBytes = 1024 * 1024;

// Parses a text of at most `max_bytes` and reports all faults at once. Sections
// without entries are kept. A duplicate key in a section, a line that is too
// long and a key before the first section are faults.
tl::expected<IniDocument, std::vector<TextFault>> ParseIni(
    std::string_view text,
    std::size_t max_bytes = kMaxIniBytes);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_INI_H_
