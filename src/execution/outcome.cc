#include "tanagerledge/outcome.h"

#include <array>
#include <cstddef>

namespace tanagerledge {
namespace {

constexpr std::array<std::string_view, 3> kOutcomeTexts = {"ok", "not-run",
                                                           "unknown"};

constexpr std::array<std::string_view, 21> kReasonTexts = {
    "none",
    "no-route",
    "node-not-ready",
    "no-endpoint",
    "overloaded",
    "deadline",
    "draining",
    "peer-unreachable",
    "connection-lost",
    "backend-refused",
    "quarantined",
    "duplicate",
    "key-unsettled",
    "bad-request",
    "session-behind",
    "shutting-down",
    "dependency-overloaded",
    "answer-too-long",
    "unknown-key",
    "quota-exceeded",
    "config-unproven"};

}  // namespace

std::string_view ToText(Outcome outcome) {
  const auto index = static_cast<std::size_t>(outcome);
  return index < kOutcomeTexts.size() ? kOutcomeTexts[index] : "unknown";
}

std::string_view ToText(Reason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < kReasonTexts.size() ? kReasonTexts[index] : "unlisted";
}

}  // namespace tanagerledge
