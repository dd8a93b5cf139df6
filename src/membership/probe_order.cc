#include "src/membership/probe_order.h"

#include <algorithm>
#include <utility>

namespace tanagerledge {

void ProbeOrder::Add(Slot slot, std::mt19937_64& random) {
  this->order.push_back(slot);
  const std::size_t remaining = this->order.size() - this->next;
  const std::size_t position = this->next + random() % remaining;
  std::swap(this->order[position], this->order.back());
}

std::optional<Slot> ProbeOrder::Next(const MemberTable& table,
                                     std::mt19937_64& random,
                                     const MemberTable::Filter& filter) {
  if (const auto slot = this->NextInRound(table, filter)) {
    return slot;
  }
  this->StartRound(table, random);
  return this->NextInRound(table, filter);
}

std::optional<Slot> ProbeOrder::NextInRound(const MemberTable& table,
                                            const MemberTable::Filter& filter) {
  while (this->next < this->order.size()) {
    const Slot slot = this->order[this->next++];
    const MemberRecord& record = table.at(slot);
    if (slot != kSelfSlot && record.in_use && filter(record)) {
      return slot;
    }
  }
  return std::nullopt;
}

void ProbeOrder::StartRound(const MemberTable& table, std::mt19937_64& random) {
  this->order.clear();
  for (Slot slot = 0; slot < table.all().size(); ++slot) {
    if (slot != kSelfSlot && table.at(slot).in_use && table.at(slot).live()) {
      this->order.push_back(slot);
    }
  }
  std::ranges::shuffle(this->order, random);
  this->next = 0;
}

}  // namespace tanagerledge
