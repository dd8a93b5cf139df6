// Decides where a node reads the newest configuration from: the store, or a
// peer while the store does not answer.
//
// The configuration may keep changing while the store is down, slow, rejects
// this node, loses replies or has dropped its history. A few nodes, the readers
// (ReaderRole), read the store by long polling, so an idle store costs few
// calls. A reader queries a peer after a store read has failed, when it has no
// configuration soon after its start, and when a peer reports a newer version
// that the store does not deliver in time. A store read that the store held
// while it had a newer version is abandoned: the store or the connection is
// silent. When versions follow each other quickly, only the newest one is read.
//
// Any other node reads the store once at its start. Then it queries peers of
// its own availability zone that report a newer version, those of other zones a
// little later, and the store itself when it is still behind after that.
//
// The class performs no I/O and reads no clock: it takes events and the time
// and returns actions. At most one store read, besides abandoned ones, and two
// peer queries are pending at a time.

#ifndef TANAGERLEDGE_CONFIG_FOLLOWER_H_
#define TANAGERLEDGE_CONFIG_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Reads the newest value, which replaces the known one.
struct ReadNewestConfig {};

// Reads one record at or after `from`; the store holds the read for `wait`
// until there is one.
struct ReadConfigRecords {
  LogOffset from;
  std::chrono::milliseconds wait{0};
};

// Asks a connected peer for a newer configuration.
struct AskPeerForConfig {};

// The pending store read gets no answer. Its result must not be reported.
struct AbandonStoreRead {};

using FollowAction = std::variant<ReadNewestConfig,
                                  ReadConfigRecords,
                                  AskPeerForConfig,
                                  AbandonStoreRead>;
using FollowActions = std::vector<FollowAction>;

struct ConfigFollowerConfig {
  // How long the store holds a read without a new record. This is also the
  // time to detect a silent connection. It is not shorter because each call of
  // the store has a price.
  std::chrono::milliseconds long_poll{10000};
  // Delay from a new version to the next read, so that versions that follow
  // each other quickly are read in one call. Otherwise every node makes a call
  // for each version. A version must be active within 2 s; on average, half of
  // this delay counts toward that limit. The time that an immediate answer of
  // the store takes is deducted: a slow store delays the next read as well.
  std::chrono::milliseconds batch_delay{600};
  // A record that took this long is used although it has been replaced, since
  // the next one may take as long to arrive.
  std::chrono::milliseconds slow_answer{500};
  // Delay after a failed read, doubled up to max_retry_delay. Including the
  // time that a read of a silent store takes, a node reads the store again
  // within 2 s of its recovery. The platform's limits apply again 3 s after the
  // recovery.
  std::chrono::milliseconds retry_delay{200};
  std::chrono::milliseconds max_retry_delay{600};
  // A node without a configuration queries a peer this long after its start: on
  // a slow link the store may need more than a second for a large one.
  std::chrono::milliseconds start_grace{1000};
  // Interval between peer queries while the store does not answer.
  std::chrono::milliseconds peer_query_interval{300};
  // The same after a peer that had nothing newer, while this node is behind.
  std::chrono::milliseconds next_peer_delay{50};
  // A peer may hang until its connection is found dead, so a second one is
  // queried meanwhile.
  int max_peer_queries = 2;
  // When a peer has reported a newer version, how long to wait for the store
  // before querying the peer. A configuration has about 50 KB and must not be
  // sent across zones needlessly, and it must be active within 2 s.
  std::chrono::milliseconds store_grace{700};
  // The same for a store read that began after the report: the store has the
  // version, and half a MB takes 0.7 s over a link of 7 Mbit/s.
  std::chrono::milliseconds read_grace{900};
  // A store read that began before the report is abandoned after this time. The
  // store answers it when it has the version.
  std::chrono::milliseconds silence_timeout{1500};
  // A node that is no reader: how long it is behind before it queries a peer of
  // another zone, and before it reads the store. The peers of its own zone have
  // the version from the readers there, at no price for crossing zones.
  std::chrono::milliseconds other_zone_grace{150};
  std::chrono::milliseconds own_read_grace{500};
  // A reported version that cannot be had for this long does not count as newer
  // any more.
  std::chrono::milliseconds max_time_behind{15000};
};

class ConfigFollower {
 public:
  explicit ConfigFollower(ConfigFollowerConfig follow_config = {})
      : config(follow_config) {}

  // Call it about every 50 ms.
  FollowActions Tick(Instant now);

  // Whether this node is a reader; it is one at first.
  void SetReader(bool reads);
  // Makes a node that is no reader read the store once, as a check.
  void RequestRead() { this->read_requested = true; }

  // The results of a store read.
  void OnNewest(LogOffset end, Instant now);
  // `next` is one past the last record read, `end` one past the last record in
  // the store.
  void OnRecords(LogOffset next, LogOffset end, Instant now);
  void OnStoreError(LogErrorKind kind, Instant now);
  // The store came back from a copy: offsets are void, and so is the pending
  // read, whose result must not be reported.
  void OnNewEra(Instant now);

  // OnPeerAnswered ends a peer query, whether it succeeded or failed.
  // OnPeerVersion reports the version that is active on a peer, which may be in
  // this node's availability zone.
  void OnPeerAnswered(Instant now);
  void OnPeerVersion(std::uint64_t version, bool same_zone, Instant now);

  // Makes `version` the active one and returns true if it is newer than the
  // active one; otherwise changes nothing and returns false.
  bool AcceptIfNewer(std::uint64_t version, Instant now);

  std::optional<std::uint64_t> version() const { return this->active_version; }
  bool is_reader() const { return this->reader; }
  // Whether a peer has a newer version, which this node will have soon.
  bool IsBehind(Instant now) const {
    return this->behind_since &&
           now - *this->behind_since < this->config.max_time_behind;
  }
  bool store_answers() const { return this->store_failures == 0; }
  // Whether to use a record that the pending read returns although the store
  // has a newer one.
  bool UsesReplacedRecord(Instant now) const {
    return now - this->store_read_began >= this->config.slow_answer;
  }

 private:
  void OnStoreAnswered(Instant now);
  bool IsReadDue(Instant now) const;
  bool IsPeerDue(Instant now) const;
  Instant NextBatchAt(Instant now) const;
  // Whether the store should have delivered the peers' version by now.
  bool IsStoreOverdue(Instant now) const;
  // Whether the pending read got no answer although the store has a newer
  // version.
  bool IsStoreSilent(Instant now) const;
  void CountStoreFailure(Instant now);

  ConfigFollowerConfig config;
  std::optional<std::uint64_t> active_version;
  std::optional<Instant> started_at;
  bool reader = true;
  bool read_requested = false;
  // Records are appended faster than this node reads them one by one. Only the
  // newest is then read, every batch_delay, until a read finds nothing new.
  bool falling_behind = false;
  // The offset of the next read; without one, the newest record is read.
  std::optional<LogOffset> next_offset;
  bool store_read_pending = false;
  Instant store_read_began{};
  bool store_read_held = false;  // The pending read waits for a record.
  // How long the last read took that did not wait for a record.
  Instant::duration answer_time{};
  // When a peer first had a newer version than the pending read has delivered.
  std::optional<Instant> read_overtaken_at;
  int pending_peer_queries = 0;
  std::uint64_t newest_peer_version = 0;
  std::uint64_t newest_version_in_zone = 0;  // Of peers in the same zone.
  // When a peer first had a version newer than the active one.
  std::optional<Instant> behind_since;
  int store_failures = 0;  // Consecutive.
  Instant next_store_read_at{};
  Instant next_peer_query_at{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_CONFIG_FOLLOWER_H_
