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

// A fault's text, or nothing when the value was taken.
using Fault = std::optional<std::string>;

constexpr int kMaxWorkers = 64;

// Readers of one value ------------------------------------------------------

Fault TakeText(std::string& into, const std::string& value) {
  if (value.empty()) {
    return "must not be empty";
  }
  into = value;
  return std::nullopt;
}

Fault TakeAddress(std::string& into, const std::string& value) {
  const auto address = ParseAddress(value);
  if (!address) {
    return address.error().text;
  }
  into = value;
  return std::nullopt;
}

Fault TakeTime(std::chrono::milliseconds& into, const std::string& value) {
  const auto time = ParseTime(value);
  if (!time) {
    return time.error();
  }
  if (*time < std::chrono::milliseconds(1)) {
    return "must be at least 1ms";
  }
  into = std::chrono::duration_cast<std::chrono::milliseconds>(*time);
  return std::nullopt;
}

Fault TakeFleet(Settings& settings, const std::string& value) {
  return TakeText(settings.fleet, value);
}

Fault TakeNodeAddress(Settings& settings, const std::string& value) {
  return TakeAddress(settings.address.value, value);
}

Fault TakeZone(Settings& settings, const std::string& value) {
  return TakeText(settings.zone.value, value);
}

Fault TakeWorkers(Settings& settings, const std::string& value) {
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

std::vector<std::string> ListOf(const std::string& value) {
  std::vector<std::string> parts;
  if (!value.empty()) {
    boost::algorithm::split(parts, value, [](char c) { return c == ','; });
  }
  std::ranges::for_each(
      parts, [](std::string& part) { boost::algorithm::trim(part); });
  return parts;
}

Fault TakeSource(Settings& settings, const std::string& value) {
  if (value != "notes" && value != "platform") {
    return "must be notes or platform";
  }
  settings.source =
      value == "notes" ? ConfigSource::kNotes : ConfigSource::kPlatform;
  return std::nullopt;
}

Fault AddSeeds(Settings& settings, const std::string& value) {
  for (const std::string& seed : ListOf(value)) {
    NodeId node;
    if (const Fault fault = TakeAddress(node.value, seed)) {
      return fault;
    }
    settings.seeds.push_back(std::move(node));
  }
  return std::nullopt;
}

Fault TakeSeeds(Settings& settings, const std::string& value) {
  return value.empty() ? Fault("must not be empty") : AddSeeds(settings, value);
}

// Addresses of the seeds for other purposes: only their hosts count, and there
// may be none. The port is put in once the node's own address is known.
Fault TakeSeedHosts(Settings& settings, const std::string& value) {
  return AddSeeds(settings, value);
}

Fault TakeReadiness(Settings& settings, const std::string& value) {
  return TakeAddress(settings.readiness_address, value);
}

Fault TakeMetrics(Settings& settings, const std::string& value) {
  return TakeAddress(settings.metrics_address, value);
}

Fault TakeService(Settings& settings, const std::string& value) {
  return TakeText(settings.service.value, value);
}

Fault TakeFront(Settings& settings, const std::string& value) {
  return TakeAddress(settings.front_address, value);
}

Fault TakeAdmin(Settings& settings, const std::string& value) {
  return TakeAddress(settings.admin_address, value);
}

Fault TakeLog(Settings& settings, const std::string& value) {
  return TakeAddress(settings.log_address, value);
}

Fault TakeLevel(Settings& settings, const std::string& value) {
  constexpr std::array<std::string_view, 6> kLevels = {
      "trace", "debug", "info", "warning", "error", "off"};
  if (std::ranges::find(kLevels, value) == kLevels.end()) {
    return "must be trace, debug, info, warning, error or off";
  }
  settings.logging_level = value;
  return std::nullopt;
}

Fault TakeHeartbeat(Settings& settings, const std::string& value) {
  return TakeTime(settings.heartbeat_period, value);
}

Fault TakeDrainTimeout(Settings& settings, const std::string& value) {
  return TakeTime(settings.drain_timeout, value);
}

// The keys ------------------------------------------------------------------

struct KeySpec {
  std::string_view section;
  std::string_view key;
  bool required;
  Fault (*take)(Settings&, const std::string&);
};

constexpr std::array<KeySpec, 16> kKeys = {{
    {"node", "source", false, &TakeSource},
    {"node", "fleet", true, &TakeFleet},
    {"node", "address", true, &TakeNodeAddress},
    {"node", "zone", true, &TakeZone},
    {"node", "workers", false, &TakeWorkers},
    {"node", "seeds", false, &TakeSeeds},
    {"node", "seed_hosts", false, &TakeSeedHosts},
    {"readiness", "address", false, &TakeReadiness},
    {"metrics", "address", false, &TakeMetrics},
    {"back_end", "service", false, &TakeService},
    {"front", "address", true, &TakeFront},
    {"admin", "address", true, &TakeAdmin},
    {"log", "address", true, &TakeLog},
    {"logging", "level", false, &TakeLevel},
    {"membership", "heartbeat_period", false, &TakeHeartbeat},
    {"shutdown", "drain_timeout", false, &TakeDrainTimeout},
}};

constexpr std::string_view kDelaysSection = "delays";
constexpr std::string_view kBoundsSection = "bounds";

// Bounds come as plain numbers; the unit is in the name.
struct BoundSpec {
  std::string_view key;
  void (*take)(FleetBounds&, double);
};

std::chrono::milliseconds Milliseconds(double count) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(count));
}

constexpr double kMillisecondsInSecond = 1000;

constexpr std::array<BoundSpec, 5> kBounds = {{
    {"drain_ms", [](FleetBounds& bounds,
                    double value) { bounds.drain = Milliseconds(value); }},
    {"grace_s",
     [](FleetBounds& bounds, double value) {
       bounds.grace = Milliseconds(value * kMillisecondsInSecond);
     }},
    {"retry_budget_ratio",
     [](FleetBounds& bounds, double value) { bounds.retry_ratio = value; }},
    {"budget_extra_retries",
     [](FleetBounds& bounds, double value) { bounds.extra_retries = value; }},
    {"budget_window_s",
     [](FleetBounds& bounds, double value) {
       bounds.retry_window = Milliseconds(value * kMillisecondsInSecond);
     }},
}};

// Reading -------------------------------------------------------------------

class SettingsReader {
 public:
  tl::expected<Settings, std::vector<TextFault>> Read(
      const IniDocument& document) {
    for (const IniSection& section : document.sections) {
      this->TakeSection(section);
    }
    this->CheckRequired();
    this->CheckPlatform();
    this->GiveSeedsOwnPort();
    if (!this->faults.empty()) {
      std::ranges::stable_sort(this->faults, {}, &TextFault::line);
      return tl::unexpected(std::move(this->faults));
    }
    return std::move(this->settings);
  }

 private:
  void TakeSection(const IniSection& section) {
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
      this->TakeEntry(section.name, entry);
    }
  }

  void TakeEntry(const std::string& section, const IniEntry& entry) {
    if (section == kDelaysSection) {
      this->TakeDelay(entry);
      return;
    }
    if (section == kBoundsSection) {
      this->TakeBound(entry);
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
    if (const Fault fault = spec->take(this->settings, entry.value)) {
      this->faults.push_back({entry.line, entry.key + ": " + *fault});
    }
  }

  void TakeDelay(const IniEntry& entry) {
    const auto time = ParseTime(entry.value);
    if (!time) {
      this->faults.push_back({entry.line, entry.key + ": " + time.error()});
      return;
    }
    this->settings.delays[Zone{entry.key}] = *time;
  }

  void TakeBound(const IniEntry& entry) {
    const auto spec = std::ranges::find(kBounds, entry.key, &BoundSpec::key);
    if (spec == kBounds.end()) {
      return;  // The platform has bounds that are none of this node's concern.
    }
    constexpr double kMost = 1e9;
    char* end = nullptr;
    const double value = std::strtod(entry.value.c_str(), &end);
    const bool whole = !entry.value.empty() && *end == '\0';
    if (!whole || !(value >= 0 && value <= kMost)) {
      this->faults.push_back(
          {entry.line, entry.key + ": must be a number from 0 to 1e9"});
      return;
    }
    spec->take(this->settings.bounds, value);
  }

  // All nodes of a fleet use one port among themselves.
  void GiveSeedsOwnPort() {
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
