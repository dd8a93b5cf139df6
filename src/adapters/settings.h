// The settings of one node, from an INI text.
//
// Every key is checked; all faults come at once with their lines, and a key or
// section that is not known is a fault.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_SETTINGS_H_
#define TANAGERLEDGE_SRC_ADAPTERS_SETTINGS_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/ini.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Where the configuration comes from.
enum class ConfigSource {
  kNotes,     // Release notes, published to the log.
  kPlatform,  // The platform's operator, through the platform's store.
};

// Bounds that the whole fleet keeps. They come from the platform with names of
// its own and in plain numbers; names that are not known are ignored.
struct FleetBounds {
  // From the acknowledgement of a leaving backend server to the last call sent
  // there.
  std::chrono::milliseconds drain{2000};
  // From SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{6000};
  // Retries for each request, and more of them in a window for the whole fleet.
  double retry_ratio = 0.2;
  double extra_retries = 10;
  std::chrono::milliseconds retry_window{10000};
};

struct Settings {
  // [node]
  ConfigSource source = ConfigSource::kNotes;
  std::string fleet;
  NodeId address;  // Where peers reach this node: ip:port.
  Zone zone;
  int workers = 2;            // Threads on the path of a call.
  std::vector<NodeId> seeds;  // With seed_hosts: at this node's own port.

  // [front]
  std::string front_address;  // Where callers come in: ip:port.

  // [admin]
  std::string admin_address;  // Backend server, operators and metrics: ip:port.

  // [readiness], with source = platform only
  std::string readiness_address;  // Where the platform asks: ip:port.

  // [metrics], with source = platform only; empty: not served there
  std::string metrics_address;  // Where metrics are read: ip:port.

  // [back_end], with source = platform only
  ServiceName service;  // Of the backend server beside this node.

  // [log]
  std::string log_address;  // The platform's log: ip:port.

  // [logging]
  std::string logging_level = "info";

  // [membership]
  std::chrono::milliseconds heartbeat_period{1000};

  // [shutdown]
  std::chrono::milliseconds drain_timeout{10000};

  // [bounds]
  FleetBounds bounds;

  // [delays]: zone = time. Added to frames sent there; experiments only.
  std::map<Zone, std::chrono::microseconds> delays;
};

tl::expected<Settings, std::vector<TextFault>> ParseSettings(
    std::string_view text);

// Reads a file; a file that cannot be read is a fault at line 0.
tl::expected<Settings, std::vector<TextFault>> ReadSettings(
    const std::string& path);

// Notices that a settings file has changed, whether a signal told so or not.
class SettingsWatcher {
 public:
  // The file as it is now counts as known.
  explicit SettingsWatcher(std::string file_path);

  // What the file holds, or its faults, when it is another text than at the
  // last look. A file that can't be read is taken for one that is just being
  // replaced: nothing until the next look.
  std::optional<tl::expected<Settings, std::vector<TextFault>>>
  CheckForChange();

 private:
  std::string path;
  std::string known;
};

// Time with a unit, such as `500us`, `20ms` or `3s`.
tl::expected<std::chrono::microseconds, std::string> ParseTime(
    std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_SETTINGS_H_
