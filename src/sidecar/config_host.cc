#include "src/sidecar/config_host.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/distribution/announcement_targets.h"
#include "src/distribution/compression.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// The store answers in a few ms, or up to 60 times slower under load, and a
// configuration of 3,000 routes takes 0.8 s over a link of 7 Mbit/s. Probes
// detect dead connections sooner than this timeout.
constexpr milliseconds kStoreTimeout{3000};
// A peer's link may be as slow, and several nodes may ask the peer at once.
// With a shorter timeout the question would be repeated and the first answer
// wasted.
constexpr milliseconds kPeerTimeout{3000};
// One in this many questions goes to a peer in another availability zone, since
// the node's own zone may be cut off as a whole.
constexpr int kQuestionsPerOtherZone = 3;
constexpr std::size_t kMaxPeersWithNewer = 4;
constexpr std::string_view kFromStore = "store";
constexpr std::size_t kMaxConfigBytes = 16 * 1024 * 1024;
// Nodes that are no readers check the store at random, all of them together
// once in this time: readers that the store does not serve may not know it.
constexpr milliseconds kFleetCheckInterval{1000};
// A node with a proof younger than this needs no check: the proof was renewed
// in time.
constexpr milliseconds kRecentProof{2500};
// A node that has just started knows few members.
constexpr milliseconds kCheckDelay{5000};
constexpr milliseconds kTickInterval{20};
// A read that takes this long after the store had a record is logged.
constexpr milliseconds kSlowRead{500};

milliseconds Since(Instant start) {
  return std::chrono::duration_cast<milliseconds>(Now() - start);
}

}  // namespace

ConfigHost::ConfigHost(IoLoop& io_loop,
                       PeerTransport& peer_transport,
                       KeyedLogPort& store_port,
                       const PlatformPort& platform_port,
                       EventLog& event_log,
                       StoreCalls& store_calls,
                       std::uint64_t seed,
                       Sink config_sink)
    : loop(io_loop),
      peers(peer_transport),
      store(store_port),
      platform(platform_port),
      events(event_log),
      calls(store_calls),
      sink(std::move(config_sink)),
      started(Now()),
      random(seed) {
  this->follower.SetReader(false);
}

void ConfigHost::UpdateRole(Instant now) {
  const bool reads = this->role.IsReader(now);
  if (reads != this->follower.is_reader()) {
    this->events.Write(
        "store reader",
        {{"reads", std::int64_t{reads}},
         {"live", static_cast<std::int64_t>(this->role.live_nodes())}});
    this->follower.SetReader(reads);
  }
  const auto nodes = static_cast<double>(this->role.live_nodes());
  if (!reads && now - this->started >= kCheckDelay &&
      !this->IsProvenRecently() &&
      std::bernoulli_distribution(
          kTickInterval / (kFleetCheckInterval * nodes))(this->random)) {
    this->follower.RequestRead();
  }
}

// The era is known as soon as any part of this node gets a response.
void ConfigHost::UpdateEra() {
  const auto newest = this->store.era();
  if (!newest || newest == this->era) {
    return;
  }
  if (this->proof != nullptr) {
    this->proof->OnStoreEra(*newest, BootNow());
  }
  const bool came_back = this->era.has_value();
  this->era = newest;
  if (!came_back) {
    return;
  }
  this->last_processed.reset();
  this->applied.reset();
  ++this->current_read;
  this->follower.OnNewEra(Now());
  this->events.Write("store came back from a copy",
                     {{"era", static_cast<std::int64_t>(newest->value)}});
  this->announced_era = std::max(this->announced_era, *newest);
  this->NotifyPeers(this->follower.version().value_or(0), kFirstAnnouncements);
}

// Only a hint, since it may come from another writer: what this node knows of
// the store is void once the store itself says so.
void ConfigHost::OnPeerEra(std::int64_t reported) {
  const StoreEra next{
      static_cast<std::uint64_t>(std::max<std::int64_t>(reported, 0))};
  if (next > std::max(this->announced_era, this->era.value_or(StoreEra{}))) {
    this->announced_era = next;
    this->era_sink(next);
    this->NotifyPeers(this->follower.version().value_or(0),
                      AnnouncementCounts{});
  }
}

void ConfigHost::OnTick() {
  this->UpdateEra();
  this->UpdateRole(Now());
  std::ranges::for_each(
      this->follower.Tick(Now()), [this](const FollowAction& action) {
        this->loop.SpawnHere([this, action] {
          std::visit([this](const auto& each) { this->Execute(each); }, action);
        });
      });
}

void ConfigHost::SetMembers(const std::vector<Member>& members,
                            const NodeId& self,
                            const Zone& zone,
                            bool isolated) {
  this->role.OnMembers(members, self, zone, isolated, Now());
  this->same_zone_peers.clear();
  this->other_zone_peers.clear();
  std::ranges::for_each(members, [&](const Member& member) {
    if (member.node != self && IsLive(member)) {
      (member.zone == zone ? this->same_zone_peers : this->other_zone_peers)
          .push_back(member.node);
      if (member.release.value > this->follower.version().value_or(0)) {
        this->RememberPeerWithNewer(member.node);
      }
      this->follower.OnPeerVersion(member.release.value, member.zone == zone,
                                   Now());
    }
  });
}

bool ConfigHost::IsBehind() const {
  return this->follower.IsBehind(Now());
}

// Store -----------------------------------------------------------------------

void ConfigHost::Execute(const ReadNewestConfig&) {
  const std::uint64_t read = this->current_read;
  const Instant asked = Now();
  const BootInstant sent = BootNow();
  ++this->calls.config_reads;
  auto page =
      this->store.ReadNewest(this->platform.ConfigStream(), kStoreTimeout);
  this->UpdateEra();
  if (Since(asked) >= kSlowRead) {
    this->events.Write("store read slow",
                       {{"took_ms", Since(asked).count()},
                        {"answered", std::int64_t{page.has_value()}}});
  }
  if (!page) {
    if (this->proof != nullptr) {
      this->proof->OnStoreReadFailed(BootNow());
    }
    if (!this->IsAbandoned(read)) {
      this->OnStoreError(page.error());
    }
    return;
  }
  std::ranges::for_each(page->records, [this](const KeyedRecord& record) {
    if (record.key == this->platform.ConfigKey()) {
      this->ProcessRecord(record);
    }
  });
  this->ReportRead(sent, page->end, page->end);
  this->record_sink(page->records, true);
  if (!this->IsAbandoned(read)) {
    this->follower.OnNewest(page->end, Now());
  }
}

void ConfigHost::Execute(const ReadConfigRecords& action) {
  constexpr std::size_t kOneRecord = 1;
  const std::uint64_t read = this->current_read;
  const BootInstant sent = BootNow();
  ++this->calls.config_polls;
  auto page =
      this->store.Read(this->platform.ConfigStream(), action.from, kOneRecord,
                       action.wait, action.wait + kStoreTimeout);
  this->UpdateEra();
  if (!page) {
    if (!this->IsAbandoned(read)) {
      this->OnStoreError(page.error());
    }
    return;
  }
  if (!this->store_was_answering && !this->IsAbandoned(read)) {
    this->store_was_answering = true;
    this->events.Write("store answers again", {});
  }
  LogOffset next = action.from;
  // The records from action.from on continue those that this node has.
  bool has_all = this->applied && action.from <= *this->applied;
  if (!page->records.empty()) {
    const LogRecord& record = page->records.front();
    next = LogOffset{record.offset.value + 1};
    const auto keyed = this->store.DecodeKeyed(record);
    // Skips a record that has been replaced since: parsing it takes a node with
    // a tenth of a core 0.1 s or more.
    const bool skipped = page->end.value > next.value &&
                         !this->follower.UsesReplacedRecord(Now());
    has_all = has_all && !skipped;
    if (!keyed) {
      this->events.Write("store record unreadable", {{"error", keyed.error()}});
    } else if (keyed->key == this->platform.ConfigKey() && !skipped) {
      this->ProcessRecord(*keyed);
    } else if (keyed->key != this->platform.ConfigKey()) {
      this->record_sink({&*keyed, 1}, false);
    }
  }
  this->ReportRead(sent, page->end,
                   has_all ? std::optional(next) : std::nullopt);
  if (!this->IsAbandoned(read)) {
    this->follower.OnRecords(next, page->end, Now());
  }
}

void ConfigHost::ReportRead(BootInstant sent,
                            LogOffset end,
                            std::optional<LogOffset> applied_end) {
  if (applied_end) {
    this->applied =
        std::max(this->applied.value_or(*applied_end), *applied_end);
  }
  if (this->proof == nullptr) {
    return;
  }
  if (this->applied) {
    this->proof->OnApplied(*this->applied);
  }
  // In a copy, an older configuration may be the newest.
  if (this->era > StoreEra{} && this->IsBehind()) {
    this->proof->OnStoreReadFailed(BootNow());
    return;
  }
  this->proof->OnStoreRead(sent, end);
}

bool ConfigHost::IsProvenRecently() const {
  const auto age =
      this->proof == nullptr ? std::nullopt : this->proof->Age(BootNow());
  return age && *age < kRecentProof;
}

void ConfigHost::Execute(const AbandonStoreRead&) {
  ++this->current_read;
  this->store_was_answering = false;
  this->events.Write(
      "store does not answer",
      {{"error", "a newer version exists, the waiting read got no answer"}});
}

void ConfigHost::ProcessRecord(const KeyedRecord& record) {
  if (this->last_processed != record.offset) {
    this->last_processed = record.offset;
    this->ApplyIfNewer(record.value, kFromStore);
  }
}

void ConfigHost::OnStoreError(const LogError& error) {
  if (this->store_was_answering) {
    this->store_was_answering = false;
    this->events.Write("store does not answer", {{"error", error.text}});
  }
  this->follower.OnStoreError(error.kind, Now());
}

// Peers -----------------------------------------------------------------------

void ConfigHost::Execute(const AskPeerForConfig&) {
  if (const auto peer = this->NextPeer()) {
    wire::ConfigQuestion question;
    question.known_version =
        static_cast<std::int64_t>(this->follower.version().value_or(0));
    question.wants_proof = this->proof != nullptr;
    const Instant asked = Now();
    const BootInstant sent = BootNow();
    const auto bytes = this->peers.Request(*peer, Channel::kConfig,
                                           Encode(question), kPeerTimeout);
    this->events.Write(
        "peer asked for configuration",
        {{"peer", peer->value},
         {"known", question.known_version},
         {"bytes", static_cast<std::int64_t>(bytes ? bytes->size() : 0)},
         {"took_ms", Since(asked).count()},
         {"error", bytes ? std::string() : bytes.error().text}});
    if (bytes) {
      this->OnPeerAnswer(*peer, sent, *bytes);
    }
  }
  this->follower.OnPeerAnswered(Now());
}

void ConfigHost::OnPeerAnswer(const NodeId& peer,
                              BootInstant asked,
                              std::string_view bytes) {
  auto answer = Decode<wire::ConfigAnswer>(bytes);
  if (!answer) {
    this->events.Write("configuration unreadable",
                       {{"from", peer.value}, {"error", answer.error().text}});
    return;
  }
  this->OnPeerEra(answer->store_era);
  if (this->proof != nullptr && answer->version >= 0 &&
      answer->__isset.proof_age_us) {
    this->proof->OnPeerProof(peer, asked,
                             static_cast<std::uint64_t>(answer->version),
                             std::chrono::microseconds(answer->proof_age_us));
  }
  if (answer->content.empty()) {
    return;  // The peer has no newer configuration.
  }
  const auto decompressed = Unpack(answer->content, kMaxConfigBytes);
  if (!decompressed) {
    this->events.Write(
        "configuration unreadable",
        {{"from", peer.value}, {"error", decompressed.error().text}});
    return;
  }
  if (this->ApplyIfNewer(*decompressed, "peer")) {
    this->compressed = std::move(answer->content);
  }
}

// Asks the peers in turn, because one that is cut off like this node can't
// help. Peers in the same availability zone are preferred, since a
// configuration has up to half a MB.
std::optional<NodeId> ConfigHost::NextPeer() {
  while (!this->peers_with_newer.empty()) {
    const NodeId peer = this->peers_with_newer.front();
    this->peers_with_newer.pop_front();
    if (this->peers.IsConnected(peer)) {
      return peer;
    }
  }
  const auto next_connected = [this](std::vector<NodeId>& nodes) {
    if (!nodes.empty()) {
      std::rotate(nodes.begin(), nodes.begin() + 1, nodes.end());
    }
    const auto found = std::ranges::find_if(nodes, [this](const NodeId& node) {
      return this->peers.IsConnected(node);
    });
    return found == nodes.end() ? std::nullopt : std::optional(*found);
  };
  const bool other_zone_first =
      ++this->peer_questions % kQuestionsPerOtherZone == 0;
  auto peer = next_connected(other_zone_first ? this->other_zone_peers
                                              : this->same_zone_peers);
  return peer ? peer
              : next_connected(other_zone_first ? this->same_zone_peers
                                                : this->other_zone_peers);
}

std::string ConfigHost::OnPeerQuestion(std::string_view bytes) {
  const auto question = Decode<wire::ConfigQuestion>(bytes);
  wire::ConfigAnswer answer;
  answer.store_era = this->NewestEra();
  const auto version = this->follower.version();
  if (question && version) {
    answer.version = static_cast<std::int64_t>(*version);
    const auto age = question->wants_proof && this->proof != nullptr
                         ? this->proof->Age(BootNow())
                         : std::nullopt;
    if (age) {
      answer.__set_proof_age_us(
          std::chrono::ceil<std::chrono::microseconds>(*age).count());
    }
    if (answer.version > question->known_version) {
      if (this->compressed.empty()) {
        this->compressed = Pack(this->content);
      }
      answer.content = this->compressed;
    }
  }
  return Encode(answer);
}

void ConfigHost::OnPeerNotice(const NodeId& from, std::string_view bytes) {
  const auto notice = Decode<wire::ConfigAnswer>(bytes);
  if (!notice || notice->version < 0) {
    return;
  }
  this->OnPeerEra(notice->store_era);
  const auto version = static_cast<std::uint64_t>(notice->version);
  if (version > this->follower.version().value_or(0)) {
    this->RememberPeerWithNewer(from);
    this->events.Write("newer version announced",
                       {{"version", notice->version},
                        {"known", static_cast<std::int64_t>(
                                      this->follower.version().value_or(0))},
                        {"from", from.value}});
    this->follower.OnPeerVersion(version, this->IsInOwnZone(from), Now());
  }
}

bool ConfigHost::IsInOwnZone(const NodeId& node) const {
  return std::ranges::find(this->same_zone_peers, node) !=
         this->same_zone_peers.end();
}

void ConfigHost::NotifyPeers(std::uint64_t version,
                             const AnnouncementCounts& counts) {
  wire::ConfigAnswer notice;
  notice.version = static_cast<std::int64_t>(version);
  notice.store_era = this->NewestEra();
  const std::string bytes = Encode(notice);
  const auto connected = [this](const std::vector<NodeId>& nodes) {
    std::vector<NodeId> found;
    std::ranges::copy_if(
        nodes, std::back_inserter(found),
        [this](const NodeId& node) { return this->peers.IsConnected(node); });
    return found;
  };
  std::ranges::for_each(
      ChooseAnnouncementTargets(connected(this->same_zone_peers),
                                connected(this->other_zone_peers), counts,
                                this->random),
      [&](const NodeId& node) {
        this->peers.Send(node, Channel::kConfig, bytes);
      });
}

void ConfigHost::RememberPeerWithNewer(const NodeId& peer) {
  if (std::ranges::find(this->peers_with_newer, peer) !=
      this->peers_with_newer.end()) {
    return;
  }
  if (this->IsInOwnZone(peer)) {
    this->peers_with_newer.push_front(peer);
  } else {
    this->peers_with_newer.push_back(peer);
  }
  if (this->peers_with_newer.size() > kMaxPeersWithNewer) {
    this->peers_with_newer.pop_back();
  }
}

// Current configuration -------------------------------------------------------

bool ConfigHost::ApplyIfNewer(std::string_view next, std::string_view source) {
  auto mesh = this->platform.ParseConfig(next);
  if (!mesh) {
    this->events.Write("configuration unreadable",
                       {{"from", source}, {"error", mesh.error()}});
    return false;
  }
  const std::uint64_t version = (*mesh)->version();
  if (!this->follower.AcceptIfNewer(version, Now())) {
    return false;
  }
  this->content = next;
  this->compressed.clear();
  this->events.Write(
      "configuration in force",
      {{"version", static_cast<std::int64_t>(version)},
       {"from", source},
       {"routes", static_cast<std::int64_t>((*mesh)->routes().size())}});
  this->sink(std::move(*mesh));
  if (this->proof != nullptr) {
    this->proof->OnVersion(version);
  }
  if (!this->IsBehind()) {
    this->peers_with_newer.clear();
  }
  this->NotifyPeers(version, source == kFromStore ? kFirstAnnouncements
                                                  : AnnouncementCounts{});
  return true;
}

}  // namespace tanagerledge
