// Structured log events on standard output, one JSON object per line.
//
//   events.Write("refused", {{"id", call.id}, {"wait_ms", 12}});
//
// Never blocks: lines are held in a bounded buffer until the pipe accepts them,
// and the number of lines per second is limited. Lines over a limit are
// dropped; the next line written reports the total number of dropped lines.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_EVENT_LOG_H_
#define TANAGERLEDGE_SRC_ADAPTERS_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "tanagerledge/types.h"

namespace tanagerledge {

struct EventField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;
};

struct EventLogConfig {
  int descriptor = 1;  // Standard output.
  // A line takes about 10 us of CPU time, so 100 lines per second use 0.1 % of
  // a core.
  int lines_per_second = 100;
  std::size_t buffer_bytes = 64 * 1024;
};

// Not thread-safe: all calls must come from one thread.
class EventLog {
 public:
  explicit EventLog(std::string node_name, EventLogConfig config = {});

  // Adds one line to the buffer, or drops it when a limit is reached.
  void Write(std::string_view event, std::initializer_list<EventField> fields);

  // Writes as much of the buffer as the pipe accepts. To be called about every
  // 50 ms.
  void Flush();

  std::uint64_t dropped() const { return this->total_dropped; }

 private:
  // Counts a line against the limits; false when it must be dropped.
  bool AdmitLine();

  std::string node;
  EventLogConfig config;
  std::string buffer;
  Instant second_start{};
  int lines_in_second = 0;
  std::uint64_t total_dropped = 0;
  std::uint64_t reported_dropped = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_EVENT_LOG_H_
