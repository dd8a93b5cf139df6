// How many calls may run at once at a backend server: at most its announced
// slots, fewer while it refuses calls of its own accord.
//
// Each refusal shows a number of calls that was too many. The limit goes below
// it at once and probes above it again after a pause, which doubles while the
// probes fail, so that refusals stay rare.

#ifndef TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_
#define TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_

#include <chrono>

#include "tanagerledge/load.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class Limiter {
 public:
  void OnSlots(int announced);

  // A call ended that was one of `running` calls when it started.
  void OnFinished(FinishKind kind, int running, Instant now);

  int limit() const { return this->current; }

 private:
  static constexpr std::chrono::milliseconds kFirstPause{250};
  static constexpr std::chrono::milliseconds kLongestPause{8'000};

  void Shrink(int limit, Instant now);
  void Probe(Instant now);

  int slots = 0;
  int current = 0;
  Instant probe_at{};
  Instant probed_at{};
  std::chrono::milliseconds pause = kFirstPause;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_
