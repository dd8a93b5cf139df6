#include "tanagerledge/dependency_throttle.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// Some runs may fail before the share shrinks: with these two the share
// is steady where growth and shrinking cancel out, at 0.14 of the runs for a
// share of one half.
constexpr double kShrink = 0.94;
constexpr double kGrow = 0.005;
// Some work always starts: it shows when the dependency has room again.
constexpr double kLeastShare = 0.05;

}  // namespace

bool DependencyThrottle::Admit(const std::string& work) {
  const auto found = this->gates.find(work);
  if (found == this->gates.end()) {
    return true;
  }
  Gate& gate = found->second;
  gate.credit += gate.share;
  if (gate.credit < 1.0) {
    return false;
  }
  gate.credit -= 1.0;
  return true;
}

void DependencyThrottle::OnFinished(const std::string& work,
                                    bool call_turned_away) {
  const auto found = this->gates.find(work);
  if (found == this->gates.end() && !call_turned_away) {
    return;
  }
  Gate& gate = found == this->gates.end() ? this->gates[work] : found->second;
  if (call_turned_away) {
    gate.share = std::max(kLeastShare, gate.share * kShrink);
    return;
  }
  gate.share += kGrow;
  if (gate.share >= 1.0) {
    this->gates.erase(work);
  }
}

bool DependencyThrottle::IndicatesOverload(Reason reason) {
  return reason == Reason::kOverloaded || reason == Reason::kDeadline ||
         reason == Reason::kDependencyOverloaded;
}

double DependencyThrottle::Share(const std::string& work) const {
  const auto found = this->gates.find(work);
  return found == this->gates.end() ? 1.0 : found->second.share;
}

}  // namespace tanagerledge
