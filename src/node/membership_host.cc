#include "src/node/membership_host.h"

#include <algorithm>
#include <boost/fiber/future/async.hpp>
#include <boost/fiber/future/future.hpp>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSyncTimeout{3000};
constexpr milliseconds kReachTimeout{1000};

MembershipPurpose PurposeOf(wire::DatagramKind::type kind) {
  switch (kind) {
    case wire::DatagramKind::GOSSIP:
      return MembershipPurpose::kGossip;
    case wire::DatagramKind::DIGEST:
    case wire::DatagramKind::DIGEST_DIFFERENCE:
      return MembershipPurpose::kDigest;
    case wire::DatagramKind::REACH:
      return MembershipPurpose::kReach;
    default:
      return MembershipPurpose::kProbe;
  }
}

}  // namespace

MembershipHost::MembershipHost(IoLoop& io_loop,
                               PeerPort& peer_port,
                               DatagramPort& datagram_port,
                               MembershipConfig membership_config,
                               ChangeHandler change_handler)
    : loop(io_loop),
      peers(peer_port),
      datagrams(datagram_port),
      fleet(membership_config.fleet),
      self(membership_config.self),
      tick(membership_config.tick),
      machine(std::move(membership_config), Now()),
      on_change(std::move(change_handler)) {}

MembershipHost::~MembershipHost() = default;

tl::expected<void, std::string> MembershipHost::Start() {
  auto opened =
      this->datagrams.Open([this](const NodeId& from, std::string_view bytes) {
        this->OnDatagram(from, bytes);
      });
  if (opened) {
    this->loop.Spawn([this] { this->RunTicks(); });
  }
  return opened;
}

void MembershipHost::Stop() {
  this->stopped = true;
  this->datagrams.Close();
}

void MembershipHost::RunTicks() {
  while (!this->stopped && this->loop.SleepFor(this->tick)) {
    const Instant now = Now();
    this->Perform(this->machine.Tick(now));
    this->ReportChange(now);
  }
  if (!this->stopped) {
    this->Stop();
  }
}

void MembershipHost::ReportChange(Instant now) {
  if (now - this->last_report < kChangeInterval ||
      !this->machine.TakeChanged()) {
    return;
  }
  this->last_report = now;
  ++this->traffic_counters.changes;
  this->on_change(this->machine.Members(now));
}

// Actions -------------------------------------------------------------------

void MembershipHost::Perform(MembershipActions actions) {
  for (auto& action : actions) {
    std::visit(
        [this]<typename Action>(Action& each) {
          if constexpr (std::is_same_v<Action, SendDatagram>) {
            this->SendNow(each);
          } else {
            this->StartSync(std::move(each));
          }
        },
        action);
  }
}

void MembershipHost::SendNow(SendDatagram& action) {
  if (const std::int64_t digest = this->own_digest(); digest != 0) {
    action.message.__set_quarantine(digest);
  }
  const std::string bytes = Encode(action.message);
  this->CountSent(action.purpose, bytes.size());
  this->datagrams.Send(action.to, bytes);
}

void MembershipHost::StartSync(SendSync action) {
  this->loop.Spawn([this, sync = std::move(action)] {
    wire::MembershipRequest request;
    request.fleet = this->fleet;
    request.__set_sync(sync.request);
    std::string bytes = Encode(request);
    this->CountSent(MembershipPurpose::kSync, bytes.size());
    const auto reply = this->peers.Request(sync.to, Channel::kMembership,
                                           std::move(bytes), kSyncTimeout);
    if (!reply || this->stopped) {
      return;
    }
    this->CountReceived(MembershipPurpose::kSync, reply->size());
    const auto decoded = Decode<wire::MembershipReply>(*reply);
    if (!decoded || !decoded->__isset.sync) {
      ++this->traffic_counters.malformed;
      return;
    }
    this->machine.OnSyncReply(sync.to, decoded->sync, Now());
  });
}

// State of this node --------------------------------------------------------

void MembershipHost::Announce(const Endpoint& endpoint) {
  this->machine.Announce(endpoint, Now());
}

void MembershipHost::Drain() {
  this->machine.Drain(Now());
}

void MembershipHost::Leave() {
  this->Perform(this->machine.Leave(Now()));
}

void MembershipHost::AddSeeds(const std::vector<NodeId>& seeds) {
  this->machine.AddSeeds(seeds, Now());
}

void MembershipHost::SetInForce(ReleaseNumber release) {
  this->machine.SetInForce(release);
}

std::vector<Member> MembershipHost::Members() const {
  return this->machine.Members(Now());
}

// Messages ------------------------------------------------------------------

void MembershipHost::OnDatagram(const NodeId& from, std::string_view bytes) {
  const auto message = Decode<wire::MembershipDatagram>(bytes);
  if (!message || bytes.size() > kMaxDatagramBytes) {
    ++this->traffic_counters.malformed;
    return;
  }
  this->CountReceived(PurposeOf(message->kind), bytes.size());
  this->Perform(this->machine.OnDatagram(from, *message, Now()));
  if (message->__isset.quarantine && this->machine.Find(from, Now())) {
    this->on_digest(from, message->quarantine);
  }
}

std::string MembershipHost::OnPeerRequest(const NodeId& from,
                                          std::string_view bytes) {
  const auto request = Decode<wire::MembershipRequest>(bytes);
  wire::MembershipReply reply;
  if (!request || request->fleet != this->fleet || this->stopped) {
    ++this->traffic_counters.malformed;
    return Encode(reply);
  }
  auto purpose = MembershipPurpose::kSync;
  if (request->__isset.sync) {
    reply.__set_sync(this->machine.OnSyncRequest(from, request->sync, Now()));
  } else if (request->__isset.reach) {
    purpose = MembershipPurpose::kReach;
    reply.__set_reach(this->machine.OnReachQuery(request->reach, Now()));
  }
  this->CountReceived(purpose, bytes.size());
  std::string encoded = Encode(reply);
  this->CountSent(purpose, encoded.size());
  return encoded;
}

// Reach ---------------------------------------------------------------------

namespace {

ZoneReach ToZoneReach(const ZoneSummarizer& zone,
                      const wire::ReachReply& reply,
                      std::int64_t release) {
  ZoneReach result;
  result.zone = zone.zone;
  result.answered = true;
  result.members = static_cast<std::size_t>(std::max(reply.members, 0));
  for (const auto& count : reply.reach.counts) {
    if (count.release >= release) {
      result.in_force += static_cast<std::size_t>(std::max(count.nodes, 0));
    }
  }
  for (const auto& laggard : reply.reach.laggards) {
    const bool lags = laggard.release >= 0 && laggard.release < release;
    if (lags && result.laggards.size() < kMaxLaggards) {
      const int last = static_cast<int>(LagReason::kSuspect);
      result.laggards.push_back(
          {{laggard.node},
           {static_cast<std::uint64_t>(laggard.release)},
           static_cast<LagReason>(std::clamp(laggard.reason, 0, last))});
    }
  }
  return result;
}

}  // namespace

ReachReport MembershipHost::Reach(ReleaseNumber release) {
  ReachReport report;
  report.release = release;
  std::vector<boost::fibers::future<ZoneReach>> answers;
  for (const ZoneSummarizer& zone : this->machine.ZoneSummarizers()) {
    answers.push_back(boost::fibers::async(
        [this, zone, release] { return this->QueryZone(zone, release); }));
  }
  std::ranges::transform(answers, std::back_inserter(report.zones),
                         [](auto& answer) { return answer.get(); });
  return report;
}

ZoneReach MembershipHost::QueryZone(const ZoneSummarizer& zone,
                                    ReleaseNumber release) {
  auto reply = this->QueryReach(zone.node, release, false);
  if (reply && reply->__isset.summarizer) {
    reply = this->QueryReach({reply->summarizer}, release, true);
  }
  if (!reply) {
    ZoneReach unknown;
    unknown.zone = zone.zone;
    unknown.members = zone.members;
    return unknown;
  }
  return ToZoneReach(zone, *reply, static_cast<std::int64_t>(release.value));
}

std::optional<wire::ReachReply> MembershipHost::QueryReach(
    const NodeId& node,
    ReleaseNumber release,
    bool redirected) {
  wire::ReachQuery query;
  query.release = static_cast<std::int64_t>(release.value);
  query.redirected = redirected;
  if (node == this->self) {
    return this->machine.OnReachQuery(query, Now());
  }
  wire::MembershipRequest request;
  request.fleet = this->fleet;
  request.__set_reach(query);
  std::string bytes = Encode(request);
  this->CountSent(MembershipPurpose::kReach, bytes.size());
  const auto reply = this->peers.Request(node, Channel::kReach,
                                         std::move(bytes), kReachTimeout);
  if (!reply) {
    return std::nullopt;
  }
  this->CountReceived(MembershipPurpose::kReach, reply->size());
  const auto decoded = Decode<wire::MembershipReply>(*reply);
  if (!decoded || !decoded->__isset.reach) {
    ++this->traffic_counters.malformed;
    return std::nullopt;
  }
  return decoded->reach;
}

// Counters ------------------------------------------------------------------

void MembershipHost::CountSent(MembershipPurpose purpose, std::size_t bytes) {
  auto& counts =
      this->traffic_counters.by_purpose[static_cast<std::size_t>(purpose)];
  ++counts.sent_messages;
  counts.sent_bytes += bytes;
}

void MembershipHost::CountReceived(MembershipPurpose purpose,
                                   std::size_t bytes) {
  auto& counts =
      this->traffic_counters.by_purpose[static_cast<std::size_t>(purpose)];
  ++counts.received_messages;
  counts.received_bytes += bytes;
}

}  // namespace tanagerledge
