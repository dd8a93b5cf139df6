#include "tanagerledge/config_proof.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "src/execution/rendezvous.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Any numbers that are the same on all nodes.
constexpr std::uint64_t kReaderKey = 0x70726f6f66;
constexpr std::uint64_t kZoneKey = 0x7a6f6e6573;

constexpr std::size_t kMaxPending = 8;

void AddPending(auto& waiting, auto pending) {
  waiting.push_back(pending);
  if (waiting.size() > kMaxPending) {
    waiting.erase(waiting.begin());
  }
}

}  // namespace

ConfigProof::ConfigProof(NodeId self_node,
                         Zone own_zone,
                         std::uint64_t seed,
                         ConfigProofConfig proof_config)
    : self(std::move(self_node)),
      zone(std::move(own_zone)),
      config(proof_config),
      random(seed),
      readers({this->self}) {}

// Members ---------------------------------------------------------------------

void ConfigProof::OnMembers(const std::vector<Member>& members) {
  std::map<std::string, std::vector<NodeId>> by_zone;
  by_zone[this->zone.value].push_back(this->self);
  std::ranges::for_each(members, [&](const Member& member) {
    if (member.node != this->self && IsLive(member)) {
      by_zone[member.zone.value].push_back(member.node);
    }
  });
  std::vector<NodeId> zone_names;
  std::ranges::transform(by_zone, std::back_inserter(zone_names),
                         [](const auto& entry) { return NodeId{entry.first}; });
  const std::vector<NodeId> zones =
      BestNodesFor(kZoneKey, zone_names, zone_names.size());
  this->reading_zones = std::min(zones.size(), this->config.max_reading_zones);
  this->live = 1;
  this->same_zone_peers.clear();
  this->other_zone_peers.clear();
  this->other_zone_readers.clear();
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const std::vector<NodeId>& nodes = by_zone[zones[i].value];
    std::vector<NodeId> best =
        BestNodesFor(kReaderKey, nodes, this->config.readers_per_zone);
    if (zones[i].value != this->zone.value) {
      this->live += nodes.size();
      std::ranges::copy(nodes, std::back_inserter(this->other_zone_peers));
      std::ranges::copy(best, std::back_inserter(this->other_zone_readers));
      continue;
    }
    this->live += nodes.size() - 1;
    this->own_zone_reads = i < this->reading_zones;
    std::ranges::copy_if(
        nodes, std::back_inserter(this->same_zone_peers),
        [this](const NodeId& node) { return node != this->self; });
    const auto own = std::ranges::find(best, this->self);
    this->rank = own == best.end()
                     ? std::nullopt
                     : std::optional<std::size_t>(own - best.begin());
    const std::size_t queried = std::clamp<std::size_t>(
        nodes.size() / this->config.nodes_per_reader, 1, best.size());
    this->first_reader =
        this->rank ? 0 : std::hash<NodeId>()(this->self) % queried;
    this->readers = std::move(best);
  }
}

// Proofs ----------------------------------------------------------------------

bool ConfigProof::IsRecent(BootInstant now) const {
  const auto limit = Scaled(this->config.limit, 1 - this->config.clock_margin);
  return this->proven_at && now - *this->proven_at < limit;
}

std::optional<BootClock::duration> ConfigProof::Age(BootInstant now) const {
  return this->proven_at ? std::optional(now - *this->proven_at) : std::nullopt;
}

void ConfigProof::Accept(BootInstant proven) {
  this->proven_at = std::max(this->proven_at.value_or(proven), proven);
}

void ConfigProof::AcceptPending(std::vector<Pending>& waiting,
                                std::uint64_t have) {
  std::erase_if(waiting, [&](const Pending& each) {
    if (each.needed > have) {
      return false;
    }
    this->Accept(each.proven);
    return true;
  });
}

// A node that starts doesn't know when the store came back last.
void ConfigProof::OnStoreEra(StoreEra store_era, BootInstant now) {
  if (this->era ? store_era <= *this->era : store_era == StoreEra{}) {
    this->era = this->era.value_or(store_era);
    return;
  }
  this->era = store_era;
  this->applied_end = 0;
  this->waiting_for_records.clear();
  this->trusted_from = now + this->config.rewrite_time;
}

void ConfigProof::OnStoreRead(BootInstant sent, LogOffset end) {
  if (sent < this->trusted_from) {
    this->read_pending = false;
    this->next_read_at = this->trusted_from;
    return;
  }
  this->failed_reads = 0;
  this->next_read_at = sent + this->config.min_read_gap;
  // Without an earlier proof, the fleet is just starting.
  if (this->read_pending && this->proven_at && !this->IsUsualReader() &&
      !this->IsSubstitute(sent)) {
    this->substitute_since = sent;
  }
  this->read_pending = false;
  if (end.value <= this->applied_end) {
    this->Accept(sent);
  } else {
    AddPending(this->waiting_for_records, Pending{sent, end.value});
  }
}

void ConfigProof::OnStoreReadFailed(BootInstant now) {
  constexpr int kMaxDoublings = 4;
  const int doublings = std::min(this->failed_reads, kMaxDoublings);
  this->next_read_at =
      now + std::min(this->config.retry_delay * (1 << doublings),
                     this->config.max_retry_delay);
  ++this->failed_reads;
  this->read_pending = false;
  this->substitute_since.reset();
}

void ConfigProof::OnApplied(LogOffset end) {
  this->applied_end = std::max(this->applied_end, end.value);
  this->AcceptPending(this->waiting_for_records, this->applied_end);
}

void ConfigProof::OnVersion(std::uint64_t version) {
  this->version_in_force = std::max(this->version_in_force, version);
  this->AcceptPending(this->waiting_for_version, this->version_in_force);
}

void ConfigProof::OnPeerProof(const NodeId& peer,
                              BootInstant asked,
                              std::uint64_t version,
                              microseconds age) {
  constexpr microseconds kMaxAge = std::chrono::hours(1);
  if (age < microseconds{0} || age > kMaxAge) {
    return;
  }
  const BootInstant proven = asked - age;
  const bool is_recent = age < this->Interval() / 2;
  if (is_recent && proven > this->proven_at.value_or(BootInstant::min())) {
    // The readers have no proof, and other nodes get theirs from this one.
    if (this->rank && this->asks > 2 && this->source != peer) {
      this->source = peer;
      this->source_until = asked + this->config.source_lifetime;
    }
    this->asks = 0;
    this->substitute_since.reset();  // Another node reads the store.
  }
  if (version <= this->version_in_force) {
    this->Accept(proven);
  } else {
    AddPending(this->waiting_for_version, Pending{proven, version});
  }
}

void ConfigProof::OnPeerAnswered() {
  this->unanswered = 0;
  this->pending_asks -= this->pending_asks > 0 ? 1 : 0;
}

void ConfigProof::OnPeerFailed() {
  ++this->unanswered;
  this->pending_asks -= this->pending_asks > 0 ? 1 : 0;
}

// Actions ---------------------------------------------------------------------

milliseconds ConfigProof::Interval() const {
  return std::max(
      this->config.min_interval,
      this->config.interval_per_zone * static_cast<int>(this->reading_zones));
}

milliseconds ConfigProof::AskAge(BootInstant now) const {
  if (this->IsSubstitute(now)) {
    // Finds out in time that the usual readers have a proof again.
    return this->Interval() - this->config.ask_delay;
  }
  // Each reader on the way from the store to this node takes a query.
  const bool is_second_step = this->first_reader > 0;
  const bool is_relayed = !this->own_zone_reads && this->rank != 0U;
  const int steps = 1 + (is_second_step ? 1 : 0) + (is_relayed ? 1 : 0);
  return this->Interval() + this->config.ask_delay * steps;
}

milliseconds ConfigProof::AskInterval(BootInstant now,
                                      BootClock::duration age) const {
  if (!this->IsRecent(now)) {
    return this->config.idle_ask_interval;
  }
  return age < this->config.random_read_age ? this->config.ask_interval
                                            : this->config.search_interval;
}

std::optional<milliseconds> ConfigProof::ReadAge(BootInstant now) const {
  if (this->IsAlone()) {
    return std::max(this->Interval(), this->config.lone_interval);
  }
  if (this->IsUsualReader()) {
    return this->Interval();
  }
  if (this->substitute_since) {
    if (this->IsSubstitute(now)) {
      return this->Interval();
    }
    if (now - *this->substitute_since <
        this->config.substitution + this->config.substitution_check) {
      return this->Interval() + this->config.rank_delay;
    }
  }
  if (this->rank) {
    return this->Interval() +
           this->config.rank_delay * static_cast<int>(*this->rank) +
           (this->own_zone_reads ? milliseconds{0}
                                 : this->config.other_zone_delay);
  }
  return std::nullopt;
}

bool ConfigProof::IsRandomReadDue(BootInstant now, BootClock::duration age) {
  // A process that was frozen must not make up for the time.
  constexpr std::chrono::duration<double> kMaxStep = milliseconds(100);
  const std::chrono::duration<double> step =
      std::min<std::chrono::duration<double>>(now - this->last_tick, kMaxStep);
  if (age < this->config.random_read_age) {
    return false;
  }
  const double rate = age < this->config.urgent_age
                          ? this->config.random_reads_per_s
                          : this->config.urgent_reads_per_s;
  const double chance = step.count() * rate / static_cast<double>(this->live);
  return std::bernoulli_distribution(std::clamp(chance, 0.0, 1.0))(
      this->random);
}

ProofActions ConfigProof::Tick(BootInstant now,
                               const ConnectionCheck& is_connected) {
  ProofActions out;
  // Without a proof, the node is as late as one can be.
  const BootClock::duration age =
      this->Age(now).value_or(this->config.limit * 2);
  if (now >= this->next_read_at) {
    const auto read_age = this->ReadAge(now);
    const bool is_due = read_age && age >= *read_age;
    if (is_due || this->IsRandomReadDue(now, age)) {
      this->next_read_at = now + this->config.read_timeout;
      this->read_pending = true;
      out.emplace_back(ReadStoreForProof{});
    }
  }
  if (age >= this->AskAge(now) && now >= this->next_ask_at &&
      this->pending_asks < this->config.max_asks) {
    this->next_ask_at = now + this->AskInterval(now, age);
    if (auto peer = this->NextPeer(now, is_connected)) {
      ++this->pending_asks;
      out.emplace_back(AskPeerForProof{std::move(*peer)});
    } else {
      ++this->unanswered;
    }
  }
  this->last_tick = now;
  return out;
}

// The readers of the own zone first, since crossing zones has a price; then
// those of other zones and any node, of which some may be served by the store.
std::optional<NodeId> ConfigProof::NextPeer(
    BootInstant now,
    const ConnectionCheck& is_connected) {
  const std::size_t ask = this->asks++;
  const auto pick = [&](const std::vector<NodeId>& nodes, std::size_t start) {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      const NodeId& node = nodes[(start + i) % nodes.size()];
      if (node != this->self && is_connected(node)) {
        return std::optional(node);
      }
    }
    return std::optional<NodeId>();
  };
  if (ask == 0 && this->source && now < this->source_until &&
      is_connected(*this->source)) {
    return this->source;
  }
  constexpr std::size_t kSteps = 6;
  const std::size_t round = ask / kSteps;
  // The first reader of a zone that doesn't read gets its proof elsewhere.
  const bool is_relay = this->rank == 0U && !this->own_zone_reads;
  std::optional<NodeId> peer;
  switch (ask == 0 && is_relay ? 2 : ask % kSteps) {
    case 0:
      peer = pick(this->readers, this->first_reader + round);
      break;
    case 1:
      peer = pick(this->readers, this->first_reader + round + 1);
      break;
    case 2:
      peer = pick(this->other_zone_readers, round);
      break;
    case 3:
      peer = this->RandomPeer(this->same_zone_peers, is_connected);
      break;
    case 4:
      peer = pick(this->other_zone_readers, round * this->readers.size() + 1);
      break;
    default:
      peer = this->RandomPeer(this->other_zone_peers, is_connected);
  }
  if (!peer) {
    peer = this->RandomPeer(this->other_zone_peers, is_connected);
  }
  return peer ? peer : this->RandomPeer(this->same_zone_peers, is_connected);
}

std::optional<NodeId> ConfigProof::RandomPeer(
    const std::vector<NodeId>& nodes,
    const ConnectionCheck& is_connected) {
  if (nodes.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> any(0, nodes.size() - 1);
  constexpr int kTries = 4;
  for (int i = 0; i < kTries; ++i) {
    const NodeId& node = nodes[any(this->random)];
    if (is_connected(node)) {
      return node;
    }
  }
  return std::nullopt;
}

}  // namespace tanagerledge
