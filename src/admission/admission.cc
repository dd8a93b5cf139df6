#include "tanagerledge/admission.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <unordered_map>
#include <utility>

#include "src/admission/fair_queue.h"
#include "src/admission/limiter.h"
#include "src/admission/rank_state.h"

namespace tanagerledge {
namespace {

// Maximum number of waiting calls of one rank, whatever wait is predicted.
constexpr int kMaxQueued = 1'024;

// A waiting call is refused after this multiple of its wait budget.
constexpr double kMaxWaitFactor = 1.5;

}  // namespace

// State ---------------------------------------------------------------------

struct AdmissionController::State {
  Limiter limiter;
  bool draining = false;
  Instant advanced_at{};

  std::map<RankName, RankState> ranks;
  std::vector<RankState*> by_worth;  // Most urgent first.

  CallList running;
  int suspects_running = 0;
  std::unordered_map<std::uint64_t, CallList::iterator> calls;

  // Ranks
  RankState& RankOf(const RankName& name);
  void SortRanks();
  void Advance(Instant now);

  // Choice of the next call
  bool HasWork(const RankState& rank) const;
  RankState* NextRank() const;
  CallList::iterator DequeueNext(RankState& rank);

  // Prediction
  double SlotsFor(const RankState& rank) const;
  Seconds PredictedWait(const RankState& rank, int turns) const;
  Seconds WaitBudget(const RankState& rank, Seconds time_left) const;
  int TurnsOf(const Call& call) const;
  bool WaitsTooLong(const Call& call, Instant now) const;
  bool WouldWaitTooLong(const RankState& rank) const;
  static bool CannotEndInTime(const Call& call, Instant now);
  bool ExceedsWaitBudget(const Call& call, Instant now) const;

  // Actions
  void Dispatch(Instant now, AdmissionActions& actions);
  void Run(CallList::iterator call, Instant now, AdmissionActions& actions);
  void Refuse(CallList::iterator call,
              Reason reason,
              AdmissionActions& actions);
  void RefuseAll(CallList& refused, Reason reason, AdmissionActions& actions);
  void TakeFromQueue(CallList::iterator call, CallList& to);
};

// Ranks ---------------------------------------------------------------------

RankState& AdmissionController::State::RankOf(const RankName& name) {
  const auto found = this->ranks.find(name);
  if (found != this->ranks.end()) {
    return found->second;
  }
  const auto [other, added] = this->ranks.try_emplace(RankName{});
  if (added) {
    this->SortRanks();
  }
  return other->second;
}

void AdmissionController::State::SortRanks() {
  this->by_worth.clear();
  for (auto& [name, rank] : this->ranks) {
    this->by_worth.push_back(&rank);
  }
  std::ranges::stable_sort(
      this->by_worth, std::ranges::greater{},
      [](const RankState* rank) { return rank->policy.worth; });
}

void AdmissionController::State::Advance(Instant now) {
  const Seconds time = std::max(Seconds(0), Seconds(now - this->advanced_at));
  this->advanced_at = std::max(this->advanced_at, now);
  for (RankState* rank : this->by_worth) {
    rank->Advance(time, this->limiter.limit());
  }
}

// Choice of the next call ---------------------------------------------------

bool AdmissionController::State::HasWork(const RankState& rank) const {
  const bool suspect_may_run = this->suspects_running == 0;
  return !rank.queue.empty() || (suspect_may_run && !rank.suspects.empty());
}

// Ranks with unused floor credit go first. Within both groups the rank that is
// worth most goes first, which is the order of `by_worth`.
RankState* AdmissionController::State::NextRank() const {
  const auto below_floor = [this](const RankState* rank) {
    return rank->credit > Seconds(0) && this->HasWork(*rank);
  };
  const auto guaranteed = std::ranges::find_if(this->by_worth, below_floor);
  if (guaranteed != this->by_worth.end()) {
    return *guaranteed;
  }
  const auto most_urgent = std::ranges::find_if(
      this->by_worth,
      [this](const RankState* rank) { return this->HasWork(*rank); });
  return most_urgent == this->by_worth.end() ? nullptr : *most_urgent;
}

// Moves the next call of the rank to the end of `running`.
CallList::iterator AdmissionController::State::DequeueNext(RankState& rank) {
  const bool suspect = this->suspects_running == 0 && !rank.suspects.empty();
  if (suspect) {
    this->running.splice(this->running.end(), rank.suspects,
                         rank.suspects.begin());
  } else {
    rank.queue.Dequeue(rank.queue.Next(), this->running, rank.service.mean());
  }
  return std::prev(this->running.end());
}

// Prediction ----------------------------------------------------------------

// Number of slots that a rank can count on: the limit, less the slots that more
// urgent ranks use, less the used part of the floors of the other ranks. It is
// never less than the rank's own floor.
double AdmissionController::State::SlotsFor(const RankState& rank) const {
  const int limit = this->limiter.limit();
  double available = limit;
  for (const RankState* other : this->by_worth) {
    if (other == &rank) {
      continue;
    }
    const bool more_urgent = other->policy.worth > rank.policy.worth;
    available -= more_urgent
                     ? other->occupancy
                     : std::min(other->occupancy, other->floor_slots(limit));
  }
  constexpr double kMinSlots = 0.25;
  return std::max({available, rank.floor_slots(limit), kMinSlots});
}

Seconds AdmissionController::State::PredictedWait(const RankState& rank,
                                                  int turns) const {
  return turns * rank.service.mean() / this->SlotsFor(rank);
}

// How long a call may wait. This is the time until its target less its own
// expected run time, but at least half a mean run time, for backend servers
// that are slower than the target. The call must still end by its deadline. For
// a rank without a target, it is half of the time that the deadline leaves.
Seconds AdmissionController::State::WaitBudget(const RankState& rank,
                                               Seconds time_left) const {
  const Seconds run = rank.service.mean() + rank.service.deviation();
  const Seconds by_deadline = time_left - run;
  if (rank.policy.target.count() == 0) {
    return by_deadline / 2;
  }
  const Seconds by_target =
      std::max(Seconds(rank.policy.target) - run, rank.service.mean() / 2);
  return std::min(by_deadline, by_target);
}

int AdmissionController::State::TurnsOf(const Call& call) const {
  if (call.suspect) {
    return static_cast<int>(call.rank->suspects.size()) * this->limiter.limit();
  }
  return call.rank->queue.TurnsUntilLastCall(*call.client_account);
}

bool AdmissionController::State::WaitsTooLong(const Call& call,
                                              Instant now) const {
  const RankState& rank = *call.rank;
  if (rank.queued() > kMaxQueued) {
    return true;
  }
  const bool first = rank.queued() == 1 && rank.running == 0;
  const Seconds wait = this->PredictedWait(rank, this->TurnsOf(call));
  return !first && wait > this->WaitBudget(rank, call.deadline - now);
}

bool AdmissionController::State::WouldWaitTooLong(const RankState& rank) const {
  const bool slot_is_free =
      static_cast<int>(this->running.size()) < this->limiter.limit();
  if (slot_is_free || rank.idle()) {
    return false;
  }
  constexpr Seconds kNoDeadline = std::chrono::hours(1);
  return this->PredictedWait(rank, rank.queue.TurnsUntilNewAccount()) >
         this->WaitBudget(rank, kNoDeadline);
}

// Whether a call would likely miss its deadline even if it started now. The
// time estimate of a rank without running calls may be outdated and is not
// used.
bool AdmissionController::State::CannotEndInTime(const Call& call,
                                                 Instant now) {
  const bool has_current_estimate = call.rank->running > 0;
  const Seconds time_left = call.deadline - now;
  const TimeEstimate& service = call.rank->service;
  return time_left <= Seconds(0) ||
         (has_current_estimate &&
          time_left < service.mean() + service.deviation());
}

// Whether a call has waited far longer than predicted because capacity was lost
// or went to other calls. If such calls stayed in the queue, all calls behind
// them would end only at their deadlines.
bool AdmissionController::State::ExceedsWaitBudget(const Call& call,
                                                   Instant now) const {
  const Seconds budget =
      this->WaitBudget(*call.rank, call.deadline - call.arrived);
  return Seconds(now - call.arrived) > kMaxWaitFactor * budget;
}

// Actions -------------------------------------------------------------------

void AdmissionController::State::Dispatch(Instant now,
                                          AdmissionActions& actions) {
  while (static_cast<int>(this->running.size()) < this->limiter.limit()) {
    RankState* rank = this->NextRank();
    if (rank == nullptr) {
      return;
    }
    const CallList::iterator call = this->DequeueNext(*rank);
    if (CannotEndInTime(*call, now)) {
      if (call->client_account != nullptr) {
        rank->queue.Finish(*call, Seconds(0));
      }
      this->Refuse(call, Reason::kDeadline, actions);
    } else {
      this->Run(call, now, actions);
    }
  }
}

void AdmissionController::State::Run(CallList::iterator call,
                                     Instant now,
                                     AdmissionActions& actions) {
  call->rank->Start(*call, now);
  call->running_at_start = static_cast<int>(this->running.size());
  this->suspects_running += call->suspect ? 1 : 0;
  actions.push_back(RunCall{call->id});
}

// Refuses a call that was moved to `running` but has not started.
void AdmissionController::State::Refuse(CallList::iterator call,
                                        Reason reason,
                                        AdmissionActions& actions) {
  actions.push_back(RefuseCall{call->id, reason});
  this->calls.erase(call->id);
  this->running.erase(call);
}

void AdmissionController::State::RefuseAll(CallList& refused,
                                           Reason reason,
                                           AdmissionActions& actions) {
  for (const Call& call : refused) {
    actions.push_back(RefuseCall{call.id, reason});
    this->calls.erase(call.id);
  }
  refused.clear();
}

void AdmissionController::State::TakeFromQueue(CallList::iterator call,
                                               CallList& to) {
  if (call->suspect) {
    to.splice(to.end(), call->rank->suspects, call);
  } else {
    call->rank->queue.Remove(call, to);
  }
}

// AdmissionController -------------------------------------------------------

AdmissionController::AdmissionController() : state(std::make_unique<State>()) {}

AdmissionController::~AdmissionController() = default;

void AdmissionController::OnSlots(int slots, Instant now) {
  this->state->Advance(now);
  this->state->limiter.OnSlots(slots);
  if (slots <= 0) {
    this->state->draining = false;
  }
}

void AdmissionController::OnPolicies(
    const std::map<RankName, RankPolicy>& policies) {
  State& controller = *this->state;
  for (const auto& [name, policy] : policies) {
    controller.ranks[name].policy = policy;
  }
  for (auto& [name, rank] : controller.ranks) {
    if (!policies.contains(name)) {
      rank.policy = RankPolicy{name, {}, 0, 0};
    }
  }
  std::erase_if(controller.ranks, [&](const auto& entry) {
    return !policies.contains(entry.first) && entry.second.idle();
  });
  controller.SortRanks();
}

AdmissionActions AdmissionController::Offer(const AdmissionRequest& request,
                                            Instant now) {
  State& controller = *this->state;
  if (controller.draining) {
    return {RefuseCall{request.id, Reason::kDraining}};
  }
  if (controller.limiter.limit() == 0) {
    return {RefuseCall{request.id, Reason::kNodeNotReady}};
  }
  if (request.deadline <= now) {
    return {RefuseCall{request.id, Reason::kDeadline}};
  }
  if (controller.calls.contains(request.id)) {
    return {};
  }
  controller.Advance(now);
  RankState& rank = controller.RankOf(request.rank);
  CallList new_call;
  new_call.push_back({.id = request.id,
                      .arrived = request.arrived,
                      .deadline = request.deadline,
                      .suspect = request.suspect,
                      .rank = &rank});
  const CallList::iterator call = new_call.begin();
  controller.calls.emplace(request.id, call);
  if (request.suspect) {
    rank.suspects.splice(rank.suspects.end(), new_call);
  } else {
    rank.queue.Push(request.client_account, new_call);
  }

  AdmissionActions actions;
  controller.Dispatch(now, actions);
  const bool waits = controller.calls.contains(request.id) && !call->running;
  if (waits && controller.WaitsTooLong(*call, now)) {
    CallList refused;
    controller.TakeFromQueue(call, refused);
    controller.RefuseAll(refused, Reason::kOverloaded, actions);
  }
  return actions;
}

AdmissionActions AdmissionController::OnFinished(std::uint64_t id,
                                                 FinishKind kind,
                                                 Instant now) {
  State& controller = *this->state;
  const auto found = controller.calls.find(id);
  if (found == controller.calls.end() || !found->second->running) {
    return {};
  }
  controller.Advance(now);
  const CallList::iterator call = found->second;
  controller.limiter.OnFinished(kind, call->running_at_start, now);
  call->rank->Finish(*call, kind == FinishKind::kOk, now);
  controller.suspects_running -= call->suspect ? 1 : 0;
  controller.running.erase(call);
  controller.calls.erase(found);
  AdmissionActions actions;
  controller.Dispatch(now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnCancel(std::uint64_t id, Instant now) {
  State& controller = *this->state;
  const auto found = controller.calls.find(id);
  if (found == controller.calls.end() || found->second->running) {
    return {};
  }
  controller.Advance(now);
  CallList refused;
  AdmissionActions actions;
  controller.TakeFromQueue(found->second, refused);
  controller.RefuseAll(refused, Reason::kDeadline, actions);
  return actions;
}

AdmissionActions AdmissionController::OnTick(Instant now) {
  State& controller = *this->state;
  controller.Advance(now);
  const auto cannot_end_in_time = [&controller, now](const Call& call) {
    return State::CannotEndInTime(call, now) ||
           controller.ExceedsWaitBudget(call, now);
  };
  CallList refused;
  for (RankState* rank : controller.by_worth) {
    rank->queue.RemoveIf(cannot_end_in_time, refused);
    for (auto call = rank->suspects.begin(); call != rank->suspects.end();) {
      const auto current = call++;
      if (cannot_end_in_time(*current)) {
        controller.TakeFromQueue(current, refused);
      }
    }
  }
  AdmissionActions actions;
  controller.RefuseAll(refused, Reason::kDeadline, actions);
  controller.Dispatch(now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnDrain(Instant now) {
  State& controller = *this->state;
  controller.Advance(now);
  controller.draining = true;
  CallList refused;
  for (RankState* rank : controller.by_worth) {
    rank->queue.RemoveIf([](const Call&) { return true; }, refused);
    refused.splice(refused.end(), rank->suspects);
  }
  AdmissionActions actions;
  controller.RefuseAll(refused, Reason::kDraining, actions);
  return actions;
}

LoadReport AdmissionController::Report(Instant /*now*/) const {
  const State& controller = *this->state;
  LoadReport report;
  report.limit = controller.limiter.limit();
  report.running = static_cast<int>(controller.running.size());
  for (const RankState* rank : controller.by_worth) {
    report.queued += rank->queued();
  }
  const auto would_refuse = [&](const RankState* rank) {
    return controller.WouldWaitTooLong(*rank);
  };
  // The least urgent rank whose calls are still accepted.
  const auto first_accepted = std::find_if_not(
      controller.by_worth.rbegin(), controller.by_worth.rend(), would_refuse);
  if (first_accepted != controller.by_worth.rbegin()) {
    report.admission_level = first_accepted == controller.by_worth.rend()
                                 ? controller.by_worth.front()->policy.worth + 1
                                 : (*first_accepted)->policy.worth;
  }
  if (controller.draining) {
    report.admission_level = std::numeric_limits<int>::max();
  }
  Seconds slot_time{0};
  double occupancy = 0;
  for (const RankState* rank : controller.by_worth) {
    slot_time += rank->occupancy * rank->service.mean();
    occupancy += rank->occupancy;
  }
  if (occupancy > 0) {
    report.service_time = std::chrono::duration_cast<std::chrono::microseconds>(
        slot_time / occupancy);
  }
  return report;
}

}  // namespace tanagerledge
