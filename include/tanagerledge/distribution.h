// Spreading releases from the log to every node: what goes in, what comes out.
//
// The machine itself is src/distribution/distribution.h. It gets events and a
// time, and gives actions: it never reads a clock, a socket or the log itself.

#ifndef TANAGERLEDGE_DISTRIBUTION_H_
#define TANAGERLEDGE_DISTRIBUTION_H_

#include <distribution_types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "tanagerledge/fold.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class Topology;

// Settings ------------------------------------------------------------------

// How a restarted node learns a floor for what it may serve.
enum class FloorSource {
  kSharedRead,  // A reader's fresh read of the log's end, for many at once.
  kOwnRead,     // A read of its own.
};

struct DistributionConfig {
  NodeId node;
  Zone zone;
  // Differs at each start of a node: replies to an earlier start are told
  // apart by it.
  std::uint64_t seed = 1;
  FloorSource floor_source = FloorSource::kSharedRead;

  std::size_t fan_out = 8;
  std::size_t max_state_transfers = 2;  // Given at once.

  std::chrono::milliseconds summary_interval{1000};
  std::chrono::milliseconds request_timeout{1000};
  std::chrono::milliseconds transfer_timeout{3000};
  std::chrono::milliseconds settle{500};  // For the first word of members.
  std::chrono::milliseconds spare_push_delay{300};

  std::chrono::milliseconds long_poll{10'000};
  std::chrono::milliseconds log_backoff_min{250};
  std::chrono::milliseconds log_backoff_max{10'000};
  std::chrono::milliseconds log_end_interval{250};

  std::size_t checkpoint_records = 256;
  std::chrono::milliseconds checkpoint_interval = std::chrono::minutes(10);
  std::chrono::milliseconds checkpoint_rank_delay{2000};
  // Until records that the log no longer keeps and no node has are given up.
  std::chrono::milliseconds gap_patience = std::chrono::minutes(1);
};

// Events --------------------------------------------------------------------

struct MembersChanged {
  std::shared_ptr<const Topology> topology;
};

struct MessageArrived {
  NodeId from;
  wire::ReleaseMessage message;
};

enum class ReadPurpose {
  kTail,  // New records; the log holds the answer back until there are some.
  kEnd,   // A fresh end, for restarted nodes.
};

struct LogReadDone {
  ReadPurpose purpose = ReadPurpose::kTail;
  tl::expected<LogPage, LogError> result;
};

struct LogAppendDone {
  tl::expected<LogOffset, LogError> result;
};

struct TimePassed {};

using DistributionEvent = std::variant<TimePassed,
                                       MembersChanged,
                                       MessageArrived,
                                       LogReadDone,
                                       LogAppendDone>;

// Actions -------------------------------------------------------------------

// What control bytes are spent on.
enum class SendPurpose { kPush, kSummary, kRepair, kFullState, kRestart };
inline constexpr std::size_t kSendPurposeCount = 5;

struct SendRelease {
  NodeId to;
  SendPurpose purpose = SendPurpose::kPush;
  wire::ReleaseMessage message;
};

// At most one of each purpose is asked for at a time.
struct ReadLog {
  ReadPurpose purpose = ReadPurpose::kTail;
  LogOffset from;
  std::size_t max_records = 0;
  std::chrono::milliseconds wait{0};
};

struct AppendLog {
  std::string record;
};

struct ActivateState {
  std::shared_ptr<const FleetState> state;
};

struct ReportVerdict {
  Verdict verdict;
};

using DistributionAction =
    std::variant<SendRelease, ReadLog, AppendLog, ActivateState, ReportVerdict>;

// Status --------------------------------------------------------------------

// Why a node does not serve yet.
enum class Readiness {
  kReady,
  kNoLogEnd,        // Nobody has read the log's end since this node's start.
  kLogUnavailable,  // Readers get no answer from the log.
  kCatchingUp,      // The log holds records that this node has not yet.
};

std::string ToText(Readiness reason);

// Faults that a person should look at.
struct DistributionAlarms {
  std::uint64_t diverged = 0;      // Another history under the same number.
  std::uint64_t bad_messages = 0;  // Out of range, or a hash that is wrong.
  bool needs_upgrade = false;      // The stream asks for newer rules.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_DISTRIBUTION_H_
