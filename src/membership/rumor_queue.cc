#include "src/membership/rumor_queue.h"

#include <algorithm>

namespace tanagerledge {

void RumorQueue::Push(Slot slot, bool urgent) {
  Entry& entry = this->tellings_of[slot];
  entry = Entry{};
  entry.urgent = urgent;
  if (urgent) {
    this->urgents.push_back(slot);
  }
  this->Enqueue(slot, entry);
}

void RumorQueue::Drop(Slot slot) {
  this->tellings_of.erase(slot);
}

void RumorQueue::HeardBack(Slot slot) {
  const auto found = this->tellings_of.find(slot);
  if (found == this->tellings_of.end() || found->second.urgent ||
      found->second.tellings == kMaxTellings ||
      ++found->second.heard_back % 2 != 0) {
    return;
  }
  ++found->second.tellings;
  this->Enqueue(slot, found->second);
}

void RumorQueue::Offer(Limits limits, const std::function<bool(Slot)>& take) {
  std::vector<Slot> told;
  if (this->OfferLevels(this->urgent_news, limits.urgent, take, told)) {
    this->OfferLevels(this->usual_news, limits.usual, take, told);
  }
  std::ranges::for_each(told, [&](Slot slot) {
    Entry& entry = this->tellings_of[slot];
    ++entry.tellings;
    if (entry.tellings >= (entry.urgent ? limits.urgent : limits.usual)) {
      this->tellings_of.erase(slot);
    } else {
      this->Enqueue(slot, entry);
    }
  });
}

bool RumorQueue::OfferLevels(Levels& levels,
                             std::uint8_t limit,
                             const std::function<bool(Slot)>& take,
                             std::vector<Slot>& told) {
  for (std::size_t level = 0; level <= kMaxTellings; ++level) {
    auto& places = levels[level];
    while (!places.empty()) {
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
      if (!take(place.slot)) {
        return false;
      }
      places.pop_front();
      told.push_back(place.slot);
      this->tellings_of[place.slot].ticket = 0;
    }
  }
  return true;
}

bool RumorQueue::HasUrgent(std::uint8_t tellings) {
  std::erase_if(this->urgents, [&](Slot slot) {
    const auto found = this->tellings_of.find(slot);
    return found == this->tellings_of.end() || !found->second.urgent ||
           found->second.tellings >= tellings;
  });
  return !this->urgents.empty();
}

void RumorQueue::Enqueue(Slot slot, Entry& entry) {
  entry.ticket = ++this->next_ticket;
  Levels& levels = entry.urgent ? this->urgent_news : this->usual_news;
  levels[entry.tellings].push_back({slot, entry.ticket});
}

bool RumorQueue::IsCurrent(const Place& place) const {
  const auto found = this->tellings_of.find(place.slot);
  return found != this->tellings_of.end() &&
         found->second.ticket == place.ticket;
}

}  // namespace tanagerledge
