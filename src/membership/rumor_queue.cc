#include "src/membership/rumor_queue.h"

#include <algorithm>

namespace tanagerledge {

void RumorQueue::Push(Slot slot, bool urgent) {
  Entry& entry = this->entries[slot];
  entry = Entry{};
  entry.urgent = urgent;
  if (urgent) {
    this->urgent_slots.push_back(slot);
  }
  this->Enqueue(slot, entry);
}

void RumorQueue::Drop(Slot slot) {
  this->entries.erase(slot);
}

void RumorQueue::CountDuplicate(Slot slot) {
  const auto found = this->entries.find(slot);
  if (found == this->entries.end() || found->second.urgent ||
      found->second.transmissions == kMaxTransmissions ||
      ++found->second.duplicates % 2 != 0) {
    return;
  }
  ++found->second.transmissions;
  this->Enqueue(slot, found->second);
}

void RumorQueue::Offer(Limits limits, const std::function<bool(Slot)>& accept) {
  std::vector<Slot> sent;
  if (this->OfferLevels(this->urgent_levels, limits.urgent, accept, sent)) {
    this->OfferLevels(this->normal_levels, limits.normal, accept, sent);
  }
  std::ranges::for_each(sent, [&](Slot slot) {
    Entry& entry = this->entries[slot];
    ++entry.transmissions;
    if (entry.transmissions >= (entry.urgent ? limits.urgent : limits.normal)) {
      this->entries.erase(slot);
    } else {
      this->Enqueue(slot, entry);
    }
  });
}

bool RumorQueue::OfferLevels(Levels& levels,
                             std::uint8_t limit,
                             const std::function<bool(Slot)>& accept,
                             std::vector<Slot>& sent) {
  for (std::size_t level = 0; level <= kMaxTransmissions; ++level) {
    auto& positions = levels[level];
    while (!positions.empty()) {
      const Position position = positions.front();
      if (!this->IsCurrent(position)) {
        positions.pop_front();
        continue;
      }
      if (level >= limit) {
        positions.pop_front();
        this->entries.erase(position.slot);
        continue;
      }
      if (!accept(position.slot)) {
        return false;
      }
      positions.pop_front();
      sent.push_back(position.slot);
      this->entries[position.slot].ticket = 0;
    }
  }
  return true;
}

bool RumorQueue::HasUrgent(std::uint8_t transmissions) {
  std::erase_if(this->urgent_slots, [&](Slot slot) {
    const auto found = this->entries.find(slot);
    return found == this->entries.end() || !found->second.urgent ||
           found->second.transmissions >= transmissions;
  });
  return !this->urgent_slots.empty();
}

void RumorQueue::Enqueue(Slot slot, Entry& entry) {
  entry.ticket = ++this->next_ticket;
  Levels& levels = entry.urgent ? this->urgent_levels : this->normal_levels;
  levels[entry.transmissions].push_back({slot, entry.ticket});
}

bool RumorQueue::IsCurrent(const Position& position) const {
  const auto found = this->entries.find(position.slot);
  return found != this->entries.end() &&
         found->second.ticket == position.ticket;
}

}  // namespace tanagerledge
