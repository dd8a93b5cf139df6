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
constexpr std::chrono::seconds kExpiryInterval{1};
constexpr std::chrono::seconds kMaxLease{60};
constexpr std::size_t kMaxSuspicionsPerMessage = 1024;
// Recorded when another node refuses a lease because the request is
// quarantined. Greater than the death limit of any node, so that it is
// quarantined here too.
constexpr int kQuarantineDeaths = 1000;

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
  return news;
}

Suspicion ToSuspicion(const wire::SuspectNews& news) {
  return {{static_cast<std::uint64_t>(news.fingerprint)},
          news.deaths,
          news.cleared,
          {news.node}};
}

}  // namespace

SuspectHost::SuspectHost(IoLoop& control_loop,
                         PeerPort& peer_port,
                         NodeId own_node)
    : control(control_loop), peers(peer_port), self(std::move(own_node)) {}

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
    reply.answer = static_cast<std::int32_t>(
        this->table.OnLeaseRequest(fingerprint, from, length, Now()));
  }
  this->UpdateSuspectCount();
  return Encode(reply);
}

// Request path --------------------------------------------------------------

SuspectVerdict SuspectHost::Admit(Fingerprint fingerprint, Instant deadline) {
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
  const auto verdict =
      RunOn(this->control, deadline, [this, fingerprint, deadline] {
        return this->AwaitLease(fingerprint, deadline);
      });
  return verdict.value_or(SuspectVerdict::kNoLease);
}

void SuspectHost::OnCallAnswered(Fingerprint fingerprint,
                                 SuspectVerdict verdict) {
  if (verdict != SuspectVerdict::kRunLeased) {
    return;
  }
  std::optional<Suspicion> suspicion;
  {
    const std::scoped_lock lock(this->mutex);
    this->table.ReleaseLocalSlot();
    suspicion = this->table.OnRanSafely(fingerprint, Now());
    this->UpdateSuspectCount();
  }
  if (suspicion) {
    this->control.Spawn([this, suspicion] { this->Broadcast({*suspicion}); });
  }
}

void SuspectHost::ReportBackendDeath(const std::vector<Fingerprint>& running) {
  std::vector<Suspicion> suspicions;
  {
    const std::scoped_lock lock(this->mutex);
    suspicions = this->table.OnBackendDied(this->self, running, Now());
    this->UpdateSuspectCount();
  }
  RunOn(this->control, Now() + kBroadcastTimeout,
        [this, suspicions = std::move(suspicions)] {
          this->Broadcast(suspicions);
          return true;
        });
}

// Leases --------------------------------------------------------------------

SuspectState SuspectHost::StateOf(Fingerprint fingerprint) {
  const std::scoped_lock lock(this->mutex);
  return this->table.GetState(fingerprint, Now());
}

SuspectVerdict SuspectHost::AwaitLease(Fingerprint fingerprint,
                                       Instant deadline) {
  while (Now() < deadline && !this->waits_canceled) {
    switch (this->StateOf(fingerprint)) {
      case SuspectState::kClear:
        return SuspectVerdict::kRun;
      case SuspectState::kQuarantined:
        return SuspectVerdict::kRefuse;
      case SuspectState::kSuspect:
        break;
    }
    if (this->TryAcquireLease(fingerprint, deadline)) {
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
bool SuspectHost::TryAcquireLease(Fingerprint fingerprint, Instant deadline) {
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->table.TryAcquireLocalSlot(Now(), deadline)) {
      return false;
    }
  }
  const LeaseAnswer answer = this->RequestLease(fingerprint, deadline);
  if (answer == LeaseAnswer::kGranted) {
    return true;
  }
  const std::scoped_lock lock(this->mutex);
  this->table.ReleaseLocalSlot();
  if (answer == LeaseAnswer::kRefused) {
    this->table.OnSuspicion({fingerprint, kQuarantineDeaths, false, this->self},
                            Now());
  }
  return false;
}

LeaseAnswer SuspectHost::RequestLease(Fingerprint fingerprint,
                                      Instant deadline) {
  std::vector<NodeId> nodes = this->service_peers;
  nodes.push_back(this->self);
  const NodeId home = BestNodesFor(fingerprint.value, nodes, 1).front();
  if (home == this->self) {
    const std::scoped_lock lock(this->mutex);
    return this->table.OnLeaseRequest(fingerprint, home, TimeLeft(deadline),
                                      Now());
  }
  wire::SuspectRequest request;
  wire::SuspectLeaseRequest lease;
  lease.fingerprint = static_cast<std::int64_t>(fingerprint.value);
  lease.lease_us = TimeLeft(deadline).count();
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
  if (suspicions.size() > kMaxSuspicionsPerMessage) {
    suspicions.resize(kMaxSuspicionsPerMessage);
  }
  wire::SuspectRequest request;
  wire::SuspectTell tell;
  std::ranges::transform(suspicions, std::back_inserter(tell.news), ToWire);
  request.__set_tell(tell);
  const std::string bytes = Encode(request);
  std::vector<boost::fibers::fiber> pending;
  for (const NodeId& node : this->service_peers) {
    pending.emplace_back([this, node, &bytes] {
      (void)this->peers.Request(node, Channel::kSuspects, bytes,
                                kBroadcastRequestTimeout);
    });
  }
  std::ranges::for_each(pending, [](auto& wait) { wait.join(); });
}

void SuspectHost::UpdateSuspectCount() {
  this->suspect_count.store(this->table.size(), std::memory_order_release);
}

}  // namespace tanagerledge
