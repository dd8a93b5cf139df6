#include "tanagerledge/dependency_throttle.h"

#include <algorithm>

namespace tanagerledge {
namespace {

// The share is multiplied by the decrease factor after each failed run and
// raised by the increase step after every other run. At a share of one half the
// two cancel out when 0.14 of the runs fail, so that a few failures alone do
// not push it down further.
constexpr double kDecreaseFactor = 0.94;
constexpr double kIncreaseStep = 0.005;
// Some calls always start, to detect when the dependency has capacity again.
constexpr double kMinShare = 0.05;

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
                                    bool call_rejected) {
  const auto found = this->gates.find(work);
  if (found == this->gates.end() && !call_rejected) {
    return;
  }
  Gate& gate = found == this->gates.end() ? this->gates[work] : found->second;
  if (call_rejected) {
    gate.share = std::max(kMinShare, gate.share * kDecreaseFactor);
    return;
  }
  gate.share += kIncreaseStep;
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
