// At most once for non-idempotent calls that carry an idempotency key.
//
// Words used here:
//   key      what the caller sends with each repeat of one call;
//   attempt  one try of one node to run it, unique over nodes and starts;
//   intent   the attempt's claim on the key; the first in the stream wins.

#ifndef TANAGERLEDGE_ONCE_H_
#define TANAGERLEDGE_ONCE_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "tanagerledge/outcome.h"
#include "tanagerledge/suspects.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Keys ----------------------------------------------------------------------

inline constexpr std::size_t kMaxOnceKeyBytes = 256;

// A key as the caller gave it, within one customer and service.
struct OnceKey {
  Customer customer;
  ServiceName service;
  std::string value;
};

// What nodes remember of a key: 24 bytes. The first 8 stand for customer and
// service alone, so that no customer can aim at another's keys.
struct OnceKeyId {
  std::uint64_t scope = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const OnceKeyId&) const = default;
  bool operator==(const OnceKeyId&) const = default;
};

OnceKeyId IdOf(const OnceKey& key);

// Attempts and results ------------------------------------------------------

struct OnceAttempt {
  NodeId node;
  Incarnation incarnation;
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
// the back end before `run_by` or not at all, and Finish must be called.
struct OnceTicket {
  OnceKeyId key;
  OnceAttempt attempt;
  Instant run_by{};
};

// An earlier attempt ran (or may have run): answer with this.
struct OnceStored {
  OnceResult result;
};

// This attempt will not run. kNotRun: no attempt for the key is known to have
// started. kUnknown: an earlier one may have run.
struct OnceRefusal {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kKeyUnsettled;
  std::string text;
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
