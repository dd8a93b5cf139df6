// Tracks the state of the node's own backend server: its last announcement,
// whether that is still fresh, and whether the backend server drains or died.
//
// The backend server announces itself at the node's admin address about once a
// second, and asks there to be drained:
//
//   POST /announce  {"service": "claims", "address": "127.0.0.1:5000",
//                    "slots": 13, "connections": 130, "state": "ready",
//                    "instance": "4711"}
//   POST /drain     (no body)
//
// An instance is one start of the backend server, named by "instance".

#ifndef TANAGERLEDGE_SRC_NODE_BACKEND_WATCH_H_
#define TANAGERLEDGE_SRC_NODE_BACKEND_WATCH_H_

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// The content of one announcement of a backend server.
struct Announcement {
  ServiceName service;
  BackendId backend;
  int slots = 0;
  int connections = 0;
  EndpointState state = EndpointState::kReady;
  // Names this start of the backend server. Empty when it sends no name.
  std::string instance;
};

inline constexpr int kMaxSlots = 4096;

// Parses the JSON body of an announcement. The error describes the fault.
tl::expected<Announcement, std::string> ParseAnnouncement(
    std::string_view body);

// A backend server that has not announced itself for this long is treated as
// gone.
inline constexpr std::chrono::milliseconds kAnnouncementTimeout{5000};

// Thread-safe. Does no I/O and reads no clock.
class BackendWatch {
 public:
  // Records an announcement. Returns true when the instance, address, state,
  // slots or service has changed since the last one, or when the last one had
  // expired.
  bool OnAnnounced(const Announcement& announcement, Instant now);

  // Marks the last announced instance as draining or, when there has been none,
  // the next instance that announces itself. An instance with a name stays
  // draining even after a period without announcements. An instance without a
  // name cannot be recognised after such a period, so the next announcement
  // then counts as one of a new instance.
  void OnDrain();

  // Forgets the announcement of a backend server that is proved dead: nothing
  // listens at its address, or another instance does. Returns false when there
  // is none to forget: the death was noticed before.
  bool OnDied();

  // The last announcement, unless it has expired or the backend server has
  // died since.
  std::optional<Announcement> Current(Instant now) const;

 private:
  mutable std::mutex mutex;
  std::optional<Announcement> current;
  Instant last_announced{};
  // The instance announced last, kept after its death.
  std::optional<std::string> last_instance;
  // The instance that drains. While `next_is_draining` is true, it is not known
  // yet: the next announcement names it.
  std::optional<std::string> draining_instance;
  bool next_is_draining = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACKEND_WATCH_H_
