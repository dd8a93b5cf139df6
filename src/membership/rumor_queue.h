// Members whose news still has to be told, each a bounded number of times.
//
// Urgent news goes first, then what was told least. Hearing a piece of news
// back twice counts as telling it, so that a fleet which knows already falls
// silent early; urgent news has to reach the last node by telling alone, and is
// told in full.

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
  static constexpr std::uint8_t kMaxTellings = 16;

  // Starts to tell a member's news, again from the start if it was told.
  void Push(Slot slot, bool urgent);
  void Drop(Slot slot);
  void HeardBack(Slot slot);

  // Offers members, least told first, until `take` returns false. An offered
  // member for which `take` is true counts as told once more, and leaves the
  // queue after its limit of tellings. A member is offered once a call.
  struct Limits {
    std::uint8_t usual = 0;
    std::uint8_t urgent = 0;
  };
  void Offer(Limits limits, const std::function<bool(Slot)>& take);

  // Urgent news told fewer than `tellings` times is waiting.
  bool HasUrgent(std::uint8_t tellings);
  std::size_t size() const { return this->tellings_of.size(); }

 private:
  struct Entry {
    std::uint8_t tellings = 0;
    std::uint8_t heard_back = 0;
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
  using Levels = std::array<std::deque<Place>, kMaxTellings + 1>;

  // Offers what waits in some levels, and notes what was taken.
  bool OfferLevels(Levels& levels,
                   std::uint8_t limit,
                   const std::function<bool(Slot)>& take,
                   std::vector<Slot>& told);

  Levels usual_news;
  Levels urgent_news;
  std::vector<Slot> urgents;  // With some that are no longer.
  std::uint32_t next_ticket = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_RUMOR_QUEUE_H_
