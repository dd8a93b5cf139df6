#include "src/adapters/settings.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

// The error message, or nullopt when the value is valid.
using Fault = std::optional<std::string>;

constexpr int kMaxWorkers = 64;

// Parsers of single values -------------------------------------------------

Fault ParseText(std::string& target, const std::string& value) {
  if (value.empty()) {
    return "must not be empty";
  }
  target = value;
  return std::nullopt;
}

Fault ParseAddressText(std::string& target, const std::string& value) {
  const auto address = ParseAddress(value);
  if (!address) {
    return address.error().text;
  }
  target = value;
  return std::nullopt;
}

Fault ParseMilliseconds(std::chrono::milliseconds& target,
                        const std::string& value) {
  const auto time = ParseTime(value);
  if (!time) {
    return time.error();
  }
  if (*time < std::chrono::milliseconds(1)) {
    return "must be at least 1ms";
  }
  target = std::chrono::duration_cast<std::chrono::milliseconds>(*time);
  return std::nullopt;
}

Fault ParseFleet(Settings& settings, const std::string& value) {
  return ParseText(settings.fleet, value);
}

Fault ParseNodeAddress(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.address.value, value);
}

Fault ParseZone(Settings& settings, const std::string& value) {
  return ParseText(settings.zone.value, value);
}

Fault ParseWorkers(Settings& settings, const std::string& value) {
  int count = 0;
  const auto [end, code] =
      std::from_chars(value.data(), value.data() + value.size(), count);
  const bool whole = code == std::errc() && end == value.data() + value.size();
  if (!whole || count < 1 || count > kMaxWorkers) {
    return "must be a whole number from 1 to " + std::to_string(kMaxWorkers);
  }
  settings.workers = count;
  return std::nullopt;
}

// The platform leaves the value empty if it does not limit the link.
Fault ParseLink(Settings& settings, const std::string& value) {
  constexpr double kMinMbps = 0.01;
  constexpr double kMaxMbps = 1e6;
  if (value.empty()) {
    return std::nullopt;
  }
  char* end = nullptr;
  const double mbps = std::strtod(value.c_str(), &end);
  if (*end != '\0' || !(mbps >= kMinMbps && mbps <= kMaxMbps)) {
    return "must be a number of Mbit/s from 0.01 to 1000000";
  }
  settings.link_mbps = mbps;
  return std::nullopt;
}

std::vector<std::string> SplitList(const std::string& value) {
  std::vector<std::string> parts;
  if (!value.empty()) {
    boost::algorithm::split(parts, value, [](char c) { return c == ','; });
  }
  std::ranges::for_each(
      parts, [](std::string& part) { boost::algorithm::trim(part); });
  return parts;
}

Fault ParseSource(Settings& settings, const std::string& value) {
  if (value != "notes" && value != "platform") {
    return "must be notes or platform";
  }
  settings.source =
      value == "notes" ? ConfigSource::kNotes : ConfigSource::kPlatform;
  return std::nullopt;
}

Fault AddSeeds(Settings& settings, const std::string& value) {
  for (const std::string& seed : SplitList(value)) {
    NodeId node;
    if (const Fault fault = ParseAddressText(node.value, seed)) {
      return fault;
    }
    settings.seeds.push_back(std::move(node));
  }
  return std::nullopt;
}

Fault ParseSeeds(Settings& settings, const std::string& value) {
  return value.empty() ? Fault("must not be empty") : AddSeeds(settings, value);
}

// Accepts addresses of the seeds with other ports, and an empty list.
// SetSeedPorts replaces the ports by that of this node's own address.
Fault ParseSeedHosts(Settings& settings, const std::string& value) {
  return AddSeeds(settings, value);
}

Fault ParseReadiness(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.readiness_address, value);
}

Fault ParseMetrics(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.metrics_address, value);
}

Fault ParseService(Settings& settings, const std::string& value) {
  return ParseText(settings.service.value, value);
}

Fault ParseFront(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.front_address, value);
}

Fault ParseAdmin(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.admin_address, value);
}

Fault ParseLog(Settings& settings, const std::string& value) {
  return ParseAddressText(settings.log_address, value);
}

Fault ParseLevel(Settings& settings, const std::string& value) {
  constexpr std::array<std::string_view, 6> kLevels = {
      "trace", "debug", "info", "warning", "error", "off"};
  if (std::ranges::find(kLevels, value) == kLevels.end()) {
    return "must be trace, debug, info, warning, error or off";
  }
  settings.logging_level = value;
  return std::nullopt;
}

Fault ParseHeartbeat(Settings& settings, const std::string& value) {
  return ParseMilliseconds(settings.heartbeat_period, value);
}

Fault ParseDrainTimeout(Settings& settings, const std::string& value) {
  return ParseMilliseconds(settings.drain_timeout, value);
}

Fault ParseHedgedRequests(Settings& settings, const std::string& value) {
  constexpr double kMaxShare = 0.5;
  char* end = nullptr;
  const double share = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || !(share >= 0 && share <= kMaxShare)) {
    return "must be a number from 0 to 0.5";
  }
  settings.hedged_requests = share;
  return std::nullopt;
}

// The keys ------------------------------------------------------------------

struct KeySpec {
  std::string_view section;
  std::string_view key;
  bool required;
  Fault (*parse)(Settings&, const std::string&);
};

constexpr std::array<KeySpec, 18> kKeys = {{
    {"node", "source", false, &ParseSource},
    {"node", "fleet", true, &ParseFleet},
    {"node", "address", true, &ParseNodeAddress},
    {"node", "zone", true, &ParseZone},
    {"node", "workers", false, &ParseWorkers},
    {"node", "seeds", false, &ParseSeeds},
    {"node", "seed_hosts", false, &ParseSeedHosts},
    {"node", "link", false, &ParseLink},
    {"readiness", "address", false, &ParseReadiness},
    {"metrics", "address", false, &ParseMetrics},
    {"back_end", "service", false, &ParseService},
    {"front", "address", true, &ParseFront},
    {"admin", "address", true, &ParseAdmin},
    {"log", "address", true, &ParseLog},
    {"logging", "level", false, &ParseLevel},
    {"membership", "heartbeat_period", false, &ParseHeartbeat},
    {"shutdown", "drain_timeout", false, &ParseDrainTimeout},
    {"hedging", "extra_requests", false, &ParseHedgedRequests},
}};

constexpr std::string_view kDelaysSection = "delays";
constexpr std::string_view kBoundsSection = "bounds";

// Bounds are plain numbers; the unit is part of the name.
struct BoundSpec {
  std::string_view key;
  void (*set)(FleetBounds&, double);
};

std::chrono::milliseconds Milliseconds(double count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

constexpr double kMillisecondsPerSecond = 1000;

constexpr std::array<BoundSpec, 13> kBounds = {{
    {"drain_ms", [](FleetBounds& bounds,
                    double value) { bounds.drain = Milliseconds(value); }},
    {"grace_s",
     [](FleetBounds& bounds, double value) {
       bounds.grace = Milliseconds(value * kMillisecondsPerSecond);
     }},
    {"retry_budget_ratio",
     [](FleetBounds& bounds, double value) { bounds.retry_ratio = value; }},
    {"budget_extra_retries",
     [](FleetBounds& bounds, double value) { bounds.extra_retries = value; }},
    {"budget_window_s",
     [](FleetBounds& bounds, double value) {
       bounds.retry_window = Milliseconds(value * kMillisecondsPerSecond);
     }},
    {"revoke_partitioned",
     [](FleetBounds& bounds, double value) {
       bounds.revoke_when_partitioned = value != 0;
     }},
    {"revoke_ms", [](FleetBounds& bounds,
                     double value) { bounds.revoke = Milliseconds(value); }},
    {"quota_window_s",
     [](FleetBounds& bounds, double value) {
       bounds.quota_window = Milliseconds(value * kMillisecondsPerSecond);
     }},
    {"quota_overage",
     [](FleetBounds& bounds, double value) { bounds.quota_overage = value; }},
    {"quota_slack",
     [](FleetBounds& bounds, double value) { bounds.quota_slack = value; }},
    {"exposure_fraction",
     [](FleetBounds& bounds, double value) { bounds.exposure_ratio = value; }},
    {"exposure_slack",
     [](FleetBounds& bounds, double value) { bounds.exposure_slack = value; }},
    {"rollback_ms",
     [](FleetBounds& bounds, double value) {
       bounds.rollback = Milliseconds(value);
     }},
}};

// Reading -------------------------------------------------------------------

class SettingsReader {
 public:
  tl::expected<Settings, std::vector<TextFault>> Read(
      const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      this->ReadSection(section);
    }
    this->CheckRequired();
    this->CheckPlatform();
    this->SetSeedPorts();
    if (!this->faults.empty()) {
      std::ranges::stable_sort(this->faults, {}, &TextFault::line);
      return tl::unexpected(std::move(this->faults));
    }
    return std::move(this->settings);
  }

 private:
  void ReadSection(const IniSection& section) {
    const bool known = section.name == kDelaysSection ||
                       section.name == kBoundsSection ||
                       std::ranges::find(kKeys, section.name,
                                         &KeySpec::section) != kKeys.end();
    if (!known) {
      this->faults.push_back(
          {section.line, "unknown section [" + section.name + "]"});
      return;
    }
    for (const IniEntry& entry : section.entries) {
      this->ReadEntry(section.name, entry);
    }
  }

  void ReadEntry(const std::string& section, const IniEntry& entry) {
    if (section == kDelaysSection) {
      this->ReadDelay(entry);
      return;
    }
    if (section == kBoundsSection) {
      this->ReadBound(entry);
      return;
    }
    const auto spec = std::ranges::find_if(kKeys, [&](const KeySpec& key) {
      return key.section == section && key.key == entry.key;
    });
    if (spec == kKeys.end()) {
      this->faults.push_back(
          {entry.line, "unknown key '" + entry.key + "' in [" + section + "]"});
      return;
    }
    if (!this->seen.insert(&*spec).second) {
      this->faults.push_back({entry.line, "'" + entry.key + "' in [" + section +
                                              "] is given twice"});
      return;
    }
    if (const Fault fault = spec->parse(this->settings, entry.value)) {
      this->faults.push_back({entry.line, entry.key + ": " + *fault});
    }
  }

  void ReadDelay(const IniEntry& entry) {
    const auto time = ParseTime(entry.value);
    if (!time) {
      this->faults.push_back({entry.line, entry.key + ": " + time.error()});
      return;
    }
    this->settings.delays[Zone{entry.key}] = *time;
  }

  void ReadBound(const IniEntry& entry) {
    const auto spec = std::ranges::find(kBounds, entry.key, &BoundSpec::key);
    if (spec == kBounds.end()) {
      return;  // The platform also sets bounds that don't concern this node.
    }
    constexpr double kMaxBound = 1e9;
    char* end = nullptr;
    // The platform writes a bound that is on or off as `true` or `false`.
    const std::string text = entry.value == "true"    ? "1"
                             : entry.value == "false" ? "0"
                                                      : entry.value;
    const double value = std::strtod(text.c_str(), &end);
    const bool whole = !text.empty() && *end == '\0';
    if (!whole || !(value >= 0 && value <= kMaxBound)) {
      this->faults.push_back(
          {entry.line, entry.key + ": must be a number from 0 to 1e9"});
      return;
    }
    spec->set(this->settings.bounds, value);
  }

  // Gives seeds from seed_hosts this node's port: all nodes of a fleet use the
  // same port for each other.
  void SetSeedPorts() {
    const auto port = this->settings.address.value.rfind(':');
    const bool by_host = this->seen.contains(
        &*std::ranges::find(kKeys, "seed_hosts", &KeySpec::key));
    if (!by_host || port == std::string::npos) {
      return;
    }
    std::ranges::for_each(this->settings.seeds, [&](NodeId& seed) {
      seed.value = seed.value.substr(0, seed.value.rfind(':')) +
                   this->settings.address.value.substr(port);
    });
  }

  void CheckPlatform() {
    if (this->settings.source != ConfigSource::kPlatform) {
      return;
    }
    if (this->settings.readiness_address.empty()) {
      this->faults.push_back(
          {0, "'address' in [readiness] is missing: source is platform"});
    }
    if (this->settings.service.value.empty()) {
      this->faults.push_back(
          {0, "'service' in [back_end] is missing: source is platform"});
    }
  }

  void CheckRequired() {
    for (const KeySpec& spec : kKeys) {
      if (spec.required && !this->seen.contains(&spec)) {
        this->faults.push_back({0, "'" + std::string(spec.key) + "' in [" +
                                       std::string(spec.section) +
                                       "] is missing"});
      }
    }
  }

  Settings settings;
  std::vector<TextFault> faults;
  std::set<const KeySpec*> seen;
};

struct TimeUnit {
  std::string_view name;
  std::chrono::microseconds one;
};

constexpr std::array<TimeUnit, 3> kTimeUnits = {{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
}};

constexpr std::int64_t kMaxTimeCount = 1'000'000;

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

}  // namespace

tl::expected<std::chrono::microseconds, std::string> ParseTime(
    std::string_view text) {
  std::int64_t count = -1;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  const std::string_view unit(end, text.data() + text.size() - end);
  const auto found = std::ranges::find(kTimeUnits, unit, &TimeUnit::name);
  const bool good = code == std::errc() && found != kTimeUnits.end() &&
                    count >= 0 && count <= kMaxTimeCount;
  if (!good) {
    return tl::unexpected(std::string(
        "must be a whole number up to 1000000 with us, ms or s, like 20ms"));
  }
  return found->one * count;
}

tl::expected<Settings, std::vector<TextFault>> ParseSettings(
    std::string_view text) {
  const auto document = ParseIni(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return SettingsReader().Read(*document);
}

tl::expected<Settings, std::vector<TextFault>> ReadSettings(
    const std::string& path) {
  const auto text = ReadText(path);
  if (!text) {
    return tl::unexpected(
        std::vector<TextFault>{{0, path + " cannot be read"}});
  }
  return ParseSettings(*text);
}

SettingsWatcher::SettingsWatcher(std::string file_path)
    : path(std::move(file_path)), known(ReadText(this->path).value_or("")) {}

std::optional<tl::expected<Settings, std::vector<TextFault>>>
SettingsWatcher::CheckForChange() {
  auto text = ReadText(this->path);
  if (!text || *text == this->known) {
    return std::nullopt;
  }
  this->known = std::move(*text);
  return ParseSettings(this->known);
}

}  // namespace tanagerledge
