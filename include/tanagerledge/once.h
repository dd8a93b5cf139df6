// At most once for non-idempotent calls that carry an idempotency key.
//
// Words used here:
//   key        what the caller sends with each repeat of one call;
//   attempt    one try of one node to run it, unique over nodes and starts;
//   partition  a share of all keys, by hash, with a stream on the log;
//   owner      the process that decides for a partition, by the last seat that
//              its stream accepts; all claims on its keys go through it;
//   deputy     the process that may take the seat when the owner is dead;
//   promise    the deputy's word that it will not: with it the owner may go on
//              while the log is down.
// docs/design/at-most-once.md says why no key can be admitted twice.

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

// A key as the caller gave it, within one client account and service.
struct OnceKey {
  ClientAccount client_account;
  ServiceName service;
  std::string value;
};

// What nodes remember of a key: 24 bytes. The first 8 stand for client account
// and service alone, so that no client account can aim at another's keys.
struct OnceKeyId {
  std::uint64_t scope = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const OnceKeyId&) const = default;
  bool operator==(const OnceKeyId&) const = default;
};

OnceKeyId IdOf(const OnceKey& key);

// When a UUIDv7 key was minted, by its caller's clock; nothing for other keys.
std::optional<WallTime> MintTimeOf(std::string_view key);

inline constexpr int kOncePartitions = 8;

// Which partition a key belongs to. The same on every node, for ever.
int PartitionOf(const OnceKeyId& key);

// Attempts and results ------------------------------------------------------

// One start of one node: a restart at the same address differs in `start`.
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

// How an attempt ended. `reply` is opaque here and kept for repeats; a reply
// over kMaxKeptReplyBytes is dropped and only the outcome is kept.
inline constexpr std::size_t kMaxKeptReplyBytes = 1024;

struct OnceResult {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::string reply;
  bool reply_dropped = false;

  bool operator==(const OnceResult&) const = default;
};

// Verdicts ------------------------------------------------------------------

// The caller of Begin, and nobody else ever, may run the call: it must reach
// the backend server before `run_by` or not at all, and Finish must be called.
struct OnceTicket {
  OnceKeyId key;
  OnceAttempt attempt;
  Instant run_by{};
};

// An earlier attempt ran (or may have run): answer with this.
struct OnceStored {
  OnceResult result;
};

// This attempt will not run. kUnknown: an earlier attempt for the key may have
// run, or nobody could be asked. kNotRun: certainly none did.
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

// Node clocks may differ by this much; callers' clocks by any amount.
inline constexpr std::chrono::milliseconds kMostClockError{2000};
// A key may seem to come from this far in the future.
inline constexpr std::chrono::milliseconds kMostMintLead{2000};

struct OnceTiming {
  // Repeats of a key get its outcome for so long, at least.
  std::chrono::seconds resend_window{600};
  // How long an owner waits for the log before it asks for a promise.
  std::chrono::milliseconds log_patience{250};
  // How long after its last record on the log an owner may go on without it.
  std::chrono::seconds off_log_limit{1800};
  // Appends that all partitions together may spend in a second.
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
