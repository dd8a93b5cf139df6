// The newest decisions of a node with their reasons, for `explain`, and the
// node's own part of the audit trail.

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

// A bounded ring: the oldest goes first. Safe from any thread.
class DecisionLog {
 public:
  explicit DecisionLog(std::size_t max_kept) : limit(max_kept) {}

  void Add(Part part, std::string what, std::string reason);

  // Oldest first.
  std::vector<Decision> Newest() const;

 private:
  const std::size_t limit;
  mutable std::mutex mutex;
  std::deque<Decision> kept;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_DECISION_LOG_H_
