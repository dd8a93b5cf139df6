// What a node asks of the world. Hosts in src/node use these; adapters and the
// fakes under tests/ and fakes/ implement them. Every call that waits suspends
// the calling fiber, never the thread, and ends by its timeout.

#ifndef TANAGERLEDGE_PORTS_H_
#define TANAGERLEDGE_PORTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Peers ---------------------------------------------------------------------

// What a frame between nodes is about. Values travel: append only.
// Each channel has its own byte counters, so that control can be priced.
enum class Channel : std::uint8_t {
  kHello = 0,
  kCall = 1,
  kMembership = 2,
  kRelease = 3,
  kOnce = 4,
  kSuspects = 5,
  kReach = 6,
  kSend = 7,    // What became of a sent call, and that its caller left.
  kConfig = 8,  // The newest configuration, for nodes cut from the store.
};
inline constexpr std::size_t kChannelCount = 9;

enum class PeerErrorKind {
  kNotSent,  // Proved: no byte of the request left this node.
  kLost,     // The request may have arrived; no reply came.
};

struct PeerError {
  PeerErrorKind kind = PeerErrorKind::kNotSent;
  std::string text;
};

class PeerPort {
 public:
  // Answers a request; the result is sent back. `from` is the peer's Hello.
  using RequestHandler =
      std::function<std::string(const NodeId& from, std::string_view request)>;
  // Takes a one-way message.
  using MessageHandler =
      std::function<void(const NodeId& from, std::string_view message)>;

  virtual ~PeerPort() = default;

  // Sends one way, best effort. Never waits.
  virtual void Send(const NodeId& to, Channel channel, std::string message) = 0;

  // Sends a request and waits for its reply.
  virtual tl::expected<std::string, PeerError> Request(
      const NodeId& to,
      Channel channel,
      std::string request,
      std::chrono::microseconds timeout) = 0;
};

// The platform's log --------------------------------------------------------

enum class LogErrorKind {
  kUnavailable,  // Proved: nothing was written.
  kAmbiguous,    // The append may have taken effect: read back.
  kExpired,      // The records asked for are no longer kept.
  kRefused,      // The log says that the request is wrong.
};

struct LogError {
  LogErrorKind kind = LogErrorKind::kUnavailable;
  std::string text;
  LogOffset first_kept;  // With kExpired: where reading may start again.
};

struct LogRecord {
  LogOffset offset;
  std::string bytes;
};

struct LogPage {
  std::vector<LogRecord> records;
  LogOffset end;  // One past the last record of the stream when read.
};

class LogPort {
 public:
  virtual ~LogPort() = default;

  // Appends one record; the offset it got.
  virtual tl::expected<LogOffset, LogError> Append(
      std::string_view stream,
      std::string_view record,
      std::chrono::milliseconds timeout) = 0;

  // Reads records from `from` on, at most `max_records`. Asks the log to hold
  // the answer up to `wait` when there is nothing new yet.
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
  std::vector<KeyedRecord> records;  // One a key, in no order.
  LogOffset end;                     // One past the last record when read.
};

// A log whose streams may also be read by key: the newest record of each key is
// kept for good.
class KeyedLogPort : public LogPort {
 public:
  // Every key of the stream with its newest value.
  virtual tl::expected<KeyedPage, LogError> ReadNewest(
      std::string_view stream,
      std::chrono::milliseconds timeout) = 0;

  // Puts a new value under a key.
  virtual tl::expected<LogOffset, LogError> Put(
      std::string_view stream,
      std::string_view key,
      std::string_view value,
      std::chrono::milliseconds timeout) = 0;

  // The key and value of a record that Read returned; an error when the bytes
  // are no keyed record.
  virtual tl::expected<KeyedRecord, std::string> DecodeKeyed(
      const LogRecord& record) const = 0;

  // Ends calls in flight; every later one is kUnavailable.
  virtual void Close() = 0;
};

// Makes the client of a store at `ip:port` on a loop.
class IoLoop;
using StoreConnector =
    std::function<std::unique_ptr<KeyedLogPort>(IoLoop& loop,
                                                const std::string& address)>;

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_PORTS_H_
