// Parses the settings of a node from INI text.
//
// Every value is validated, and unknown keys and sections are faults. All
// faults are reported together, with their line numbers.

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

// Source of the configuration.
enum class ConfigSource {
  kNotes,     // Release notes that are published to the log.
  kPlatform,  // The platform's operator, through the platform's store.
};

// Limits that apply to the whole fleet. The platform provides them under its
// own names and as plain numbers; unknown names are ignored.
struct FleetBounds {
  // Maximum time from acknowledging that a backend server leaves to the last
  // call sent to it.
  std::chrono::milliseconds drain{2000};
  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{6000};
  // Retry budget: retries allowed per request, plus extra retries per window
  // for the whole fleet.
  double retry_ratio = 0.2;
  double extra_retries = 10;
  std::chrono::milliseconds retry_window{10000};
  // Whether requests with a withdrawn key must be rejected on nodes that are
  // cut off too, and the time after which they must be.
  bool revoke_when_partitioned = false;
  std::chrono::milliseconds revoke{5000};
  // Quotas of client accounts: the window over which they are judged, the part
  // by which they may be exceeded, and the number of requests beyond that.
  std::chrono::milliseconds quota_window{5000};
  double quota_overage = 0;
  double quota_slack = 0;
  // Roll-outs: the part of a service's requests that a bad version may get, the
  // number of requests beyond that, and the time from its 50th bad answer to
  // its last request. Without the ratio, roll-outs are not limited.
  std::optional<double> exposure_ratio;
  double exposure_slack = 0;
  std::chrono::milliseconds rollback{5000};
};

inline constexpr std::size_t kDefaultMemoryBytes = 256 * 1024 * 1024;

struct Settings {
  // [node]
  ConfigSource source = ConfigSource::kNotes;
  std::string fleet;
  NodeId address;  // ip:port for peers.
  Zone zone;
  int workers = 2;            // Threads that process calls.
  std::vector<NodeId> seeds;  // From seed_hosts: with this node's own port.
  double link_mbps = 0;       // Mbit/s of this node's link; 0: not counted.

  // [front]
  std::string front_address;  // ip:port for callers.

  // [admin]
  std::string
      admin_address;  // ip:port for backend servers, operators, metrics.

  // [readiness], with source = platform only
  std::string readiness_address;  // ip:port for the platform's readiness probe.

  // [metrics], with source = platform only
  std::string metrics_address;  // ip:port for metrics; empty: not served.

  // [back_end], with source = platform only
  ServiceName service;  // Of this node's backend server.

  // [log]
  std::string log_address;  // ip:port of the platform's log.

  // [logging]
  std::string logging_level = "info";

  // [membership]
  std::chrono::milliseconds heartbeat_period{1000};

  // [shutdown]
  std::chrono::milliseconds drain_timeout{10000};

  // [hedging]: second sends of late requests, as a share of the requests.
  double hedged_requests = 0;

  // [bounds]
  FleetBounds bounds;

  // Memory that the process may use, in bytes. From the command line.
  std::size_t memory_bytes = kDefaultMemoryBytes;

  // [delays]: zone = time. Delay added to frames sent to nodes of that zone;
  // for experiments only.
  std::map<Zone, std::chrono::microseconds> delays;
};

tl::expected<Settings, std::vector<TextFault>> ParseSettings(
    std::string_view text);

// Parses a file. A file that cannot be read is reported as a fault at line 0.
tl::expected<Settings, std::vector<TextFault>> ReadSettings(
    const std::string& path);

// Detects changes of a settings file by comparing its content.
class SettingsWatcher {
 public:
  // Takes the file's current content as the known one.
  explicit SettingsWatcher(std::string file_path);

  // Returns the parsed file, or its faults, if its content differs from that of
  // the previous check; otherwise nullopt. A file that can't be read is
  // presumed to be in the middle of a replacement and counts as unchanged.
  std::optional<tl::expected<Settings, std::vector<TextFault>>>
  CheckForChange();

 private:
  std::string path;
  std::string known;
};

// Parses a time with a unit, such as `500us`, `20ms` or `3s`.
tl::expected<std::chrono::microseconds, std::string> ParseTime(
    std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_SETTINGS_H_
