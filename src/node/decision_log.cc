#include "src/node/decision_log.h"

#include <chrono>
#include <utility>

namespace tanagerledge {

void DecisionLog::Add(Part part, std::string what, std::string reason) {
  const WallTime now = std::chrono::system_clock::now();
  const std::scoped_lock lock(this->mutex);
  this->entries.push_back({now, part, std::move(what), std::move(reason)});
  if (this->entries.size() > this->limit) {
    this->entries.pop_front();
  }
}

std::vector<Decision> DecisionLog::Entries() const {
  const std::scoped_lock lock(this->mutex);
  return {this->entries.begin(), this->entries.end()};
}

}  // namespace tanagerledge
