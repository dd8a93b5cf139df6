// Records of the stream in memory: those that wait for an earlier one, and the
// latest that were applied, for nodes that missed them.

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

  // False when the record is there already.
  bool Put(LogOffset offset, std::string bytes);

  const std::string* Find(LogOffset offset) const;
  bool Has(LogOffset offset) const { return this->Find(offset) != nullptr; }

  // All records of [from, to), or nothing when one is missing or they exceed
  // `max_bytes` together.
  std::optional<std::vector<wire::StreamRecord>>
  Range(LogOffset from, LogOffset to, std::size_t max_bytes) const;

  // Keeps within the limits: first the oldest applied records go, then those
  // that wait the farthest ahead of `next`.
  void Trim(LogOffset next);

 private:
  bool over_limit() const {
    return this->records.size() > kMaxRecords || this->bytes > kMaxBytes;
  }

  std::map<LogOffset, std::string> records;
  std::size_t bytes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_RECORD_STORE_H_
