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

// Waiting calls of one rank, whatever is predicted.
constexpr int kMaxQueued = 1'024;

// A waiting call is refused after this many times its wait budget.
constexpr double kPatience = 1.5;

}  // namespace

// State ---------------------------------------------------------------------

struct AdmissionController::State {
  Limiter limiter;
  bool draining = false;
  Instant accounted{};

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
  CallList::iterator TakeNext(RankState& rank);

  // Prediction
  double SlotsFor(const RankState& rank) const;
  Seconds PredictedWait(const RankState& rank, int turns) const;
  Seconds WaitBudget(const RankState& rank, Seconds left) const;
  int TurnsOf(const Call& call) const;
  bool WaitsTooLong(const Call& call, Instant now) const;
  bool WouldWaitTooLong(const RankState& rank) const;
  static bool Hopeless(const Call& call, Instant now);
  bool Overstays(const Call& call, Instant now) const;

  // Steps
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
  const auto known = this->ranks.find(name);
  if (known != this->ranks.end()) {
    return known->second;
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
  const Seconds time = std::max(Seconds(0), Seconds(now - this->accounted));
  this->accounted = std::max(this->accounted, now);
  for (RankState* rank : this->by_worth) {
    rank->Advance(time, this->limiter.limit());
  }
}

// Choice of the next call ---------------------------------------------------

bool AdmissionController::State::HasWork(const RankState& rank) const {
  const bool suspect_may_run = this->suspects_running == 0;
  return !rank.queue.empty() || (suspect_may_run && !rank.suspects.empty());
}

// Floors first, then worth: `by_worth` gives the order in both.
RankState* AdmissionController::State::NextRank() const {
  const auto below_floor = [this](const RankState* rank) {
    return rank->credit > Seconds(0) && this->HasWork(*rank);
  };
  const auto owed = std::ranges::find_if(this->by_worth, below_floor);
  if (owed != this->by_worth.end()) {
    return *owed;
  }
  const auto worthiest = std::ranges::find_if(
      this->by_worth,
      [this](const RankState* rank) { return this->HasWork(*rank); });
  return worthiest == this->by_worth.end() ? nullptr : *worthiest;
}

// Moves the call whose turn it is to the end of `running`.
CallList::iterator AdmissionController::State::TakeNext(RankState& rank) {
  const bool suspect = this->suspects_running == 0 && !rank.suspects.empty();
  if (suspect) {
    this->running.splice(this->running.end(), rank.suspects,
                         rank.suspects.begin());
  } else {
    rank.queue.Take(rank.queue.Next(), this->running, rank.service.mean());
  }
  return std::prev(this->running.end());
}

// Prediction ----------------------------------------------------------------

// Slots that a rank can count on: those that more urgent ranks leave, less the
// floors that others use, and never less than its own floor.
double AdmissionController::State::SlotsFor(const RankState& rank) const {
  const int limit = this->limiter.limit();
  double left = limit;
  for (const RankState* other : this->by_worth) {
    if (other == &rank) {
      continue;
    }
    const bool more_urgent = other->policy.worth > rank.policy.worth;
    left -= more_urgent ? other->occupancy
                        : std::min(other->occupancy, other->floor_slots(limit));
  }
  constexpr double kLeast = 0.25;
  return std::max({left, rank.floor_slots(limit), kLeast});
}

Seconds AdmissionController::State::PredictedWait(const RankState& rank,
                                                  int turns) const {
  return turns * rank.service.mean() / this->SlotsFor(rank);
}

// How long a call may wait: what its target leaves beside its own run, or half
// a run when the backend server is slower than the target; never past its
// deadline.
Seconds AdmissionController::State::WaitBudget(const RankState& rank,
                                               Seconds left) const {
  const Seconds run = rank.service.mean() + rank.service.deviation();
  const Seconds by_deadline = left - run;
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
  return call.rank->queue.TurnsUntil(*call.client_account);
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
  constexpr Seconds kAnyDeadline = std::chrono::hours(1);
  return this->PredictedWait(rank, rank.queue.TurnsUntilNewcomer()) >
         this->WaitBudget(rank, kAnyDeadline);
}

// Whether a call would likely end too late even if it ran now. A rank that runs
// nothing is not judged by what its last calls took.
bool AdmissionController::State::Hopeless(const Call& call, Instant now) {
  const bool judged = call.rank->running > 0;
  const Seconds left = call.deadline - now;
  const TimeEstimate& service = call.rank->service;
  return left <= Seconds(0) ||
         (judged && left < service.mean() + service.deviation());
}

// Whether a call has waited far longer than was foreseen: capacity was lost, or
// went to others. Were it kept, the whole line would end at its deadlines.
bool AdmissionController::State::Overstays(const Call& call,
                                           Instant now) const {
  const Seconds budget =
      this->WaitBudget(*call.rank, call.deadline - call.arrived);
  return Seconds(now - call.arrived) > kPatience * budget;
}

// Steps ---------------------------------------------------------------------

void AdmissionController::State::Dispatch(Instant now,
                                          AdmissionActions& actions) {
  while (static_cast<int>(this->running.size()) < this->limiter.limit()) {
    RankState* rank = this->NextRank();
    if (rank == nullptr) {
      return;
    }
    const CallList::iterator call = this->TakeNext(*rank);
    if (Hopeless(*call, now)) {
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
  call->beside = static_cast<int>(this->running.size());
  this->suspects_running += call->suspect ? 1 : 0;
  actions.push_back(RunCall{call->id});
}

// `call` is the last of `running`, where it never ran.
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
  State& all = *this->state;
  for (const auto& [name, policy] : policies) {
    all.ranks[name].policy = policy;
  }
  for (auto& [name, rank] : all.ranks) {
    if (!policies.contains(name)) {
      rank.policy = RankPolicy{name, {}, 0, 0};
    }
  }
  std::erase_if(all.ranks, [&](const auto& entry) {
    return !policies.contains(entry.first) && entry.second.idle();
  });
  all.SortRanks();
}

AdmissionActions AdmissionController::Offer(const AdmissionRequest& request,
                                            Instant now) {
  State& all = *this->state;
  if (all.draining) {
    return {RefuseCall{request.id, Reason::kDraining}};
  }
  if (all.limiter.limit() == 0) {
    return {RefuseCall{request.id, Reason::kNodeNotReady}};
  }
  if (request.deadline <= now) {
    return {RefuseCall{request.id, Reason::kDeadline}};
  }
  if (all.calls.contains(request.id)) {
    return {};
  }
  all.Advance(now);
  RankState& rank = all.RankOf(request.rank);
  CallList arriving;
  arriving.push_back({.id = request.id,
                      .arrived = request.arrived,
                      .deadline = request.deadline,
                      .suspect = request.suspect,
                      .rank = &rank});
  const CallList::iterator call = arriving.begin();
  all.calls.emplace(request.id, call);
  if (request.suspect) {
    rank.suspects.splice(rank.suspects.end(), arriving);
  } else {
    rank.queue.Push(request.client_account, arriving);
  }

  AdmissionActions actions;
  all.Dispatch(now, actions);
  const bool waits = all.calls.contains(request.id) && !call->running;
  if (waits && all.WaitsTooLong(*call, now)) {
    CallList refused;
    all.TakeFromQueue(call, refused);
    all.RefuseAll(refused, Reason::kOverloaded, actions);
  }
  return actions;
}

AdmissionActions AdmissionController::OnFinished(std::uint64_t id,
                                                 FinishKind kind,
                                                 Instant now) {
  State& all = *this->state;
  const auto found = all.calls.find(id);
  if (found == all.calls.end() || !found->second->running) {
    return {};
  }
  all.Advance(now);
  const CallList::iterator call = found->second;
  all.limiter.OnFinished(kind, call->beside, now);
  call->rank->Finish(*call, kind == FinishKind::kOk, now);
  all.suspects_running -= call->suspect ? 1 : 0;
  all.running.erase(call);
  all.calls.erase(found);
  AdmissionActions actions;
  all.Dispatch(now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnCancel(std::uint64_t id, Instant now) {
  State& all = *this->state;
  const auto found = all.calls.find(id);
  if (found == all.calls.end() || found->second->running) {
    return {};
  }
  all.Advance(now);
  CallList refused;
  AdmissionActions actions;
  all.TakeFromQueue(found->second, refused);
  all.RefuseAll(refused, Reason::kDeadline, actions);
  return actions;
}

AdmissionActions AdmissionController::OnTick(Instant now) {
  State& all = *this->state;
  all.Advance(now);
  const auto hopeless = [&all, now](const Call& call) {
    return State::Hopeless(call, now) || all.Overstays(call, now);
  };
  CallList refused;
  for (RankState* rank : all.by_worth) {
    rank->queue.RemoveIf(hopeless, refused);
    for (auto call = rank->suspects.begin(); call != rank->suspects.end();) {
      const auto current = call++;
      if (hopeless(*current)) {
        all.TakeFromQueue(current, refused);
      }
    }
  }
  AdmissionActions actions;
  all.RefuseAll(refused, Reason::kDeadline, actions);
  all.Dispatch(now, actions);
  return actions;
}

AdmissionActions AdmissionController::OnDrain(Instant now) {
  State& all = *this->state;
  all.Advance(now);
  all.draining = true;
  CallList refused;
  for (RankState* rank : all.by_worth) {
    rank->queue.RemoveIf([](const Call&) { return true; }, refused);
    refused.splice(refused.end(), rank->suspects);
  }
  AdmissionActions actions;
  all.RefuseAll(refused, Reason::kDraining, actions);
  return actions;
}

LoadReport AdmissionController::Report(Instant /*now*/) const {
  const State& all = *this->state;
  LoadReport report;
  report.limit = all.limiter.limit();
  report.running = static_cast<int>(all.running.size());
  for (const RankState* rank : all.by_worth) {
    report.queued += rank->queued();
  }
  const auto refusing = [&](const RankState* rank) {
    return all.WouldWaitTooLong(*rank);
  };
  // From the least urgent up: the first rank that is still taken in.
  const auto taken =
      std::find_if_not(all.by_worth.rbegin(), all.by_worth.rend(), refusing);
  if (taken != all.by_worth.rbegin()) {
    report.admission_level = taken == all.by_worth.rend()
                                 ? all.by_worth.front()->policy.worth + 1
                                 : (*taken)->policy.worth;
  }
  if (all.draining) {
    report.admission_level = std::numeric_limits<int>::max();
  }
  Seconds slot_time{0};
  double occupancy = 0;
  for (const RankState* rank : all.by_worth) {
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
