// Queues members whose updates are still to be gossiped. Each update is sent a
// limited number of times.
//
// Urgent updates are sent first, then those that were sent least often. Two
// received copies of an update count as one transmission, so that gossip stops
// early once most of the fleet knows it. This doesn't apply to urgent updates:
// they must reach every node by gossip alone and are sent the full number of
// times.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "src/membership/member_table.h"

namespace tanagerledge {

class RumorQueue {
 public:
  static constexpr std::uint8_t kMaxTransmissions = 16;

  // Queues a member's update, and resets its transmission count if it was
  // queued.
  void Push(Slot slot, bool urgent);
  void Drop(Slot slot);
  void CountDuplicate(Slot slot);

  // Offer() calls `accept` with members, least often sent first, until it
  // returns false. Each accepted member counts as sent once more and leaves the
  // queue when it reaches its limit. A member is offered at most once per call.
  struct Limits {
    std::uint8_t normal = 0;
    std::uint8_t urgent = 0;
  };
  void Offer(Limits limits, const std::function<bool(Slot)>& accept);

  // Whether an urgent update is queued that was sent fewer than `transmissions`
  // times.
  bool HasUrgent(std::uint8_t transmissions);
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::uint8_t transmissions = 0;
    std::uint8_t duplicates = 0;
    bool urgent = false;
    std::uint32_t ticket = 0;  // Identifies the entry's valid position.
  };
  struct Position {
    Slot slot = 0;
    std::uint32_t ticket = 0;
  };

  void Enqueue(Slot slot, Entry& entry);
  bool IsCurrent(const Position& position) const;

  std::unordered_map<Slot, Entry> entries;
  using Levels = std::array<std::deque<Position>, kMaxTransmissions + 1>;

  // Offers the queued members of these levels and appends accepted ones to
  // `sent`.
  bool OfferLevels(Levels& levels,
                   std::uint8_t limit,
                   const std::function<bool(Slot)>& accept,
                   std::vector<Slot>& sent);

  Levels normal_levels;
  Levels urgent_levels;
  std::vector<Slot> urgent_slots;  // May contain outdated slots.
  std::uint32_t next_ticket = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_
