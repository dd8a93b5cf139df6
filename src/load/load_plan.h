// What the load tool sends: kinds of calls, each at its own rate.
//
//   certify:POST:/certify/bearing:40:keyed
//
// is a kind named `certify`, 40 calls a second, each with an idempotency key of
// its own, sent again with the same key while its outcome is not known.

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
  std::vector<std::string> fronts;  // ip:port of entries; used in turn.
  std::vector<CallKind> kinds;
  std::vector<std::string> backends;  // Stand-ins to ask which keys ran.
  std::chrono::milliseconds duration{5000};
  std::chrono::microseconds one_way_delay{0};  // From caller to entry.
  std::chrono::milliseconds timeout{3000};
  int resends = 2;          // Of a keyed call whose outcome is not known.
  int client_accounts = 3;  // Calls are spread over so many.
  std::uint64_t seed = 1;
};

inline constexpr double kMaxCallsPerSecond = 20'000;

// Reads `name:METHOD:/path:rate[:keyed]`; the error says what is wrong.
tl::expected<CallKind, std::string> ParseCallKind(std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_LOAD_PLAN_H_
