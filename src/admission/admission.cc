#include "tanagerledge/admission.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace tanagerledge {

struct AdmissionController::State {
  int slots = 0;
  bool draining = false;
  std::map<RankName, RankPolicy> policies;
  std::unordered_map<std::uint64_t, AdmissionRequest> running;
  std::list<AdmissionRequest> waiting;  // Most urgent first, then by arrival.

  int WorthOf(const RankName& rank) const {
    const auto found = this->policies.find(rank);
    return found == this->policies.end() ? 0 : found->second.worth;
  }

  bool SuspectRuns() const {
    return std::ranges::any_of(
        this->running, [](const auto& entry) { return entry.second.suspect; });
  }

  AdmissionActions Dispatch(Instant now) {
    AdmissionActions actions;
    for (auto next = this->waiting.begin(); next != this->waiting.end();) {
      if (next->deadline <= now) {
        actions.push_back(RefuseCall{next->id, Reason::kDeadline});
        next = this->waiting.erase(next);
        continue;
      }
      const bool fits = static_cast<int>(this->running.size()) < this->slots &&
                        !(next->suspect && this->SuspectRuns());
      if (!fits) {
        ++next;
        continue;
      }
      actions.push_back(RunCall{next->id});
      this->running.emplace(next->id, *next);
      next = this->waiting.erase(next);
    }
    return actions;
  }
};

AdmissionController::AdmissionController() : state(std::make_unique<State>()) {}

AdmissionController::~AdmissionController() = default;

void AdmissionController::OnSlots(int slots, Instant /*now*/) {
  this->state->slots = std::max(0, slots);
}

void AdmissionController::OnPolicies(
    const std::map<RankName, RankPolicy>& policies) {
  this->state->policies = policies;
}

AdmissionActions AdmissionController::Offer(const AdmissionRequest& request,
                                            Instant now) {
  State& all = *this->state;
  if (all.draining) {
    return {RefuseCall{request.id, Reason::kDraining}};
  }
  if (static_cast<int>(all.waiting.size()) >= 2 * all.slots) {
    return {RefuseCall{request.id, Reason::kOverloaded}};
  }
  const int worth = all.WorthOf(request.rank);
  const auto place =
      std::ranges::find_if(all.waiting, [&](const AdmissionRequest& other) {
        return all.WorthOf(other.rank) < worth;
      });
  all.waiting.insert(place, request);
  return all.Dispatch(now);
}

AdmissionActions AdmissionController::OnFinished(std::uint64_t id,
                                                 FinishKind /*kind*/,
                                                 Instant now) {
  this->state->running.erase(id);
  return this->state->Dispatch(now);
}

AdmissionActions AdmissionController::OnCancel(std::uint64_t id,
                                               Instant /*now*/) {
  const auto erased = std::erase_if(
      this->state->waiting,
      [id](const AdmissionRequest& request) { return request.id == id; });
  if (erased == 0) {
    return {};
  }
  return {RefuseCall{id, Reason::kDeadline}};
}

AdmissionActions AdmissionController::OnTick(Instant now) {
  return this->state->Dispatch(now);
}

AdmissionActions AdmissionController::OnDrain(Instant /*now*/) {
  this->state->draining = true;
  AdmissionActions actions;
  for (const AdmissionRequest& request : this->state->waiting) {
    actions.push_back(RefuseCall{request.id, Reason::kDraining});
  }
  this->state->waiting.clear();
  return actions;
}

LoadReport AdmissionController::Report(Instant /*now*/) const {
  LoadReport report;
  report.limit = this->state->slots;
  report.running = static_cast<int>(this->state->running.size());
  report.queued = static_cast<int>(this->state->waiting.size());
  return report;
}

}  // namespace tanagerledge
