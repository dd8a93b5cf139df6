#include "tanagerledge/work_times.h"

#include <algorithm>
#include <cmath>

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time constant of the slowdown: a server that becomes several times slower has
// to be noticed within a second or two.
constexpr milliseconds kRecentTimeConstant{1000};
// The slowdown starts as if this many calls had taken their usual time.
constexpr double kPriorCalls = 6;
// A call counts with at most this multiple of the usual time. Some calls take 7
// times as long as the others, and one of them must not pass for a slow server.
constexpr double kMaxUnits = 5;
// Each sample after this many has a weight of 1 / kMaxSamples.
constexpr int kMaxSamples = 128;
// Fewer samples give no usual time.
constexpr int kMinSamples = 4;
// Fewer samples don't limit the next one and don't show a slowdown.
constexpr int kMinFirmSamples = 16;
// A server whose slowdown exceeds this factor, or is as far below 1, is slow or
// cold for a while, and its calls don't change the usual times. Noise of the
// work times reaches 1.6.
constexpr double kEpisodeFactor = 1.6;
// Weight of one call in the mean that ends an episode.
constexpr double kEpisodeCallWeight = 1.0 / 5;
// An episode that lasts longer is taken for the new speed.
constexpr seconds kMaxEpisode{10};
// Servers are slower for 3 s after a start.
constexpr seconds kColdPeriod{4};
// Kinds of work beyond this number are not learned, to bound the memory.
constexpr std::size_t kMaxKinds = 4096;

}  // namespace

void WorkTimes::OnStart(std::uint64_t id,
                        const std::string& kind,
                        Instant now) {
  this->Advance(now);
  this->calls[id] = {.kind = this->IndexOf(kind)};
}

std::size_t WorkTimes::IndexOf(const std::string& kind) {
  const auto found = this->kind_indexes.find(kind);
  if (found != this->kind_indexes.end()) {
    return found->second;
  }
  const std::size_t index = this->kinds.size();
  if (index >= kMaxKinds) {
    return kMaxKinds;
  }
  this->kinds.push_back({.name = kind});
  this->kind_indexes.emplace(kind, index);
  return index;
}

void WorkTimes::OnNestedStart(std::uint64_t id, Instant now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  this->Advance(now);
  if (found->second.nested++ == 0) {
    ++this->waiting_calls;
  }
}

void WorkTimes::OnNestedEnd(std::uint64_t id, Instant now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || found->second.nested == 0) {
    return;
  }
  this->Advance(now);
  if (--found->second.nested == 0) {
    --this->waiting_calls;
  }
}

microseconds WorkTimes::OnEnd(std::uint64_t id, FinishKind kind, Instant now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return microseconds{0};
  }
  this->Advance(now);
  const Call call = found->second;
  this->calls.erase(found);
  this->waiting_calls -= call.nested > 0 ? 1 : 0;
  if (call.kind < this->kinds.size()) {
    if (kind == FinishKind::kOk) {
      this->recent_ends += call.units > 0 ? 1 : 0;
      this->Learn(call, now);
    } else if (call.units < 1) {
      // A call that fails early says nothing about the speed. One that was cut
      // off late counts with the time that it has taken.
      this->recent_units = std::max(0.0, this->recent_units - call.units);
    }
  }
  return call.worked;
}

void WorkTimes::OnServerStart(Instant now) {
  this->Advance(now);
  this->cold_until = now + kColdPeriod;
  this->episode_since.reset();
  this->recent_units = 0;
  this->recent_ends = 0;
}

double WorkTimes::Slowdown(Instant now) {
  this->Advance(now);
  const double slowdown = this->RawSlowdown();
  return slowdown > kEpisodeFactor || slowdown < 1 / kEpisodeFactor ? slowdown
                                                                    : 1.0;
}

std::optional<KindTime> WorkTimes::UsualTimeOf(const std::string& kind) const {
  const auto found = this->kind_indexes.find(kind);
  if (found == this->kind_indexes.end()) {
    return std::nullopt;
  }
  const Kind& known = this->kinds[found->second];
  if (known.samples < kMinSamples) {
    return std::nullopt;
  }
  return KindTime{{known.name},
                  microseconds(static_cast<std::int64_t>(known.usual_us)),
                  known.samples};
}

std::optional<KindTime> WorkTimes::NextUsualTime() {
  if (this->kinds.empty()) {
    return std::nullopt;
  }
  this->next_kind = (this->next_kind + 1) % this->kinds.size();
  return this->UsualTimeOf(this->kinds[this->next_kind].name);
}

void WorkTimes::Advance(Instant now) {
  const auto elapsed = now - this->advanced_to;
  if (elapsed.count() <= 0) {
    return;
  }
  const double kept =
      std::exp(-std::chrono::duration<double>(elapsed) /
               std::chrono::duration<double>(kRecentTimeConstant));
  this->recent_units *= kept;
  this->recent_ends *= kept;
  const auto worked = duration_cast<microseconds>(elapsed);
  std::ranges::for_each(this->calls, [&](auto& entry) {
    Call& call = entry.second;
    if (call.nested > 0) {
      return;
    }
    call.worked += worked;
    const bool is_firm = call.kind < this->kinds.size() &&
                         this->kinds[call.kind].samples >= kMinFirmSamples;
    if (is_firm) {
      const double units =
          std::min(static_cast<double>(worked.count()) /
                       std::max(1.0, this->kinds[call.kind].usual_us),
                   std::max(0.0, kMaxUnits - call.units));
      call.units += units;
      this->recent_units += units;
    }
  });
  this->advanced_to = now;
}

double WorkTimes::RawSlowdown() const {
  return (kPriorCalls + this->recent_units) / (kPriorCalls + this->recent_ends);
}

// An episode ends with calls that take their usual time again, not with the
// lack of calls that makes the slowdown fade.
bool WorkTimes::IsInEpisode(double units, Instant now) {
  const double slowdown = this->RawSlowdown();
  const bool differs =
      slowdown > kEpisodeFactor || slowdown < 1 / kEpisodeFactor;
  if (!this->episode_since) {
    if (!differs) {
      return false;
    }
    this->episode_since = now;
    this->episode_units = slowdown;
  }
  this->episode_units += (units - this->episode_units) * kEpisodeCallWeight;
  const bool usual_again =
      !differs && this->episode_units<kEpisodeFactor&& this->episode_units> 1 /
                      kEpisodeFactor;
  if (usual_again) {
    this->episode_since.reset();
    return false;
  }
  return now - *this->episode_since < kMaxEpisode;
}

void WorkTimes::Learn(const Call& call, Instant now) {
  Kind& kind = this->kinds[call.kind];
  const bool cold = this->cold_until && now < *this->cold_until;
  const bool firm = call.units > 0;
  if ((firm && this->IsInEpisode(call.units, now)) ||
      (cold && kind.samples > 0 && !kind.learned_cold)) {
    return;
  }
  // Times of a cold server are better than none, until there are others.
  if (kind.learned_cold && !cold) {
    kind.samples = 0;
  }
  kind.learned_cold = cold;
  auto sample = static_cast<double>(call.worked.count());
  if (kind.samples >= kMinFirmSamples) {
    sample = std::min(sample, kMaxUnits * kind.usual_us);
  }
  kind.samples = std::min(kind.samples + 1, kMaxSamples);
  kind.usual_us += (sample - kind.usual_us) / kind.samples;
}

}  // namespace tanagerledge
