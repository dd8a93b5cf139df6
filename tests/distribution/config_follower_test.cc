#include "tanagerledge/config_follower.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Action>
bool Holds(const FollowActions& actions) {
  return std::ranges::any_of(actions, [](const FollowAction& action) {
    return std::holds_alternative<Action>(action);
  });
}

class ConfigFollowerTest : public ::testing::Test {
 protected:
  FollowActions Tick(milliseconds after = milliseconds(0)) {
    this->now += after;
    return this->follower.Tick(this->now);
  }

  // The newest was read, records 0 to 3, and the next one is waited for.
  void FollowFromFour() {
    this->Tick();
    this->follower.OnNewest({4}, this->now);
    this->Tick();
  }

  ConfigFollower follower;
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(ConfigFollowerTest, Start_ReadsTheNewestThenFollows) {
  EXPECT_TRUE(Holds<ReadNewestConfig>(this->Tick()));
  EXPECT_TRUE(this->Tick(milliseconds(900)).empty()) << "one read at a time";
  this->follower.OnNewest({4}, this->now);
  const FollowActions next = this->Tick();
  ASSERT_TRUE(Holds<ReadConfigRecords>(next));
  EXPECT_EQ(std::get<ReadConfigRecords>(next.front()).from, LogOffset{4});
}

// 60 nodes that read each of 20 versions at once cost 1,200 calls in 5 s.
TEST_F(ConfigFollowerTest, VersionsInQuickSuccession_AreReadTogether) {
  this->Tick();
  this->follower.OnNewest({0}, this->now);
  int reads = 0;
  std::uint64_t unread_since = 0;
  bool reading = false;
  // A version every 200 ms for 6 s; the store answers at once.
  for (int step = 0; step < 300; ++step) {
    reading = reading || Holds<ReadConfigRecords>(this->Tick(milliseconds(20)));
    const std::uint64_t written = static_cast<std::uint64_t>(step / 10) + 1;
    if (reading && written > unread_since) {
      ++reads;
      reading = false;
      unread_since = written;
      this->follower.OnRecords({written}, {written}, this->now);
    }
  }
  EXPECT_GE(reads, 8);
  EXPECT_LE(reads, 11);
}

// Played on the grown beryn: with 3,000 routes a version has half a MB, and a
// node with a link of 7 Mbit/s that read each one of a storm was 4 s behind.
TEST_F(ConfigFollowerTest, MoreWrittenThanRead_ReadsOnlyTheNewest) {
  this->FollowFromFour();
  this->follower.OnRecords({5}, {9}, this->now);
  EXPECT_TRUE(Holds<ReadNewestConfig>(this->Tick()));
  // There were news: the storm may go on.
  this->follower.OnNewest({9}, this->now);
  EXPECT_TRUE(this->Tick(milliseconds(500)).empty());
  EXPECT_TRUE(Holds<ReadNewestConfig>(this->Tick(milliseconds(100))));
  // None: it is over.
  this->follower.OnNewest({9}, this->now);
  const FollowActions next = this->Tick();
  ASSERT_TRUE(Holds<ReadConfigRecords>(next));
  EXPECT_EQ(std::get<ReadConfigRecords>(next.front()).from, LogOffset{9});
}

TEST_F(ConfigFollowerTest, StoreIsSlowAtTheStart_APeerIsAsked) {
  EXPECT_FALSE(Holds<AskPeerForConfig>(this->Tick()));
  EXPECT_FALSE(Holds<AskPeerForConfig>(this->Tick(milliseconds(900))));
  EXPECT_TRUE(Holds<AskPeerForConfig>(this->Tick(milliseconds(100))));
}

TEST_F(ConfigFollowerTest, NoNews_IsReadOnAtOnce) {
  this->FollowFromFour();
  this->follower.OnRecords({4}, {4}, this->now);
  EXPECT_TRUE(Holds<ReadConfigRecords>(this->Tick()));
}

TEST_F(ConfigFollowerTest, OlderOrSameVersion_IsNeverTaken) {
  EXPECT_TRUE(this->follower.AcceptIfNewer(7));
  EXPECT_FALSE(this->follower.AcceptIfNewer(7));
  EXPECT_FALSE(this->follower.AcceptIfNewer(3));
  EXPECT_TRUE(this->follower.AcceptIfNewer(9));
}

TEST_F(ConfigFollowerTest, HistoryGone_ReadsTheNewestAgainAtOnce) {
  this->FollowFromFour();
  this->follower.OnStoreError(LogErrorKind::kExpired, this->now);
  EXPECT_TRUE(Holds<ReadNewestConfig>(this->Tick()));
}

TEST_F(ConfigFollowerTest, StoreFails_PeersAreAskedAndTheStoreLessOften) {
  this->Tick();
  this->follower.OnStoreError(LogErrorKind::kUnavailable, this->now);
  int reads = 0;
  int questions = 0;
  for (int i = 0; i < 200; ++i) {
    const FollowActions actions = this->Tick(milliseconds(50));
    if (Holds<ReadNewestConfig>(actions)) {
      ++reads;
      this->follower.OnStoreError(LogErrorKind::kUnavailable, this->now);
    }
    if (Holds<AskPeerForConfig>(actions)) {
      ++questions;
      this->follower.OnPeerAnswered(this->now);
    }
  }
  // Ten seconds: the store about every 0.6 s, a peer twice a second.
  EXPECT_LE(reads, 20);
  EXPECT_GE(reads, 14);
  EXPECT_GE(questions, 18);
}

TEST_F(ConfigFollowerTest, StoreFailedWhileFollowing_IsAskedWithoutWaiting) {
  this->FollowFromFour();
  this->follower.OnStoreError(LogErrorKind::kUnavailable, this->now);
  const FollowActions next = this->Tick(milliseconds(700));
  ASSERT_TRUE(Holds<ReadConfigRecords>(next));
  EXPECT_EQ(std::get<ReadConfigRecords>(next.front()).wait, milliseconds(0));
  this->follower.OnRecords({6}, {6}, this->now);
  // News were read: the next read gathers what follows them.
  const FollowActions later = this->Tick(milliseconds(600));
  ASSERT_TRUE(Holds<ReadConfigRecords>(later));
  EXPECT_EQ(std::get<ReadConfigRecords>(later.front()).from, LogOffset{6});
  EXPECT_GT(std::get<ReadConfigRecords>(later.front()).wait, seconds(1));
}

TEST_F(ConfigFollowerTest, StoreGivesTheVersionThatAPeerHas_NoPeerIsAsked) {
  this->Tick();
  this->follower.OnNewest({4}, this->now);
  this->follower.AcceptIfNewer(7);
  this->follower.OnPeerVersion(8, this->now);
  this->Tick(milliseconds(100));
  this->follower.AcceptIfNewer(8);
  for (int i = 0; i < 40; ++i) {
    EXPECT_FALSE(Holds<AskPeerForConfig>(this->Tick(milliseconds(50))));
  }
}

TEST_F(ConfigFollowerTest, StoreDoesNotGiveAPeersVersion_PeerIsAskedInTime) {
  this->Tick();
  this->follower.OnNewest({4}, this->now);
  this->follower.AcceptIfNewer(7);
  this->Tick();
  this->follower.OnPeerVersion(7, this->now);
  EXPECT_FALSE(Holds<AskPeerForConfig>(this->Tick()));
  this->follower.OnPeerVersion(8, this->now);
  EXPECT_FALSE(Holds<AskPeerForConfig>(this->Tick(milliseconds(100))));
  EXPECT_TRUE(Holds<AskPeerForConfig>(this->Tick(milliseconds(700))));
}

}  // namespace
}  // namespace tanagerledge
