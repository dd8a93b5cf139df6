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

constexpr milliseconds kTellTimeout{50};
// For all of them; answers to callers wait for it.
constexpr milliseconds kLongestTell{250};
constexpr milliseconds kLeaseTimeout{50};
constexpr milliseconds kRetryLease{5};
constexpr std::chrono::seconds kExpiryPeriod{1};
constexpr std::chrono::seconds kLongestLease{60};
constexpr std::size_t kMaxNewsPerMessage = 1024;
// More than any node asks for.
constexpr int kQuarantineDeaths = 1000;

microseconds TimeLeft(Instant deadline) {
  const auto left = std::chrono::duration_cast<microseconds>(deadline - Now());
  return std::clamp<microseconds>(left, microseconds(0), kLongestLease);
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
    while (this->control.SleepFor(kExpiryPeriod)) {
      const std::scoped_lock lock(this->mutex);
      this->table.Expire(Now());
      this->NoteSize();
    }
  });
}

// Control thread ------------------------------------------------------------

void SuspectHost::SetMembers(const std::vector<Member>& members,
                             const ServiceName& service) {
  this->fellows.clear();
  for (const Member& member : members) {
    const bool serves = member.endpoint && member.endpoint->service == service;
    if (IsLive(member) && serves && member.node != this->self) {
      this->fellows.push_back(member.node);
    }
  }
}

std::string SuspectHost::OnPeerRequest(const NodeId& from,
                                       std::string_view request) {
  const auto message = Decode<wire::SuspectRequest>(request);
  wire::SuspectLeaseReply reply;
  reply.answer = static_cast<std::int32_t>(LeaseAnswer::kRefused);
  if (!message || message->tell.news.size() > kMaxNewsPerMessage) {
    return Encode(reply);
  }
  const std::scoped_lock lock(this->mutex);
  for (const wire::SuspectNews& news : message->tell.news) {
    this->table.OnNews(ToSuspicion(news), Now());
  }
  if (message->__isset.lease) {
    const Fingerprint fingerprint{
        static_cast<std::uint64_t>(message->lease.fingerprint)};
    const auto length = std::clamp<microseconds>(
        microseconds(message->lease.lease_us), microseconds(0), kLongestLease);
    reply.answer = static_cast<std::int32_t>(
        this->table.OnLeaseAsked(fingerprint, from, length, Now()));
  }
  this->NoteSize();
  return Encode(reply);
}

// Request path --------------------------------------------------------------

SuspectVerdict SuspectHost::Admit(Fingerprint fingerprint, Instant deadline) {
  if (this->known.load(std::memory_order_acquire) == 0) {
    return SuspectVerdict::kRun;
  }
  switch (this->Look(fingerprint)) {
    case Standing::kClear:
      return SuspectVerdict::kRun;
    case Standing::kQuarantined:
      return SuspectVerdict::kRefuse;
    case Standing::kSuspect:
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
  std::optional<Suspicion> news;
  {
    const std::scoped_lock lock(this->mutex);
    this->table.EndHere();
    news = this->table.OnRanSafely(fingerprint, Now());
    this->NoteSize();
  }
  if (news) {
    this->control.Spawn([this, news] { this->Tell({*news}); });
  }
}

void SuspectHost::ReportBackendDeath(const std::vector<Fingerprint>& running) {
  std::vector<Suspicion> news;
  {
    const std::scoped_lock lock(this->mutex);
    news = this->table.OnBackendDied(this->self, running, Now());
    this->NoteSize();
  }
  RunOn(this->control, Now() + kLongestTell, [this, news = std::move(news)] {
    this->Tell(news);
    return true;
  });
}

// Leases --------------------------------------------------------------------

Standing SuspectHost::Look(Fingerprint fingerprint) {
  const std::scoped_lock lock(this->mutex);
  return this->table.Look(fingerprint, Now());
}

SuspectVerdict SuspectHost::AwaitLease(Fingerprint fingerprint,
                                       Instant deadline) {
  while (Now() < deadline && !this->giving_up) {
    switch (this->Look(fingerprint)) {
      case Standing::kClear:
        return SuspectVerdict::kRun;
      case Standing::kQuarantined:
        return SuspectVerdict::kRefuse;
      case Standing::kSuspect:
        break;
    }
    if (this->TryLease(fingerprint, deadline)) {
      return SuspectVerdict::kRunLeased;
    }
    if (!this->control.SleepFor(kRetryLease)) {
      break;
    }
  }
  return SuspectVerdict::kNoLease;
}

// The place on this node first: it costs no message.
bool SuspectHost::TryLease(Fingerprint fingerprint, Instant deadline) {
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->table.TryStartHere(Now(), deadline)) {
      return false;
    }
  }
  const LeaseAnswer answer = this->AskHome(fingerprint, deadline);
  if (answer == LeaseAnswer::kGranted) {
    return true;
  }
  const std::scoped_lock lock(this->mutex);
  this->table.EndHere();
  if (answer == LeaseAnswer::kRefused) {
    this->table.OnNews({fingerprint, kQuarantineDeaths, false, this->self},
                       Now());
  }
  return false;
}

LeaseAnswer SuspectHost::AskHome(Fingerprint fingerprint, Instant deadline) {
  std::vector<NodeId> nodes = this->fellows;
  nodes.push_back(this->self);
  const NodeId home = BestNodesFor(fingerprint.value, nodes, 1).front();
  if (home == this->self) {
    const std::scoped_lock lock(this->mutex);
    return this->table.OnLeaseAsked(fingerprint, home, TimeLeft(deadline),
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

// Tells all fellows at once and waits for their replies, within a limit.
void SuspectHost::Tell(std::vector<Suspicion> news) {
  if (news.size() > kMaxNewsPerMessage) {
    news.resize(kMaxNewsPerMessage);
  }
  wire::SuspectRequest request;
  wire::SuspectTell tell;
  std::ranges::transform(news, std::back_inserter(tell.news), ToWire);
  request.__set_tell(tell);
  const std::string bytes = Encode(request);
  std::vector<boost::fibers::fiber> waits;
  for (const NodeId& node : this->fellows) {
    waits.emplace_back([this, node, &bytes] {
      (void)this->peers.Request(node, Channel::kSuspects, bytes, kTellTimeout);
    });
  }
  std::ranges::for_each(waits, [](auto& wait) { wait.join(); });
}

void SuspectHost::NoteSize() {
  this->known.store(this->table.size(), std::memory_order_release);
}

}  // namespace tanagerledge
