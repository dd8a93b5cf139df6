#include "tanagerledge/ini.h"

#include <ini.h>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace tanagerledge {
namespace {

std::string_view Trim(std::string_view text) {
  const auto is_space = [](unsigned char c) { return std::isspace(c) != 0; };
  while (!text.empty() && is_space(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_space(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

// Passes lines to inih and counts them to give each entry its line number. It
// also reads the section headers itself, because inih does not report an empty
// section.
class LineReader {
 public:
  explicit LineReader(std::string_view source) : rest(source) {}

  char* ReadInto(char* buffer, int size) {
    if (this->rest.empty()) {
      return nullptr;
    }
    ++this->line;
    const std::size_t end = std::min(this->rest.find('\n'), this->rest.size());
    std::string_view text = Trim(this->rest.substr(0, end));
    this->rest.remove_prefix(std::min(end + 1, this->rest.size()));
    if (text.find('\0') != std::string_view::npos) {
      this->faults.push_back({this->line, "the line contains a zero byte"});
      text = {};
    }
    if (text.size() + 2 > static_cast<std::size_t>(size)) {
      this->faults.push_back(
          {this->line,
           "the line is longer than " + std::to_string(size - 2) + " bytes"});
      text = {};
    }
    this->AddSection(text);
    std::memcpy(buffer, text.data(), text.size());
    buffer[text.size()] = '\n';
    buffer[text.size() + 1] = '\0';
    return buffer;
  }

  int AddEntry(const char* key, const char* value) {
    if (this->document.sections.empty()) {
      this->faults.push_back({this->line, "'" + std::string(key) +
                                              "' is before the first section"});
      return 1;
    }
    std::vector<IniEntry>& entries = this->document.sections.back().entries;
    const bool duplicate = std::ranges::any_of(
        entries, [key](const IniEntry& entry) { return entry.key == key; });
    if (duplicate) {
      this->faults.push_back(
          {this->line, "'" + std::string(key) + "' is given twice"});
      return 1;
    }
    entries.push_back({this->line, key, value});
    return 1;
  }

  IniDocument document;
  std::vector<TextFault> faults;

 private:
  void AddSection(std::string_view text) {
    if (!text.starts_with('[')) {
      return;
    }
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) {
      return;  // inih reports this fault.
    }
    this->document.sections.push_back(
        {this->line, std::string(Trim(text.substr(1, end - 1))), {}});
  }

  std::string_view rest;
  int line = 0;
};

char* ReadLine(char* buffer, int size, void* stream) {
  return static_cast<LineReader*>(stream)->ReadInto(buffer, size);
}

int OnEntry(void* user,
            const char* /*section*/,
            const char* key,
            const char* value) {
  return static_cast<LineReader*>(user)->AddEntry(key, value);
}

}  // namespace

tl::expected<IniDocument, std::vector<TextFault>> ParseIni(
    std::string_view text,
    std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return tl::unexpected(
        std::vector<TextFault>{{0, "the text is larger than " +
                                       std::to_string(max_bytes) + " bytes"}});
  }
  LineReader reader(text);
  const int bad_line = ini_parse_stream(&ReadLine, &reader, &OnEntry, &reader);
  if (bad_line > 0) {
    reader.faults.push_back(
        {bad_line, "the line is neither '[section]' nor 'key = value'"});
  } else if (bad_line < 0) {
    reader.faults.push_back({0, "the text could not be read"});
  }
  if (!reader.faults.empty()) {
    std::ranges::sort(reader.faults, {}, &TextFault::line);
    return tl::unexpected(std::move(reader.faults));
  }
  return std::move(reader.document);
}

}  // namespace tanagerledge
