#include "src/node/suspect_host.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "execution_types.h"
#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/fiber_sync.h"
#include "src/execution/rendezvous.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kBroadcastRequestTimeout{50};
// Limit for one broadcast to all peers. Answers to callers wait for it.
constexpr milliseconds kBroadcastTimeout{250};
constexpr milliseconds kLeaseTimeout{50};
constexpr milliseconds kLeaseRetryInterval{5};
// How long a call that holds a slot waits for a lease.
constexpr milliseconds kRecheckTimeout{20};
constexpr milliseconds kListTimeout{1000};
constexpr std::chrono::seconds kExpiryInterval{1};
constexpr std::chrono::seconds kMaxLease{60};
constexpr std::size_t kMaxSuspicionsPerMessage = 1024;
// Recorded when another node refuses a lease because the request is
// quarantined. Greater than the death limit of any node, so that it is
// quarantined here too.
constexpr int kQuarantineDeaths = 1000;
// More than any node excuses.
constexpr int kMaxExcusedDeaths = 1000;

microseconds TimeLeft(Instant deadline) {
  const auto left = std::chrono::duration_cast<microseconds>(deadline - Now());
  return std::clamp<microseconds>(left, microseconds(0), kMaxLease);
}

wire::SuspectNews ToWire(const Suspicion& suspicion) {
  wire::SuspectNews news;
  news.fingerprint = static_cast<std::int64_t>(suspicion.fingerprint.value);
  news.deaths = suspicion.deaths;
  news.cleared = suspicion.cleared;
  news.node = suspicion.node.value;
  if (suspicion.ttl.count() > 0) {
    news.__set_ttl_ms(suspicion.ttl.count());
  }
  if (suspicion.excused > 0) {
    news.__set_excused(suspicion.excused);
  }
  return news;
}

Suspicion ToSuspicion(const wire::SuspectNews& news) {
  return {{static_cast<std::uint64_t>(news.fingerprint)},
          news.deaths,
          news.cleared,
          {news.node},
          milliseconds(std::max<std::int64_t>(0, news.ttl_ms)),
          std::clamp(news.excused, 0, kMaxExcusedDeaths)};
}

wire::SuspectTell ToTell(const std::vector<Suspicion>& suspicions) {
  wire::SuspectTell tell;
  const std::size_t count =
      std::min(suspicions.size(), kMaxSuspicionsPerMessage);
  std::transform(suspicions.begin(),
                 suspicions.begin() + static_cast<std::ptrdiff_t>(count),
                 std::back_inserter(tell.news), ToWire);
  return tell;
}

}  // namespace

SuspectHost::SuspectHost(IoLoop& control_loop,
                         PeerPort& peer_port,
                         NodeId own_node)
    : control(control_loop), peers(peer_port), self(std::move(own_node)) {}

void SuspectHost::SetEventSink(EventSink event_sink) {
  this->log = std::move(event_sink);
}

void SuspectHost::Start() {
  this->control.Spawn([this] {
    while (this->control.SleepFor(kExpiryInterval)) {
      const std::scoped_lock lock(this->mutex);
      this->table.Expire(Now());
      this->UpdateSuspectCount();
    }
  });
}

// Control thread ------------------------------------------------------------

void SuspectHost::SetMembers(const std::vector<Member>& members,
                             const ServiceName& service) {
  this->service_peers.clear();
  for (const Member& member : members) {
    const bool serves = member.endpoint && member.endpoint->service == service;
    if (IsLive(member) && serves && member.node != this->self) {
      this->service_peers.push_back(member.node);
    }
  }
}

std::string SuspectHost::OnPeerRequest(const NodeId& from,
                                       std::string_view request) {
  const auto message = Decode<wire::SuspectRequest>(request);
  wire::SuspectLeaseReply reply;
  reply.answer = static_cast<std::int32_t>(LeaseAnswer::kRefused);
  if (!message || message->tell.news.size() > kMaxSuspicionsPerMessage) {
    return Encode(reply);
  }
  const std::scoped_lock lock(this->mutex);
  for (const wire::SuspectNews& news : message->tell.news) {
    this->table.OnSuspicion(ToSuspicion(news), Now());
  }
  if (message->__isset.lease) {
    const Fingerprint fingerprint{
        static_cast<std::uint64_t>(message->lease.fingerprint)};
    const auto length = std::clamp<microseconds>(
        microseconds(message->lease.lease_us), microseconds(0), kMaxLease);
    if (length.count() == 0) {
      this->table.OnLeaseReturned(fingerprint, from);
      reply.answer = static_cast<std::int32_t>(LeaseAnswer::kBusy);
    } else {
      reply.answer = static_cast<std::int32_t>(
          this->table.OnLeaseRequest(fingerprint, from, length, Now()));
    }
  }
  if (message->list_quarantined) {
    reply.__set_quarantined(ToTell(this->table.Quarantined(Now())));
  }
  this->UpdateSuspectCount();
  return Encode(reply);
}

// Request path --------------------------------------------------------------

std::int64_t SuspectHost::QuarantineDigest() {
  if (this->suspect_count.load(std::memory_order_acquire) == 0) {
    return 0;
  }
  const std::scoped_lock lock(this->mutex);
  return static_cast<std::int64_t>(this->table.QuarantineDigest(Now()));
}

void SuspectHost::OnPeerDigest(const NodeId& peer, std::int64_t digest) {
  if (digest == 0 || digest == this->QuarantineDigest() ||
      std::exchange(this->asking_for_quarantines, true)) {
    return;
  }
  this->control.Spawn([this, peer] {
    wire::SuspectRequest request;
    request.__set_list_quarantined(true);
    const auto bytes = this->peers.Request(peer, Channel::kSuspects,
                                           Encode(request), kListTimeout);
    this->asking_for_quarantines = false;
    const auto reply = bytes
                           ? Decode<wire::SuspectLeaseReply>(*bytes)
                           : tl::expected<wire::SuspectLeaseReply, DecodeError>(
                                 tl::unexpected(DecodeError{}));
    if (reply && reply->quarantined.news.size() <= kMaxSuspicionsPerMessage) {
      std::vector<Suspicion> listed;
      std::ranges::transform(reply->quarantined.news,
                             std::back_inserter(listed), ToSuspicion);
      this->OnRecorded(listed);
    }
  });
}

void SuspectHost::OnRecorded(const std::vector<Suspicion>& quarantined) {
  const std::scoped_lock lock(this->mutex);
  std::ranges::for_each(quarantined, [this](const Suspicion& suspicion) {
    this->table.OnSuspicion(suspicion, Now());
  });
  this->UpdateSuspectCount();
}

std::vector<Suspicion> SuspectHost::OwnQuarantines() {
  const std::scoped_lock lock(this->mutex);
  return this->table.QuarantinedBy(this->self, Now());
}

SuspectVerdict SuspectHost::Admit(Fingerprint fingerprint, Instant deadline) {
  return this->AdmitWithin(fingerprint, deadline,
                           deadline + kMaxRunPastDeadline);
}

SuspectVerdict SuspectHost::AdmitWithin(Fingerprint fingerprint,
                                        Instant wait_until,
                                        Instant lease_end) {
  if (this->suspect_count.load(std::memory_order_acquire) == 0) {
    return SuspectVerdict::kRun;
  }
  switch (this->StateOf(fingerprint)) {
    case SuspectState::kClear:
      return SuspectVerdict::kRun;
    case SuspectState::kQuarantined:
      return SuspectVerdict::kRefuse;
    case SuspectState::kSuspect:
      break;
  }
  const auto verdict = RunOn(
      this->control, wait_until, [this, fingerprint, wait_until, lease_end] {
        return this->AwaitLease(fingerprint, wait_until, lease_end);
      });
  return verdict.value_or(SuspectVerdict::kNoLease);
}

SuspectVerdict SuspectHost::Recheck(Fingerprint fingerprint,
                                    SuspectVerdict verdict,
                                    Instant deadline) {
  return verdict == SuspectVerdict::kRun
             ? this->AdmitWithin(fingerprint, Now() + kRecheckTimeout,
                                 deadline + kMaxRunPastDeadline)
             : verdict;
}

void SuspectHost::OnCallUnproven(Fingerprint fingerprint,
                                 SuspectVerdict verdict) {
  if (verdict != SuspectVerdict::kRunLeased) {
    return;
  }
  {
    const std::scoped_lock lock(this->mutex);
    this->table.ReleaseLocalSlot(fingerprint);
  }
  this->control.Spawn([this, fingerprint] { this->ReturnLease(fingerprint); });
}

void SuspectHost::OnCallAnswered(Fingerprint fingerprint,
                                 SuspectVerdict verdict) {
  std::optional<Suspicion> suspicion;
  {
    const std::scoped_lock lock(this->mutex);
    if (verdict == SuspectVerdict::kRunLeased) {
      this->table.ReleaseLocalSlot(fingerprint);
    }
    suspicion = this->table.OnRanSafely(fingerprint, Now());
    this->UpdateSuspectCount();
  }
  if (suspicion) {
    this->log(
        "suspect cleared",
        {{"fingerprint", ToText(fingerprint)},
         {"deaths", suspicion->deaths},
         {"leased", std::int64_t{verdict == SuspectVerdict::kRunLeased}}});
    this->control.Spawn([this, suspicion] { this->Broadcast({*suspicion}); });
  }
}

void SuspectHost::ReportBackendDeath(std::string_view backend_start,
                                     const std::vector<Fingerprint>& running) {
  std::vector<Suspicion> suspicions;
  {
    const std::scoped_lock lock(this->mutex);
    suspicions =
        this->table.OnBackendDied(this->self, backend_start, running, Now());
    this->UpdateSuspectCount();
  }
  this->LogDeath(backend_start, running, suspicions);
  if (suspicions.empty()) {
    return;
  }
  RunOn(this->control, Now() + kBroadcastTimeout,
        [this, suspicions = std::move(suspicions)] {
          this->Broadcast(suspicions);
          return true;
        });
}

void SuspectHost::LogDeath(std::string_view backend_start,
                           const std::vector<Fingerprint>& running,
                           const std::vector<Suspicion>& suspicions) const {
  const auto list = [](std::vector<Fingerprint> fingerprints) {
    // A line of the log has room for this many.
    constexpr std::size_t kMaxListed = 32;
    std::ranges::sort(fingerprints);
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                       fingerprints.end());
    fingerprints.resize(std::min(fingerprints.size(), kMaxListed));
    std::string text;
    std::ranges::for_each(fingerprints, [&text](Fingerprint each) {
      text += (text.empty() ? "" : " ") + ToText(each);
    });
    return text;
  };
  std::vector<Fingerprint> suspected;
  std::vector<Fingerprint> passed_over;
  std::ranges::for_each(running, [&](Fingerprint each) {
    const auto found =
        std::ranges::find(suspicions, each, &Suspicion::fingerprint);
    const bool charged = found != suspicions.end() && found->deaths > 0;
    (charged ? suspected : passed_over).push_back(each);
  });
  this->log("suspects", {{"start", backend_start},
                         {"running", static_cast<std::int64_t>(running.size())},
                         {"suspected", list(suspected)},
                         {"passed_over", list(passed_over)}});
}

// Leases --------------------------------------------------------------------

SuspectState SuspectHost::StateOf(Fingerprint fingerprint) {
  const std::scoped_lock lock(this->mutex);
  return this->table.GetState(fingerprint, Now());
}

SuspectVerdict SuspectHost::AwaitLease(Fingerprint fingerprint,
                                       Instant wait_until,
                                       Instant lease_end) {
  while (Now() < wait_until && !this->waits_canceled) {
    switch (this->StateOf(fingerprint)) {
      case SuspectState::kClear:
        return SuspectVerdict::kRun;
      case SuspectState::kQuarantined:
        return SuspectVerdict::kRefuse;
      case SuspectState::kSuspect:
        break;
    }
    if (this->TryAcquireLease(fingerprint, lease_end)) {
      return SuspectVerdict::kRunLeased;
    }
    if (!this->control.SleepFor(kLeaseRetryInterval)) {
      break;
    }
  }
  return SuspectVerdict::kNoLease;
}

// First takes this node's own place for a suspect, which needs no message, and
// then requests the lease from the home node, which grants the leases for this
// fingerprint.
bool SuspectHost::TryAcquireLease(Fingerprint fingerprint, Instant lease_end) {
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->table.TryAcquireLocalSlot(fingerprint, Now(), lease_end)) {
      return false;
    }
  }
  const LeaseAnswer answer = this->RequestLease(fingerprint, lease_end);
  if (answer == LeaseAnswer::kGranted) {
    return true;
  }
  const std::scoped_lock lock(this->mutex);
  this->table.ReleaseLocalSlot(fingerprint);
  if (answer == LeaseAnswer::kRefused) {
    this->table.OnSuspicion({fingerprint, kQuarantineDeaths, false, this->self},
                            Now());
  }
  return false;
}

NodeId SuspectHost::HomeOf(Fingerprint fingerprint) const {
  std::vector<NodeId> nodes = this->service_peers;
  nodes.push_back(this->self);
  return BestNodesFor(fingerprint.value, nodes, 1).front();
}

// A lease of no length returns the one that this node holds.
void SuspectHost::ReturnLease(Fingerprint fingerprint) {
  const NodeId home = this->HomeOf(fingerprint);
  if (home == this->self) {
    const std::scoped_lock lock(this->mutex);
    this->table.OnLeaseReturned(fingerprint, home);
    return;
  }
  wire::SuspectRequest request;
  wire::SuspectLeaseRequest lease;
  lease.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  request.__set_lease(lease);
  (void)this->peers.Request(home, Channel::kSuspects, Encode(request),
                            kLeaseTimeout);
}

LeaseAnswer SuspectHost::RequestLease(Fingerprint fingerprint,
                                      Instant lease_end) {
  const NodeId home = this->HomeOf(fingerprint);
  if (home == this->self) {
    const std::scoped_lock lock(this->mutex);
    return this->table.OnLeaseRequest(fingerprint, home, TimeLeft(lease_end),
                                      Now());
  }
  wire::SuspectRequest request;
  wire::SuspectLeaseRequest lease;
  lease.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  // A lease of no length would be a return.
  lease.lease_us = std::max<std::int64_t>(1, TimeLeft(lease_end).count());
  request.__set_lease(lease);
  const auto bytes = this->peers.Request(home, Channel::kSuspects,
                                         Encode(request), kLeaseTimeout);
  const auto reply = bytes
                         ? Decode<wire::SuspectLeaseReply>(*bytes)
                         : tl::expected<wire::SuspectLeaseReply, DecodeError>(
                               tl::unexpected(DecodeError{bytes.error().text}));
  if (!reply || reply->answer < 0 ||
      reply->answer > static_cast<std::int32_t>(LeaseAnswer::kRefused)) {
    return LeaseAnswer::kBusy;
  }
  return static_cast<LeaseAnswer>(reply->answer);
}

// Sends the suspicions to all peers in parallel and waits for their replies,
// each for at most kBroadcastRequestTimeout.
void SuspectHost::Broadcast(std::vector<Suspicion> suspicions) {
  wire::SuspectRequest request;
  request.__set_tell(ToTell(suspicions));
  const std::string bytes = Encode(request);
  std::vector<boost::fibers::fiber> pending;
  std::string unanswered;
  for (const NodeId& node : this->service_peers) {
    pending.emplace_back([this, node, &bytes, &unanswered] {
      if (!this->peers.Request(node, Channel::kSuspects, bytes,
                               kBroadcastRequestTimeout)) {
        unanswered += (unanswered.empty() ? "" : " ") + node.value;
      }
    });
  }
  std::ranges::for_each(pending, [](auto& wait) { wait.join(); });
  if (!unanswered.empty()) {
    this->log("news of suspects unanswered",
              {{"nodes", unanswered},
               {"suspects", static_cast<std::int64_t>(suspicions.size())}});
  }
}

void SuspectHost::UpdateSuspectCount() {
  this->suspect_count.store(this->table.size(), std::memory_order_release);
}

}  // namespace tanagerledge
