// Settings, events and actions of the state machine that distributes releases
// from the log to every node.
//
// The state machine itself is in src/distribution/distribution.h. It takes
// events with the current time and returns actions; it performs no I/O and
// reads no clock.

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

// Where a restarted node gets its restart floor from: the log offset that it
// must reach before it serves again.
enum class FloorSource {
  kSharedRead,  // A reader reads the log's end once for many restarted nodes.
  kOwnRead,     // The node reads the log's end itself.
};

struct DistributionConfig {
  NodeId node;
  Zone zone;
  // Differs at each start of a node, so that replies to an earlier start are
  // recognised and ignored.
  std::uint64_t seed = 1;
  FloorSource floor_source = FloorSource::kSharedRead;

  std::size_t fan_out = 8;
  std::size_t max_state_transfers = 2;  // Concurrent, per sending node.

  std::chrono::milliseconds summary_interval{1000};
  std::chrono::milliseconds request_timeout{1000};
  std::chrono::milliseconds transfer_timeout{3000};
  // A starting node waits this long for the first list of members, and for a
  // peer's state, before it reads the log.
  std::chrono::milliseconds settle_delay{500};
  // A zone's standby reader pushes a record only if no push has delivered it
  // within this time.
  std::chrono::milliseconds standby_push_delay{300};

  std::chrono::milliseconds long_poll{10'000};
  std::chrono::milliseconds log_backoff_min{250};
  std::chrono::milliseconds log_backoff_max{10'000};
  std::chrono::milliseconds log_end_interval{250};

  std::size_t checkpoint_records = 256;
  std::chrono::milliseconds checkpoint_interval = std::chrono::minutes(10);
  std::chrono::milliseconds checkpoint_rank_delay{2000};
  // How long to wait for records that the log no longer keeps and no node has,
  // before the stream continues without them.
  std::chrono::milliseconds gap_timeout = std::chrono::minutes(1);
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
  kTail,  // Long poll for new records.
  kEnd,   // Current end of the log, for restarted nodes.
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

// Why a message is sent; control traffic is counted by purpose.
enum class SendPurpose { kPush, kSummary, kRepair, kFullState, kRestart };
inline constexpr std::size_t kSendPurposeCount = 5;

struct SendRelease {
  NodeId to;
  SendPurpose purpose = SendPurpose::kPush;
  wire::ReleaseMessage message;
};

// At most one read of each purpose is pending at a time.
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

// Whether a node may serve, and if not, why.
enum class Readiness {
  kReady,
  kNoLogEnd,        // The log's end has not been read since this node started.
  kLogUnavailable,  // The readers get no answer from the log.
  kCatchingUp,      // This node still lacks records of the log.
};

std::string ToText(Readiness readiness);

// Faults that an operator should investigate.
struct DistributionAlarms {
  std::uint64_t diverged = 0;      // Same release number, different history.
  std::uint64_t bad_messages = 0;  // Value out of range or wrong hash.
  // The stream requires an unsupported rules version.
  bool needs_upgrade = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_DISTRIBUTION_H_
