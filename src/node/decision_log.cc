#include "src/node/decision_log.h"

#include <chrono>
#include <utility>

namespace tanagerledge {

void DecisionLog::Add(Part part, std::string what, std::string reason) {
  const WallTime now = std::chrono::system_clock::now();
  const std::scoped_lock lock(this->mutex);
  this->kept.push_back({now, part, std::move(what), std::move(reason)});
  if (this->kept.size() > this->limit) {
    this->kept.pop_front();
  }
}

std::vector<Decision> DecisionLog::Newest() const {
  const std::scoped_lock lock(this->mutex);
  return {this->kept.begin(), this->kept.end()};
}

}  // namespace tanagerledge
