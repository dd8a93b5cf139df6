// Regression bounds of a benchmark program. Each bound is printed together with
// the measured value, and the program fails if any bound is broken.
//
// A bound that is listed in KNOWN-RED.txt as `bench: NAME` is still measured
// and printed, as known red, but does not make the program fail.

#ifndef TANAGERLEDGE_BENCHMARKS_BOUNDS_H_
#define TANAGERLEDGE_BENCHMARKS_BOUNDS_H_

#include <set>
#include <string>

namespace tanagerledge {

class Bounds {
 public:
  // Reads KNOWN-RED.txt from the working directory if the file exists.
  Bounds();

  // Each of these checks and prints one bound, and returns whether it holds.
  bool AtLeast(const std::string& name, double measured, double bound);
  bool AtMost(const std::string& name, double measured, double bound);
  bool Holds(const std::string& name, bool holds);

  int exit_code() const { return this->broken_count == 0 ? 0 : 1; }

 private:
  bool Record(const std::string& name,
              const std::string& comparison,
              bool holds);

  std::set<std::string> known_red;
  int broken_count = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BENCHMARKS_BOUNDS_H_
