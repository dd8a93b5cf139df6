// The backend server beside this node, as far as the node knows: what it
// announced, whether it still does, and whether it just died.
//
// The backend server announces itself over the admin address every second or
// so:
//
//   POST /announce  {"service": "claims", "address": "127.0.0.1:5000",
//                    "slots": 13, "connections": 130, "state": "ready",
//                    "instance": "4711"}
//   POST /drain     (no body)

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

// What a backend server says of itself.
struct Announcement {
  ServiceName service;
  BackendId backend;
  int slots = 0;
  int connections = 0;
  EndpointState state = EndpointState::kReady;
  std::string instance;  // Differs between starts of the backend server.
};

inline constexpr int kMaxSlots = 4096;

// Reads the body of an announcement; the error says what is wrong.
tl::expected<Announcement, std::string> ParseAnnouncement(
    std::string_view body);

// A backend server that has not announced itself for so long is treated as
// gone.
inline constexpr std::chrono::milliseconds kAnnouncementLife{5000};

// Safe from any thread. Pure but for its lock.
class BackendWatch {
 public:
  // True when something other than the time of the last word has changed.
  bool OnAnnounced(const Announcement& announcement, Instant now);

  // The backend server leaves: the last one known, or else the first that
  // announces itself. Holds for that start of it, also over silence; a start
  // without a name ends with its silence.
  void OnDrain();

  // Proved dead: nothing listens at its address, or another instance does.
  void OnDied();

  // The backend server if it can be spoken to: announced, fresh, and not dead.
  std::optional<Announcement> Current(Instant now) const;

 private:
  mutable std::mutex mutex;
  std::optional<Announcement> known;
  Instant heard{};
  std::optional<std::string> last_instance;  // Also of one that died.
  // The start that leaves, and whether the next one to announce itself is it.
  std::optional<std::string> leaving_instance;
  bool next_is_leaving = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_BACKEND_WATCH_H_
