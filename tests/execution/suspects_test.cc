// Tests crash suspects: a crashing call kills at most two backend servers, and
// harmless calls still run.

#include "tanagerledge/suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SuspectsTest : public testing::Test {
 protected:
  SuspectTable table;
  Instant now{};
  const NodeId self{"self"};
  const Fingerprint crashing{1};
  const Fingerprint other{2};
};

TEST_F(SuspectsTest, CallsDifferInOnePart_FingerprintsDiffer) {
  const Fingerprint first = FingerprintOf({"a"}, "POST", "/x", "1");
  EXPECT_EQ(first, FingerprintOf({"a"}, "POST", "/x", "1"));
  EXPECT_NE(first, FingerprintOf({"a"}, "POST", "/x1", ""));
  EXPECT_NE(first, FingerprintOf({"b"}, "POST", "/x", "1"));
}

TEST_F(SuspectsTest, SecondDeath_IsQuarantinedUntilExpiry) {
  this->table.OnBackendDied(this->self, {this->crashing, this->crashing},
                            this->now);
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kSuspect);
  this->table.OnBackendDied(this->self, {this->crashing}, this->now);
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kQuarantined);
  EXPECT_EQ(
      this->table.OnLeaseRequest(this->crashing, {"a"}, seconds(1), this->now),
      LeaseAnswer::kRefused);
  this->now += SuspectConfig().quarantine_ttl;
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kClear);
}

// Guards against a failure found by `./run prove`: two nodes lost their backend
// servers before either received the other's suspicion, the counts were merged
// into one, and a third backend server died.
TEST_F(SuspectsTest, SimultaneousDeathsAtTwoNodes_AddUpToQuarantine) {
  this->table.OnBackendDied(this->self, {this->crashing}, this->now);
  this->table.OnSuspicion({this->crashing, 1, false, {"elsewhere"}}, this->now);
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kQuarantined);
}

TEST_F(SuspectsTest, RepeatedSuspicion_CountsOnce) {
  this->table.OnSuspicion({this->crashing, 1, false, {"elsewhere"}}, this->now);
  this->table.OnSuspicion({this->crashing, 1, false, {"elsewhere"}}, this->now);
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kSuspect);
}

TEST_F(SuspectsTest, LeaseHeld_SecondRequestIsBusyUntilExpiry) {
  this->table.OnBackendDied(this->self, {this->crashing}, this->now);
  EXPECT_EQ(
      this->table.OnLeaseRequest(this->crashing, {"a"}, seconds(1), this->now),
      LeaseAnswer::kGranted);
  EXPECT_EQ(
      this->table.OnLeaseRequest(this->crashing, {"b"}, seconds(1), this->now),
      LeaseAnswer::kBusy);
  this->now += seconds(1);
  EXPECT_EQ(
      this->table.OnLeaseRequest(this->crashing, {"b"}, seconds(1), this->now),
      LeaseAnswer::kGranted);
}

TEST_F(SuspectsTest, RanSafely_IsClearedAndCountRestarts) {
  this->table.OnBackendDied(this->self, {this->other}, this->now);
  const auto suspicion = this->table.OnRanSafely(this->other, this->now);
  ASSERT_TRUE(suspicion.has_value());
  EXPECT_EQ(this->table.GetState(this->other, this->now), SuspectState::kClear);
  this->table.OnBackendDied(this->self, {this->other}, this->now);
  EXPECT_EQ(this->table.GetState(this->other, this->now),
            SuspectState::kSuspect);
}

TEST_F(SuspectsTest, ClearedAfterQuarantine_IsIgnored) {
  this->table.OnBackendDied(this->self, {this->crashing}, this->now);
  this->table.OnBackendDied(this->self, {this->crashing}, this->now);
  this->table.OnSuspicion({this->crashing, 1, true, {}}, this->now);
  this->table.OnSuspicion({this->crashing, 1000, true, {}}, this->now);
  EXPECT_EQ(this->table.GetState(this->crashing, this->now),
            SuspectState::kQuarantined);
}

TEST_F(SuspectsTest, TooManyEntries_SizeIsBounded) {
  for (std::uint64_t i = 0; i < 10000; ++i) {
    this->table.OnSuspicion({{i}, 1, false, this->self},
                            this->now + milliseconds(i));
  }
  EXPECT_LE(this->table.size(), SuspectConfig().max_entries);
}

// Fleet ---------------------------------------------------------------------

// Simulates the nodes of one service with calls in flight. One request crashes
// each backend server that runs it, and its caller sends it again until it is
// rejected. Suspicions arrive before the caller's next attempt, because
// SuspectHost::ReportBackendDeath waits for them.
class SuspectFleet {
 public:
  explicit SuspectFleet(std::size_t nodes) : tables(nodes), running(nodes) {}

  void RunHarmless(std::size_t node, Fingerprint call) {
    this->running[node].push_back(call);
  }

  // Returns whether the request ran and crashed the backend server.
  bool SendCrashing(std::size_t node, Fingerprint call) {
    SuspectTable& table = this->tables[node];
    const SuspectState state = table.GetState(call, this->now);
    if (state == SuspectState::kQuarantined) {
      return false;
    }
    if (state == SuspectState::kSuspect && !this->Lease(node, call)) {
      return false;
    }
    this->running[node].push_back(call);
    this->Broadcast(table.OnBackendDied({std::to_string(node)},
                                        this->running[node], this->now));
    this->running[node].clear();
    return true;
  }

  // Returns whether a harmless call runs. It is delayed only while it is a
  // suspect, and its first run clears it.
  bool RunsAndClears(std::size_t node, Fingerprint call) {
    switch (this->tables[node].GetState(call, this->now)) {
      case SuspectState::kClear:
        return true;
      case SuspectState::kQuarantined:
        return false;
      case SuspectState::kSuspect:
        break;
    }
    if (!this->Lease(node, call)) {
      return false;
    }
    this->tables[node].ReleaseLocalSlot();
    const auto suspicion = this->tables[node].OnRanSafely(call, this->now);
    this->Broadcast({*suspicion});
    return true;
  }

  Instant now{};

 private:
  bool Lease(std::size_t node, Fingerprint call) {
    const Instant until = this->now + milliseconds(100);
    const std::size_t home = call.value % this->tables.size();
    return this->tables[node].TryAcquireLocalSlot(this->now, until) &&
           this->tables[home].OnLeaseRequest(call, {std::to_string(node)},
                                             milliseconds(100), this->now) ==
               LeaseAnswer::kGranted;
  }

  void Broadcast(const std::vector<Suspicion>& suspicions) {
    for (SuspectTable& table : this->tables) {
      std::ranges::for_each(suspicions, [&](const Suspicion& suspicion) {
        table.OnSuspicion(suspicion, this->now);
      });
    }
  }

  std::vector<SuspectTable> tables;
  std::vector<std::vector<Fingerprint>> running;
};

RC_GTEST_PROP(SuspectFleetTest,
              CrashingRequestRepeated_KillsAtMostTwoBackends,
              ()) {
  constexpr std::size_t kNodes = 5;
  SuspectFleet fleet(kNodes);
  const Fingerprint crashing{1000};
  std::uint64_t harmless_calls = 0;
  int deaths = 0;
  const int tries = *rc::gen::inRange(3, 30);
  for (int i = 0; i < tries; ++i) {
    const int calls = *rc::gen::inRange(0, 13);
    for (int call = 0; call < calls; ++call) {
      fleet.RunHarmless(*rc::gen::inRange<std::size_t>(0, kNodes),
                        {++harmless_calls});
    }
    const auto node = *rc::gen::inRange<std::size_t>(0, kNodes);
    deaths += fleet.SendCrashing(node, crashing) ? 1 : 0;
    fleet.now += milliseconds(*rc::gen::inRange(1, 1000));
  }
  RC_ASSERT(deaths <= 2);
  fleet.now += milliseconds(200);
  for (std::uint64_t call = 1; call <= harmless_calls; ++call) {
    RC_ASSERT(fleet.RunsAndClears(call % kNodes, {call}));
  }
}

}  // namespace
}  // namespace tanagerledge
