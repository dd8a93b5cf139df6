// Bounds how many newcomers are given the whole state at once.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_TRANSFER_SLOTS_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_TRANSFER_SLOTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <random>

#include "tanagerledge/types.h"

namespace tanagerledge {

class TransferSlots {
 public:
  TransferSlots(std::size_t slot_count, std::chrono::milliseconds slot_timeout)
      : count(slot_count), timeout(slot_timeout) {}

  // Takes a slot for a node until it is freed or times out.
  bool TryTake(const NodeId& node, Instant now) {
    std::erase_if(this->taken,
                  [now](const auto& entry) { return entry.second <= now; });
    if (this->taken.size() >= this->count && !this->taken.contains(node)) {
      return false;
    }
    this->taken[node] = now + this->timeout;
    return true;
  }

  // The node has the state: it can serve others now.
  void Free(const NodeId& node) {
    if (this->taken.erase(node) == 0) {
      return;
    }
    this->holders.push_back(node);
    if (this->holders.size() > kHoldersKept) {
      this->holders.pop_front();
    }
  }

  // Another node that holds the state, or one without a name.
  NodeId RandomHolder(std::mt19937_64& random) const {
    return this->holders.empty()
               ? NodeId()
               : this->holders[random() % this->holders.size()];
  }

  std::size_t in_use() const { return this->taken.size(); }

 private:
  static constexpr std::size_t kHoldersKept = 32;

  std::size_t count;
  std::chrono::milliseconds timeout;
  std::map<NodeId, Instant> taken;  // Until when.
  std::deque<NodeId> holders;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_TRANSFER_SLOTS_H_
