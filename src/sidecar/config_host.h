// Keeps this node on the newest configuration of the operator.
//
// Connects ConfigFollower, which decides what to read, to the store and to the
// other nodes.

#ifndef TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/peer_transport.h"
#include "src/distribution/announcement_targets.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/store_calls.h"
#include "tanagerledge/config_follower.h"
#include "tanagerledge/config_proof.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/reader_role.h"

namespace tanagerledge {

class ConfigHost {
 public:
  // Receives each configuration that takes effect.
  using Sink = std::function<void(std::shared_ptr<const MeshConfig>)>;

  ConfigHost(IoLoop& loop,
             PeerTransport& peers,
             KeyedLogPort& store,
             const PlatformPort& platform,
             EventLog& events,
             StoreCalls& calls,
             std::uint64_t seed,
             Sink sink);

  // Reports reads of the store, versions and the proofs of peers to `proof`,
  // which must outlive this host.
  void SetProof(ConfigProof& config_proof) { this->proof = &config_proof; }
  // Receives the other records of the configuration's stream. `newest`: they
  // are the newest record of each key.
  using RecordSink =
      std::function<void(std::span<const KeyedRecord> records, bool newest)>;
  void SetRecordSink(RecordSink next) { this->record_sink = std::move(next); }

  // Must be called about every 20 ms.
  void OnTick();
  // `isolated`: no other node responds.
  void SetMembers(const std::vector<Member>& members,
                  const NodeId& self,
                  const Zone& zone,
                  bool isolated);

  // Whether this node reads the store for others too.
  bool is_reader() const { return this->follower.is_reader(); }
  bool store_answers() const { return this->follower.store_answers(); }
  // Whether another node has a newer configuration.
  bool IsBehind() const;

  // One past the last record of the stream that this node has taken over, with
  // all those before it; unset until it has read the newest configuration.
  std::optional<LogOffset> applied_end() const { return this->applied; }
  // `sink` receives each era of the store that another node reports and this
  // node has not seen.
  void SetEraSink(std::function<void(StoreEra)> report) {
    this->era_sink = std::move(report);
  }
  // Another read of the stream, which was sent at `sent`, found this end.
  void OnEndRead(BootInstant sent, LogOffset end) {
    this->UpdateEra();
    this->ReportRead(sent, end, std::nullopt);
  }
  // Reads the newest configuration from the store once, also if this node is no
  // reader.
  void RequestRead() { this->follower.RequestRead(); }

  // Answers another node that asks for a newer configuration than it has.
  std::string OnPeerQuestion(std::string_view question);
  // Another node announces the version and the era of the store that it has.
  void OnPeerNotice(const NodeId& from, std::string_view notice);

 private:
  void UpdateRole(Instant now);
  bool IsInOwnZone(const NodeId& node) const;
  void Execute(const ReadNewestConfig& action);
  void Execute(const ReadConfigRecords& action);
  void Execute(const AskPeerForConfig& action);
  void Execute(const AbandonStoreRead& action);
  bool IsAbandoned(std::uint64_t read) const {
    return read != this->current_read;
  }
  void OnStoreError(const LogError& error);
  // Processes a record of the store, unless it was the last one processed.
  void ProcessRecord(const KeyedRecord& record);
  // Puts a configuration into effect if it is newer; returns whether it did.
  bool ApplyIfNewer(std::string_view content, std::string_view source);
  void NotifyPeers(std::uint64_t version, const AnnouncementCounts& counts);
  // Remembers a node with a newer configuration, which is asked first.
  void RememberPeerWithNewer(const NodeId& peer);
  std::optional<NodeId> NextPeer();
  void OnPeerAnswer(const NodeId& peer,
                    BootInstant asked,
                    std::string_view bytes);
  // A read of the store that was sent at `sent` is complete. `applied_end` is
  // set if this node has every record before it.
  void ReportRead(BootInstant sent,
                  LogOffset end,
                  std::optional<LogOffset> applied_end);
  // Drops what is void since the store came back from a copy.
  void UpdateEra();
  void OnPeerEra(std::int64_t era);
  std::int64_t NewestEra() const {
    return static_cast<std::int64_t>(
        std::max(this->announced_era, this->era.value_or(StoreEra{})).value);
  }
  // Whether the proof shows that this node misses nothing.
  bool IsProvenRecently() const;

  IoLoop& loop;
  PeerTransport& peers;
  KeyedLogPort& store;
  const PlatformPort& platform;
  EventLog& events;
  StoreCalls& calls;
  Sink sink;
  RecordSink record_sink = [](std::span<const KeyedRecord>, bool) {};
  ConfigFollower follower;
  ReaderRole role;
  const Instant started;
  // The current configuration as stored, and its compressed form, which is
  // produced when a peer first asks for it.
  std::string content;
  std::string compressed;
  std::vector<NodeId> same_zone_peers;
  std::vector<NodeId> other_zone_peers;
  int peer_questions = 0;
  // The last record processed from the store.
  std::optional<LogOffset> last_processed;
  std::optional<LogOffset> applied;  // See applied_end().
  std::optional<StoreEra> era;       // Of the offsets above.
  StoreEra announced_era;            // The newest that a node has reported.
  std::function<void(StoreEra)> era_sink = [](StoreEra) {};
  ConfigProof* proof = nullptr;  // Null: no proof is demanded.
  // Peers that announced a newer version; those of the own zone come first.
  std::deque<NodeId> peers_with_newer;
  std::uint64_t current_read = 0;  // Changes when a store read is abandoned.
  bool store_was_answering = true;
  std::mt19937_64 random;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_CONFIG_HOST_H_
