// Limits how many calls of one kind of work start while a service that this
// work depends on rejects nested calls because of overload.
//
// Load pattern: a service is overloaded. Requests to other services still
// start, but then one of their nested calls to the overloaded service is
// rejected and they fail. Their slots and their other nested calls, which were
// served, are wasted. The throttle keeps an admitted share for each kind of
// work: each run with a rejected nested call reduces the share, every other run
// raises it a little. Calls beyond the share are refused before they start.
//
// Only rejections because of overload count. Some backend servers refuse part
// of their calls whatever the load is. Fewer calls don't help there: each
// parent call that is held back is lost, and the others fail as often as
// before.
//
// The class has no I/O and reads no clock.

#ifndef TANAGERLEDGE_DEPENDENCY_THROTTLE_H_
#define TANAGERLEDGE_DEPENDENCY_THROTTLE_H_

#include <string>
#include <unordered_map>

#include "tanagerledge/outcome.h"

namespace tanagerledge {

class DependencyThrottle {
 public:
  // Whether the next call of this kind of work may start.
  bool Admit(const std::string& work);

  // Records that a run of this kind of work has ended. `call_rejected` says
  // whether one of its nested calls was rejected because of overload.
  void OnFinished(const std::string& work, bool call_rejected);

  // Whether a call refused for this reason was refused because of overload.
  static bool IndicatesOverload(Reason reason);

  // The share of calls of this kind of work that is admitted now, 0 to 1.
  double Share(const std::string& work) const;

 private:
  struct Gate {
    double share = 1.0;
    double credit = 0.0;  // Each call adds `share`; an admitted call takes 1.
  };

  std::unordered_map<std::string, Gate> gates;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_DEPENDENCY_THROTTLE_H_
