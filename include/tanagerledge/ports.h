// Interfaces through which a node reaches its peers and the platform's log.
// The hosts in src/node call them; the adapters and the fakes under tests/ and
// fakes/ implement them. A call that waits suspends the calling fiber, not the
// thread, and returns within its timeout.

#ifndef TANAGERLEDGE_PORTS_H_
#define TANAGERLEDGE_PORTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Peers ---------------------------------------------------------------------

// Subject of a frame between nodes. The values are sent on the wire: append
// only. Each channel has its own byte counters, so that the cost of control
// traffic can be measured.
enum class Channel : std::uint8_t {
  kHello = 0,
  kCall = 1,
  kMembership = 2,
  kRelease = 3,
  kOnce = 4,
  kSuspects = 5,
  kReach = 6,
  kSend = 7,       // Outcome of a forwarded call; cancellation by its caller.
  kConfig = 8,     // The newest configuration, if the store is unreachable.
  kQuota = 9,      // Grants of client accounts' quotas.
  kRollout = 10,   // Directives for roll-outs and evidence about them.
  kTransfer = 11,  // Grants to send long bodies.
};
inline constexpr std::size_t kChannelCount = 12;

enum class PeerErrorKind {
  kNotSent,  // No byte of the request left this node.
  kLost,     // The request may have arrived, but no reply came.
};

struct PeerError {
  PeerErrorKind kind = PeerErrorKind::kNotSent;
  std::string text;
};

class PeerPort {
 public:
  // Handles a request and returns the reply to send back. `from` is the node id
  // from the peer's Hello. The handler may begin later than the request
  // arrived, when the loop has much to do.
  using RequestHandler = std::function<std::string(const NodeId& from,
                                                   std::string_view request,
                                                   Instant arrived)>;
  // Handles a one-way message.
  using MessageHandler =
      std::function<void(const NodeId& from, std::string_view message)>;

  virtual ~PeerPort() = default;

  // Sends a one-way message, best effort. Never waits.
  virtual void Send(const NodeId& to, Channel channel, std::string message) = 0;

  // Sends a request and waits for its reply, at most for `timeout`.
  virtual tl::expected<std::string, PeerError> Request(
      const NodeId& to,
      Channel channel,
      std::string request,
      std::chrono::microseconds timeout) = 0;
};

// The platform's log --------------------------------------------------------

enum class LogErrorKind {
  kUnavailable,  // The log can't be used now; nothing was written.
  kAmbiguous,  // The append may have taken effect: read the stream to find out.
  kExpired,    // The requested records are no longer kept, or not there yet.
  kRefused,    // The request is invalid.
  kConflict,   // The stream has grown since; nothing was written.
};

struct LogError {
  LogErrorKind kind = LogErrorKind::kUnavailable;
  std::string text;
  LogOffset first_kept;  // With kExpired: the oldest offset that can be read.
};

// Rises each time the log comes back from an older copy of itself. Then what
// was written since the copy is gone, and offsets are assigned again.
using StoreEra = Number<struct StoreEraTag>;

struct LogRecord {
  LogOffset offset;
  std::string bytes;
};

struct LogPage {
  std::vector<LogRecord> records;
  LogOffset end;  // One past the stream's last record at the time of the read.
  StoreEra era;   // The offsets are valid in this era only.
};

class LogPort {
 public:
  virtual ~LogPort() = default;

  // Appends one record and returns its offset.
  virtual tl::expected<LogOffset, LogError> Append(
      std::string_view stream,
      std::string_view record,
      std::chrono::milliseconds timeout) = 0;

  // Reads at most `max_records` records, starting at offset `from`. When there
  // are none yet, asks the log to wait for up to `wait` before it answers.
  virtual tl::expected<LogPage, LogError> Read(
      std::string_view stream,
      LogOffset from,
      std::size_t max_records,
      std::chrono::milliseconds wait,
      std::chrono::milliseconds timeout) = 0;
};

// The newest record of one key.
struct KeyedRecord {
  std::string key;
  std::string value;
  LogOffset offset;
};

struct KeyedPage {
  std::vector<KeyedRecord> records;  // One per key, in no particular order.
  LogOffset end;  // One past the stream's last record at the time of the read.
  StoreEra era;   // The offsets are valid in this era only.
};

// A log whose streams can also be read by key. The newest record of each key
// never expires.
class KeyedLogPort : public LogPort {
 public:
  // Reads every key of the stream with its newest value.
  virtual tl::expected<KeyedPage, LogError> ReadNewest(
      std::string_view stream,
      std::chrono::milliseconds timeout) = 0;

  // Sets the value of a key by appending a record; returns its offset.
  virtual tl::expected<LogOffset, LogError> Put(
      std::string_view stream,
      std::string_view key,
      std::string_view value,
      std::chrono::milliseconds timeout) = 0;

  // The same if `at` is still the end of the stream; kConflict if it is not.
  virtual tl::expected<LogOffset, LogError> PutAt(
      std::string_view stream,
      std::string_view key,
      std::string_view value,
      LogOffset at,
      std::chrono::milliseconds timeout) = 0;

  // Splits a record that Read returned into key and value. Fails when the bytes
  // are not a valid keyed record.
  virtual tl::expected<KeyedRecord, std::string> DecodeKeyed(
      const LogRecord& record) const = 0;

  // The newest era of all responses so far; unset before the first one. A call
  // whose response is of an earlier era fails with kAmbiguous, so that a call
  // that succeeds is of this era when it returns.
  virtual std::optional<StoreEra> era() const { return std::nullopt; }

  // Cancels calls in flight; every later call fails with kUnavailable.
  virtual void Close() = 0;
};

// Creates a client on `loop` for the store at `address` (ip:port).
class IoLoop;
using StoreConnector =
    std::function<std::unique_ptr<KeyedLogPort>(IoLoop& loop,
                                                const std::string& address)>;

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_PORTS_H_
