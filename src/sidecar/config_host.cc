#include "src/sidecar/config_host.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// The store answers in some ms; a slow one takes up to 60 times as long.
constexpr milliseconds kStoreTimeout{1200};
// After a failure of the store other nodes may be cut from it for as long: the
// platform's outages last some seconds.
constexpr std::chrono::seconds kTellPeersFor{15};
constexpr milliseconds kPeerTimeout{800};
constexpr std::size_t kRecordsPerRead = 64;

Instant Now() {
  return std::chrono::steady_clock::now();
}

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
                            const NodeId& self) {
  this->others.clear();
  std::ranges::for_each(members, [&](const Member& member) {
    if (member.node != self && IsLive(member)) {
      this->others.push_back(member.node);
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
  std::ranges::for_each(page->records, [this](KeyedRecord& record) {
    if (record.key == this->platform.ConfigKey()) {
      this->Offer(std::move(record.value), "store");
    }
  });
  this->follower.OnNewest(page->end, Now());
}

void ConfigHost::Do(const ReadConfigRecords& action) {
  auto page = this->store.Read(this->platform.ConfigStream(), action.from,
                               kRecordsPerRead, action.wait,
                               action.wait + kStoreTimeout);
  if (!page) {
    this->OnStoreError(page.error());
    return;
  }
  if (!this->store_was_answering) {
    this->store_was_answering = true;
    this->events.Write("store answers again", {});
  }
  // Only the newest one counts: a later record replaces the earlier ones whole.
  std::string newest;
  std::ranges::for_each(page->records, [&](const LogRecord& record) {
    auto keyed = this->store.DecodeKeyed(record);
    if (!keyed) {
      this->events.Write("store record unreadable", {{"error", keyed.error()}});
    } else if (keyed->key == this->platform.ConfigKey()) {
      newest = std::move(keyed->value);
    }
  });
  if (!newest.empty()) {
    this->Offer(std::move(newest), "store");
  }
  const LogOffset next = page->records.empty()
                             ? action.from
                             : LogOffset{page->records.back().offset.value + 1};
  this->follower.OnRecords(next, Now());
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
  // Peers take turns: one that is as cut off as this node is no help.
  if (!this->others.empty()) {
    std::rotate(this->others.begin(), this->others.begin() + 1,
                this->others.end());
  }
  const auto first = std::ranges::find_if(
      this->others,
      [this](const NodeId& node) { return this->peers.IsConnected(node); });
  const auto peer = this->newer_peer
                        ? std::exchange(this->newer_peer, std::nullopt)
                    : first != this->others.end() ? std::optional(*first)
                                                  : std::nullopt;
  if (peer) {
    wire::ConfigQuestion question;
    question.known_version =
        static_cast<std::int64_t>(this->follower.version().value_or(0));
    const auto bytes = this->peers.Request(*peer, Channel::kConfig,
                                           Encode(question), kPeerTimeout);
    if (bytes) {
      auto answer = Decode<wire::ConfigAnswer>(*bytes);
      if (answer && !answer->content.empty()) {
        this->Offer(std::move(answer->content), "peer");
      }
    }
  }
  this->follower.OnPeerAnswered(Now());
}

std::string ConfigHost::OnPeerQuestion(std::string_view bytes) const {
  const auto question = Decode<wire::ConfigQuestion>(bytes);
  wire::ConfigAnswer answer;
  const auto version = this->follower.version();
  if (question && version) {
    answer.version = static_cast<std::int64_t>(*version);
    if (answer.version > question->known_version) {
      answer.content = this->content;
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
    this->newer_peer = from;
    this->follower.OnPeerVersion(version, Now());
  }
}

void ConfigHost::TellPeers(std::uint64_t version) {
  wire::ConfigAnswer notice;
  notice.version = static_cast<std::int64_t>(version);
  const std::string bytes = Encode(notice);
  std::ranges::for_each(this->others, [&](const NodeId& node) {
    if (this->peers.IsConnected(node)) {
      this->peers.Send(node, Channel::kConfig, bytes);
    }
  });
}

// In force --------------------------------------------------------------------

void ConfigHost::Offer(std::string next, std::string_view source) {
  auto mesh = this->platform.ReadConfig(next);
  if (!mesh) {
    this->events.Write("configuration unreadable",
                       {{"from", source}, {"error", mesh.error()}});
    return;
  }
  const std::uint64_t version = (*mesh)->version();
  if (!this->follower.Take(version)) {
    return;
  }
  this->content = std::move(next);
  this->events.Write(
      "configuration in force",
      {{"version", static_cast<std::int64_t>(version)},
       {"from", source},
       {"routes", static_cast<std::int64_t>((*mesh)->routes().size())}});
  this->sink(std::move(*mesh));
  if (Now() < this->tell_peers_until) {
    this->TellPeers(version);
  }
}

}  // namespace tanagerledge
