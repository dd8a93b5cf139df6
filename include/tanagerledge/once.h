// Types for at-most-once execution of non-idempotent calls that carry an
// idempotency key.
//
// Terms:
//   key        identifies a call; each repeat of the call carries it.
//   attempt    one try of one node to run the call, with an identifier that
//              is unique across all nodes and process starts.
//   partition  a subset of all keys, selected by hash, with its own log
//              stream.
//   seat       the ownership of a partition: its owner and deputy. A record
//              on the partition's stream changes it.
//   owner      the process that admits the keys of a partition. It is named
//              by the last seat change that the stream accepted. All claims
//              on keys of the partition go to the owner.
//   deputy     the process that may take over the seat when the owner is
//              dead.
//   promise    the deputy's commitment not to take over the seat. With it,
//              the owner may continue while the log is unavailable.
// docs/design/at-most-once.md explains why no key can be admitted twice.

#ifndef TANAGERLEDGE_ONCE_H_
#define TANAGERLEDGE_ONCE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "tanagerledge/outcome.h"
#include "tanagerledge/suspects.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Keys ----------------------------------------------------------------------

inline constexpr std::size_t kMaxOnceKeyBytes = 256;

// A key as sent by the caller. It is scoped to a client account and a service.
struct OnceKey {
  ClientAccount client_account;
  ServiceName service;
  std::string value;
};

// The 24-byte hash that nodes store for a key. The first 8 bytes depend only on
// the client account and the service, so that no client account can craft a key
// that collides with a key of another one.
struct OnceKeyId {
  std::uint64_t scope = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const OnceKeyId&) const = default;
  bool operator==(const OnceKeyId&) const = default;
};

OnceKeyId IdOf(const OnceKey& key);

// Returns the creation time of a UUIDv7 key by its caller's clock, or nothing
// for other keys.
std::optional<WallTime> MintTimeOf(std::string_view key);

inline constexpr int kOncePartitions = 8;

// Returns the partition of a key. The result is the same on every node and must
// never change between versions.
int PartitionOf(const OnceKeyId& key);

// Attempts and results ------------------------------------------------------

// A process of a node. After a restart at the same address, `start` differs.
struct OnceProcess {
  NodeId node;
  std::uint64_t start = 0;

  auto operator<=>(const OnceProcess&) const = default;
  bool operator==(const OnceProcess&) const = default;
};

struct OnceAttempt {
  OnceProcess process;
  std::uint64_t number = 0;

  auto operator<=>(const OnceAttempt&) const = default;
  bool operator==(const OnceAttempt&) const = default;
};

// Maximum size of a stored reply. A longer reply is dropped, and only the
// outcome of the attempt is stored.
inline constexpr std::size_t kMaxStoredReplyBytes = 1024;

// How an attempt ended. `reply` is opaque here and is stored for repeats of the
// call.
struct OnceResult {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::string reply;
  bool reply_dropped = false;

  bool operator==(const OnceResult&) const = default;
};

// Verdicts ------------------------------------------------------------------

// Permission to run the call, given only to the caller of Begin. The call must
// reach the backend server before `run_by` or not at all, and Finish must be
// called afterwards.
struct OnceTicket {
  OnceKeyId key;
  OnceAttempt attempt;
  Instant run_by{};
};

// An earlier attempt ran or may have run; its result answers this call.
struct OnceStored {
  OnceResult result;
};

// This attempt must not run. kUnknown: an earlier attempt for the key may have
// run, or the owner could not be reached. kNotRun: no earlier attempt has run.
struct OnceRefusal {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kKeyUnsettled;
  std::string text;
};

// Time ----------------------------------------------------------------------

struct OnceTime {
  Instant now{};
  WallTime wall{};
};

// Maximum difference between the clocks of two nodes. The clocks of callers may
// differ by any amount.
inline constexpr std::chrono::milliseconds kMaxClockSkew{2000};
// Maximum time by which the creation time of a key may lie in the future.
inline constexpr std::chrono::milliseconds kMaxMintLead{2000};

struct OnceTiming {
  // Minimum time for which repeats of a key receive its outcome.
  std::chrono::seconds resend_window{600};
  // Time that an owner waits for the log before it requests a promise.
  std::chrono::milliseconds log_timeout{250};
  // Maximum time that an owner may operate without the log, counted from its
  // last record on the log.
  std::chrono::seconds off_log_limit{1800};
  // Maximum number of appends per second, for all partitions together.
  int appends_per_second = 300;
};

using OnceVerdict = std::variant<OnceTicket, OnceStored, OnceRefusal>;

}  // namespace tanagerledge

template <>
struct std::hash<tanagerledge::OnceKeyId> {
  std::size_t operator()(const tanagerledge::OnceKeyId& key) const {
    return static_cast<std::size_t>(key.low ^ key.scope);
  }
};

#endif  // TANAGERLEDGE_ONCE_H_
