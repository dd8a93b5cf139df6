// Configuration of a load run: the kinds of calls to send and the rate of each.
// A kind is written as
//
//   certify:POST:/certify/bearing:40:keyed
//
// which is a kind named `certify` with 40 calls per second. With `keyed`, each
// call has its own idempotency key and is resent with the same key while its
// outcome is not known.

#ifndef TANAGERLEDGE_SRC_LOAD_LOAD_PLAN_H_
#define TANAGERLEDGE_SRC_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tanagerledge {

struct CallKind {
  std::string name;
  std::string method;
  std::string path;
  double calls_per_second = 0;
  bool keyed = false;
};

struct LoadPlan {
  std::vector<std::string> entry_addresses;  // ip:port each; used round robin.
  std::vector<CallKind> kinds;
  // Fake backend servers to query for the keys that ran.
  std::vector<std::string> backends;
  std::chrono::milliseconds duration{5000};
  std::chrono::microseconds one_way_delay{0};  // Simulated, caller to entry.
  std::chrono::milliseconds timeout{3000};
  int max_resends = 2;      // Of a keyed call with an unknown outcome.
  int client_accounts = 3;  // Number of accounts to spread calls over.
  std::uint64_t seed = 1;
};

inline constexpr double kMaxCallsPerSecond = 20'000;

// Parses `name:METHOD:/path:rate[:keyed]`. The error says what is wrong.
tl::expected<CallKind, std::string> ParseCallKind(std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_LOAD_PLAN_H_
