// What a caller is told about a call.

#ifndef TANAGERLEDGE_OUTCOME_H_
#define TANAGERLEDGE_OUTCOME_H_

#include <string_view>

namespace tanagerledge {

// kNotRun is a promise: no byte of the call reached the backend server, or the
// backend server itself said that it did not run the call. In doubt it is
// kUnknown.
enum class Outcome { kOk = 0, kNotRun = 1, kUnknown = 2 };

// Why a call ended as it did. Values travel between nodes: append only.
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
  // A service that calls of this kind depend on turns their calls away.
  kDependencyOverloaded = 16,
};

std::string_view ToText(Outcome outcome);
std::string_view ToText(Reason reason);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_OUTCOME_H_
