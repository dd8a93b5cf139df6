// Tests the memory of calls whose connections were closed before they ended:
// the one that crashes the backend server is always among those reported, and
// calls that ended before the death are not.

#include "tanagerledge/unobserved_runs.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <vector>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UnobservedRunsTest : public testing::Test {
 protected:
  UnobservedRuns runs;
  Instant now = Instant{} + std::chrono::hours(1);
  const BackendStart backend{"i-1", 1000};
  const BackendStart next{"i-1", 9000};
};

TEST_F(UnobservedRunsTest, DiesBeforeTheDeadline_CallIsReportedOnce) {
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  EXPECT_EQ(this->runs.OnDied(this->backend), (std::vector<Fingerprint>{{1}}));
  EXPECT_TRUE(this->runs.OnDied(this->backend).empty());
  EXPECT_EQ(this->runs.size(), 0u);
}

TEST_F(UnobservedRunsTest, AliveAfterAllWork_CallIsForgotten) {
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  this->now += seconds(1) + UnobservedRunsConfig().overrun;
  this->runs.OnAlive(this->backend, this->now - milliseconds(1));
  EXPECT_EQ(this->runs.size(), 1u);
  this->runs.OnAlive(this->backend, this->now);
  EXPECT_EQ(this->runs.size(), 0u);
}

// The death may be noticed late, for instance by the heartbeat of the next
// start.
TEST_F(UnobservedRunsTest, NoSignOfLifeForLong_CallIsRemembered) {
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  this->now += seconds(30);
  this->runs.OnAlive(this->next, this->now);
  EXPECT_EQ(this->runs.FindOther(this->next), this->backend);
  EXPECT_EQ(this->runs.OnDied(this->backend).size(), 1u);
  EXPECT_EQ(this->runs.FindOther(this->next), std::nullopt);
}

TEST_F(UnobservedRunsTest, OnlyWhileCallsAreRemembered_ChecksAreNeeded) {
  const milliseconds interval = UnobservedRunsConfig().check_interval;
  EXPECT_FALSE(this->runs.NeedsCheck(this->backend, this->now));
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  EXPECT_TRUE(this->runs.NeedsCheck(this->backend, this->now));
  this->runs.OnAlive(this->backend, this->now);
  this->now += interval - milliseconds(1);
  EXPECT_FALSE(this->runs.NeedsCheck(this->backend, this->now));
  this->now += milliseconds(1);
  EXPECT_TRUE(this->runs.NeedsCheck(this->backend, this->now));
}

TEST_F(UnobservedRunsTest, LeavesBeforeItsEnd_NothingIsReported) {
  this->runs.Add(this->backend, {1}, this->now + seconds(1), this->now);
  this->runs.OnLeave(this->backend);
  this->runs.Add(this->backend, {2}, this->now + seconds(1), this->now);
  EXPECT_TRUE(this->runs.HasLeft(this->backend));
  EXPECT_TRUE(this->runs.OnDied(this->backend).empty());
}

TEST_F(UnobservedRunsTest, TooManyCalls_ThoseThatEndFirstAreForgotten) {
  const std::size_t max_runs = UnobservedRunsConfig().max_runs;
  for (std::size_t i = 0; i < 2 * max_runs; ++i) {
    this->runs.Add(this->backend, {i}, this->now + milliseconds(i), this->now);
  }
  const auto kept = this->runs.OnDied(this->backend);
  EXPECT_EQ(kept.size(), max_runs);
  EXPECT_EQ(std::ranges::min(kept).value, max_runs);
}

// Random orders of events at one backend server that is restarted again and
// again. A run ends at its deadline plus a random overrun at the latest.
RC_GTEST_PROP(UnobservedRunsProperty,
              AnyOrder_RunningCallsAreReportedAndEndedOnesAreNot,
              ()) {
  constexpr int kMaxSteps = 200;
  constexpr std::size_t kMaxRuns = 8;
  UnobservedRunsConfig config;
  config.max_runs = kMaxRuns;
  UnobservedRuns runs(config);
  Instant now = Instant{} + std::chrono::hours(1);
  Instant last_alive = now;
  BackendStart backend{"i-1", 1};
  bool has_left = false;
  struct Run {
    Fingerprint call;
    Instant ends{};        // At the backend server.
    Instant latest_end{};  // That this node must assume.
  };
  std::vector<Run> started;
  std::uint64_t last_call = 0;
  const auto steps = *rc::gen::resize(
      kMaxSteps,
      rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 3000))));
  for (const auto& [step, amount] : steps) {
    if (step < 3) {
      const Instant deadline = now + milliseconds(amount);
      const Fingerprint call{++last_call};
      runs.Add(backend, call, deadline, now);
      started.push_back({call, deadline + config.overrun * (amount % 7) / 7,
                         deadline + config.overrun});
    } else if (step < 6) {
      now += milliseconds(amount);
    } else if (step < 8) {
      runs.OnAlive(backend, now);
      last_alive = now;
    } else if (step == 8 && amount % 5 == 0) {
      runs.OnLeave(backend);
      has_left = true;
    } else if (step == 9) {
      // It dies now, or has died since the last sign of life.
      const auto reported = runs.OnDied(backend);
      const std::set<std::uint64_t> values = [&reported] {
        std::set<std::uint64_t> all;
        std::ranges::for_each(
            reported, [&all](Fingerprint each) { all.insert(each.value); });
        return all;
      }();
      RC_ASSERT(values.size() == reported.size());
      RC_ASSERT(!has_left || reported.empty());
      const bool overflowed = started.size() > kMaxRuns;
      std::ranges::for_each(started, [&](const Run& run) {
        const bool is_reported = values.contains(run.call.value);
        if (run.ends > last_alive && !overflowed && !has_left) {
          RC_ASSERT(is_reported);
        }
        if (run.latest_end <= last_alive) {
          RC_ASSERT(!is_reported);
        }
      });
      started.clear();
      backend = {amount % 2 == 0 ? "i-1" : "i-2", backend.born_ms + 1};
      has_left = false;
      last_alive = now;
    }
    RC_ASSERT(runs.size() <= kMaxRuns);
  }
}

}  // namespace
}  // namespace tanagerledge
