// Identifier and number types shared by all modules.
//
// Each kind of name is a distinct type, so that the compiler rejects a zone
// where a service is expected. `.value` holds the text.

#ifndef TANAGERLEDGE_TYPES_H_
#define TANAGERLEDGE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace tanagerledge {

// Time ----------------------------------------------------------------------

// Monotonic time of one process. Functions that make decisions take the
// current time as an argument instead of reading a clock.
using Instant = std::chrono::steady_clock::time_point;

// Calendar time. Values of different machines are comparable only within the
// error of their clocks.
using WallTime = std::chrono::system_clock::time_point;

// Multiplies a duration by `factor` and truncates it to whole microseconds.
inline std::chrono::microseconds Scaled(std::chrono::microseconds time,
                                        double factor) {
  return std::chrono::microseconds(static_cast<std::chrono::microseconds::rep>(
      static_cast<double>(time.count()) * factor));
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

// Address at which other nodes reach a node, `ip:port`. Each backend server is
// paired with one node.
using NodeId = Name<struct NodeTag>;

// Address of a backend server, `ip:port`.
using BackendId = Name<struct BackendTag>;

// Numbers -------------------------------------------------------------------

template <typename Tag>
struct Number {
  std::uint64_t value = 0;

  auto operator<=>(const Number&) const = default;
  bool operator==(const Number&) const = default;
};

// Number of notes accepted so far; 0 is the empty state before the first note.
using ReleaseNumber = Number<struct ReleaseTag>;

// Position of a record in one stream of the platform's log, starting at 0.
using LogOffset = Number<struct LogOffsetTag>;

// Increases each time a node starts, and each time it refutes a suspicion.
using Incarnation = Number<struct IncarnationTag>;

// Write counter of a backend server; later writes have greater marks.
using WriteMark = Number<struct WriteMarkTag>;

// Identifies one start of a backend server.
struct BackendStart {
  std::string instance;      // Usually unique to the start.
  std::int64_t born_ms = 0;  // Unix time of the start.

  bool operator==(const BackendStart&) const = default;
};

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
