// Members whose news still has to be told, each a bounded number of times.
//
// News told least goes first. Hearing a piece of news back counts as telling
// it, so that a fleet which knows already falls silent early.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "src/membership/member_table.h"

namespace tanagerledge {

class RumorQueue {
 public:
  static constexpr std::uint8_t kMaxTellings = 16;

  // Starts to tell a member's news, again from the start if it was told.
  void Push(Slot slot, bool urgent);
  void Drop(Slot slot);
  void HeardBack(Slot slot);

  // Offers members, least told first, until `take` returns false. An offered
  // member for which `take` is true counts as told once more, and leaves the
  // queue after `limit` tellings. A member is offered once a call.
  void Offer(std::uint8_t limit, const std::function<bool(Slot)>& take);

  // News told fewer than `tellings` times is waiting.
  bool HasFresh(std::uint8_t tellings) const;
  bool HasUrgent(std::uint8_t tellings) const;
  std::size_t size() const { return this->tellings_of.size(); }

 private:
  struct Entry {
    std::uint8_t tellings = 0;
    bool urgent = false;
    std::uint32_t ticket = 0;  // Tells the entry's place from stale ones.
  };
  struct Place {
    Slot slot = 0;
    std::uint32_t ticket = 0;
  };

  void Enqueue(Slot slot, Entry& entry);
  bool IsCurrent(const Place& place) const;

  std::unordered_map<Slot, Entry> tellings_of;
  std::array<std::deque<Place>, kMaxTellings + 1> by_tellings;
  std::uint32_t next_ticket = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_
