// Decides whether a node may still act on its configuration, and how it proves
// that the configuration is the newest.
//
// Failure pattern: an operator withdraws a key, and a node that is cut off, or
// whose process was frozen, goes on admitting requests with it. So each node
// keeps the latest moment at which its configuration is proven to have been the
// newest, and admits requests with keys only for a limited time after it.
//
// The store is linearizable: a read proves the moment at which it was sent,
// once the node has every record that the store had then. A peer passes on the
// age of its own proof; the receiver counts from the moment at which it sent
// its query, so that delays only make the proof older. No clock of another node
// is used, but for the length of a time.
//
// Load pattern: if every node read the store once a second, the calls would
// grow with the fleet. The first reader of each of up to three zones reads it,
// and the other nodes query the readers of their zone, then those of other
// zones and any node. Nodes that get no proof so read the store at random, a
// few of the whole fleet in a second, and whoever is served goes on reading for
// the others.
//
// The class performs no I/O and reads no clock: it takes events and the time
// and returns actions.

#ifndef TANAGERLEDGE_CONFIG_PROOF_H_
#define TANAGERLEDGE_CONFIG_PROOF_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "tanagerledge/boot_time.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Reads the end of the configuration's stream.
struct ReadStoreForProof {};

// Asks the peer for the age of its proof.
struct AskPeerForProof {
  NodeId peer;
};

using ProofAction = std::variant<ReadStoreForProof, AskPeerForProof>;
using ProofActions = std::vector<ProofAction>;

struct ConfigProofConfig {
  // A withdrawn key is not admitted later than this.
  std::chrono::milliseconds limit{5000};
  // The clocks of two machines differ in rate by less than this.
  double clock_margin = 0.02;
  // The first reader of a zone reads the store this often for each zone that
  // does so: with up to max_reading_zones zones, the fleet makes two reads a
  // second. A node that loses its path to the store must serve for 3 s more,
  // so its proof is at most 1.9 s old until then.
  std::chrono::milliseconds interval_per_zone{500};
  std::chrono::milliseconds min_interval{750};
  std::size_t max_reading_zones = 3;
  // A node queries a peer this long after the peer's next proof is due, and the
  // next one after ask_interval, or after search_interval once the proof is
  // older than random_read_age.
  std::chrono::milliseconds ask_delay{120};
  std::chrono::milliseconds ask_interval{150};
  std::chrono::milliseconds search_interval{100};
  // The same while the node serves no keyed requests: the store may be down for
  // hours.
  std::chrono::milliseconds idle_ask_interval{400};
  std::size_t max_asks = 4;  // Pending at a time.
  // How much later each further reader of a zone reads the store when no peer
  // has a proof.
  std::chrono::milliseconds rank_delay{300};
  // The same for the readers of a zone whose readers normally don't read it.
  std::chrono::milliseconds other_zone_delay{600};
  // How old the proof of a node that is no reader is before it reads the store
  // at random, and how many reads all such nodes make in a second, at first and
  // when the proof is older than urgent_age.
  std::chrono::milliseconds random_read_age{2400};
  std::chrono::milliseconds urgent_age{3200};
  double random_reads_per_s = 4;
  double urgent_reads_per_s = 8;
  // A node that no peer answers reads the store by itself.
  std::chrono::milliseconds lone_interval{1500};
  int unanswered_asks = 4;
  // Time without a result after which a read of the store is repeated, and the
  // delay after failed reads, doubled up to max_retry_delay.
  std::chrono::milliseconds read_timeout{1200};
  std::chrono::milliseconds min_read_gap{200};
  std::chrono::milliseconds retry_delay{150};
  std::chrono::milliseconds max_retry_delay{600};
  // How long a node goes on reading the store for the others when it has found
  // that it is served and the usual readers have no proof, and how long it
  // remains ready to do so again.
  std::chrono::milliseconds substitution{10'000};
  std::chrono::milliseconds substitution_check{5000};
  // How long a reader queries a peer first that gave a recent proof when the
  // other readers had none.
  std::chrono::milliseconds source_lifetime{10'000};
  // With more nodes than this in a zone, a part of them queries its second
  // reader, and so on: an answer takes some 50 us.
  std::size_t nodes_per_reader = 50;
  // When the store comes back from a copy, its newest configuration may be one
  // that had been replaced. What was written since the copy is written again
  // within this time, and reads before prove nothing.
  std::chrono::milliseconds rewrite_time{1500};
  // How many nodes of each zone are its readers.
  std::size_t readers_per_zone = 3;
};

class ConfigProof {
 public:
  using ConnectionCheck = std::function<bool(const NodeId&)>;

  ConfigProof(NodeId self_node,
              Zone own_zone,
              std::uint64_t seed,
              ConfigProofConfig proof_config = {});

  void OnMembers(const std::vector<Member>& members);

  // Call it about every 20 ms while a proof is needed.
  ProofActions Tick(BootInstant now, const ConnectionCheck& is_connected);

  // Whether requests with keys may be served. Takes the time of the request's
  // arrival: a process that was frozen must read the clock again.
  bool IsRecent(BootInstant now) const;
  // The age of the proof; unset until there is one.
  std::optional<BootClock::duration> Age(BootInstant now) const;

  // A read that was sent at `sent` has returned `end`, one past the last record
  // that the store had.
  void OnStoreRead(BootInstant sent, LogOffset end);
  void OnStoreReadFailed(BootInstant now);
  // The era of the store's responses from now on. In a new one, the ends that
  // are known are void.
  void OnStoreEra(StoreEra store_era, BootInstant now);
  // This node has taken over every record before `end` of which it may have to
  // act, or newer ones.
  void OnApplied(LogOffset end);

  // The version in force here.
  void OnVersion(std::uint64_t version);
  // A peer with `version` had a proof of this age when it answered a query that
  // was sent at `asked`.
  void OnPeerProof(const NodeId& peer,
                   BootInstant asked,
                   std::uint64_t version,
                   std::chrono::microseconds age);
  // These end a query that Tick asked for, with an answer or without.
  void OnPeerAnswered();
  void OnPeerFailed();

 private:
  struct Pending {
    BootInstant proven;
    std::uint64_t needed = 0;  // The end or the version that this node needs.
  };

  void Accept(BootInstant proven);
  // Moves to the proof that no longer waits for anything up to `have`.
  void AcceptPending(std::vector<Pending>& waiting, std::uint64_t have);
  std::chrono::milliseconds Interval() const;
  std::chrono::milliseconds AskAge(BootInstant now) const;
  std::chrono::milliseconds AskInterval(BootInstant now,
                                        BootClock::duration age) const;
  // Whether the fleet relies on this node to read the store.
  bool IsUsualReader() const {
    return this->rank == 0U && this->own_zone_reads;
  }
  bool IsSubstitute(BootInstant now) const {
    return this->substitute_since &&
           now - *this->substitute_since < this->config.substitution;
  }
  // The age of the proof at which this node reads the store; unset if it reads
  // at random only.
  std::optional<std::chrono::milliseconds> ReadAge(BootInstant now) const;
  bool IsRandomReadDue(BootInstant now, BootClock::duration age);
  bool IsAlone() const {
    return this->live <= 1 || this->unanswered >= this->config.unanswered_asks;
  }
  std::optional<NodeId> NextPeer(BootInstant now,
                                 const ConnectionCheck& is_connected);
  std::optional<NodeId> RandomPeer(const std::vector<NodeId>& nodes,
                                   const ConnectionCheck& is_connected);

  const NodeId self;
  const Zone zone;
  const ConfigProofConfig config;
  std::mt19937_64 random;

  std::size_t live = 1;
  std::size_t reading_zones = 1;
  bool own_zone_reads = true;
  std::vector<NodeId> readers;             // Of the own zone, best first.
  std::optional<std::size_t> rank = 0;     // Of this node among them.
  std::size_t first_reader = 0;            // Which of them it queries first.
  std::vector<NodeId> other_zone_readers;  // Those of reading zones first.
  std::vector<NodeId> same_zone_peers;
  std::vector<NodeId> other_zone_peers;

  std::optional<BootInstant> proven_at;
  std::uint64_t version_in_force = 0;
  std::uint64_t applied_end = 0;
  std::vector<Pending> waiting_for_records;
  std::vector<Pending> waiting_for_version;

  std::optional<StoreEra> era;
  BootInstant trusted_from{};  // Earlier reads prove nothing.

  BootInstant next_read_at{};
  int failed_reads = 0;
  bool read_pending = false;  // A read that Tick asked for.
  // When this node found that it is served though the usual readers had no
  // proof; see substitution.
  std::optional<BootInstant> substitute_since;
  BootInstant last_tick{};
  BootInstant next_ask_at{};
  std::size_t asks = 0;  // Since the last recent proof.
  std::size_t pending_asks = 0;
  int unanswered = 0;            // Consecutive.
  std::optional<NodeId> source;  // Queried first.
  BootInstant source_until{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_CONFIG_PROOF_H_
