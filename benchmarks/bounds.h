// Regression bounds of a benchmark program: each is printed with what was seen,
// and the program fails when one breaks.
//
// A bound that KNOWN-RED.txt lists as `bench: NAME` is measured and printed all
// the same, as known red, and does not fail the program.

#ifndef TANAGERLEDGE_BENCHMARKS_BOUNDS_H_
#define TANAGERLEDGE_BENCHMARKS_BOUNDS_H_

#include <set>
#include <string>

namespace tanagerledge {

class Bounds {
 public:
  // Reads KNOWN-RED.txt of the working directory, if there is one.
  Bounds();

  // Each gives back whether the bound holds.
  bool AtLeast(const std::string& name, double seen, double bound);
  bool AtMost(const std::string& name, double seen, double bound);
  bool Holds(const std::string& name, bool holds);

  int exit_code() const { return this->broken == 0 ? 0 : 1; }

 private:
  bool Note(const std::string& name, const std::string& figures, bool holds);

  std::set<std::string> known_red;
  int broken = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BENCHMARKS_BOUNDS_H_
