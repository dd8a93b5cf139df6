// Translates the messages about roll-outs between nodes.

#ifndef TANAGERLEDGE_SRC_ROLLOUT_ROLLOUT_WIRE_H_
#define TANAGERLEDGE_SRC_ROLLOUT_ROLLOUT_WIRE_H_

#include <rollout_types.h>

#include <optional>

#include "tanagerledge/rollout.h"

namespace tanagerledge {

wire::RolloutOrderRecord ToWire(const RolloutOrder& order);
wire::RolloutDirective ToWire(const RolloutDirective& directive);
std::vector<wire::RolloutEvidenceRow> ToWire(const RolloutEvidence& evidence);

// Nothing if a value is out of its range.
std::optional<RolloutOrder> FromWire(const wire::RolloutOrderRecord& order);
std::optional<RolloutDirective> FromWire(
    const wire::RolloutDirective& directive);
std::optional<RolloutEvidence> FromWire(
    const std::vector<wire::RolloutEvidenceRow>& rows);
std::optional<RolloutPhase> PhaseFromWire(std::int32_t phase);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROLLOUT_ROLLOUT_WIRE_H_
