// The quota of a client account over all nodes, and how the room for errors
// that the platform allows beyond it is divided.
//
// In any window, the requests of an account may exceed its quota by
// QuotaRoom(): `overage` times the quota plus `slack` requests. The parts of it
// are the constants below; docs/design/quotas.md derives them.

#ifndef TANAGERLEDGE_QUOTA_LIMITS_H_
#define TANAGERLEDGE_QUOTA_LIMITS_H_

#include <algorithm>
#include <chrono>

namespace tanagerledge {

struct QuotaTerms {
  std::chrono::milliseconds window{5000};
  double overage = 0;
  double slack = 0;
};

struct QuotaLimit {
  double rate = 0;   // Requests per second; 0: unlimited.
  double burst = 0;  // Requests beyond the rate at one moment.

  bool operator==(const QuotaLimit&) const = default;
};

// Part of the room for tokens that nodes hold in advance.
inline constexpr double kQuotaHeldPart = 0.4;
// Part of the room for requests of nodes that reach no granting node, for all
// of these nodes together.
inline constexpr double kQuotaFallbackPart = 0.3;
// The rest is for the moments at which the granting node changes.

// How long a node may use tokens after it asked for them. Longer leases let
// tokens of a lost granting node be used beside those of the next one; shorter
// ones need more questions.
inline constexpr std::chrono::milliseconds kQuotaLease{1000};

inline double QuotaRoom(const QuotaLimit& limit, const QuotaTerms& terms) {
  const std::chrono::duration<double> window = terms.window;
  return terms.overage * (limit.rate * window.count() + limit.burst) +
         terms.slack;
}

// Tokens that may exist at one moment, at the granting node and the others.
inline double QuotaTokensInExistence(const QuotaLimit& limit,
                                     const QuotaTerms& terms) {
  return std::max(1.0, limit.burst + kQuotaHeldPart * QuotaRoom(limit, terms));
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_QUOTA_LIMITS_H_
