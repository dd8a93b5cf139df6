#include "src/sidecar/node_record_schedule.h"

#include <algorithm>

#include "tanagerledge/snapshot.h"

namespace tanagerledge {
namespace {

bool IsLeaving(const wire::NodeRecord& record) {
  return record.state >= static_cast<std::int32_t>(EndpointState::kDraining);
}

bool HaveSameStart(const wire::NodeRecord& a, const wire::NodeRecord& b) {
  return a.instance == b.instance && a.born_ms == b.born_ms;
}

bool HaveSameQuarantines(const wire::NodeRecord& a, const wire::NodeRecord& b) {
  return std::ranges::equal(a.quarantined, b.quarantined, {},
                            &wire::QuarantineRecord::fingerprint,
                            &wire::QuarantineRecord::fingerprint);
}

}  // namespace

void NodeRecordSchedule::OnStored(const wire::NodeRecord& record) {
  this->stored = record;
  this->due.reset();
}

void NodeRecordSchedule::OnChanged(const wire::NodeRecord& record,
                                   Instant now) {
  switch (this->Compare(record)) {
    case Urgency::kNone:
      this->due.reset();
      break;
    case Urgency::kLater:
      this->due = this->due.value_or(now + this->config.delay);
      break;
    case Urgency::kNow:
      this->due = std::min(this->due.value_or(now + this->config.urgent_delay),
                           now + this->config.urgent_delay);
      break;
  }
}

void NodeRecordSchedule::OnWriteFailed(Instant now) {
  this->due = now + this->config.retry_delay;
}

void NodeRecordSchedule::OnStoreLost(const wire::NodeRecord& record,
                                     Instant now) {
  this->stored.reset();
  this->due.reset();
  this->OnChanged(record, now);
}

NodeRecordSchedule::Urgency NodeRecordSchedule::Compare(
    const wire::NodeRecord& next) const {
  if (!this->stored) {
    // Without an instance there is nothing that a restart must not use.
    return IsLeaving(next) && !next.instance.empty() ? Urgency::kNow
                                                     : Urgency::kLater;
  }
  const wire::NodeRecord& known = *this->stored;
  if (!HaveSameQuarantines(known, next)) {
    return Urgency::kNow;
  }
  if (IsLeaving(next)) {
    const bool recorded = next.instance.empty() ||
                          (HaveSameStart(known, next) && IsLeaving(known));
    return recorded ? Urgency::kNone : Urgency::kNow;
  }
  const bool same = HaveSameStart(known, next) && !IsLeaving(known) &&
                    known.service_name == next.service_name &&
                    known.address == next.address && known.slots == next.slots;
  return same ? Urgency::kNone : Urgency::kLater;
}

}  // namespace tanagerledge
