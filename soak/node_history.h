// Records when a node was started, stopped, killed or paused by the soak. The
// ledger uses this to tell violations from the expected effects of a fault.

#ifndef TANAGERLEDGE_SOAK_NODE_HISTORY_H_
#define TANAGERLEDGE_SOAK_NODE_HISTORY_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge::soak {

class NodeHistory {
 public:
  explicit NodeHistory(std::string node_name)
      : own_name(std::move(node_name)) {}

  const std::string& name() const { return this->own_name; }

  // Records the first SIGTERM since the last start.
  void OnStop(Instant at) { this->stop = at; }
  void OnStart(Instant at) { this->start = at; }
  void OnKill(Instant at) { this->last_disturbance = at; }
  void OnPause() { ++this->pauses; }
  void OnContinue(Instant at) {
    --this->pauses;
    this->last_disturbance = at;
  }

  bool paused() const { return this->pauses > 0; }
  // Whether the node was killed or paused at any time since `since`.
  bool DisturbedSince(Instant since) const {
    return this->pauses > 0 ||
           (this->last_disturbance && *this->last_disturbance >= since);
  }

  // Time of the last SIGTERM, or nothing when that is more than `max_age` ago.
  std::optional<Instant> LastStopWithin(
      Instant now,
      std::chrono::milliseconds max_age) const {
    return this->stop && now - *this->stop <= max_age ? this->stop
                                                      : std::nullopt;
  }

  // Whether the node had already been restarted after its last SIGTERM at the
  // time `at`.
  bool RestartedBefore(Instant at) const {
    return this->stop && this->start > *this->stop && this->start <= at;
  }

 private:
  std::string own_name;
  Instant start{};
  std::optional<Instant> stop;
  std::optional<Instant> last_disturbance;
  int pauses = 0;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_NODE_HISTORY_H_
