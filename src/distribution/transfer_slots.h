// Limits how many nodes may receive the whole state from this node at the same
// time.

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
      : max_slots(slot_count), timeout(slot_timeout) {}

  // Acquires a slot for a node until it is freed or times out.
  bool TryAcquire(const NodeId& node, Instant now) {
    std::erase_if(this->acquired,
                  [now](const auto& entry) { return entry.second <= now; });
    if (this->acquired.size() >= this->max_slots &&
        !this->acquired.contains(node)) {
      return false;
    }
    this->acquired[node] = now + this->timeout;
    return true;
  }

  // Frees the slot of a node that has received the state. Other nodes can now
  // be redirected to it.
  void Free(const NodeId& node) {
    if (this->acquired.erase(node) == 0) {
      return;
    }
    this->holders.push_back(node);
    if (this->holders.size() > kMaxHolders) {
      this->holders.pop_front();
    }
  }

  // A random node that holds the state, or an empty id if none is known.
  NodeId RandomHolder(std::mt19937_64& random) const {
    return this->holders.empty()
               ? NodeId()
               : this->holders[random() % this->holders.size()];
  }

  std::size_t in_use() const { return this->acquired.size(); }

 private:
  static constexpr std::size_t kMaxHolders = 32;

  std::size_t max_slots;
  std::chrono::milliseconds timeout;
  std::map<NodeId, Instant> acquired;  // Expiry time by node.
  std::deque<NodeId> holders;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_TRANSFER_SLOTS_H_
