#include "tanagerledge/rollout_gate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The part of the slack that the nodes share. The rest is for nodes that
// restart and begin again.
constexpr double kSlackPart = 0.4;
// A directive that is older than the order's age known here by this much was
// delayed on its way.
constexpr milliseconds kMaxDirectiveDelay{2000};

}  // namespace

RolloutGate::RolloutGate(RolloutGateConfig gate_config)
    : config(std::move(gate_config)),
      random(static_cast<std::minstd_rand::result_type>(
          this->config.seed % std::minstd_rand::modulus)) {
  // Rounds the share of each node at random, so that the sum over many nodes is
  // right although a share may be below one request. A restarted node rounds in
  // the same way.
  this->rounding = static_cast<double>(std::hash<NodeId>()(this->config.self)) /
                   static_cast<double>(std::numeric_limits<std::size_t>::max());
}

void RolloutGate::OnOrder(const RolloutOrder& order,
                          milliseconds age,
                          Instant now) {
  if (this->known && IsRewritten(order, *this->known)) {
    this->known = order;
    this->directive.reset();
    return;
  }
  if (this->known && order == *this->known) {
    this->ordered_at = std::min(this->ordered_at, now - age);
    return;
  }
  if (this->known && !IsNewer(order, *this->known)) {
    return;
  }
  this->known = order;
  this->ordered_at = now - age;
  this->last_phase = RolloutPhase::kWaiting;
  this->directive.reset();
  this->other_seen = this->HasOther();
  this->answered = 0;
  this->exposed = 0;
  this->evidence.clear();
}

milliseconds RolloutGate::Age(Instant now) const {
  return duration_cast<milliseconds>(now - this->ordered_at);
}

void RolloutGate::OnDirective(const RolloutDirective& next, Instant now) {
  this->OnOrder(next.order, next.age, now);
  if (next.order != *this->known) {
    return;
  }
  if (next.phase == RolloutPhase::kCompleted ||
      next.phase == RolloutPhase::kRolledBack) {
    if (!IsTerminal(this->last_phase)) {
      this->last_phase = next.phase;
    }
    return;
  }
  const bool decided = this->last_phase == RolloutPhase::kRejected ||
                       IsTerminal(this->last_phase);
  if (decided || next.age + kMaxDirectiveDelay < this->Age(now)) {
    return;
  }
  this->fleet_size = std::max(this->fleet_size, next.fleet_size);
  this->last_phase = next.phase;
  this->directive = next;
  this->directive_until = now + this->config.directive_lifetime;
}

void RolloutGate::OnStatus(const RolloutStatus& status) {
  if (!this->known || !BelongsTo(status, *this->known) ||
      IsTerminal(this->last_phase)) {
    return;
  }
  if (status.state == RolloutState::kCompleted) {
    this->last_phase = RolloutPhase::kCompleted;
  } else if (status.state == RolloutState::kRolledBack) {
    this->last_phase = RolloutPhase::kRolledBack;
  }
}

void RolloutGate::SetServers(std::vector<Endpoint> next,
                             std::size_t live_nodes,
                             Instant now) {
  this->servers = std::move(next);
  std::ranges::for_each(this->servers, [&](const Endpoint& server) {
    this->version_seen.try_emplace(server.version, now);
  });
  if (!this->servers.empty() && !this->servers_known_since) {
    this->servers_known_since = now;
  }
  this->other_seen = this->other_seen || this->HasOther();
  this->fleet_size = std::max(this->fleet_size, live_nodes);
}

bool RolloutGate::HasOther() const {
  return this->known &&
         std::ranges::any_of(this->servers, [this](const Endpoint& server) {
           return server.version != this->known->new_version;
         });
}

bool RolloutGate::HasTarget() const {
  return std::ranges::any_of(this->servers, [this](const Endpoint& server) {
    return server.version == this->known->new_version;
  });
}

bool RolloutGate::HasAllowance(double part) const {
  const double allowed = part * this->config.limits.exposure_ratio *
                             static_cast<double>(this->answered) +
                         kSlackPart * this->config.limits.exposure_slack /
                             static_cast<double>(this->fleet_size) +
                         this->rounding;
  return static_cast<double>(this->exposed + 1) <= allowed;
}

VersionChoice RolloutGate::Choose(bool retry, Instant now) {
  if (!this->known) {
    return this->ChooseWithoutOrder(now);
  }
  VersionChoice others;
  others.excluded = this->known->new_version;
  if (this->last_phase == RolloutPhase::kCompleted) {
    // The servers of other versions are stopped without draining.
    return this->HasTarget() ? this->ChooseTarget(false) : VersionChoice{};
  }
  if (!this->other_seen && this->HasTarget()) {
    return {};  // The service has this version already.
  }
  const bool directed = this->directive && now < this->directive_until;
  if (!directed || this->last_phase == RolloutPhase::kRejected ||
      this->last_phase == RolloutPhase::kRolledBack || !this->HasTarget()) {
    return others;
  }
  const bool final_phase = this->directive->phase == RolloutPhase::kFinal;
  const bool canary =
      this->directive->phase == RolloutPhase::kCanary && !retry &&
      std::uniform_real_distribution()(this->random) < this->directive->share;
  if ((!final_phase && !canary) ||
      !this->HasAllowance(final_phase ? kTotalPart : kCanaryPart)) {
    return others;
  }
  ++this->exposed;
  VersionChoice target = this->ChooseTarget(canary);
  target.counts = true;
  return target;
}

VersionChoice RolloutGate::ChooseInstead(const VersionChoice& failed) {
  VersionChoice others;
  if (failed.counts) {
    this->ReturnAllowance();
  }
  if (this->known && this->last_phase != RolloutPhase::kCompleted) {
    others.excluded = this->known->new_version;
  }
  return others;
}

bool RolloutGate::has_several_versions() const {
  return std::ranges::any_of(this->servers, [this](const Endpoint& server) {
    return server.version != this->servers.front().version;
  });
}

VersionChoice RolloutGate::ChooseTarget(bool concentrated) const {
  VersionChoice choice;
  choice.only = this->known->new_version;
  if (concentrated) {
    const std::vector<NodeId>& chosen = this->directive->servers;
    std::ranges::for_each(this->servers, [&](const Endpoint& server) {
      if (server.version == choice.only &&
          std::ranges::find(chosen, server.node) == chosen.end()) {
        choice.excluded_servers.push_back(server.node);
      }
    });
  }
  return choice;
}

VersionChoice RolloutGate::ChooseWithoutOrder(Instant now) const {
  const auto is_new = [&](const auto& seen) {
    return this->servers_known_since &&
           seen.second >
               *this->servers_known_since + this->config.start_grace &&
           now - seen.second < this->config.new_version_delay;
  };
  const auto newest = std::ranges::find_if(this->version_seen, is_new);
  const bool has_known =
      std::ranges::any_of(this->servers, [&](const Endpoint& server) {
        return !is_new(*this->version_seen.find(server.version));
      });
  VersionChoice choice;
  if (newest != this->version_seen.end() && has_known) {
    choice.excluded = newest->first;
  }
  return choice;
}

void RolloutGate::OnAnswer(const NodeId& node,
                           const RouteName& route,
                           bool failure,
                           std::chrono::microseconds time) {
  if (!this->known || IsTerminal(this->last_phase)) {
    return;
  }
  ++this->answered;
  const auto server = std::ranges::find(this->servers, node, &Endpoint::node);
  if (server == this->servers.end()) {
    return;
  }
  EvidenceKey key{NodeId{}, route};
  if (server->version == this->known->new_version) {
    key.server = node;
  }
  Row& row = this->evidence[key];
  row.counts.Add(failure, time);
  row.revision = ++this->current_revision;
}

RolloutEvidence RolloutGate::EvidenceSince(std::int64_t seen) const {
  RolloutEvidence changed;
  for (const auto& [key, row] : this->evidence) {
    if (row.revision > seen) {
      changed.emplace(key, row.counts);
    }
  }
  return changed;
}

}  // namespace tanagerledge
