#include "src/sidecar/config_host.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/distribution/compression.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// The store answers in some ms, a slow one takes up to 60 times as long, and a
// link of 7 Mbit/s takes 0.8 s for a configuration of 3,000 routes. Connections
// that went silent are found sooner, by probes.
constexpr milliseconds kStoreTimeout{3000};
// After a failure of the store other nodes may be cut from it for as long: the
// platform's outages last some seconds.
constexpr std::chrono::seconds kTellPeersFor{15};
// A peer's link may be as slow, and several may ask it at once: a question that
// is given up too soon is asked again, and its answer has been sent in vain.
constexpr milliseconds kPeerTimeout{3000};
// Of questions to peers, one in so many goes to another zone: the own one may
// be cut off as a whole.
constexpr int kQuestionsPerFar = 3;
constexpr std::size_t kMaxConfigBytes = 16 * 1024 * 1024;

}  // namespace

ConfigHost::ConfigHost(IoLoop& io_loop,
                       PeerTransport& peer_transport,
                       KeyedLogPort& store_port,
                       const PlatformPort& platform_port,
                       EventLog& event_log,
                       Sink config_sink)
    : loop(io_loop),
      peers(peer_transport),
      store(store_port),
      platform(platform_port),
      events(event_log),
      sink(std::move(config_sink)) {}

void ConfigHost::OnTick() {
  std::ranges::for_each(
      this->follower.Tick(Now()), [this](const FollowAction& action) {
        this->loop.SpawnHere([this, action] {
          std::visit([this](const auto& each) { this->Do(each); }, action);
        });
      });
}

void ConfigHost::SetMembers(const std::vector<Member>& members,
                            const NodeId& self,
                            const Zone& zone) {
  this->near.clear();
  this->far.clear();
  std::ranges::for_each(members, [&](const Member& member) {
    if (member.node != self && IsLive(member)) {
      (member.zone == zone ? this->near : this->far).push_back(member.node);
      this->follower.OnPeerVersion(member.release.value, Now());
    }
  });
}

// Store -----------------------------------------------------------------------

void ConfigHost::Do(const ReadNewestConfig&) {
  auto page =
      this->store.ReadNewest(this->platform.ConfigStream(), kStoreTimeout);
  if (!page) {
    this->OnStoreError(page.error());
    return;
  }
  std::ranges::for_each(page->records, [this](const KeyedRecord& record) {
    if (record.key == this->platform.ConfigKey()) {
      this->OfferRecord(record);
    }
  });
  this->follower.OnNewest(page->end, Now());
}

void ConfigHost::Do(const ReadConfigRecords& action) {
  constexpr std::size_t kOneRecord = 1;
  auto page =
      this->store.Read(this->platform.ConfigStream(), action.from, kOneRecord,
                       action.wait, action.wait + kStoreTimeout);
  if (!page) {
    this->OnStoreError(page.error());
    return;
  }
  if (!this->store_was_answering) {
    this->store_was_answering = true;
    this->events.Write("store answers again", {});
  }
  LogOffset next = action.from;
  if (!page->records.empty()) {
    const LogRecord& record = page->records.front();
    next = LogOffset{record.offset.value + 1};
    const auto keyed = this->store.DecodeKeyed(record);
    // One that was replaced meanwhile is read past: reading it takes a node of
    // a tenth of a core 0.1 s and more.
    const bool replaced = page->end.value > next.value;
    if (!keyed) {
      this->events.Write("store record unreadable", {{"error", keyed.error()}});
    } else if (keyed->key == this->platform.ConfigKey() && !replaced) {
      this->OfferRecord(*keyed);
    }
  }
  this->follower.OnRecords(next, page->end, Now());
}

void ConfigHost::OfferRecord(const KeyedRecord& record) {
  if (this->offered != record.offset) {
    this->offered = record.offset;
    this->Offer(record.value, "store");
  }
}

void ConfigHost::OnStoreError(const LogError& error) {
  if (this->store_was_answering) {
    this->store_was_answering = false;
    this->events.Write("store does not answer", {{"error", error.text}});
  }
  this->tell_peers_until = Now() + kTellPeersFor;
  this->follower.OnStoreError(error.kind, Now());
}

// Peers -----------------------------------------------------------------------

void ConfigHost::Do(const AskPeerForConfig&) {
  if (const auto peer = this->NextPeer()) {
    wire::ConfigQuestion question;
    question.known_version =
        static_cast<std::int64_t>(this->follower.version().value_or(0));
    const auto bytes = this->peers.Request(*peer, Channel::kConfig,
                                           Encode(question), kPeerTimeout);
    if (bytes) {
      this->OnPeerAnswer(*peer, *bytes);
    }
  }
  this->follower.OnPeerAnswered(Now());
}

void ConfigHost::OnPeerAnswer(const NodeId& peer, std::string_view bytes) {
  auto answer = Decode<wire::ConfigAnswer>(bytes);
  if (!answer) {
    this->events.Write("configuration unreadable",
                       {{"from", peer.value}, {"error", answer.error().text}});
    return;
  }
  if (answer->content.empty()) {
    return;  // It has none that is newer.
  }
  const auto unpacked = Unpack(answer->content, kMaxConfigBytes);
  if (!unpacked) {
    this->events.Write(
        "configuration unreadable",
        {{"from", peer.value}, {"error", unpacked.error().text}});
    return;
  }
  if (this->Offer(*unpacked, "peer")) {
    this->packed = std::move(answer->content);
  }
}

// Peers take turns: one that is as cut off as this node is no help. Those of
// the own zone come first, since a configuration has up to half a MB.
std::optional<NodeId> ConfigHost::NextPeer() {
  if (this->newer_peer) {
    return std::exchange(this->newer_peer, std::nullopt);
  }
  const auto next_of = [this](std::vector<NodeId>& nodes) {
    if (!nodes.empty()) {
      std::rotate(nodes.begin(), nodes.begin() + 1, nodes.end());
    }
    const auto found = std::ranges::find_if(nodes, [this](const NodeId& node) {
      return this->peers.IsConnected(node);
    });
    return found == nodes.end() ? std::nullopt : std::optional(*found);
  };
  const bool far_first = ++this->peer_questions % kQuestionsPerFar == 0;
  auto peer = next_of(far_first ? this->far : this->near);
  return peer ? peer : next_of(far_first ? this->near : this->far);
}

std::string ConfigHost::OnPeerQuestion(std::string_view bytes) {
  const auto question = Decode<wire::ConfigQuestion>(bytes);
  wire::ConfigAnswer answer;
  const auto version = this->follower.version();
  if (question && version) {
    answer.version = static_cast<std::int64_t>(*version);
    if (answer.version > question->known_version) {
      if (this->packed.empty()) {
        this->packed = Pack(this->content);
      }
      answer.content = this->packed;
    }
  }
  return Encode(answer);
}

void ConfigHost::OnPeerNotice(const NodeId& from, std::string_view bytes) {
  const auto notice = Decode<wire::ConfigAnswer>(bytes);
  if (!notice || notice->version < 0) {
    return;
  }
  const auto version = static_cast<std::uint64_t>(notice->version);
  if (version > this->follower.version().value_or(0)) {
    const bool is_near =
        std::ranges::find(this->near, from) != this->near.end();
    if (is_near || !this->newer_peer) {
      this->newer_peer = from;
    }
    this->follower.OnPeerVersion(version, Now());
  }
}

void ConfigHost::TellPeers(std::uint64_t version) {
  wire::ConfigAnswer notice;
  notice.version = static_cast<std::int64_t>(version);
  const std::string bytes = Encode(notice);
  const auto tell = [&](const NodeId& node) {
    if (this->peers.IsConnected(node)) {
      this->peers.Send(node, Channel::kConfig, bytes);
    }
  };
  std::ranges::for_each(this->near, tell);
  std::ranges::for_each(this->far, tell);
}

// In force --------------------------------------------------------------------

bool ConfigHost::Offer(std::string_view next, std::string_view source) {
  auto mesh = this->platform.ParseConfig(next);
  if (!mesh) {
    this->events.Write("configuration unreadable",
                       {{"from", source}, {"error", mesh.error()}});
    return false;
  }
  const std::uint64_t version = (*mesh)->version();
  if (!this->follower.Take(version)) {
    return false;
  }
  this->content = next;
  this->packed.clear();
  this->events.Write(
      "configuration in force",
      {{"version", static_cast<std::int64_t>(version)},
       {"from", source},
       {"routes", static_cast<std::int64_t>((*mesh)->routes().size())}});
  this->sink(std::move(*mesh));
  if (Now() < this->tell_peers_until) {
    this->TellPeers(version);
  }
  return true;
}

}  // namespace tanagerledge
