// Concurrency limit of one backend server: the number of slots that it has
// announced, or less while the backend server itself refuses calls.
//
// Each refusal shows that the number of calls running then was too high. The
// limit drops below that number at once. After a delay it is raised by one to
// probe for more capacity. The delay doubles while probes fail, so that
// refusals stay rare.

#ifndef TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_
#define TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_

#include <chrono>

#include "tanagerledge/load.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class Limiter {
 public:
  // Sets the number of slots that the backend server announced.
  void OnSlots(int announced);

  // A call has ended. `running` is the number of calls that ran when it
  // started, including the call itself.
  void OnFinished(FinishKind kind, int running, Instant now);

  int limit() const { return this->current; }

 private:
  static constexpr std::chrono::milliseconds kInitialProbeDelay{250};
  static constexpr std::chrono::milliseconds kMaxProbeDelay{8'000};

  void Reduce(int limit, Instant now);
  void Probe(Instant now);

  int slots = 0;
  int current = 0;
  Instant probe_at{};
  Instant probed_at{};
  std::chrono::milliseconds probe_delay = kInitialProbeDelay;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_LIMITER_H_
