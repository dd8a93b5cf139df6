// What was done to a node from outside, as far as the judge asks for it.

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

  // SIGTERM, the first one of a start.
  void OnStop(Instant at) { this->stop = at; }
  void OnStart(Instant at) { this->start = at; }
  void OnKill(Instant at) { this->last_harm = at; }
  void OnPause() { ++this->pauses; }
  void OnContinue(Instant at) {
    --this->pauses;
    this->last_harm = at;
  }

  // Whether it was killed or paused from a moment on until now.
  bool HarmedSince(Instant since) const {
    return this->pauses > 0 || (this->last_harm && *this->last_harm >= since);
  }

  // The last SIGTERM, when it was no longer ago than that.
  std::optional<Instant> StopWithin(Instant now,
                                    std::chrono::milliseconds longest) const {
    return this->stop && now - *this->stop <= longest ? this->stop
                                                      : std::nullopt;
  }

  // Whether a moment lies in a start after the last SIGTERM.
  bool StartedAnewBy(Instant at) const {
    return this->stop && this->start > *this->stop && this->start <= at;
  }

 private:
  std::string own_name;
  Instant start{};
  std::optional<Instant> stop;
  std::optional<Instant> last_harm;
  int pauses = 0;
};

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_NODE_HISTORY_H_
