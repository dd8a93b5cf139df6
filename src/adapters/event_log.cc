#include "src/adapters/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge {

EventLog::EventLog(std::string node_name, EventLogConfig log_config)
    : node(std::move(node_name)), config(log_config) {
  const int flags = fcntl(this->config.descriptor, F_GETFL, 0);
  if (flags >= 0) {
    fcntl(this->config.descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool EventLog::AdmitLine() {
  const Instant now = Now();
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  const bool admitted = this->lines_in_second < this->config.lines_per_second &&
                        this->buffer.size() < this->config.buffer_bytes;
  if (admitted) {
    ++this->lines_in_second;
  } else {
    ++this->total_dropped;
  }
  return admitted;
}

void EventLog::Write(std::string_view event,
                     std::initializer_list<EventField> fields) {
  if (!this->AdmitLine()) {
    return;
  }
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["at_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  line["node"] = this->node;
  line["event"] = event;
  std::ranges::for_each(fields, [&line](const EventField& field) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  });
  if (this->total_dropped != this->reported_dropped) {
    line["lines_dropped"] = this->total_dropped;
    this->reported_dropped = this->total_dropped;
  }
  using Json = nlohmann::ordered_json;
  this->buffer += line.dump(-1, ' ', true, Json::error_handler_t::replace);
  this->buffer += '\n';
}

void EventLog::Flush() {
  if (this->buffer.empty()) {
    return;
  }
  const auto written = ::write(this->config.descriptor, this->buffer.data(),
                               this->buffer.size());
  if (written > 0) {
    this->buffer.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace tanagerledge
