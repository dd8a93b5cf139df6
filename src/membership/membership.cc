#include "tanagerledge/membership.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <optional>
#include <ranges>
#include <utility>

#include "src/membership/byte_budget.h"
#include "src/membership/member_table.h"
#include "src/membership/member_wire.h"
#include "src/membership/probe_order.h"
#include "src/membership/reach_tree.h"
#include "src/membership/rumor_queue.h"
#include "src/membership/zone_watch.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Probing
constexpr std::size_t kIndirectProbes = 3;
constexpr int kMaxHealthPenalty = 4;
constexpr int kIsolationSilentPeriods = 3;
constexpr int kIsolationFailedProbes = 2;
constexpr milliseconds kRelayTimeout{2000};
constexpr std::uint64_t kPeriodsPerDeadProbe = 3;
constexpr std::uint64_t kPeriodsPerZoneProbe = 5;
constexpr std::size_t kInitialZoneProbes = 3;  // Per period.
constexpr milliseconds kInitialZoneProbeDuration{20000};

// Gossip
constexpr double kExtraTransmissions = 4;
constexpr std::uint8_t kImmediateTransmissions = 6;
constexpr std::size_t kUrgentFanOut = 3;
constexpr std::size_t kFanOut = 2;
constexpr std::uint64_t kTicksPerGossipRound = 2;
constexpr std::size_t kGossipBurstBytes = 8 * 1024;
constexpr std::size_t kMaxUrgentDebtBytes = 8 * 1024;
constexpr std::size_t kReducedPiggybackBytes = 300;

// Maximum size of a datagram's other fields, lists and names.
constexpr std::size_t kDatagramOverheadBytes = 160;
// UDP and IP headers, which are charged to the byte budget as well.
constexpr std::size_t kPacketHeaderBytes = 28;

// Joining and anti-entropy
constexpr std::size_t kContactsPerAck = 8;
constexpr std::size_t kContactBytesPerSecond = 20 * 1024;
constexpr std::size_t kContactBurstBytes = 100 * 1024;
constexpr milliseconds kMinJoinRetryDelay{500};
constexpr milliseconds kMaxJoinRetryDelay{8000};
constexpr milliseconds kMaxSeedRetryDelay{20000};
constexpr milliseconds kJoinPhaseDuration{60000};  // After a node's start.
constexpr std::size_t kMaxSyncBuckets = 32;
constexpr std::size_t kSyncBytesPerSecond = 10 * 1024;
constexpr std::size_t kSyncBurstBytes = 256 * 1024;
constexpr milliseconds kFastSyncInterval{400};
constexpr milliseconds kMinSyncInterval{2000};
constexpr std::uint64_t kSyncsPerCrossZoneSync = 4;
constexpr milliseconds kDigestTimeout{3000};

// Table cleanup
constexpr std::uint64_t kTicksPerSweep = 100;

}  // namespace

// State ---------------------------------------------------------------------

struct Membership::State {
  State(MembershipConfig membership_config, Instant now)
      : config(std::move(membership_config)),
        random(this->config.seed),
        table(this->config.self,
              this->config.zone,
              this->config.incarnation,
              now),
        gossip_budget(this->config.gossip_bytes_per_second,
                      kGossipBurstBytes,
                      now),
        contact_budget(kContactBytesPerSecond, kContactBurstBytes, now),
        sync_budget(kSyncBytesPerSecond, kSyncBurstBytes, now),
        started(now),
        last_tick(now),
        last_received(now),
        next_probe(now + this->Jitter(this->config.period)),
        next_join(now + this->Jitter(kMinJoinRetryDelay)),
        next_sync(now + this->Jitter(kFastSyncInterval)),
        sync_interval(std::min(kMinSyncInterval, this->config.sync_interval)) {
    this->fleet_hash = FleetHash(this->config.fleet);
    this->rumors.Push(kSelfSlot, false);
    std::ranges::shuffle(this->config.seeds, this->random);
  }

  struct Probe {
    Slot slot = 0;
    std::int64_t sequence = 0;
    Instant sent{};
    bool indirect = false;
  };

  // A ping sent on behalf of another node.
  struct Relay {
    std::int64_t sequence = 0;
    NodeId requester;
    std::int64_t requester_sequence = 0;
    Instant expires{};
  };

  struct PendingDigest {
    NodeId peer;
    Instant sent{};
  };

  // Time --------------------------------------------------------------------
  void OnPause(Instant now, milliseconds gap);
  milliseconds ScaleTimeout(milliseconds time) const;
  milliseconds Jitter(milliseconds max);

  // Probing -----------------------------------------------------------------
  void RunProbe(Instant now, MembershipActions& out);
  void StartProbe(Instant now, MembershipActions& out);
  void ProbeIndirectly(MembershipActions& out);
  void FailPendingProbe(Instant now);
  void ProbeUnreachable(Instant now, MembershipActions& out);
  void ProbeZone(ZoneIndex zone, Instant now, MembershipActions& out);
  void PingRandom(Instant now,
                  MembershipActions& out,
                  const MemberTable::Filter& filter);
  void CheckZones(Instant now, MembershipActions& out);
  void UpdateIsolation(Instant now);
  void ExpireSuspicions(Instant now);
  void WithdrawSuspicions(Instant now, std::optional<ZoneIndex> zone);

  // Gossip ------------------------------------------------------------------
  void QueueRumor(Slot slot, bool urgent);
  void Gossip(Instant now, MembershipActions& out);
  void AddRumors(wire::MembershipDatagram& message,
                 const NodeId& to,
                 std::size_t budget,
                 Instant now);
  std::size_t PiggybackBudget() const;
  RumorQueue::Limits TransmissionLimits() const;
  void ApplyUpdates(const std::vector<wire::MemberUpdate>& updates,
                    Instant now,
                    bool forward);
  void ApplyUpdate(const wire::MemberUpdate& update, Instant now, bool forward);
  void ApplyOwnUpdate(const wire::MemberUpdate& update);

  // Joining and anti-entropy ------------------------------------------------
  void Join(Instant now, MembershipActions& out);
  void AddContacts(wire::MembershipDatagram& message, Instant now);
  void StartSync(Instant now, MembershipActions& out);
  void Sweep(Instant now);
  void ReportReach(Instant now, MembershipActions& out);

  Member VisibleMember(Slot slot, Instant now) const;

  // Datagrams ---------------------------------------------------------------
  wire::MembershipDatagram NewMessage(wire::DatagramKind::type kind) const;
  void SendPing(const NodeId& to,
                std::int64_t sequence,
                Instant now,
                MembershipActions& out);
  void SendIntroduction(const NodeId& to,
                        bool request_reply,
                        Instant now,
                        MembershipActions&);
  bool RecordSender(const NodeId& from,
                    const wire::MembershipDatagram& message,
                    Instant now);
  void OnPing(const NodeId&,
              const wire::MembershipDatagram&,
              bool known,
              Instant,
              MembershipActions&);
  void OnAck(const NodeId&,
             const wire::MembershipDatagram&,
             Instant,
             MembershipActions&);
  void OnIndirectPing(const NodeId&,
                      const wire::MembershipDatagram&,
                      Instant,
                      MembershipActions&);
  void OnDigest(const NodeId&,
                const wire::MembershipDatagram&,
                MembershipActions&);
  void OnDigestDifference(const NodeId&,
                          const wire::MembershipDatagram&,
                          Instant,
                          MembershipActions&);

  static std::int32_t FleetHash(const std::string& name);

  bool IsReachable(const MemberRecord& record) const {
    return record.live() && !this->zone_watch.unreachable(record.zone);
  }

  MembershipConfig config;
  std::int32_t fleet_hash = 0;
  std::mt19937_64 random;
  MemberTable table;
  RumorQueue rumors;
  ProbeOrder probe_order;
  ZoneWatch zone_watch;
  ReachTree reach;
  ByteBudget gossip_budget;
  ByteBudget contact_budget;
  ByteBudget sync_budget;

  Instant started;
  Instant last_tick;
  Instant last_received;  // Last datagram from any node.
  Instant next_probe;
  Instant next_join;
  Instant next_sync;
  milliseconds sync_interval;
  milliseconds join_retry = kMinJoinRetryDelay;
  std::uint64_t ticks = 0;
  std::uint64_t syncs = 0;
  std::uint64_t join_attempts = 0;

  std::optional<Probe> probe;
  std::vector<Relay> relays;
  std::vector<Slot> suspects;
  std::optional<PendingDigest> pending_digest;
  std::optional<Instant> confirm_until;  // Set after a long pause.
  std::int64_t next_sequence = 1;
  // 0 while this node keeps up. Higher values lengthen its timeouts.
  int health_penalty = 0;
  int consecutive_failures = 0;
  bool is_isolated = false;
  bool has_left = false;
  bool changed = true;
};

std::int32_t Membership::State::FleetHash(const std::string& name) {
  std::uint32_t hash = 2166136261U;
  for (const char each : name) {
    hash = (hash ^ static_cast<unsigned char>(each)) * 16777619U;
  }
  return static_cast<std::int32_t>(hash);
}

// Time ----------------------------------------------------------------------

milliseconds Membership::State::ScaleTimeout(milliseconds time) const {
  return time * (1 + this->health_penalty);
}

milliseconds Membership::State::Jitter(milliseconds max) {
  return milliseconds(this->random() % (max.count() + 1));
}

// After a pause of this process its timers prove nothing, because the messages
// that it waited for may have arrived meanwhile. Its member table may be
// outdated, and after a long pause other nodes may have forgotten dead members
// that it still lists.
void Membership::State::OnPause(Instant now, milliseconds gap) {
  this->health_penalty = std::min(kMaxHealthPenalty, this->health_penalty + 1);
  this->probe.reset();
  this->relays.clear();
  this->zone_watch.CancelChecks();
  this->last_received = now;
  this->consecutive_failures = 0;
  this->next_probe = now;
  std::ranges::for_each(this->suspects, [&](Slot slot) {
    this->table.at(slot).state_since += gap;
  });
  if (gap < this->config.tombstone_lifetime / 2) {
    return;
  }
  for (Slot slot = 1; slot < this->table.all().size(); ++slot) {
    if (this->table.at(slot).in_use) {
      this->table.Modify(
          slot, [](MemberRecord& record) { record.unconfirmed = true; });
      this->rumors.Drop(slot);
    }
  }
  this->confirm_until = now + 3 * this->config.sync_interval;
  this->next_sync = now;
}

// Probing -------------------------------------------------------------------

void Membership::State::RunProbe(Instant now, MembershipActions& out) {
  if (this->probe && !this->probe->indirect &&
      now - this->probe->sent >=
          this->ScaleTimeout(this->config.probe_timeout)) {
    this->ProbeIndirectly(out);
  }
  if (now < this->next_probe) {
    return;
  }
  this->FailPendingProbe(now);
  this->StartProbe(now, out);
  this->ProbeUnreachable(now, out);
  this->next_probe = now + this->ScaleTimeout(this->config.period);
}

void Membership::State::StartProbe(Instant now, MembershipActions& out) {
  const auto slot = this->probe_order.Next(
      this->table, this->random,
      [this](const MemberRecord& record) { return this->IsReachable(record); });
  if (!slot) {
    return;
  }
  this->probe = Probe{*slot, this->next_sequence++, now, false};
  this->SendPing(this->table.at(*slot).node, this->probe->sequence, now, out);
}

void Membership::State::ProbeIndirectly(MembershipActions& out) {
  this->probe->indirect = true;
  const NodeId target = this->table.at(this->probe->slot).node;
  for (std::size_t i = 0; i < kIndirectProbes; ++i) {
    const auto helper =
        this->table.Pick(this->random, [&](const MemberRecord& record) {
          return record.state == MemberState::kAlive && record.node != target &&
                 this->IsReachable(record);
        });
    if (!helper) {
      return;
    }
    auto message = this->NewMessage(wire::DatagramKind::INDIRECT_PING);
    message.__set_sequence(this->probe->sequence);
    message.__set_target(target.value);
    out.emplace_back(SendDatagram{this->table.at(*helper).node,
                                  std::move(message),
                                  MembershipPurpose::kProbe});
  }
}

void Membership::State::FailPendingProbe(Instant now) {
  if (!this->probe) {
    return;
  }
  const Slot slot = this->probe->slot;
  // If no message has arrived since the probe, this node itself may be slow. If
  // messages do arrive, the failed probe is trusted and the timeouts stay short
  // even when many nodes fail at once.
  if (this->last_received < this->probe->sent) {
    this->health_penalty =
        std::min(kMaxHealthPenalty, this->health_penalty + 1);
  }
  this->probe.reset();
  ++this->consecutive_failures;
  MemberRecord& record = this->table.at(slot);
  if (!record.in_use || record.state != MemberState::kAlive) {
    return;
  }
  this->table.SetState(slot, MemberState::kSuspect, now);
  record.suspected_here = true;
  this->suspects.push_back(slot);
  this->zone_watch.CountSuspicion(record.zone, now);
  this->QueueRumor(slot, false);
  this->changed = true;
}

// Pings dead members and unreachable zones. They may have returned, or a
// partition of the fleet may have healed, and no other message would ever reach
// them again.
void Membership::State::ProbeUnreachable(Instant now, MembershipActions& out) {
  if (this->is_isolated || this->random() % kPeriodsPerDeadProbe == 0) {
    this->PingRandom(now, out, [](const MemberRecord& record) {
      return record.state == MemberState::kDead;
    });
  }
  for (const ZoneIndex zone : this->zone_watch.UnreachableZones()) {
    this->ProbeZone(zone, now, out);
  }
}

// Probes are frequent at first, because a zone is declared unreachable after
// only a few pings.
void Membership::State::ProbeZone(ZoneIndex zone,
                                  Instant now,
                                  MembershipActions& out) {
  const bool initial = now - *this->zone_watch.unreachable_since(zone) <
                       kInitialZoneProbeDuration;
  const bool probe_now = this->random() % kPeriodsPerZoneProbe == 0;
  const std::size_t pings = initial ? kInitialZoneProbes : (probe_now ? 1 : 0);
  for (std::size_t i = 0; i < pings; ++i) {
    this->PingRandom(now, out, [zone](const MemberRecord& record) {
      return record.zone == zone && record.live();
    });
  }
}

void Membership::State::PingRandom(Instant now,
                                   MembershipActions& out,
                                   const MemberTable::Filter& filter) {
  if (const auto slot = this->table.Pick(this->random, filter)) {
    this->SendPing(this->table.at(*slot).node, this->next_sequence++, now, out);
  }
}

void Membership::State::CheckZones(Instant now, MembershipActions& out) {
  const auto newly_unreachable = this->zone_watch.EndChecks(
      this->ScaleTimeout(this->config.probe_timeout) * 2, now);
  if (!newly_unreachable.empty()) {
    this->changed = true;
  }
  for (const ZoneIndex zone : this->zone_watch.StartChecks(now)) {
    for (std::size_t i = 0; i < ZoneWatch::kPingsPerCheck; ++i) {
      this->PingRandom(now, out, [zone](const MemberRecord& record) {
        return record.zone == zone && record.live();
      });
    }
  }
}

void Membership::State::UpdateIsolation(Instant now) {
  const bool silent = now - this->last_received >=
                      kIsolationSilentPeriods * this->config.period;
  const bool cut_off = this->table.live_count() > 1 && silent &&
                       this->consecutive_failures >= kIsolationFailedProbes;
  if (cut_off && !this->is_isolated) {
    this->is_isolated = true;
    this->changed = true;
  }
}

// Withdraws this node's own suspicions, because those raised while it received
// nothing are due to its own isolation.
void Membership::State::WithdrawSuspicions(Instant now,
                                           std::optional<ZoneIndex> zone) {
  for (const Slot slot : this->suspects) {
    const MemberRecord& record = this->table.at(slot);
    if (record.suspected_here && record.state == MemberState::kSuspect &&
        (!zone || record.zone == *zone)) {
      this->table.SetState(slot, MemberState::kAlive, now);
      this->rumors.Drop(slot);
    }
  }
}

void Membership::State::ExpireSuspicions(Instant now) {
  std::erase_if(this->suspects, [&](Slot slot) {
    const MemberRecord& record = this->table.at(slot);
    if (!record.in_use || record.state != MemberState::kSuspect) {
      return true;
    }
    const bool received_since = this->last_received >= record.state_since;
    const bool due = now - record.state_since >=
                     this->ScaleTimeout(this->config.suspicion_timeout);
    if (!due || !received_since || this->is_isolated ||
        this->zone_watch.unreachable(record.zone)) {
      return false;
    }
    this->table.SetState(slot, MemberState::kDead, now);
    this->QueueRumor(slot, false);
    this->changed = true;
    return true;
  });
}

// Gossip --------------------------------------------------------------------

// Nothing is gossiped about members of an unreachable zone, because each node
// judges such zones for itself.
void Membership::State::QueueRumor(Slot slot, bool urgent) {
  const MemberRecord& record = this->table.at(slot);
  const bool not_alive = record.state != MemberState::kAlive;
  if (record.unconfirmed ||
      (not_alive && this->zone_watch.unreachable(record.zone))) {
    return;
  }
  this->rumors.Push(slot, urgent);
}

// An update that every node sends m times misses a share of about e^-m of the
// fleet. In fifty urgent updates fewer than one node in total may be missed.
// Digests repair what gossip misses.
RumorQueue::Limits Membership::State::TransmissionLimits() const {
  const double size = static_cast<double>(this->table.live_count()) + 1;
  const double max = RumorQueue::kMaxTransmissions;
  const double normal = kExtraTransmissions + std::ceil(std::log(size) / 2);
  const double urgent = kExtraTransmissions + std::ceil(std::log(size));
  return {static_cast<std::uint8_t>(std::min(normal, max)),
          static_cast<std::uint8_t>(std::min(urgent, max))};
}

std::size_t Membership::State::PiggybackBudget() const {
  return this->gossip_budget.Allows()
             ? kMaxDatagramBytes - kDatagramOverheadBytes
             : kReducedPiggybackBytes;
}

void Membership::State::Gossip(Instant now, MembershipActions& out) {
  const bool urgent = this->rumors.HasUrgent(kImmediateTransmissions);
  const bool gossip_due = this->ticks % kTicksPerGossipRound == 0;
  if (this->has_left ||
      (!urgent && (!gossip_due || this->rumors.size() == 0))) {
    return;
  }
  const std::size_t debt = urgent ? kMaxUrgentDebtBytes : 0;
  const std::size_t fan_out = urgent ? kUrgentFanOut : kFanOut;
  for (std::size_t i = 0; i < fan_out && this->gossip_budget.Allows(debt);
       ++i) {
    const auto slot =
        this->table.Pick(this->random, [this](const MemberRecord& record) {
          return this->IsReachable(record);
        });
    if (!slot) {
      return;
    }
    auto message = this->NewMessage(wire::DatagramKind::GOSSIP);
    const NodeId to = this->table.at(*slot).node;
    // With a negative budget, gossip is sent only while an urgent update is
    // queued, so that a flood of other updates doesn't starve it.
    this->AddRumors(message, to, this->PiggybackBudget(), now);
    if (message.updates.empty()) {
      return;
    }
    out.emplace_back(
        SendDatagram{to, std::move(message), MembershipPurpose::kGossip});
  }
}

void Membership::State::AddRumors(wire::MembershipDatagram& message,
                                  const NodeId& to,
                                  std::size_t budget,
                                  Instant now) {
  std::size_t spent = 0;
  for (const auto& update : message.updates) {
    spent += MaxEncodedBytes(update);
  }
  const auto add = [&](Slot slot) {
    auto update = GossipUpdate(this->table, slot, now);
    const std::size_t bytes = MaxEncodedBytes(update);
    if (spent + bytes > budget) {
      return false;
    }
    spent += bytes;
    message.updates.push_back(std::move(update));
    return true;
  };
  // A suspected or dead receiver is sent its own state first, so that it can
  // refute it.
  const auto receiver = this->table.Find(to);
  if (receiver && this->table.at(*receiver).state != MemberState::kAlive) {
    add(*receiver);
  }
  this->rumors.Offer(this->TransmissionLimits(), add);
  message.__isset.updates = !message.updates.empty();
  this->gossip_budget.Spend(spent + kPacketHeaderBytes);
}

void Membership::State::ApplyUpdates(
    const std::vector<wire::MemberUpdate>& updates,
    Instant now,
    bool forward) {
  std::ranges::for_each(updates, [&](const wire::MemberUpdate& update) {
    this->ApplyUpdate(update, now, forward);
  });
}

void Membership::State::ApplyUpdate(const wire::MemberUpdate& update,
                                    Instant now,
                                    bool forward) {
  if (update.node == this->config.self.value) {
    if (IsValid(update)) {
      this->ApplyOwnUpdate(update);
    }
    return;
  }
  const std::size_t slots_before = this->table.all().size();
  const auto known_before = this->table.Find({update.node});
  const Merged merged = this->table.Merge(update, now);
  if (merged.result == MergeResult::kDuplicate) {
    this->rumors.CountDuplicate(merged.slot);
  }
  if (merged.result != MergeResult::kLiveness &&
      merged.result != MergeResult::kAnnouncement) {
    return;
  }
  this->changed = true;
  const MemberRecord& record = this->table.at(merged.slot);
  if (!known_before || this->table.all().size() != slots_before) {
    this->probe_order.Add(merged.slot, this->random);
  }
  if (record.state == MemberState::kSuspect &&
      merged.result == MergeResult::kLiveness) {
    this->suspects.push_back(merged.slot);
    this->zone_watch.CountSuspicion(record.zone, now);
  }
  if (forward && record.state == MemberState::kDead) {
    // Deaths often come in large numbers and gossip may miss some, so a digest
    // is sent soon.
    const milliseconds delay =
        kMinSyncInterval + this->Jitter(2 * kMinSyncInterval);
    this->next_sync = std::min(this->next_sync, now + delay);
  }
  if (forward) {
    const bool urgent =
        record.state == MemberState::kLeft ||
        (record.backend && record.backend->state == EndpointState::kDraining &&
         merged.result == MergeResult::kAnnouncement);
    this->QueueRumor(merged.slot, urgent);
  }
}

// The update is wrong about this node or concerns an earlier process at its
// address. A newer incarnation supersedes both.
void Membership::State::ApplyOwnUpdate(const wire::MemberUpdate& update) {
  MemberRecord& self = this->table.self();
  const auto incarnation = static_cast<std::uint64_t>(update.incarnation);
  const auto version = static_cast<std::uint32_t>(update.version);
  const bool declared_failed =
      static_cast<MemberState>(update.state) != MemberState::kAlive &&
      incarnation == self.incarnation.value;
  const bool earlier_process =
      incarnation > self.incarnation.value ||
      (incarnation == self.incarnation.value && version > self.version);
  if (this->has_left || (!declared_failed && !earlier_process)) {
    this->rumors.CountDuplicate(kSelfSlot);
    return;
  }
  this->table.Modify(kSelfSlot, [&](MemberRecord& record) {
    record.incarnation = {incarnation + 1};
  });
  if (declared_failed) {
    this->health_penalty =
        std::min(kMaxHealthPenalty, this->health_penalty + 1);
  }
  this->changed = true;
  this->rumors.Push(kSelfSlot, true);
}

// Joining and anti-entropy --------------------------------------------------

// Pings the seeds that aren't live members, one after another. This merges
// groups of nodes that started with different seeds, or that lost each other in
// a partition.
void Membership::State::Join(Instant now, MembershipActions& out) {
  if (now < this->next_join) {
    return;
  }
  // Delays grow and are randomized, so that many joining nodes don't retry in
  // step.
  const bool joining =
      this->table.live_count() <= 1 || now - this->started < kJoinPhaseDuration;
  this->next_join = now + this->join_retry / 2 + this->Jitter(this->join_retry);
  this->join_retry = std::min(joining ? kMaxJoinRetryDelay : kMaxSeedRetryDelay,
                              this->join_retry * 2);
  std::vector<NodeId> missing;
  std::ranges::copy_if(this->config.seeds, std::back_inserter(missing),
                       [this](const NodeId& node) {
                         const auto slot = this->table.Find(node);
                         return node != this->config.self &&
                                (!slot || !this->table.at(*slot).live());
                       });
  if (missing.empty()) {
    return;
  }
  const NodeId& seed = missing[this->join_attempts++ % missing.size()];
  auto message = this->NewMessage(wire::DatagramKind::PING);
  message.__set_sequence(this->next_sequence++);
  message.__set_updates({FullUpdate(this->table, kSelfSlot, now)});
  out.emplace_back(
      SendDatagram{seed, std::move(message), MembershipPurpose::kProbe});
}

// Adds a few members for a joining node to contact, so that it needs to ask a
// seed only once.
void Membership::State::AddContacts(wire::MembershipDatagram& message,
                                    Instant now) {
  this->contact_budget.Refill(now);
  message.updates.push_back(FullUpdate(this->table, kSelfSlot, now));
  for (std::size_t i = 0; i < kContactsPerAck; ++i) {
    const auto slot =
        this->table.Pick(this->random, [this](const MemberRecord& record) {
          return record.state == MemberState::kAlive && !record.unconfirmed &&
                 this->IsReachable(record);
        });
    if (!slot || !this->contact_budget.Allows()) {
      break;
    }
    auto update = FullUpdate(this->table, *slot, now);
    const bool repeated = std::ranges::any_of(
        message.updates, [&](const auto& each) { return each == update; });
    std::size_t spent = MaxEncodedBytes(update);
    for (const auto& each : message.updates) {
      spent += MaxEncodedBytes(each);
    }
    if (!repeated && spent <= kMaxDatagramBytes - kDatagramOverheadBytes) {
      this->contact_budget.Spend(MaxEncodedBytes(update));
      message.updates.push_back(std::move(update));
    }
  }
}

void Membership::State::StartSync(Instant now, MembershipActions& out) {
  if (now < this->next_sync || this->has_left) {
    return;
  }
  const bool cross_zone = this->syncs++ % kSyncsPerCrossZoneSync == 0;
  const ZoneIndex own_zone = this->table.self().zone;
  const auto reachable = [this](const MemberRecord& record) {
    return record.state == MemberState::kAlive && this->IsReachable(record);
  };
  auto slot = this->table.Pick(this->random, [&](const MemberRecord& record) {
    return reachable(record) && (record.zone == own_zone) != cross_zone;
  });
  if (!slot) {
    slot = this->table.Pick(this->random, reachable);
  }
  if (!slot) {
    this->next_sync = now + kFastSyncInterval;
    return;
  }
  this->next_sync =
      now + this->sync_interval / 2 + this->Jitter(this->sync_interval);
  // A peer with an equal table sends no reply, so the interval grows until a
  // difference is found.
  this->sync_interval =
      std::min(this->config.sync_interval, this->sync_interval * 2);
  const std::size_t count = this->table.DigestBucketCount();
  auto message = this->NewMessage(wire::DatagramKind::DIGEST);
  message.__set_digest(this->table.FoldedDigest(count));
  const NodeId& to = this->table.at(*slot).node;
  this->pending_digest = PendingDigest{to, now};
  out.emplace_back(
      SendDatagram{to, std::move(message), MembershipPurpose::kDigest});
}

void Membership::State::Sweep(Instant now) {
  if (this->ticks % kTicksPerSweep != 0) {
    return;
  }
  const auto zone_expired = [&](const MemberRecord& record) {
    const auto since = this->zone_watch.unreachable_since(record.zone);
    return since && now - *since >= this->config.tombstone_lifetime;
  };
  const bool drop_unconfirmed =
      this->confirm_until && now >= *this->confirm_until && !this->is_isolated;
  for (Slot slot = 1; slot < this->table.all().size(); ++slot) {
    const MemberRecord& record = this->table.at(slot);
    if (!record.in_use) {
      continue;
    }
    const bool tombstone_expired =
        !record.live() &&
        now - record.state_since >= this->config.tombstone_lifetime;
    if (tombstone_expired || (record.unconfirmed && drop_unconfirmed)) {
      this->rumors.Drop(slot);
      this->table.Erase(slot);
      this->changed = true;
    } else if (record.live() && zone_expired(record)) {
      this->table.SetState(slot, MemberState::kDead, now);
      this->rumors.Drop(slot);
      this->changed = true;
    }
  }
  if (drop_unconfirmed) {
    this->confirm_until.reset();
  }
}

void Membership::State::ReportReach(Instant now, MembershipActions& out) {
  auto report = this->reach.Tick(this->table, now);
  if (!report) {
    return;
  }
  auto message = this->NewMessage(wire::DatagramKind::REACH);
  message.__set_reach(report->reach);
  out.emplace_back(SendDatagram{std::move(report->to), std::move(message),
                                MembershipPurpose::kReach});
}

// Datagrams -----------------------------------------------------------------

wire::MembershipDatagram Membership::State::NewMessage(
    wire::DatagramKind::type kind) const {
  wire::MembershipDatagram message;
  message.fleet = this->fleet_hash;
  message.kind = kind;
  message.incarnation =
      static_cast<std::int64_t>(this->table.self().incarnation.value);
  message.release = static_cast<std::int64_t>(this->table.self().release.value);
  return message;
}

void Membership::State::SendPing(const NodeId& to,
                                 std::int64_t sequence,
                                 Instant now,
                                 MembershipActions& out) {
  auto message = this->NewMessage(wire::DatagramKind::PING);
  message.__set_sequence(sequence);
  this->AddRumors(message, to, this->PiggybackBudget(), now);
  out.emplace_back(
      SendDatagram{to, std::move(message), MembershipPurpose::kProbe});
}

void Membership::State::SendIntroduction(const NodeId& to,
                                         bool request_reply,
                                         Instant now,
                                         MembershipActions& out) {
  auto message = this->NewMessage(wire::DatagramKind::GOSSIP);
  message.__set_updates({FullUpdate(this->table, kSelfSlot, now)});
  if (request_reply) {
    message.__set_introduce(true);
  }
  out.emplace_back(
      SendDatagram{to, std::move(message), MembershipPurpose::kGossip});
}

// Records that the sender is live. Returns whether its incarnation is known
// here.
bool Membership::State::RecordSender(const NodeId& from,
                                     const wire::MembershipDatagram& message,
                                     Instant now) {
  this->last_received = now;
  if (this->is_isolated) {
    this->is_isolated = false;
    this->consecutive_failures = 0;
    this->changed = true;
    this->WithdrawSuspicions(now, std::nullopt);
  }
  const auto slot = this->table.Find(from);
  if (!slot) {
    return false;
  }
  MemberRecord& record = this->table.at(*slot);
  if (this->zone_watch.RecordContact(record.zone, now)) {
    this->changed = true;
    this->WithdrawSuspicions(now, record.zone);
    std::ranges::for_each(this->suspects, [&](Slot suspect) {
      this->table.at(suspect).state_since = now;
    });
  }
  if (message.release >= 0) {
    record.release = {static_cast<std::uint64_t>(message.release)};
    // Only a node that is behind needs to know at once. The others would report
    // a change for each node that puts a release into force.
    this->changed |= record.release > this->table.self().release;
  }
  const auto incarnation = static_cast<std::uint64_t>(message.incarnation);
  if (record.unconfirmed && incarnation == record.incarnation.value) {
    this->table.Modify(*slot,
                       [](MemberRecord& each) { each.unconfirmed = false; });
  }
  return message.incarnation >= 0 && incarnation <= record.incarnation.value;
}

void Membership::State::OnPing(const NodeId& from,
                               const wire::MembershipDatagram& message,
                               bool known,
                               Instant now,
                               MembershipActions& out) {
  auto reply = this->NewMessage(wire::DatagramKind::ACK);
  reply.__set_sequence(message.sequence);
  if (!known) {
    reply.__set_introduce(true);
    this->AddContacts(reply, now);
  }
  this->AddRumors(reply, from, this->PiggybackBudget(), now);
  out.emplace_back(
      SendDatagram{from, std::move(reply), MembershipPurpose::kProbe});
}

void Membership::State::OnAck(const NodeId& from,
                              const wire::MembershipDatagram& message,
                              Instant now,
                              MembershipActions& out) {
  const auto relay =
      std::ranges::find(this->relays, message.sequence, &Relay::sequence);
  if (relay != this->relays.end()) {
    auto answer = this->NewMessage(wire::DatagramKind::ACK);
    answer.__set_sequence(relay->requester_sequence);
    out.emplace_back(SendDatagram{relay->requester, std::move(answer),
                                  MembershipPurpose::kProbe});
    this->relays.erase(relay);
    return;
  }
  // The ack comes from the member itself or from a relay that reached it.
  if (this->probe && this->probe->sequence == message.sequence) {
    const MemberRecord& target = this->table.at(this->probe->slot);
    if (target.node == from || this->probe->indirect) {
      this->probe.reset();
      this->consecutive_failures = 0;
      this->health_penalty = std::max(0, this->health_penalty - 1);
      this->zone_watch.RecordContact(target.zone, now);
    }
  }
}

void Membership::State::OnIndirectPing(const NodeId& from,
                                       const wire::MembershipDatagram& message,
                                       Instant now,
                                       MembershipActions& out) {
  constexpr std::size_t kMaxRelays = 256;
  // Only members are pinged, so that this node can't be made to send to
  // arbitrary addresses.
  const auto target = this->table.Find({message.target});
  if (!target || *target == kSelfSlot || this->relays.size() >= kMaxRelays) {
    return;
  }
  const std::int64_t sequence = this->next_sequence++;
  this->relays.push_back(
      {sequence, from, message.sequence, now + kRelayTimeout});
  this->SendPing(this->table.at(*target).node, sequence, now, out);
}

void Membership::State::OnDigest(const NodeId& from,
                                 const wire::MembershipDatagram& message,
                                 MembershipActions& out) {
  constexpr std::size_t kBytesPerBucket = sizeof(std::uint32_t);
  const std::size_t count = message.digest.size() / kBytesPerBucket;
  const bool valid = std::has_single_bit(count) && count <= kBuckets &&
                     message.digest.size() % kBytesPerBucket == 0;
  if (!valid) {
    return;
  }
  const std::string own = this->table.FoldedDigest(count);
  std::vector<std::int16_t> differing;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t at = i * kBytesPerBucket;
    if (own.compare(at, kBytesPerBucket, message.digest, at, kBytesPerBucket) !=
        0) {
      differing.push_back(static_cast<std::int16_t>(i));
    }
  }
  if (differing.empty()) {
    return;
  }
  std::ranges::shuffle(differing, this->random);
  differing.resize(std::min(differing.size(), kMaxSyncBuckets));
  auto reply = this->NewMessage(wire::DatagramKind::DIGEST_DIFFERENCE);
  reply.__set_buckets(differing);
  reply.__set_bucket_count(static_cast<std::int32_t>(count));
  out.emplace_back(
      SendDatagram{from, std::move(reply), MembershipPurpose::kDigest});
}

namespace {

// Whether the bucket numbers received from a peer are all in range.
bool AreValidBuckets(const std::vector<std::int16_t>& buckets,
                     std::int32_t count) {
  const bool valid_count =
      count > 0 && static_cast<std::size_t>(count) <= kBuckets &&
      std::has_single_bit(static_cast<std::uint32_t>(count));
  return valid_count && buckets.size() <= kMaxSyncBuckets &&
         std::ranges::all_of(buckets, [count](std::int16_t bucket) {
           return bucket >= 0 && bucket < count;
         });
}

std::vector<wire::MemberUpdate> UpdatesIn(
    const MemberTable& table,
    const std::vector<std::int16_t>& buckets,
    std::int32_t count,
    Instant now) {
  std::vector<wire::MemberUpdate> updates;
  for (const std::int16_t bucket : buckets) {
    for (const Slot slot :
         table.SlotsInBucket(static_cast<std::size_t>(bucket),
                             static_cast<std::size_t>(count))) {
      if (!table.at(slot).unconfirmed) {
        updates.push_back(FullUpdate(table, slot, now));
      }
    }
  }
  return updates;
}

}  // namespace

void Membership::State::OnDigestDifference(
    const NodeId& from,
    const wire::MembershipDatagram& message,
    Instant now,
    MembershipActions& out) {
  const bool expected = this->pending_digest &&
                        this->pending_digest->peer == from &&
                        now - this->pending_digest->sent <= kDigestTimeout;
  if (!expected || !AreValidBuckets(message.buckets, message.bucket_count)) {
    return;
  }
  this->pending_digest.reset();
  wire::SyncRequest request;
  request.buckets = message.buckets;
  request.bucket_count = message.bucket_count;
  request.updates =
      UpdatesIn(this->table, message.buckets, message.bucket_count, now);
  // If the reply is full, more buckets may differ: the next sync follows at
  // once, with another peer.
  this->sync_interval =
      message.buckets.size() == kMaxSyncBuckets
          ? kFastSyncInterval
          : std::max(kMinSyncInterval, this->sync_interval / 4);
  this->next_sync = now + this->sync_interval + this->Jitter(kFastSyncInterval);
  out.emplace_back(SendSync{from, std::move(request)});
}

// Returns a member as Members() reports it. If its zone is unreachable, that
// overrides the member's own state. While this node is isolated, it reports no
// suspicion of its own.
Member Membership::State::VisibleMember(Slot slot, Instant now) const {
  const MemberRecord& record = this->table.at(slot);
  Member member = ToMember(this->table, slot);
  const auto since = this->zone_watch.unreachable_since(record.zone);
  if (slot == kSelfSlot || !record.live()) {
    return member;
  }
  if (this->is_isolated) {
    member.state = record.suspected_here ? MemberState::kAlive : record.state;
  } else if (since) {
    const bool given_up = now - *since >= this->config.suspicion_timeout;
    member.state = given_up ? MemberState::kDead : MemberState::kSuspect;
  }
  return member;
}

// Membership ----------------------------------------------------------------

Membership::Membership(MembershipConfig config, Instant now)
    : state(std::make_unique<State>(std::move(config), now)) {}

Membership::~Membership() = default;

MembershipActions Membership::Tick(Instant now) {
  State& s = *this->state;
  MembershipActions out;
  const auto gap = duration_cast<milliseconds>(now - s.last_tick);
  s.last_tick = now;
  ++s.ticks;
  if (gap > 2 * s.config.period) {
    s.OnPause(now, gap);
  }
  if (s.has_left) {
    return out;
  }
  s.gossip_budget.Refill(now);
  s.UpdateIsolation(now);
  s.RunProbe(now, out);
  s.CheckZones(now, out);
  s.ExpireSuspicions(now);
  s.Join(now, out);
  s.StartSync(now, out);
  s.Gossip(now, out);
  s.ReportReach(now, out);
  s.Sweep(now);
  std::erase_if(s.relays, [now](const State::Relay& relay) {
    return now >= relay.expires;
  });
  return out;
}

MembershipActions Membership::OnDatagram(
    const NodeId& from,
    const wire::MembershipDatagram& message,
    Instant now) {
  State& s = *this->state;
  MembershipActions out;
  const bool acceptable = message.fleet == s.fleet_hash &&
                          from != s.config.self && message.incarnation >= 0 &&
                          message.incarnation <= kMaxIncarnation;
  if (!acceptable || s.has_left) {
    return out;
  }
  s.gossip_budget.Refill(now);
  const bool known = s.RecordSender(from, message, now);
  s.ApplyUpdates(message.updates, now, true);
  switch (message.kind) {
    case wire::DatagramKind::PING:
      s.OnPing(from, message, known, now, out);
      break;
    case wire::DatagramKind::ACK:
      s.OnAck(from, message, now, out);
      if (!known) {
        s.SendIntroduction(from, true, now, out);
      }
      break;
    case wire::DatagramKind::INDIRECT_PING:
      s.OnIndirectPing(from, message, now, out);
      break;
    case wire::DatagramKind::DIGEST:
      s.OnDigest(from, message, out);
      break;
    case wire::DatagramKind::DIGEST_DIFFERENCE:
      s.OnDigestDifference(from, message, now, out);
      break;
    case wire::DatagramKind::REACH:
      s.reach.OnReport(from, message.reach, now);
      break;
    default:
      break;
  }
  if (message.introduce) {
    s.SendIntroduction(from, false, now, out);
  }
  return out;
}

wire::SyncReply Membership::OnSyncRequest(const NodeId&,
                                          const wire::SyncRequest& request,
                                          Instant now) {
  State& s = *this->state;
  wire::SyncReply reply;
  s.sync_budget.Refill(now);
  if (s.has_left || request.updates.size() > kMaxMembers ||
      !AreValidBuckets(request.buckets, request.bucket_count)) {
    return reply;
  }
  if (!s.sync_budget.Allows()) {
    reply.busy = true;
    return reply;
  }
  s.ApplyUpdates(request.updates, now, false);
  reply.updates =
      UpdatesIn(s.table, request.buckets, request.bucket_count, now);
  std::erase_if(reply.updates, [&](const wire::MemberUpdate& update) {
    return std::ranges::any_of(request.updates, [&](const auto& theirs) {
      return theirs.node == update.node &&
             theirs.incarnation == update.incarnation &&
             theirs.state == update.state && theirs.version == update.version;
    });
  });
  for (const auto& update : reply.updates) {
    s.sync_budget.Spend(MaxEncodedBytes(update));
  }
  return reply;
}

void Membership::OnSyncReply(const NodeId&,
                             const wire::SyncReply& reply,
                             Instant now) {
  State& s = *this->state;
  if (reply.updates.size() > kMaxMembers || s.has_left) {
    return;
  }
  s.ApplyUpdates(reply.updates, now, false);
}

// State of this node --------------------------------------------------------

void Membership::Announce(const Endpoint& endpoint, Instant) {
  State& s = *this->state;
  s.table.Modify(kSelfSlot, [&](MemberRecord& record) {
    ++record.version;
    record.backend =
        BackendStatus{endpoint.service, endpoint.slots, endpoint.state,
                      endpoint.since, endpoint.version};
  });
  s.changed = true;
  s.rumors.Push(kSelfSlot, endpoint.state == EndpointState::kDraining ||
                               endpoint.state == EndpointState::kGone);
}

void Membership::Drain(Instant now) {
  State& s = *this->state;
  const auto& backend = s.table.self().backend;
  if (!backend || backend->state == EndpointState::kDraining ||
      backend->state == EndpointState::kGone) {
    return;
  }
  s.table.Modify(kSelfSlot, [&](MemberRecord& record) {
    ++record.version;
    record.backend->state = EndpointState::kDraining;
    record.backend->since = now;
  });
  s.changed = true;
  s.rumors.Push(kSelfSlot, true);
}

void Membership::AddSeeds(const std::vector<NodeId>& seeds, Instant now) {
  State& s = *this->state;
  std::ranges::copy_if(
      seeds, std::back_inserter(s.config.seeds), [&s](const NodeId& seed) {
        return std::ranges::find(s.config.seeds, seed) == s.config.seeds.end();
      });
  s.join_retry = kMinJoinRetryDelay;
  s.next_join = now;
}

MembershipActions Membership::Leave(Instant now) {
  constexpr std::size_t kLeaveMessages = 8;
  State& s = *this->state;
  MembershipActions out;
  if (s.has_left) {
    return out;
  }
  s.has_left = true;
  auto message = s.NewMessage(wire::DatagramKind::GOSSIP);
  auto update = FullUpdate(s.table, kSelfSlot, now);
  update.state = static_cast<int>(MemberState::kLeft);
  message.__set_updates({std::move(update)});
  for (std::size_t i = 0; i < kLeaveMessages; ++i) {
    const auto slot = s.table.Pick(s.random, [&s](const MemberRecord& record) {
      return s.IsReachable(record);
    });
    if (slot) {
      out.emplace_back(SendDatagram{s.table.at(*slot).node, message,
                                    MembershipPurpose::kGossip});
    }
  }
  return out;
}

void Membership::SetInForce(ReleaseNumber release) {
  this->state->table.self().release = release;
  this->state->changed = true;
}

// Members -------------------------------------------------------------------

std::vector<Member> Membership::Members(Instant now) const {
  const State& s = *this->state;
  std::vector<Member> members;
  members.reserve(s.table.all().size());
  for (Slot slot = 0; slot < s.table.all().size(); ++slot) {
    const MemberRecord& record = s.table.at(slot);
    if (!record.in_use) {
      continue;
    }
    members.push_back(s.VisibleMember(slot, now));
  }
  return members;
}

std::optional<Member> Membership::Find(const NodeId& node, Instant now) const {
  const auto slot = this->state->table.Find(node);
  return slot ? std::optional(this->state->VisibleMember(*slot, now))
              : std::nullopt;
}

Member Membership::Self() const {
  return ToMember(this->state->table, kSelfSlot);
}

bool Membership::TakeChanged() {
  return std::exchange(this->state->changed, false);
}

bool Membership::isolated() const {
  return this->state->is_isolated;
}

std::size_t Membership::live_members() const {
  return this->state->table.live_count();
}

Incarnation Membership::incarnation() const {
  return this->state->table.self().incarnation;
}

// Reach ---------------------------------------------------------------------

std::vector<ZoneSummarizer> Membership::ZoneSummarizers() const {
  const MemberTable& table = this->state->table;
  std::vector<ZoneSummarizer> summarizers;
  for (ZoneIndex zone = 0; zone < table.zone_count(); ++zone) {
    if (const auto root = ReachTree::Root(table, zone)) {
      summarizers.push_back({table.ZoneName(zone), table.at(*root).node,
                             table.live_count_in(zone)});
    }
  }
  std::ranges::sort(summarizers, {}, &ZoneSummarizer::zone);
  return summarizers;
}

wire::ReachReply Membership::OnReachQuery(const wire::ReachQuery& query,
                                          Instant now) {
  const State& s = *this->state;
  const ZoneIndex zone = s.table.self().zone;
  wire::ReachReply reply;
  reply.members = static_cast<std::int32_t>(s.table.live_count_in(zone));
  reply.reach = s.reach.Summary(s.table, now);
  const auto root = ReachTree::Root(s.table, zone);
  if (root && *root != kSelfSlot && !query.redirected) {
    reply.__set_summarizer(s.table.at(*root).node.value);
  }
  return reply;
}

}  // namespace tanagerledge
