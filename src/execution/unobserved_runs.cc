#include "tanagerledge/unobserved_runs.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace tanagerledge {
namespace {

// Number of starts that are remembered.
constexpr std::size_t kMaxStarts = 4;

}  // namespace

UnobservedRuns::UnobservedRuns(UnobservedRunsConfig runs_config)
    : config(runs_config) {}

void UnobservedRuns::Add(const BackendStart& start,
                         Fingerprint fingerprint,
                         Instant deadline,
                         Instant now) {
  Runs& runs = this->FindOrAdd(start);
  if (runs.has_left) {
    return;
  }
  const Instant end = std::max(deadline, now) + this->config.overrun;
  const auto [known, added] = runs.ends.emplace(fingerprint, end);
  known->second = std::max(known->second, end);
  if (runs.ends.size() > this->config.max_runs) {
    runs.ends.erase(std::ranges::min_element(
        runs.ends, {}, [](const auto& run) { return run.second; }));
  }
}

void UnobservedRuns::OnAlive(const BackendStart& start, Instant now) {
  const auto found = std::ranges::find(this->starts, start, &Runs::start);
  if (found != this->starts.end()) {
    found->last_alive = now;
    std::erase_if(found->ends,
                  [now](const auto& run) { return run.second <= now; });
  }
}

void UnobservedRuns::OnLeave(const BackendStart& start) {
  Runs& runs = this->FindOrAdd(start);
  runs.has_left = true;
  runs.ends.clear();
}

std::vector<Fingerprint> UnobservedRuns::OnDied(const BackendStart& start) {
  std::vector<Fingerprint> running;
  const auto found = std::ranges::find(this->starts, start, &Runs::start);
  if (found != this->starts.end()) {
    std::ranges::transform(found->ends, std::back_inserter(running),
                           [](const auto& run) { return run.first; });
    found->ends.clear();
  }
  return running;
}

std::optional<BackendStart> UnobservedRuns::FindOther(
    const BackendStart& current) const {
  const auto found =
      std::ranges::find_if(this->starts, [&current](const Runs& runs) {
        return !runs.ends.empty() && runs.start != current;
      });
  return found == this->starts.end() ? std::nullopt
                                     : std::optional(found->start);
}

bool UnobservedRuns::NeedsCheck(const BackendStart& start, Instant now) const {
  const Runs* const runs = this->Find(start);
  return runs != nullptr && !runs->ends.empty() &&
         now - runs->last_alive >= this->config.check_interval;
}

bool UnobservedRuns::HasLeft(const BackendStart& start) const {
  const Runs* const runs = this->Find(start);
  return runs != nullptr && runs->has_left;
}

std::size_t UnobservedRuns::size() const {
  return std::transform_reduce(
      this->starts.begin(), this->starts.end(), std::size_t{0}, std::plus<>(),
      [](const Runs& runs) { return runs.ends.size(); });
}

const UnobservedRuns::Runs* UnobservedRuns::Find(
    const BackendStart& start) const {
  const auto found = std::ranges::find(this->starts, start, &Runs::start);
  return found == this->starts.end() ? nullptr : &*found;
}

UnobservedRuns::Runs& UnobservedRuns::FindOrAdd(const BackendStart& start) {
  const auto found = std::ranges::find(this->starts, start, &Runs::start);
  if (found != this->starts.end()) {
    return *found;
  }
  if (this->starts.size() == kMaxStarts) {
    this->starts.pop_back();
  }
  return this->starts.emplace_front(Runs{start, {}, false, {}});
}

}  // namespace tanagerledge
