#include "src/membership/rumor_queue.h"

#include <algorithm>

namespace tanagerledge {

void RumorQueue::Push(Slot slot, bool urgent) {
  Entry& entry = this->tellings_of[slot];
  entry.tellings = 0;
  entry.urgent = urgent;
  this->Enqueue(slot, entry);
}

void RumorQueue::Drop(Slot slot) {
  this->tellings_of.erase(slot);
}

void RumorQueue::HeardBack(Slot slot) {
  const auto found = this->tellings_of.find(slot);
  if (found == this->tellings_of.end() ||
      found->second.tellings == kMaxTellings) {
    return;
  }
  ++found->second.tellings;
  this->Enqueue(slot, found->second);
}

void RumorQueue::Offer(std::uint8_t limit,
                       const std::function<bool(Slot)>& take) {
  std::vector<Slot> told;
  bool wanted = true;
  for (std::size_t level = 0; level <= kMaxTellings && wanted; ++level) {
    auto& places = this->by_tellings[level];
    while (!places.empty() && wanted) {
      const Place place = places.front();
      if (!this->IsCurrent(place)) {
        places.pop_front();
        continue;
      }
      if (level >= limit) {
        places.pop_front();
        this->tellings_of.erase(place.slot);
        continue;
      }
      wanted = take(place.slot);
      if (wanted) {
        places.pop_front();
        told.push_back(place.slot);
        this->tellings_of[place.slot].ticket = 0;
      }
    }
  }
  std::ranges::for_each(told, [&](Slot slot) {
    Entry& entry = this->tellings_of[slot];
    ++entry.tellings;
    if (entry.tellings >= limit) {
      this->tellings_of.erase(slot);
    } else {
      this->Enqueue(slot, entry);
    }
  });
}

bool RumorQueue::HasFresh(std::uint8_t tellings) const {
  return std::ranges::any_of(this->tellings_of, [&](const auto& each) {
    return each.second.tellings < tellings;
  });
}

bool RumorQueue::HasUrgent(std::uint8_t tellings) const {
  return std::ranges::any_of(this->tellings_of, [&](const auto& each) {
    return each.second.urgent && each.second.tellings < tellings;
  });
}

void RumorQueue::Enqueue(Slot slot, Entry& entry) {
  entry.ticket = ++this->next_ticket;
  this->by_tellings[entry.tellings].push_back({slot, entry.ticket});
}

bool RumorQueue::IsCurrent(const Place& place) const {
  const auto found = this->tellings_of.find(place.slot);
  return found != this->tellings_of.end() &&
         found->second.ticket == place.ticket;
}

}  // namespace tanagerledge
