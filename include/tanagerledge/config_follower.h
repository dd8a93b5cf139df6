// Where a node gets the newest configuration from: the store, or its peers
// while the store does not answer it.
//
// Failure pattern: the store is down, slow, turns this node away, loses answers
// or has dropped its history, while the configuration goes on changing. The
// store is asked with a long wait, so a quiet store costs few calls; a read
// that is overdue or failed sends the node to its peers, and so does a newer
// version that a peer mentions and the store has not given soon after. Versions
// that come in quick succession are not all read: the newest replaces the rest.
//
// Pure: events and the time in, actions out. One read of the store and one
// question to a peer are under way at a time.

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

// Read the newest value; it replaces whatever is known.
struct ReadNewestConfig {};

// Read one record from here on, waiting for it.
struct ReadConfigRecords {
  LogOffset from;
  std::chrono::milliseconds wait{0};
};

// Ask a peer that is connected for anything newer.
struct AskPeerForConfig {};

using FollowAction =
    std::variant<ReadNewestConfig, ReadConfigRecords, AskPeerForConfig>;
using FollowActions = std::vector<FollowAction>;

struct ConfigFollowerConfig {
  // How long the store holds a read without news. A connection that went silent
  // is noticed after this; a store call is priced, so it is not shorter.
  std::chrono::milliseconds wait{10000};
  // From news to the next read: versions that come in quick succession are read
  // together. Each version otherwise costs a call of every node; half of this
  // is lost on average of the 2 s within which a version is to be in force.
  std::chrono::milliseconds gather{600};
  // Between a failed read and the next; doubled up to the longest. With the
  // time that a read of a silent store takes, a node is back within 2 s of the
  // store: the platform's bounds hold again 3 s after it.
  std::chrono::milliseconds retry{200};
  std::chrono::milliseconds longest_retry{600};
  // A node that has no configuration yet asks a peer this long after its start:
  // on a slow link the store may need more than a second for a large one.
  std::chrono::milliseconds start_grace{1000};
  // Between questions to peers while the store does not answer.
  std::chrono::milliseconds peer_interval{500};
  // A peer that has a newer version is asked when the store has not given it
  // within this: a configuration has some 50 KB and must not cross zones for
  // nothing, and it must be in force within 2 s.
  std::chrono::milliseconds store_grace{700};
};

class ConfigFollower {
 public:
  explicit ConfigFollower(ConfigFollowerConfig follow_config = {})
      : config(follow_config) {}

  // Every 50 ms or so.
  FollowActions Tick(Instant now);

  // How a read ended.
  void OnNewest(LogOffset end, Instant now);
  // `next` is one past what was read, `end` one past the last record there is.
  void OnRecords(LogOffset next, LogOffset end, Instant now);
  void OnStoreError(LogErrorKind kind, Instant now);

  // How a question ended, and what a peer said that it has in force.
  void OnPeerAnswered(Instant now);
  void OnPeerVersion(std::uint64_t version, Instant now);

  // Whether a configuration of this version is to be put in force, and from now
  // on counts as being so: never one that is older.
  bool AcceptIfNewer(std::uint64_t version);

  std::optional<std::uint64_t> version() const { return this->in_force; }
  bool store_answers() const { return this->failures == 0; }

 private:
  void OnStoreAnswered();
  bool IsBehind() const {
    return this->newest_heard > this->in_force.value_or(0);
  }

  ConfigFollowerConfig config;
  std::optional<std::uint64_t> in_force;
  std::optional<Instant> started;
  // Versions come faster than they are read one by one: only the newest is
  // read, now and then, until there are no news.
  bool falling_behind = false;
  std::optional<LogOffset> next;  // Where to read on; newest first without it.
  bool reading = false;
  bool asking = false;
  std::uint64_t newest_heard = 0;       // Of peers.
  std::optional<Instant> behind_since;  // A peer has a newer version.
  int failures = 0;                     // Of the store in a row.
  Instant next_read{};
  Instant next_ask{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_CONFIG_FOLLOWER_H_
