#include "src/admission/limiter.h"

#include <algorithm>

namespace tanagerledge {

void Limiter::OnSlots(int announced) {
  const bool was_at_slots = this->current == this->slots;
  this->slots = std::max(0, announced);
  this->current =
      was_at_slots ? this->slots : std::min(this->current, this->slots);
}

void Limiter::OnFinished(FinishKind kind, int running, Instant now) {
  switch (kind) {
    case FinishKind::kShed:
      this->Reduce(running - 1, now);
      break;
    case FinishKind::kLost:
      this->Reduce(running / 2, now);
      break;
    case FinishKind::kOk:
    case FinishKind::kFailed:
      this->Probe(now);
      break;
  }
}

void Limiter::Reduce(int limit, Instant now) {
  if (this->slots == 0) {
    return;
  }
  const bool probe_failed = now - this->probed_at < this->probe_delay;
  this->probe_delay = probe_failed
                          ? std::min(this->probe_delay * 2, kMaxProbeDelay)
                          : kInitialProbeDelay;
  this->current = std::clamp(limit, 1, std::max(1, this->current));
  this->probe_at = now + this->probe_delay;
}

void Limiter::Probe(Instant now) {
  if (this->current >= this->slots || now < this->probe_at) {
    return;
  }
  ++this->current;
  this->probed_at = now;
  this->probe_at = now + this->probe_delay;
}

}  // namespace tanagerledge
