// A bounded in-memory log of a node's decisions with their reasons. A node has
// one for the `explain` page and one for its own part of the audit trail.

#ifndef TANAGERLEDGE_SRC_NODE_DECISION_LOG_H_
#define TANAGERLEDGE_SRC_NODE_DECISION_LOG_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "src/adapters/logging.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct Decision {
  WallTime at{};
  Part part = Part::kNode;
  std::string what;
  std::string reason;
};

// Drops the oldest entry when it is full. Thread-safe.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t max_entries) : limit(max_entries) {}

  void Add(Part part, std::string what, std::string reason);

  // All entries kept, oldest first.
  std::vector<Decision> Entries() const;

 private:
  const std::size_t limit;
  mutable std::mutex mutex;
  std::deque<Decision> entries;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_DECISION_LOG_H_
