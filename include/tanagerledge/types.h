// Names and numbers shared by every module.
//
// Each kind of name is a type of its own, so that a zone cannot be passed where
// a service is meant. Use `.value` where text is needed.

#ifndef TANAGERLEDGE_TYPES_H_
#define TANAGERLEDGE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace tanagerledge {

// Time ----------------------------------------------------------------------

// Monotonic time of one process. Decisions get it as an argument.
using Instant = std::chrono::steady_clock::time_point;

// Calendar time, comparable between machines only up to their clock error.
using WallTime = std::chrono::system_clock::time_point;

// A part or multiple of a time, without its fraction of a microsecond.
inline std::chrono::microseconds Scaled(std::chrono::microseconds time,
                                        double by) {
  return std::chrono::microseconds(static_cast<std::chrono::microseconds::rep>(
      static_cast<double>(time.count()) * by));
}

// Names ---------------------------------------------------------------------

template <typename Tag>
struct Name {
  std::string value;

  auto operator<=>(const Name&) const = default;
  bool operator==(const Name&) const = default;
};

using ServiceName = Name<struct ServiceTag>;
using RouteName = Name<struct RouteTag>;
using RankName = Name<struct RankTag>;
using ClientAccount = Name<struct ClientAccountTag>;
using Zone = Name<struct ZoneTag>;

// A node's peer address, `ip:port`. There is one node beside each backend
// server.
using NodeId = Name<struct NodeTag>;

// A backend server's address, `ip:port`.
using BackendId = Name<struct BackendTag>;

// Numbers -------------------------------------------------------------------

template <typename Tag>
struct Number {
  std::uint64_t value = 0;

  auto operator<=>(const Number&) const = default;
  bool operator==(const Number&) const = default;
};

// Counts accepted notes: 0 is the empty state before the first.
using ReleaseNumber = Number<struct ReleaseTag>;

// Position of a record in one stream of the platform's log, from 0.
using LogOffset = Number<struct LogOffsetTag>;

// Grows with each start of a node, and when it refutes a suspicion.
using Incarnation = Number<struct IncarnationTag>;

// A backend server's own count of writes; later writes have greater marks.
using WriteMark = Number<struct WriteMarkTag>;

}  // namespace tanagerledge

template <typename Tag>
struct std::hash<tanagerledge::Name<Tag>> {
  std::size_t operator()(const tanagerledge::Name<Tag>& name) const {
    return std::hash<std::string>()(name.value);
  }
};

template <typename Tag>
struct std::hash<tanagerledge::Number<Tag>> {
  std::size_t operator()(const tanagerledge::Number<Tag>& number) const {
    return std::hash<std::uint64_t>()(number.value);
  }
};

#endif  // TANAGERLEDGE_TYPES_H_
