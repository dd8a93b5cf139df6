#include "benchmarks/bounds.h"

#include <array>
#include <cstdio>
#include <fstream>

namespace tanagerledge {
namespace {

std::string FormatComparison(double measured,
                             const char* relation,
                             double bound) {
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(), ": %.3f %s %.3f", measured, relation,
                bound);
  return text.data();
}

}  // namespace

Bounds::Bounds() {
  constexpr std::string_view kPrefix = "bench: ";
  std::ifstream file("KNOWN-RED.txt");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(kPrefix)) {
      this->known_red.insert(line.substr(kPrefix.size()));
    }
  }
}

bool Bounds::AtLeast(const std::string& name, double measured, double bound) {
  return this->Record(name, FormatComparison(measured, ">=", bound),
                      measured >= bound);
}

bool Bounds::AtMost(const std::string& name, double measured, double bound) {
  return this->Record(name, FormatComparison(measured, "<=", bound),
                      measured <= bound);
}

bool Bounds::Holds(const std::string& name, bool holds) {
  return this->Record(name, "", holds);
}

bool Bounds::Record(const std::string& name,
                    const std::string& comparison,
                    bool holds) {
  const bool listed = this->known_red.contains(name);
  const char* verdict = holds ? "holds" : "BROKEN";
  if (listed) {
    verdict = holds ? "listed in KNOWN-RED.txt but holds" : "known red";
  }
  std::printf("  %s: %s%s\n", verdict, name.c_str(), comparison.c_str());
  this->broken_count += holds || listed ? 0 : 1;
  return holds;
}

}  // namespace tanagerledge
