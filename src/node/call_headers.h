// Header fields of calls: from callers, to callers, and to and from backend
// servers.

#ifndef TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_
#define TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_

#include <string_view>

namespace tanagerledge {

// From callers. All are claims, bounded and checked.
inline constexpr std::string_view kClientAccountHeader =
    "tanagerledge-customer";
inline constexpr std::string_view kDeadlineHeader = "tanagerledge-deadline-ms";
inline constexpr std::string_view kSessionHeader = "tanagerledge-session";
inline constexpr std::string_view kKeyHeader = "idempotency-key";

// Carried along a chain of calls: how deep it is, and whether a hop further up
// repeats this attempt.
inline constexpr std::string_view kDepthHeader = "tanagerledge-depth";
inline constexpr std::string_view kRetryHeader = "tanagerledge-retry";

// To callers.
inline constexpr std::string_view kOutcomeHeader = "tanagerledge-outcome";
inline constexpr std::string_view kReasonHeader = "tanagerledge-reason";
inline constexpr std::string_view kReleaseHeader = "tanagerledge-release";
inline constexpr std::string_view kRankHeader = "tanagerledge-rank";
// In an answer: a hop further down has decided about a retry already.
inline constexpr std::string_view kJudgedHeader = "tanagerledge-judged";

// To backend servers. The node and its backend server share one machine and its
// clock.
inline constexpr std::string_view kRunByHeader = "tanagerledge-run-by-unix-us";
// To backend servers: the write that this session must see.
inline constexpr std::string_view kNeedMarkHeader = "tanagerledge-need-mark";
// From backend servers: the mark of the write just done, or of the newest one
// seen.
inline constexpr std::string_view kWriteMarkHeader = "tanagerledge-write-mark";

inline constexpr std::string_view kHeaderPrefix = "tanagerledge-";

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_
