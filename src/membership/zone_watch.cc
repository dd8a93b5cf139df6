#include "src/membership/zone_watch.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBetweenChecks{2000};
constexpr milliseconds kSuspicionsCountFor{10000};

}  // namespace

ZoneWatch::Watch& ZoneWatch::At(ZoneIndex zone) {
  if (zone >= this->watches.size()) {
    this->watches.resize(zone + std::size_t{1});
  }
  return this->watches[zone];
}

bool ZoneWatch::Heard(ZoneIndex zone, Instant now) {
  Watch& watch = this->At(zone);
  const bool returned = watch.unreachable_since.has_value();
  watch.heard = now;
  watch.suspects = 0;
  watch.check_started.reset();
  watch.unreachable_since.reset();
  return returned;
}

void ZoneWatch::CountSuspect(ZoneIndex zone, Instant now) {
  Watch& watch = this->At(zone);
  if (now - watch.last_suspect > kSuspicionsCountFor) {
    watch.suspects = 0;
  }
  watch.last_suspect = now;
  ++watch.suspects;
}

std::vector<ZoneIndex> ZoneWatch::StartChecks(Instant now) {
  std::vector<ZoneIndex> started;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    Watch& watch = this->watches[zone];
    const bool due = watch.suspects >= kSuspectsForCheck &&
                     !watch.check_started && !watch.unreachable_since &&
                     now >= watch.next_check;
    if (due) {
      watch.check_started = now;
      watch.next_check = now + kBetweenChecks;
      started.push_back(zone);
    }
  }
  return started;
}

std::vector<ZoneIndex> ZoneWatch::EndChecks(milliseconds timeout, Instant now) {
  std::vector<ZoneIndex> silent;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    Watch& watch = this->watches[zone];
    if (!watch.check_started || now - *watch.check_started < timeout) {
      continue;
    }
    // Nobody else either: this node may be the one that is cut off.
    if (this->HeardElsewhere(zone, *watch.check_started)) {
      watch.unreachable_since = now;
      silent.push_back(zone);
    }
    watch.check_started.reset();
  }
  return silent;
}

void ZoneWatch::CancelChecks() {
  std::ranges::for_each(this->watches, [](Watch& watch) {
    watch.check_started.reset();
    watch.suspects = 0;
  });
}

bool ZoneWatch::unreachable(ZoneIndex zone) const {
  return this->unreachable_since(zone).has_value();
}

std::optional<Instant> ZoneWatch::unreachable_since(ZoneIndex zone) const {
  if (zone >= this->watches.size()) {
    return std::nullopt;
  }
  return this->watches[zone].unreachable_since;
}

void ZoneWatch::Forget(ZoneIndex zone) {
  this->At(zone) = Watch{};
}

std::vector<ZoneIndex> ZoneWatch::Unreachable() const {
  std::vector<ZoneIndex> zones;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    if (this->unreachable(zone)) {
      zones.push_back(zone);
    }
  }
  return zones;
}

bool ZoneWatch::HeardElsewhere(ZoneIndex zone, Instant since) const {
  for (ZoneIndex other = 0; other < this->watches.size(); ++other) {
    if (other != zone && this->watches[other].heard >= since) {
      return true;
    }
  }
  return false;
}

}  // namespace tanagerledge
