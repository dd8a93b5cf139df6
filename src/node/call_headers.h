// HTTP header fields that nodes exchange with callers and backend servers.

#ifndef TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_
#define TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_

#include <string_view>

namespace tanagerledge {

// From callers. These values are not trusted: their size and range are checked.
inline constexpr std::string_view kClientAccountHeader =
    "tanagerledge-customer";
inline constexpr std::string_view kDeadlineHeader = "tanagerledge-deadline-ms";
inline constexpr std::string_view kSessionHeader = "tanagerledge-session";
inline constexpr std::string_view kKeyHeader = "idempotency-key";

// Passed on along a chain of nested calls: the depth of this call, and whether
// it is made within a retry of a call further up the chain.
inline constexpr std::string_view kDepthHeader = "tanagerledge-depth";
inline constexpr std::string_view kRetryHeader = "tanagerledge-retry";

// To callers.
inline constexpr std::string_view kOutcomeHeader = "tanagerledge-outcome";
inline constexpr std::string_view kReasonHeader = "tanagerledge-reason";
inline constexpr std::string_view kReleaseHeader = "tanagerledge-release";
inline constexpr std::string_view kRankHeader = "tanagerledge-rank";
// Set in an answer when a node further down the chain has already decided
// whether to retry, so that no node further up decides again.
inline constexpr std::string_view kJudgedHeader = "tanagerledge-judged";

// To backend servers: the latest time to start the call, in microseconds of
// Unix time. The node and its backend server run on one machine and share its
// clock.
inline constexpr std::string_view kRunByHeader = "tanagerledge-run-by-unix-us";
// To backend servers: the mark of the write that this session must see.
inline constexpr std::string_view kNeedMarkHeader = "tanagerledge-need-mark";
// From backend servers: the mark of the write that the call made, or of the
// newest write that it saw.
inline constexpr std::string_view kWriteMarkHeader = "tanagerledge-write-mark";

// Prefix of the fields above that belong to the mesh. They are never forwarded
// as they are.
inline constexpr std::string_view kHeaderPrefix = "tanagerledge-";

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_HEADERS_H_
