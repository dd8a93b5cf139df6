// Crash suspects: two backend servers at most, and innocent calls go on.

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
  const Fingerprint bad{1};
  const Fingerprint other{2};
};

TEST_F(SuspectsTest, DiffersInOnePart_FingerprintDiffers) {
  const Fingerprint first = FingerprintOf({"a"}, "POST", "/x", "1");
  EXPECT_EQ(first, FingerprintOf({"a"}, "POST", "/x", "1"));
  EXPECT_NE(first, FingerprintOf({"a"}, "POST", "/x1", ""));
  EXPECT_NE(first, FingerprintOf({"b"}, "POST", "/x", "1"));
}

TEST_F(SuspectsTest, SecondDeath_IsQuarantinedThenForgotten) {
  this->table.OnBackendDied(this->self, {this->bad, this->bad}, this->now);
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kSuspect);
  this->table.OnBackendDied(this->self, {this->bad}, this->now);
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kQuarantined);
  EXPECT_EQ(this->table.OnLeaseAsked(this->bad, {"a"}, seconds(1), this->now),
            LeaseAnswer::kRefused);
  this->now += SuspectConfig().quarantine_life;
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kClear);
}

// Found by `./run prove`: two nodes lost their backend servers before either
// had the other's news, the counts merged to one, and a third backend server
// died.
TEST_F(SuspectsTest, DeathsAtTwoNodesAtOnce_AddUpToQuarantine) {
  this->table.OnBackendDied(this->self, {this->bad}, this->now);
  this->table.OnNews({this->bad, 1, false, {"elsewhere"}}, this->now);
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kQuarantined);
}

TEST_F(SuspectsTest, RepeatedNews_CountOnce) {
  this->table.OnNews({this->bad, 1, false, {"elsewhere"}}, this->now);
  this->table.OnNews({this->bad, 1, false, {"elsewhere"}}, this->now);
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kSuspect);
}

TEST_F(SuspectsTest, LeaseHeld_SecondHolderWaitsUntilItEnds) {
  this->table.OnBackendDied(this->self, {this->bad}, this->now);
  EXPECT_EQ(this->table.OnLeaseAsked(this->bad, {"a"}, seconds(1), this->now),
            LeaseAnswer::kGranted);
  EXPECT_EQ(this->table.OnLeaseAsked(this->bad, {"b"}, seconds(1), this->now),
            LeaseAnswer::kBusy);
  this->now += seconds(1);
  EXPECT_EQ(this->table.OnLeaseAsked(this->bad, {"b"}, seconds(1), this->now),
            LeaseAnswer::kGranted);
}

TEST_F(SuspectsTest, RanSafely_IsClearAndCountsAfresh) {
  this->table.OnBackendDied(this->self, {this->other}, this->now);
  const auto news = this->table.OnRanSafely(this->other, this->now);
  ASSERT_TRUE(news.has_value());
  EXPECT_EQ(this->table.Look(this->other, this->now), Standing::kClear);
  this->table.OnBackendDied(this->self, {this->other}, this->now);
  EXPECT_EQ(this->table.Look(this->other, this->now), Standing::kSuspect);
}

TEST_F(SuspectsTest, ClearedNewsAfterQuarantine_ChangeNothing) {
  this->table.OnBackendDied(this->self, {this->bad}, this->now);
  this->table.OnBackendDied(this->self, {this->bad}, this->now);
  this->table.OnNews({this->bad, 1, true, {}}, this->now);
  this->table.OnNews({this->bad, 1000, true, {}}, this->now);
  EXPECT_EQ(this->table.Look(this->bad, this->now), Standing::kQuarantined);
}

TEST_F(SuspectsTest, MoreEntriesThanKept_SizeIsBounded) {
  for (std::uint64_t i = 0; i < 10000; ++i) {
    this->table.OnNews({{i}, 1, false, this->self},
                       this->now + milliseconds(i));
  }
  EXPECT_LE(this->table.size(), SuspectConfig().most_entries);
}

// Fleet ---------------------------------------------------------------------

// Nodes of one service with calls in flight. One request crashes each backend
// server that runs it, and its caller sends it again until it is refused. News
// arrive before the caller's next try, as SuspectHost::ReportBackendDeath waits
// for them.
class SuspectFleet {
 public:
  explicit SuspectFleet(std::size_t nodes) : tables(nodes), running(nodes) {}

  void RunInnocent(std::size_t node, Fingerprint call) {
    this->running[node].push_back(call);
  }

  // Whether the crash happened.
  bool SendBad(std::size_t node, Fingerprint call) {
    SuspectTable& table = this->tables[node];
    const Standing standing = table.Look(call, this->now);
    if (standing == Standing::kQuarantined) {
      return false;
    }
    if (standing == Standing::kSuspect && !this->Lease(node, call)) {
      return false;
    }
    this->running[node].push_back(call);
    this->Tell(table.OnBackendDied({std::to_string(node)}, this->running[node],
                                   this->now));
    this->running[node].clear();
    return true;
  }

  // An innocent is held back only as a suspect, and its first run clears it.
  bool RunsAndClears(std::size_t node, Fingerprint call) {
    switch (this->tables[node].Look(call, this->now)) {
      case Standing::kClear:
        return true;
      case Standing::kQuarantined:
        return false;
      case Standing::kSuspect:
        break;
    }
    if (!this->Lease(node, call)) {
      return false;
    }
    this->tables[node].EndHere();
    const auto news = this->tables[node].OnRanSafely(call, this->now);
    this->Tell({*news});
    return true;
  }

  Instant now{};

 private:
  bool Lease(std::size_t node, Fingerprint call) {
    const Instant until = this->now + milliseconds(100);
    const std::size_t home = call.value % this->tables.size();
    return this->tables[node].TryStartHere(this->now, until) &&
           this->tables[home].OnLeaseAsked(call, {std::to_string(node)},
                                           milliseconds(100),
                                           this->now) == LeaseAnswer::kGranted;
  }

  void Tell(const std::vector<Suspicion>& news) {
    for (SuspectTable& table : this->tables) {
      std::ranges::for_each(news, [&](const Suspicion& suspicion) {
        table.OnNews(suspicion, this->now);
      });
    }
  }

  std::vector<SuspectTable> tables;
  std::vector<std::vector<Fingerprint>> running;
};

RC_GTEST_PROP(SuspectFleetTest, BadRequestSentForEver_KillsTwoAtMost, ()) {
  constexpr std::size_t kNodes = 5;
  SuspectFleet fleet(kNodes);
  const Fingerprint bad{1000};
  std::uint64_t innocents = 0;
  int deaths = 0;
  const int tries = *rc::gen::inRange(3, 30);
  for (int i = 0; i < tries; ++i) {
    const int calls = *rc::gen::inRange(0, 13);
    for (int call = 0; call < calls; ++call) {
      fleet.RunInnocent(*rc::gen::inRange<std::size_t>(0, kNodes),
                        {++innocents});
    }
    const auto node = *rc::gen::inRange<std::size_t>(0, kNodes);
    deaths += fleet.SendBad(node, bad) ? 1 : 0;
    fleet.now += milliseconds(*rc::gen::inRange(1, 1000));
  }
  RC_ASSERT(deaths <= 2);
  fleet.now += milliseconds(200);
  for (std::uint64_t call = 1; call <= innocents; ++call) {
    RC_ASSERT(fleet.RunsAndClears(call % kNodes, {call}));
  }
}

}  // namespace
}  // namespace tanagerledge
