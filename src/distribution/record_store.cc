#include "src/distribution/record_store.h"

#include <iterator>
#include <utility>

namespace tanagerledge {

bool RecordStore::Put(LogOffset offset, std::string record) {
  const std::size_t size = record.size();
  const bool inserted =
      this->records.try_emplace(offset, std::move(record)).second;
  this->bytes += inserted ? size : 0;
  return inserted;
}

const std::string* RecordStore::Find(LogOffset offset) const {
  const auto found = this->records.find(offset);
  return found == this->records.end() ? nullptr : &found->second;
}

std::optional<std::vector<wire::StreamRecord>>
RecordStore::Range(LogOffset from, LogOffset to, std::size_t max_bytes) const {
  std::vector<wire::StreamRecord> range;
  std::size_t size = 0;
  for (LogOffset at = from; at < to; ++at.value) {
    const std::string* const record = this->Find(at);
    size += record == nullptr ? 0 : record->size();
    if (record == nullptr || size > max_bytes) {
      return std::nullopt;
    }
    wire::StreamRecord& out = range.emplace_back();
    out.offset = static_cast<std::int64_t>(at.value);
    out.bytes = *record;
  }
  return range;
}

void RecordStore::Trim(LogOffset next) {
  while (this->IsOverLimit()) {
    const bool has_applied = this->records.begin()->first < next;
    const auto victim =
        has_applied ? this->records.begin() : std::prev(this->records.end());
    this->bytes -= victim->second.size();
    this->records.erase(victim);
  }
}

}  // namespace tanagerledge
