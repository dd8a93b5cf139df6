// Structured log lines on standard output, one JSON object a line.
//
//   events.Write("refused", {{"id", call.id}, {"wait_ms", 12}});
//
// Never blocks: lines wait in a bounded buffer until the pipe takes them, a
// bounded number is taken each second, and what was dropped is counted and told
// in the next line that gets through.

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
  // A line costs about 10 us of processor time: 100 a second are 0.1 % of a
  // core.
  int lines_per_second = 100;
  std::size_t buffer_bytes = 64 * 1024;
};

// Belongs to one thread.
class EventLog {
 public:
  explicit EventLog(std::string node_name, EventLogConfig config = {});

  void Write(std::string_view event, std::initializer_list<EventField> fields);

  // Gives the pipe what it takes. Every 50 ms or so.
  void Flush();

  std::uint64_t dropped() const { return this->total_dropped; }

 private:
  bool TakeRoom();

  std::string node;
  EventLogConfig config;
  std::string buffer;
  Instant second_began{};
  int lines_in_second = 0;
  std::uint64_t total_dropped = 0;
  std::uint64_t told_dropped = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_EVENT_LOG_H_
