// The outcome of a call as reported to its caller.

#ifndef TANAGERLEDGE_OUTCOME_H_
#define TANAGERLEDGE_OUTCOME_H_

#include <string_view>

namespace tanagerledge {

// kNotRun is a guarantee: no byte of the call reached the backend server, or
// the backend server itself reported that it did not run the call. If there is
// any doubt, the outcome is kUnknown.
enum class Outcome { kOk = 0, kNotRun = 1, kUnknown = 2 };

// The reason for an outcome. The values are sent between nodes: only append new
// ones.
enum class Reason {
  kNone = 0,
  kNoRoute = 1,
  kNodeNotReady = 2,
  kNoEndpoint = 3,
  kOverloaded = 4,
  kDeadline = 5,
  kDraining = 6,
  kPeerUnreachable = 7,
  kConnectionLost = 8,
  kBackendRefused = 9,
  kQuarantined = 10,
  kDuplicate = 11,
  kKeyUnsettled = 12,
  kBadRequest = 13,
  kSessionBehind = 14,
  kShuttingDown = 15,
  // A service that this kind of call depends on rejects calls.
  kDependencyOverloaded = 16,
  // It ran, but its answer is too long for this node or for another one.
  kAnswerTooLong = 17,
  kUnknownKey = 18,      // No client account holds the key of the request.
  kQuotaExceeded = 19,   // The client account's quota is used up.
  kConfigUnproven = 20,  // The key may have been withdrawn since.
};

std::string_view ToText(Outcome outcome);
std::string_view ToText(Reason reason);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_OUTCOME_H_
