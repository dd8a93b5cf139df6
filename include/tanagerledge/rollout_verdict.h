// Compares a target version with the other versions of its service.
//
// Failure pattern: half of the answers of a bad version are failures, or its
// answers arrive 8 times later, on all routes or on one, from the start or only
// later or under load. A good version differs less: the speeds of single
// backend servers differ by a factor of three, some are slow for 0.6 s, and
// some answers fail for reasons that concern all versions.
//
// Each backend server of the target version is tested on its own with a
// sequential probability ratio test, so that one broken machine is told apart
// from a bad version.

#ifndef TANAGERLEDGE_ROLLOUT_VERDICT_H_
#define TANAGERLEDGE_ROLLOUT_VERDICT_H_

#include <set>

#include "tanagerledge/rollout.h"

namespace tanagerledge {

// How much likelier a bad version must be than a good one, as the log of the
// ratio. A good version reaches kDecisive in about one of e^8 = 3,000 tests.
// Less is needed where another server is bad already, and in a single test at
// the end.
inline constexpr double kDecisive = 8;
inline constexpr double kConfirming = 4;
inline constexpr double kSuspicious = 3;

// The backend servers of the target version that look bad in the evidence.
struct BadServers {
  std::set<NodeId> failing;
  std::set<NodeId> slow;
};
BadServers FindBadServers(const RolloutEvidence& evidence,
                          double log_ratio = kDecisive);

// Whether the evidence on the whole target version is more likely for a bad
// version than for a good one. For the end of the roll-out, when few answers
// must do.
bool IsLikelyBad(const RolloutEvidence& evidence);

// Answers of the target version.
std::int64_t TargetAnswers(const RolloutEvidence& evidence);

// What `later` has beyond `earlier`.
RolloutEvidence Difference(const RolloutEvidence& later,
                           const RolloutEvidence& earlier);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ROLLOUT_VERDICT_H_
