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
constexpr int kMaxHealth = 4;
constexpr int kIsolatedPeriods = 3;
constexpr int kIsolatedProbes = 2;
constexpr milliseconds kRelayLife{2000};
constexpr std::uint64_t kPeriodsPerLostProbe = 3;
constexpr std::uint64_t kPeriodsPerZoneProbe = 5;
constexpr std::size_t kFirstZoneProbes = 3;  // A period, at first.
constexpr milliseconds kFirstZoneProbing{20000};

// Gossip
constexpr double kSpareTellings = 4;
constexpr std::uint8_t kUrgentTellings = 6;
constexpr std::size_t kUrgentFanOut = 3;
constexpr std::size_t kFanOut = 2;
constexpr std::uint64_t kTicksPerGossip = 2;
constexpr std::size_t kGossipBurstBytes = 8 * 1024;
constexpr std::size_t kUrgentDebtBytes = 8 * 1024;
constexpr std::size_t kScarcePiggybackBytes = 300;

// A datagram's own fields, lists and names at their largest.
constexpr std::size_t kDatagramOverheadBytes = 160;
// UDP and IP headers, which cost as well.
constexpr std::size_t kPacketBytes = 28;

// Joining and repair
constexpr std::size_t kContactsPerAck = 8;
constexpr std::size_t kContactBytesPerSecond = 20 * 1024;
constexpr std::size_t kContactBurstBytes = 100 * 1024;
constexpr milliseconds kJoinRetry{500};
constexpr milliseconds kMaxJoinRetry{8000};
constexpr milliseconds kLostSeedRetry{20000};
constexpr milliseconds kJoining{60000};  // After the start of a node.
constexpr std::size_t kMaxSyncBuckets = 32;
constexpr std::size_t kSyncBytesPerSecond = 10 * 1024;
constexpr std::size_t kSyncBurstBytes = 256 * 1024;
constexpr milliseconds kFastSync{400};
constexpr milliseconds kMinSyncInterval{2000};
constexpr std::uint64_t kSyncsPerFarSync = 4;
constexpr milliseconds kDigestLife{3000};

// Memory
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
        last_heard(now),
        next_probe(now + this->Jitter(this->config.period)),
        next_join(now + this->Jitter(kJoinRetry)),
        next_sync(now + this->Jitter(kFastSync)),
        sync_interval(std::min(kMinSyncInterval, this->config.sync_interval)) {
    this->fleet = FleetHash(this->config.fleet);
    this->rumors.Push(kSelfSlot, false);
    std::ranges::shuffle(this->config.seeds, this->random);
  }

  struct Probe {
    Slot slot = 0;
    std::int64_t sequence = 0;
    Instant sent{};
    bool indirect = false;
  };

  // A ping sent for another node.
  struct Relay {
    std::int64_t sequence = 0;
    NodeId asker;
    std::int64_t asker_sequence = 0;
    Instant ends{};
  };

  struct PendingDigest {
    NodeId peer;
    Instant sent{};
  };

  // Time --------------------------------------------------------------------
  void OnPause(Instant now, milliseconds gap);
  milliseconds Patient(milliseconds time) const;
  milliseconds Jitter(milliseconds most);

  // Probing -----------------------------------------------------------------
  void RunProbe(Instant now, MembershipActions& out);
  void StartProbe(Instant now, MembershipActions& out);
  void ProbeIndirectly(MembershipActions& out);
  void EndProbe(Instant now);
  void ProbeLost(Instant now, MembershipActions& out);
  void ProbeZone(ZoneIndex zone, Instant now, MembershipActions& out);
  void PingOne(Instant now,
               MembershipActions& out,
               const MemberTable::Filter& filter);
  void CheckZones(Instant now, MembershipActions& out);
  void UpdateIsolation(Instant now);
  void ExpireSuspicions(Instant now);
  void WithdrawAccusations(Instant now, std::optional<ZoneIndex> zone);

  // Gossip ------------------------------------------------------------------
  void Spread(Slot slot, bool urgent);
  void Gossip(Instant now, MembershipActions& out);
  void FillRumors(wire::MembershipDatagram& message,
                  const NodeId& to,
                  std::size_t budget,
                  Instant now);
  std::size_t PiggybackBudget() const;
  RumorQueue::Limits Tellings() const;
  void TakeUpdates(const std::vector<wire::MemberUpdate>& updates,
                   Instant now,
                   bool spread);
  void TakeUpdate(const wire::MemberUpdate& update, Instant now, bool spread);
  void TakeOwnUpdate(const wire::MemberUpdate& update);

  // Joining and repair ------------------------------------------------------
  void Join(Instant now, MembershipActions& out);
  void AddContacts(wire::MembershipDatagram& message, Instant now);
  void StartSync(Instant now, MembershipActions& out);
  void Sweep(Instant now);
  void ReportReach(Instant now, MembershipActions& out);

  Member ShownMember(Slot slot, Instant now) const;

  // Datagrams ---------------------------------------------------------------
  wire::MembershipDatagram NewMessage(wire::DatagramKind::type kind) const;
  void SendPing(const NodeId& to,
                std::int64_t sequence,
                Instant now,
                MembershipActions& out);
  void Introduce(const NodeId& to, bool ask, Instant now, MembershipActions&);
  bool HeardFrom(const NodeId& from,
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
  void OnDifference(const NodeId&,
                    const wire::MembershipDatagram&,
                    Instant,
                    MembershipActions&);

  static std::int32_t FleetHash(const std::string& name);

  bool CanBeAsked(const MemberRecord& record) const {
    return record.listed() && !this->zones.unreachable(record.zone);
  }

  MembershipConfig config;
  std::int32_t fleet = 0;
  std::mt19937_64 random;
  MemberTable table;
  RumorQueue rumors;
  ProbeOrder order;
  ZoneWatch zones;
  ReachTree reach;
  ByteBudget gossip_budget;
  ByteBudget contact_budget;
  ByteBudget sync_budget;

  Instant started;
  Instant last_tick;
  Instant last_heard;  // Anything from anybody.
  Instant next_probe;
  Instant next_join;
  Instant next_sync;
  milliseconds sync_interval;
  milliseconds join_retry = kJoinRetry;
  std::uint64_t ticks = 0;
  std::uint64_t syncs = 0;
  std::uint64_t joins = 0;

  std::optional<Probe> probe;
  std::vector<Relay> relays;
  std::vector<Slot> suspects;
  std::optional<PendingDigest> pending_digest;
  std::optional<Instant> confirm_until;  // Set by a long pause.
  std::int64_t next_sequence = 1;
  int health = 0;  // 0: this node keeps up; more: it asks for more patience.
  int failed_in_row = 0;
  bool is_isolated = false;
  bool left = false;
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

milliseconds Membership::State::Patient(milliseconds time) const {
  return time * (1 + this->health);
}

milliseconds Membership::State::Jitter(milliseconds most) {
  return milliseconds(this->random() % (most.count() + 1));
}

// After a pause this node's timers prove nothing: whatever it waited for may
// have come. What it knew may be old, and after a long pause others may have
// forgotten the dead that it still lists.
void Membership::State::OnPause(Instant now, milliseconds gap) {
  this->health = std::min(kMaxHealth, this->health + 1);
  this->probe.reset();
  this->relays.clear();
  this->zones.CancelChecks();
  this->last_heard = now;
  this->failed_in_row = 0;
  this->next_probe = now;
  std::ranges::for_each(
      this->suspects, [&](Slot slot) { this->table.at(slot).changed += gap; });
  if (gap < this->config.tombstone_life / 2) {
    return;
  }
  for (Slot slot = 1; slot < this->table.all().size(); ++slot) {
    if (this->table.at(slot).in_use) {
      this->table.Alter(
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
      now - this->probe->sent >= this->Patient(this->config.probe_timeout)) {
    this->ProbeIndirectly(out);
  }
  if (now < this->next_probe) {
    return;
  }
  this->EndProbe(now);
  this->StartProbe(now, out);
  this->ProbeLost(now, out);
  this->next_probe = now + this->Patient(this->config.period);
}

void Membership::State::StartProbe(Instant now, MembershipActions& out) {
  const auto slot = this->order.Next(
      this->table, this->random,
      [this](const MemberRecord& record) { return this->CanBeAsked(record); });
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
                 this->CanBeAsked(record);
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

void Membership::State::EndProbe(Instant now) {
  if (!this->probe) {
    return;
  }
  const Slot slot = this->probe->slot;
  // Who hears nobody may be slow itself; who hears others may trust its probe,
  // and stays quick when many die at once.
  if (this->last_heard < this->probe->sent) {
    this->health = std::min(kMaxHealth, this->health + 1);
  }
  this->probe.reset();
  ++this->failed_in_row;
  MemberRecord& record = this->table.at(slot);
  if (!record.in_use || record.state != MemberState::kAlive) {
    return;
  }
  this->table.SetState(slot, MemberState::kSuspect, now);
  record.accused_here = true;
  this->suspects.push_back(slot);
  this->zones.CountSuspect(record.zone, now);
  this->Spread(slot, false);
  this->changed = true;
}

// Those given up may be back, or a part of the fleet may have been cut off:
// nobody else would ever speak to them again.
void Membership::State::ProbeLost(Instant now, MembershipActions& out) {
  if (this->is_isolated || this->random() % kPeriodsPerLostProbe == 0) {
    this->PingOne(now, out, [](const MemberRecord& record) {
      return record.state == MemberState::kDead;
    });
  }
  for (const ZoneIndex zone : this->zones.Unreachable()) {
    this->ProbeZone(zone, now, out);
  }
}

// Often at first, since the verdict rests on a few pings.
void Membership::State::ProbeZone(ZoneIndex zone,
                                  Instant now,
                                  MembershipActions& out) {
  const bool at_first =
      now - *this->zones.unreachable_since(zone) < kFirstZoneProbing;
  const bool later = this->random() % kPeriodsPerZoneProbe == 0;
  const std::size_t pings = at_first ? kFirstZoneProbes : (later ? 1 : 0);
  for (std::size_t i = 0; i < pings; ++i) {
    this->PingOne(now, out, [zone](const MemberRecord& record) {
      return record.zone == zone && record.listed();
    });
  }
}

void Membership::State::PingOne(Instant now,
                                MembershipActions& out,
                                const MemberTable::Filter& filter) {
  if (const auto slot = this->table.Pick(this->random, filter)) {
    this->SendPing(this->table.at(*slot).node, this->next_sequence++, now, out);
  }
}

void Membership::State::CheckZones(Instant now, MembershipActions& out) {
  const auto silent =
      this->zones.EndChecks(this->Patient(this->config.probe_timeout) * 2, now);
  if (!silent.empty()) {
    this->changed = true;
  }
  for (const ZoneIndex zone : this->zones.StartChecks(now)) {
    for (std::size_t i = 0; i < ZoneWatch::kPingsPerCheck; ++i) {
      this->PingOne(now, out, [zone](const MemberRecord& record) {
        return record.zone == zone && record.listed();
      });
    }
  }
}

void Membership::State::UpdateIsolation(Instant now) {
  const bool silent =
      now - this->last_heard >= kIsolatedPeriods * this->config.period;
  const bool cut_off = this->table.listed() > 1 && silent &&
                       this->failed_in_row >= kIsolatedProbes;
  if (cut_off && !this->is_isolated) {
    this->is_isolated = true;
    this->changed = true;
  }
}

// Accusations from a time when this node could hear nobody are about itself.
void Membership::State::WithdrawAccusations(Instant now,
                                            std::optional<ZoneIndex> zone) {
  for (const Slot slot : this->suspects) {
    const MemberRecord& record = this->table.at(slot);
    if (record.accused_here && record.state == MemberState::kSuspect &&
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
    const bool heard_since = this->last_heard >= record.changed;
    const bool due =
        now - record.changed >= this->Patient(this->config.suspicion_timeout);
    if (!due || !heard_since || this->is_isolated ||
        this->zones.unreachable(record.zone)) {
      return false;
    }
    this->table.SetState(slot, MemberState::kDead, now);
    this->Spread(slot, false);
    this->changed = true;
    return true;
  });
}

// Gossip --------------------------------------------------------------------

// In an unreachable zone each node judges for itself: no news of its members.
void Membership::State::Spread(Slot slot, bool urgent) {
  const MemberRecord& record = this->table.at(slot);
  const bool accusation = record.state != MemberState::kAlive;
  if (record.unconfirmed ||
      (accusation && this->zones.unreachable(record.zone))) {
    return;
  }
  this->rumors.Push(slot, urgent);
}

// Told by everyone m times, news misses a share of about e^-m of the fleet. For
// urgent news less than one node in fifty such events is to be missed; the rest
// is left to the digests.
RumorQueue::Limits Membership::State::Tellings() const {
  const double size = static_cast<double>(this->table.listed()) + 1;
  const double most = RumorQueue::kMaxTellings;
  const double usual = kSpareTellings + std::ceil(std::log(size) / 2);
  const double urgent = kSpareTellings + std::ceil(std::log(size));
  return {static_cast<std::uint8_t>(std::min(usual, most)),
          static_cast<std::uint8_t>(std::min(urgent, most))};
}

std::size_t Membership::State::PiggybackBudget() const {
  return this->gossip_budget.Allows()
             ? kMaxDatagramBytes - kDatagramOverheadBytes
             : kScarcePiggybackBytes;
}

void Membership::State::Gossip(Instant now, MembershipActions& out) {
  const bool urgent = this->rumors.HasUrgent(kUrgentTellings);
  const bool turn = this->ticks % kTicksPerGossip == 0;
  if (this->left || (!urgent && (!turn || this->rumors.size() == 0))) {
    return;
  }
  const std::size_t debt = urgent ? kUrgentDebtBytes : 0;
  const std::size_t fan_out = urgent ? kUrgentFanOut : kFanOut;
  for (std::size_t i = 0; i < fan_out && this->gossip_budget.Allows(debt);
       ++i) {
    const auto slot =
        this->table.Pick(this->random, [this](const MemberRecord& record) {
          return this->CanBeAsked(record);
        });
    if (!slot) {
      return;
    }
    auto message = this->NewMessage(wire::DatagramKind::GOSSIP);
    const NodeId to = this->table.at(*slot).node;
    // In debt only urgent news goes, or a flood would starve it.
    this->FillRumors(message, to, this->PiggybackBudget(), now);
    if (message.updates.empty()) {
      return;
    }
    out.emplace_back(
        SendDatagram{to, std::move(message), MembershipPurpose::kGossip});
  }
}

void Membership::State::FillRumors(wire::MembershipDatagram& message,
                                   const NodeId& to,
                                   std::size_t budget,
                                   Instant now) {
  std::size_t spent = 0;
  for (const auto& update : message.updates) {
    spent += SizeBound(update);
  }
  const auto add = [&](Slot slot) {
    auto update = GossipUpdate(this->table, slot, now);
    const std::size_t bytes = SizeBound(update);
    if (spent + bytes > budget) {
      return false;
    }
    spent += bytes;
    message.updates.push_back(std::move(update));
    return true;
  };
  // The accused hears it first, from anyone that it speaks with.
  const auto receiver = this->table.Find(to);
  if (receiver && this->table.at(*receiver).state != MemberState::kAlive) {
    add(*receiver);
  }
  this->rumors.Offer(this->Tellings(), add);
  message.__isset.updates = !message.updates.empty();
  this->gossip_budget.Spend(spent + kPacketBytes);
}

void Membership::State::TakeUpdates(
    const std::vector<wire::MemberUpdate>& updates,
    Instant now,
    bool spread) {
  std::ranges::for_each(updates, [&](const wire::MemberUpdate& update) {
    this->TakeUpdate(update, now, spread);
  });
}

void Membership::State::TakeUpdate(const wire::MemberUpdate& update,
                                   Instant now,
                                   bool spread) {
  if (update.node == this->config.self.value) {
    if (IsValid(update)) {
      this->TakeOwnUpdate(update);
    }
    return;
  }
  const std::size_t known = this->table.all().size();
  const auto before = this->table.Find({update.node});
  const Merged merged = this->table.Merge(update, now);
  if (merged.result == MergeResult::kRepeated) {
    this->rumors.HeardBack(merged.slot);
  }
  if (merged.result != MergeResult::kLiveness &&
      merged.result != MergeResult::kWord) {
    return;
  }
  this->changed = true;
  const MemberRecord& record = this->table.at(merged.slot);
  if (!before || this->table.all().size() != known) {
    this->order.Add(merged.slot, this->random);
  }
  if (record.state == MemberState::kSuspect &&
      merged.result == MergeResult::kLiveness) {
    this->suspects.push_back(merged.slot);
    this->zones.CountSuspect(record.zone, now);
  }
  if (spread && record.state == MemberState::kDead) {
    // Deaths come in numbers, and some of the news may be missed: compare soon.
    const milliseconds soon =
        kMinSyncInterval + this->Jitter(2 * kMinSyncInterval);
    this->next_sync = std::min(this->next_sync, now + soon);
  }
  if (spread) {
    const bool urgent =
        record.state == MemberState::kLeft ||
        (record.word && record.word->state == EndpointState::kDraining &&
         merged.result == MergeResult::kWord);
    this->Spread(merged.slot, urgent);
  }
}

// Others are wrong about this node, or speak of an earlier life at its address:
// its own later word supersedes both.
void Membership::State::TakeOwnUpdate(const wire::MemberUpdate& update) {
  MemberRecord& self = this->table.self();
  const auto incarnation = static_cast<std::uint64_t>(update.incarnation);
  const auto version = static_cast<std::uint32_t>(update.version);
  const bool accused =
      static_cast<MemberState>(update.state) != MemberState::kAlive &&
      incarnation == self.incarnation.value;
  const bool earlier_life =
      incarnation > self.incarnation.value ||
      (incarnation == self.incarnation.value && version > self.version);
  if (this->left || (!accused && !earlier_life)) {
    this->rumors.HeardBack(kSelfSlot);
    return;
  }
  this->table.Alter(kSelfSlot, [&](MemberRecord& record) {
    record.incarnation = {incarnation + 1};
  });
  if (accused) {
    this->health = std::min(kMaxHealth, this->health + 1);
  }
  this->changed = true;
  this->rumors.Push(kSelfSlot, true);
}

// Joining and repair --------------------------------------------------------

// Each seed not listed here is asked in turn: nodes that started by different
// seeds, or that were parted and lost each other, become one fleet again.
void Membership::State::Join(Instant now, MembershipActions& out) {
  if (now < this->next_join) {
    return;
  }
  // Waits grow and differ, so that a herd does not come back in step.
  const bool joining =
      this->table.listed() <= 1 || now - this->started < kJoining;
  this->next_join = now + this->join_retry / 2 + this->Jitter(this->join_retry);
  this->join_retry =
      std::min(joining ? kMaxJoinRetry : kLostSeedRetry, this->join_retry * 2);
  std::vector<NodeId> lost;
  std::ranges::copy_if(this->config.seeds, std::back_inserter(lost),
                       [this](const NodeId& node) {
                         const auto slot = this->table.Find(node);
                         return node != this->config.self &&
                                (!slot || !this->table.at(*slot).listed());
                       });
  if (lost.empty()) {
    return;
  }
  const NodeId& seed = lost[this->joins++ % lost.size()];
  auto message = this->NewMessage(wire::DatagramKind::PING);
  message.__set_sequence(this->next_sequence++);
  message.__set_updates({WholeUpdate(this->table, kSelfSlot, now)});
  out.emplace_back(
      SendDatagram{seed, std::move(message), MembershipPurpose::kProbe});
}

// Some members for a newcomer to go on with, so that seeds are asked once.
void Membership::State::AddContacts(wire::MembershipDatagram& message,
                                    Instant now) {
  this->contact_budget.Refill(now);
  message.updates.push_back(WholeUpdate(this->table, kSelfSlot, now));
  for (std::size_t i = 0; i < kContactsPerAck; ++i) {
    const auto slot =
        this->table.Pick(this->random, [this](const MemberRecord& record) {
          return record.state == MemberState::kAlive && !record.unconfirmed &&
                 this->CanBeAsked(record);
        });
    if (!slot || !this->contact_budget.Allows()) {
      break;
    }
    auto update = WholeUpdate(this->table, *slot, now);
    const bool repeated = std::ranges::any_of(
        message.updates, [&](const auto& each) { return each == update; });
    std::size_t spent = SizeBound(update);
    for (const auto& each : message.updates) {
      spent += SizeBound(each);
    }
    if (!repeated && spent <= kMaxDatagramBytes - kDatagramOverheadBytes) {
      this->contact_budget.Spend(SizeBound(update));
      message.updates.push_back(std::move(update));
    }
  }
}

void Membership::State::StartSync(Instant now, MembershipActions& out) {
  if (now < this->next_sync || this->left) {
    return;
  }
  const bool far = this->syncs++ % kSyncsPerFarSync == 0;
  const ZoneIndex own_zone = this->table.self().zone;
  const auto reachable = [this](const MemberRecord& record) {
    return record.state == MemberState::kAlive && this->CanBeAsked(record);
  };
  auto slot = this->table.Pick(this->random, [&](const MemberRecord& record) {
    return reachable(record) && (record.zone == own_zone) != far;
  });
  if (!slot) {
    slot = this->table.Pick(this->random, reachable);
  }
  if (!slot) {
    this->next_sync = now + kFastSync;
    return;
  }
  this->next_sync =
      now + this->sync_interval / 2 + this->Jitter(this->sync_interval);
  // Equal tables send no answer: intervals grow until a difference shows.
  this->sync_interval =
      std::min(this->config.sync_interval, this->sync_interval * 2);
  const std::size_t count = this->table.SuitableBuckets();
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
  const auto forget_zone = [&](const MemberRecord& record) {
    const auto since = this->zones.unreachable_since(record.zone);
    return since && now - *since >= this->config.tombstone_life;
  };
  const bool drop_unconfirmed =
      this->confirm_until && now >= *this->confirm_until && !this->is_isolated;
  for (Slot slot = 1; slot < this->table.all().size(); ++slot) {
    const MemberRecord& record = this->table.at(slot);
    if (!record.in_use) {
      continue;
    }
    const bool buried =
        !record.listed() && now - record.changed >= this->config.tombstone_life;
    if (buried || (record.unconfirmed && drop_unconfirmed)) {
      this->rumors.Drop(slot);
      this->table.Erase(slot);
      this->changed = true;
    } else if (record.listed() && forget_zone(record)) {
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
  message.fleet = this->fleet;
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
  this->FillRumors(message, to, this->PiggybackBudget(), now);
  out.emplace_back(
      SendDatagram{to, std::move(message), MembershipPurpose::kProbe});
}

void Membership::State::Introduce(const NodeId& to,
                                  bool ask,
                                  Instant now,
                                  MembershipActions& out) {
  auto message = this->NewMessage(wire::DatagramKind::GOSSIP);
  message.__set_updates({WholeUpdate(this->table, kSelfSlot, now)});
  if (ask) {
    message.__set_introduce(true);
  }
  out.emplace_back(
      SendDatagram{to, std::move(message), MembershipPurpose::kGossip});
}

// Notes that the sender lives; whether its present life is known here.
bool Membership::State::HeardFrom(const NodeId& from,
                                  const wire::MembershipDatagram& message,
                                  Instant now) {
  this->last_heard = now;
  if (this->is_isolated) {
    this->is_isolated = false;
    this->failed_in_row = 0;
    this->changed = true;
    this->WithdrawAccusations(now, std::nullopt);
  }
  const auto slot = this->table.Find(from);
  if (!slot) {
    return false;
  }
  MemberRecord& record = this->table.at(*slot);
  if (this->zones.Heard(record.zone, now)) {
    this->changed = true;
    this->WithdrawAccusations(now, record.zone);
    std::ranges::for_each(this->suspects, [&](Slot suspect) {
      this->table.at(suspect).changed = now;
    });
  }
  if (message.release >= 0) {
    record.release = {static_cast<std::uint64_t>(message.release)};
  }
  const auto incarnation = static_cast<std::uint64_t>(message.incarnation);
  if (record.unconfirmed && incarnation == record.incarnation.value) {
    this->table.Alter(*slot,
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
  this->FillRumors(reply, from, this->PiggybackBudget(), now);
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
    answer.__set_sequence(relay->asker_sequence);
    out.emplace_back(SendDatagram{relay->asker, std::move(answer),
                                  MembershipPurpose::kProbe});
    this->relays.erase(relay);
    return;
  }
  // From the member itself, or from a helper that got through to it.
  if (this->probe && this->probe->sequence == message.sequence) {
    const MemberRecord& target = this->table.at(this->probe->slot);
    if (target.node == from || this->probe->indirect) {
      this->probe.reset();
      this->failed_in_row = 0;
      this->health = std::max(0, this->health - 1);
      this->zones.Heard(target.zone, now);
    }
  }
}

void Membership::State::OnIndirectPing(const NodeId& from,
                                       const wire::MembershipDatagram& message,
                                       Instant now,
                                       MembershipActions& out) {
  constexpr std::size_t kMaxRelays = 256;
  // Only for members: nobody can make this node send to strangers.
  const auto target = this->table.Find({message.target});
  if (!target || *target == kSelfSlot || this->relays.size() >= kMaxRelays) {
    return;
  }
  const std::int64_t sequence = this->next_sequence++;
  this->relays.push_back({sequence, from, message.sequence, now + kRelayLife});
  this->SendPing(this->table.at(*target).node, sequence, now, out);
}

void Membership::State::OnDigest(const NodeId& from,
                                 const wire::MembershipDatagram& message,
                                 MembershipActions& out) {
  constexpr std::size_t kBytesPerBucket = sizeof(std::uint32_t);
  const std::size_t count = message.digest.size() / kBytesPerBucket;
  const bool sound = std::has_single_bit(count) && count <= kBuckets &&
                     message.digest.size() % kBytesPerBucket == 0;
  if (!sound) {
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

// The buckets a peer names, if all are in range.
bool AreBuckets(const std::vector<std::int16_t>& buckets, std::int32_t count) {
  const bool sound_count =
      count > 0 && static_cast<std::size_t>(count) <= kBuckets &&
      std::has_single_bit(static_cast<std::uint32_t>(count));
  return sound_count && buckets.size() <= kMaxSyncBuckets &&
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
    for (const Slot slot : table.InBucket(static_cast<std::size_t>(bucket),
                                          static_cast<std::size_t>(count))) {
      if (!table.at(slot).unconfirmed) {
        updates.push_back(WholeUpdate(table, slot, now));
      }
    }
  }
  return updates;
}

}  // namespace

void Membership::State::OnDifference(const NodeId& from,
                                     const wire::MembershipDatagram& message,
                                     Instant now,
                                     MembershipActions& out) {
  const bool asked = this->pending_digest &&
                     this->pending_digest->peer == from &&
                     now - this->pending_digest->sent <= kDigestLife;
  if (!asked || !AreBuckets(message.buckets, message.bucket_count)) {
    return;
  }
  this->pending_digest.reset();
  wire::SyncRequest request;
  request.buckets = message.buckets;
  request.bucket_count = message.bucket_count;
  request.updates =
      UpdatesIn(this->table, message.buckets, message.bucket_count, now);
  // More may differ than fits: go on at once, with another peer.
  this->sync_interval =
      message.buckets.size() == kMaxSyncBuckets
          ? kFastSync
          : std::max(kMinSyncInterval, this->sync_interval / 4);
  this->next_sync = now + this->sync_interval + this->Jitter(kFastSync);
  out.emplace_back(SendSync{from, std::move(request)});
}

// A member as this node shows it: the verdict on its zone goes before what is
// known of itself, and while isolated this node blames nobody.
Member Membership::State::ShownMember(Slot slot, Instant now) const {
  const MemberRecord& record = this->table.at(slot);
  Member member = ToMember(this->table, slot);
  const auto since = this->zones.unreachable_since(record.zone);
  if (slot == kSelfSlot || !record.listed()) {
    return member;
  }
  if (this->is_isolated) {
    member.state = record.accused_here ? MemberState::kAlive : record.state;
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
  if (s.left) {
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
  std::erase_if(s.relays,
                [now](const State::Relay& relay) { return now >= relay.ends; });
  return out;
}

MembershipActions Membership::OnDatagram(
    const NodeId& from,
    const wire::MembershipDatagram& message,
    Instant now) {
  State& s = *this->state;
  MembershipActions out;
  const bool ours = message.fleet == s.fleet && from != s.config.self &&
                    message.incarnation >= 0 &&
                    message.incarnation <= kMaxIncarnation;
  if (!ours || s.left) {
    return out;
  }
  s.gossip_budget.Refill(now);
  const bool known = s.HeardFrom(from, message, now);
  s.TakeUpdates(message.updates, now, true);
  switch (message.kind) {
    case wire::DatagramKind::PING:
      s.OnPing(from, message, known, now, out);
      break;
    case wire::DatagramKind::ACK:
      s.OnAck(from, message, now, out);
      if (!known) {
        s.Introduce(from, true, now, out);
      }
      break;
    case wire::DatagramKind::INDIRECT_PING:
      s.OnIndirectPing(from, message, now, out);
      break;
    case wire::DatagramKind::DIGEST:
      s.OnDigest(from, message, out);
      break;
    case wire::DatagramKind::DIGEST_DIFFERENCE:
      s.OnDifference(from, message, now, out);
      break;
    case wire::DatagramKind::REACH:
      s.reach.OnReport(from, message.reach, now);
      break;
    default:
      break;
  }
  if (message.introduce) {
    s.Introduce(from, false, now, out);
  }
  return out;
}

wire::SyncReply Membership::OnSyncRequest(const NodeId&,
                                          const wire::SyncRequest& request,
                                          Instant now) {
  State& s = *this->state;
  wire::SyncReply reply;
  s.sync_budget.Refill(now);
  if (s.left || request.updates.size() > kMaxMembers ||
      !AreBuckets(request.buckets, request.bucket_count)) {
    return reply;
  }
  if (!s.sync_budget.Allows()) {
    reply.busy = true;
    return reply;
  }
  s.TakeUpdates(request.updates, now, false);
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
    s.sync_budget.Spend(SizeBound(update));
  }
  return reply;
}

void Membership::OnSyncReply(const NodeId&,
                             const wire::SyncReply& reply,
                             Instant now) {
  State& s = *this->state;
  if (reply.updates.size() > kMaxMembers || s.left) {
    return;
  }
  s.TakeUpdates(reply.updates, now, false);
}

// What this node says of itself ---------------------------------------------

void Membership::Announce(const Endpoint& endpoint, Instant) {
  State& s = *this->state;
  s.table.Alter(kSelfSlot, [&](MemberRecord& record) {
    ++record.version;
    record.word = BackendWord{endpoint.service, endpoint.slots, endpoint.state,
                              endpoint.since};
  });
  s.changed = true;
  s.rumors.Push(kSelfSlot, endpoint.state == EndpointState::kDraining ||
                               endpoint.state == EndpointState::kGone);
}

void Membership::Drain(Instant now) {
  State& s = *this->state;
  const auto& word = s.table.self().word;
  if (!word || word->state == EndpointState::kDraining ||
      word->state == EndpointState::kGone) {
    return;
  }
  s.table.Alter(kSelfSlot, [&](MemberRecord& record) {
    ++record.version;
    record.word->state = EndpointState::kDraining;
    record.word->since = now;
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
  s.join_retry = kJoinRetry;
  s.next_join = now;
}

MembershipActions Membership::Leave(Instant now) {
  constexpr std::size_t kFarewells = 8;
  State& s = *this->state;
  MembershipActions out;
  if (s.left) {
    return out;
  }
  s.left = true;
  auto message = s.NewMessage(wire::DatagramKind::GOSSIP);
  auto update = WholeUpdate(s.table, kSelfSlot, now);
  update.state = static_cast<int>(MemberState::kLeft);
  message.__set_updates({std::move(update)});
  for (std::size_t i = 0; i < kFarewells; ++i) {
    const auto slot = s.table.Pick(s.random, [&s](const MemberRecord& record) {
      return s.CanBeAsked(record);
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

// What this node knows ------------------------------------------------------

std::vector<Member> Membership::Members(Instant now) const {
  const State& s = *this->state;
  std::vector<Member> members;
  members.reserve(s.table.all().size());
  for (Slot slot = 0; slot < s.table.all().size(); ++slot) {
    const MemberRecord& record = s.table.at(slot);
    if (!record.in_use) {
      continue;
    }
    members.push_back(s.ShownMember(slot, now));
  }
  return members;
}

std::optional<Member> Membership::Find(const NodeId& node, Instant now) const {
  const auto slot = this->state->table.Find(node);
  return slot ? std::optional(this->state->ShownMember(*slot, now))
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
  return this->state->table.listed();
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
      summarizers.push_back(
          {table.ZoneName(zone), table.at(*root).node, table.listed_in(zone)});
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
  reply.members = static_cast<std::int32_t>(s.table.listed_in(zone));
  reply.reach = s.reach.Summary(s.table, now);
  const auto root = ReachTree::Root(s.table, zone);
  if (root && *root != kSelfSlot && !query.redirected) {
    reply.__set_summarizer(s.table.at(*root).node.value);
  }
  return reply;
}

}  // namespace tanagerledge
