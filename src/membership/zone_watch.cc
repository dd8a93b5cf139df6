#include "src/membership/zone_watch.h"

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{2000};
constexpr milliseconds kSuspicionWindow{10000};

}  // namespace

ZoneWatch::Watch& ZoneWatch::At(ZoneIndex zone) {
  if (zone >= this->watches.size()) {
    this->watches.resize(zone + std::size_t{1});
  }
  return this->watches[zone];
}

bool ZoneWatch::RecordContact(ZoneIndex zone, Instant now) {
  Watch& watch = this->At(zone);
  const bool returned = watch.unreachable_since.has_value();
  watch.last_contact = now;
  watch.suspicions = 0;
  watch.check_started.reset();
  watch.unreachable_since.reset();
  return returned;
}

void ZoneWatch::CountSuspicion(ZoneIndex zone, Instant now) {
  Watch& watch = this->At(zone);
  if (now - watch.last_suspicion > kSuspicionWindow) {
    watch.suspicions = 0;
  }
  watch.last_suspicion = now;
  ++watch.suspicions;
}

std::vector<ZoneIndex> ZoneWatch::StartChecks(Instant now) {
  std::vector<ZoneIndex> started;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    Watch& watch = this->watches[zone];
    const bool due = watch.suspicions >= kSuspicionsForCheck &&
                     !watch.check_started && !watch.unreachable_since &&
                     now >= watch.next_check;
    if (due) {
      watch.check_started = now;
      watch.next_check = now + kCheckInterval;
      started.push_back(zone);
    }
  }
  return started;
}

std::vector<ZoneIndex> ZoneWatch::EndChecks(milliseconds timeout, Instant now) {
  std::vector<ZoneIndex> newly_unreachable;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    Watch& watch = this->watches[zone];
    if (!watch.check_started || now - *watch.check_started < timeout) {
      continue;
    }
    // If no other zone responds either, this node itself may be cut off.
    if (this->HasContactElsewhere(zone, *watch.check_started)) {
      watch.unreachable_since = now;
      newly_unreachable.push_back(zone);
    }
    watch.check_started.reset();
  }
  return newly_unreachable;
}

void ZoneWatch::CancelChecks() {
  std::ranges::for_each(this->watches, [](Watch& watch) {
    watch.check_started.reset();
    watch.suspicions = 0;
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

std::vector<ZoneIndex> ZoneWatch::UnreachableZones() const {
  std::vector<ZoneIndex> zones;
  for (ZoneIndex zone = 0; zone < this->watches.size(); ++zone) {
    if (this->unreachable(zone)) {
      zones.push_back(zone);
    }
  }
  return zones;
}

bool ZoneWatch::HasContactElsewhere(ZoneIndex zone, Instant since) const {
  for (ZoneIndex other = 0; other < this->watches.size(); ++other) {
    if (other != zone && this->watches[other].last_contact >= since) {
      return true;
    }
  }
  return false;
}

}  // namespace tanagerledge
