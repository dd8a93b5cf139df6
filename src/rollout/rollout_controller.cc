#include "tanagerledge/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "src/execution/rendezvous.h"
#include "tanagerledge/rollout_verdict.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The share is concentrated between these parts of the observation. Near its
// end a steady share shows faults that begin late.
constexpr double kSpreadUntil = 0.3;
constexpr double kSpreadAgainFrom = 0.8;
// The part of the share that is spread in the pauses of a concentrated share.
constexpr double kPauseShare = 0.4;
// A bad version shows on so many of its backend servers, if there are as many.
constexpr std::size_t kServersToConfirm = 2;

// With fewer answers after a fifth of the time, the share is raised.
constexpr std::int64_t kFewAnswers = 20;
constexpr double kShareForFewAnswers = 0.5;

void Add(RolloutEvidence& sum, const RolloutEvidence& rows) {
  for (const auto& [key, counts] : rows) {
    sum[key] += counts;
  }
}

}  // namespace

RolloutController::RolloutController(RolloutControllerConfig controller_config,
                                     RolloutOrder order,
                                     milliseconds age,
                                     Instant now)
    : config(controller_config),
      current_order(std::move(order)),
      ordered_at(now - age),
      began(now),
      phase_began(now) {}

// Events ----------------------------------------------------------------------

void RolloutController::SetServers(std::vector<Endpoint> next) {
  this->servers = std::move(next);
}

void RolloutController::OnReport(const NodeId& node,
                                 Incarnation incarnation,
                                 const RolloutEvidence& rows,
                                 RolloutPhase phase,
                                 milliseconds age,
                                 Instant now) {
  this->ordered_at = std::min(this->ordered_at, now - age);
  NodeCounts& counts = this->by_node[node];
  if (counts.incarnation != incarnation) {
    Add(this->retired, counts.rows);
    counts = {incarnation, {}, now};
  }
  counts.heard = now;
  for (const auto& [key, row] : rows) {
    counts.rows[key] = row;
  }
  if (IsTerminal(this->current_phase)) {
    return;
  }
  if (IsTerminal(phase)) {
    this->Enter(phase, "another node knows the status", now);
  } else if (phase == RolloutPhase::kRejected &&
             this->current_phase != RolloutPhase::kRejected) {
    this->Enter(phase, "another node has rejected it", now);
  }
}

void RolloutController::OnStatusRead(
    const std::optional<RolloutStatus>& status) {
  this->status_read = true;
  if (!status || !BelongsTo(*status, this->current_order)) {
    this->stored.reset();
    return;
  }
  this->stored = status->state;
  if (status->state != RolloutState::kInProgress) {
    this->current_phase = status->state == RolloutState::kCompleted
                              ? RolloutPhase::kCompleted
                              : RolloutPhase::kRolledBack;
    this->decision = "the store has the status";
  }
}

void RolloutController::OnStatusWritten(RolloutState state) {
  this->stored = state;
  if (state == RolloutState::kCompleted) {
    this->current_phase = RolloutPhase::kCompleted;
  } else if (state == RolloutState::kRolledBack) {
    this->current_phase = RolloutPhase::kRolledBack;
  }
}

// Decisions -------------------------------------------------------------------

void RolloutController::Tick(Instant now) {
  if (this->current_phase == RolloutPhase::kRejected ||
      IsTerminal(this->current_phase)) {
    return;
  }
  if (!this->status_read && now - this->began < this->config.status_wait) {
    return;
  }
  this->Judge(now);
  if (this->current_phase == RolloutPhase::kWaiting &&
      !this->ReadyTargets().empty()) {
    this->Enter(RolloutPhase::kCanary, "backend servers are ready", now);
  }
  const bool in_final = this->current_phase == RolloutPhase::kFinal;
  if (!in_final && this->current_phase != RolloutPhase::kRejected &&
      this->Age(now) >= this->DecideAt()) {
    this->Decide(now);
  }
  if (in_final && now - this->phase_began >= this->FinalLength()) {
    this->terminal_requested = true;
  }
  this->ChooseServers(now);
}

void RolloutController::Judge(Instant now) {
  if (this->terminal_requested) {
    return;
  }
  RolloutEvidence sum = this->Sum();
  const BadServers bad = this->FindBadInWindows(
      sum, this->bad_since.empty() ? kDecisive : kConfirming, now);
  std::erase_if(this->slow_since, [&](const auto& suspect) {
    return !bad.slow.contains(suspect.first);
  });
  std::erase_if(this->bad_since, [&](const auto& suspect) {
    return now - suspect.second > this->config.suspicion;
  });
  std::ranges::for_each(bad.failing, [&](const NodeId& server) {
    this->NoteBad(server, "failures at ", now);
  });
  std::ranges::for_each(bad.slow, [&](const NodeId& server) {
    const Instant since =
        this->slow_since.try_emplace(server, now).first->second;
    if (now - since >= (this->bad_since.empty()
                            ? this->config.slow_persistence
                            : this->config.second_persistence)) {
      this->NoteBad(server, "slow answers of ", now);
    }
  });
  this->history.push_back({now, std::move(sum)});
  while (now - this->history.front().at >
         this->config.longest_window + milliseconds(1000)) {
    this->history.pop_front();
  }
  if (this->bad_since.size() >= this->NeededServers()) {
    this->Enter(RolloutPhase::kRejected, this->decision, now);
  }
}

RolloutEvidence RolloutController::Since(milliseconds window,
                                         const RolloutEvidence& sum,
                                         Instant now) const {
  // Before the first snapshot of the window, this node knew of nothing.
  const auto older = std::ranges::find_if(
      this->history.rbegin(), this->history.rend(),
      [&](const Snapshot& each) { return now - each.at >= window; });
  return older == this->history.rend() ? sum : Difference(sum, older->sum);
}

BadServers RolloutController::FindBadInWindows(const RolloutEvidence& sum,
                                               double log_ratio,
                                               Instant now) const {
  BadServers bad;
  for (const milliseconds window :
       {this->config.short_window, this->config.long_window,
        this->config.longest_window}) {
    BadServers found = FindBadServers(this->Since(window, sum, now), log_ratio);
    bad.failing.merge(found.failing);
    bad.slow.merge(found.slow);
  }
  return bad;
}

std::size_t RolloutController::NeededServers() const {
  return std::clamp<std::size_t>(this->ReadyTargets().size(), 1,
                                 kServersToConfirm);
}

void RolloutController::NoteBad(const NodeId& server,
                                const char* what,
                                Instant now) {
  if (this->bad_since.try_emplace(server, now).second) {
    this->decision += "; " + (what + server.value);
  }
}

void RolloutController::Decide(Instant now) {
  const RolloutEvidence sum = this->Sum();
  const bool no_evidence =
      this->ReadyTargets().empty() || TargetAnswers(sum) == 0;
  // A node that is cut off may lack evidence that the others have.
  if (no_evidence && !this->HearsHalf(now) &&
      this->Age(now) < this->current_order.duration) {
    return;
  }
  BadServers bad = this->FindBadInWindows(sum, kSuspicious, now);
  bad.failing.merge(bad.slow);
  if (this->ReadyTargets().empty()) {
    this->Enter(RolloutPhase::kRejected, "no backend server is ready", now);
  } else if (TargetAnswers(sum) == 0) {
    this->Enter(RolloutPhase::kRejected, "no answers", now);
  } else if (bad.failing.size() >= this->NeededServers() || IsLikelyBad(sum) ||
             IsLikelyBad(this->Since(this->config.longest_window, sum, now))) {
    this->Enter(RolloutPhase::kRejected, "bad answers in all", now);
  } else {
    this->Enter(RolloutPhase::kFinal, "good until the end", now);
  }
}

void RolloutController::Enter(RolloutPhase phase,
                              std::string why,
                              Instant now) {
  this->current_phase = phase;
  this->phase_began = now;
  this->decision = std::move(why);
}

// Directive -------------------------------------------------------------------

// Spreads the share at first. Later the fewest servers take it that get about a
// normal load by it, in turns; a share beyond the limit is sent with pauses.
void RolloutController::ChooseServers(Instant now) {
  this->chosen.clear();
  this->share = 0;
  if (this->current_phase != RolloutPhase::kCanary) {
    return;
  }
  auto ready = this->ReadyTargets();
  const double mean_share = kCanaryPart * this->config.limits.exposure_ratio *
                            (1 - this->config.reserve_share);
  const double full_share =
      this->config.load_factor /
      static_cast<double>(std::max<std::size_t>(1, this->Others()));
  const auto loaded = std::max<std::size_t>(
      1, static_cast<std::size_t>(mean_share / full_share));
  const auto in_canary = now - this->phase_began;
  const auto whole = this->ordered_at + this->DecideAt() - this->phase_began;
  std::size_t wanted = loaded;
  const auto part_of_canary = [&](double part) {
    return Scaled(duration_cast<microseconds>(whole), part);
  };
  if (in_canary < part_of_canary(kSpreadUntil) ||
      in_canary > part_of_canary(kSpreadAgainFrom)) {
    wanted = std::max(loaded, kServersToConfirm);
    this->share =
        std::min(mean_share, full_share * static_cast<double>(wanted));
  } else {
    this->share = full_share * static_cast<double>(loaded);
    const auto cycle =
        Scaled(this->config.turn,
               std::max(1.0, this->share / (mean_share * (1 - kPauseShare))));
    const auto turns = static_cast<std::size_t>(in_canary / cycle);
    if (in_canary % cycle >= this->config.turn) {
      wanted = std::max(loaded, kServersToConfirm);
      this->share = mean_share * kPauseShare;
    }
    if (!ready.empty()) {
      const auto first =
          static_cast<std::ptrdiff_t>(turns * loaded % ready.size());
      std::rotate(ready.begin(), ready.begin() + first, ready.end());
    }
  }
  // A server that looks slow keeps its share until that is certain. Others are
  // tested under the same load meanwhile.
  std::erase_if(ready, [this](const NodeId& node) {
    return this->bad_since.contains(node);
  });
  const auto clean = std::stable_partition(
      ready.begin(), ready.end(),
      [this](const NodeId& node) { return this->slow_since.contains(node); });
  const auto suspects = static_cast<std::size_t>(clean - ready.begin());
  if (suspects > 0 || !this->bad_since.empty()) {
    wanted = suspects + loaded;
    this->share = full_share * static_cast<double>(wanted);
  }
  // A service with few requests: the nodes' allowances are the limit.
  if (in_canary > duration_cast<microseconds>(whole) / 5 &&
      TargetAnswers(this->Sum()) < kFewAnswers) {
    this->share = kShareForFewAnswers;
  }
  ready.resize(std::min(ready.size(), wanted));
  this->chosen = std::move(ready);
}

milliseconds RolloutController::Period() const {
  const bool urgent =
      this->current_phase == RolloutPhase::kFinal ||
      ((!this->slow_since.empty() || !this->bad_since.empty()) &&
       this->current_phase == RolloutPhase::kCanary);
  return urgent ? this->config.urgent_period : this->config.period;
}

RolloutDirective RolloutController::Directive(Instant now) const {
  return {this->current_order, this->Age(now), this->current_phase,
          this->share,         this->chosen,   this->fleet_size};
}

std::optional<RolloutState> RolloutController::DesiredStatus() const {
  std::optional<RolloutState> desired;
  if (this->current_phase == RolloutPhase::kRejected ||
      this->current_phase == RolloutPhase::kRolledBack) {
    desired = RolloutState::kRolledBack;
  } else if (this->terminal_requested ||
             this->current_phase == RolloutPhase::kCompleted) {
    desired = RolloutState::kCompleted;
  } else if (this->current_phase == RolloutPhase::kCanary) {
    desired = RolloutState::kInProgress;
  }
  const bool has_terminal =
      this->stored && *this->stored != RolloutState::kInProgress;
  return has_terminal || desired == this->stored ? std::nullopt : desired;
}

// Values ----------------------------------------------------------------------

milliseconds RolloutController::Age(Instant now) const {
  return duration_cast<milliseconds>(now - this->ordered_at);
}

milliseconds RolloutController::FinalLength() const {
  return std::min(this->config.max_final,
                  duration_cast<milliseconds>(Scaled(
                      this->current_order.duration, this->config.final_part)));
}

milliseconds RolloutController::DecideAt() const {
  const auto reserve =
      std::clamp(duration_cast<milliseconds>(Scaled(
                     this->current_order.duration, this->config.reserve_part)),
                 this->config.min_reserve, this->config.max_reserve);
  return this->current_order.duration - reserve - this->FinalLength();
}

std::vector<NodeId> RolloutController::ReadyTargets() const {
  std::vector<NodeId> nodes;
  std::ranges::for_each(this->servers, [&](const Endpoint& server) {
    if (server.version == this->current_order.new_version &&
        server.state == EndpointState::kReady) {
      nodes.push_back(server.node);
    }
  });
  return BestNodesFor(this->current_order.offset.value, nodes, nodes.size());
}

bool RolloutController::HearsHalf(Instant now) const {
  const auto heard =
      std::ranges::count_if(this->by_node, [&](const auto& entry) {
        return now - entry.second.heard <= this->config.recent;
      });
  return 2 * static_cast<std::size_t>(heard) >= this->fleet_size;
}

std::size_t RolloutController::Others() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->servers, [this](const Endpoint& server) {
        return server.version != this->current_order.new_version;
      }));
}

RolloutEvidence RolloutController::Sum() const {
  RolloutEvidence sum = this->retired;
  for (const auto& [node, counts] : this->by_node) {
    Add(sum, counts.rows);
  }
  return sum;
}

}  // namespace tanagerledge
