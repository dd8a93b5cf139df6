// How much of a kind of work a backend server starts while the calls that such
// work makes are being turned away by another service.
//
// Load pattern: a service is overloaded, and requests of other services that
// need it run, have one of their calls turned away and fail: their slots, and
// the calls of theirs that were served, are wasted. Each kind of work gets a
// share that shrinks with each run that failed so, and grows slowly with each
// that did not; the rest is refused before it starts.
//
// Only calls that found no room count. Backend servers that refuse part of
// their calls whatever the load are no better off with fewer of them: there
// each parent that is held back is lost, and the others fare the same.
//
// Pure: counts in, decisions out.

#ifndef TANAGERLEDGE_DEPENDENCY_THROTTLE_H_
#define TANAGERLEDGE_DEPENDENCY_THROTTLE_H_

#include <string>
#include <unordered_map>

#include "tanagerledge/outcome.h"

namespace tanagerledge {

class DependencyThrottle {
 public:
  // Whether the next call of this work may start.
  bool Admit(const std::string& work);

  // A run of this work has ended, and whether a call of its was turned away.
  void OnFinished(const std::string& work, bool call_turned_away);

  // Whether a call that was turned away for this reason found no room.
  static bool IndicatesOverload(Reason reason);

  // The share of calls that are admitted now.
  double Share(const std::string& work) const;

 private:
  struct Gate {
    double share = 1.0;
    double credit = 0.0;  // Earned by each call; a whole one admits.
  };

  std::unordered_map<std::string, Gate> gates;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_DEPENDENCY_THROTTLE_H_
