// Keeps records of the stream in memory: those that cannot be applied yet
// because an earlier one is missing, and the latest applied ones, which are
// sent to nodes that lack them.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_RECORD_STORE_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_RECORD_STORE_H_

#include <distribution_types.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

class RecordStore {
 public:
  static constexpr std::size_t kMaxRecords = 4096;
  static constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;

  // Returns false if the record is already stored.
  bool Put(LogOffset offset, std::string bytes);

  const std::string* Find(LogOffset offset) const;
  bool Has(LogOffset offset) const { return this->Find(offset) != nullptr; }

  // Returns all records of [from, to), or nothing if one is missing or their
  // total size exceeds `max_bytes`.
  std::optional<std::vector<wire::StreamRecord>>
  Range(LogOffset from, LogOffset to, std::size_t max_bytes) const;

  // Evicts records until the limits are met: first the oldest applied records,
  // then the unapplied ones farthest ahead of `next`.
  void Trim(LogOffset next);

 private:
  bool IsOverLimit() const {
    return this->records.size() > kMaxRecords || this->bytes > kMaxBytes;
  }

  std::map<LogOffset, std::string> records;
  std::size_t bytes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_RECORD_STORE_H_
