#include "tanagerledge/backend_life.h"

#include <gtest/gtest.h>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BackendLifeTest : public ::testing::Test {
 protected:
  Heartbeat Beat(std::string instance,
                 std::int64_t born,
                 std::uint64_t sequence,
                 bool draining = false) const {
    Heartbeat heartbeat;
    heartbeat.instance = std::move(instance);
    heartbeat.born_ms = born;
    heartbeat.sequence = sequence;
    heartbeat.service = this->service;
    heartbeat.address = "10.0.0.1:80";
    heartbeat.slots = 13;
    heartbeat.draining = draining;
    return heartbeat;
  }

  bool MayRun() const { return this->life.MayRun(this->service, this->now); }

  BackendLife life;
  ServiceName service{"claims"};
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(BackendLifeTest, NotHeardOfYet_RunsNothing) {
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, CallForAnotherService_IsNotRun) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  EXPECT_FALSE(this->life.MayRun({"certifier"}, this->now));
}

TEST_F(BackendLifeTest, Draining_RunsOnlyForATail) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  this->life.OnHeartbeat(this->Beat("i1", 5, 2, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_TRUE(this->MayRun());
  this->now += milliseconds(1001);
  EXPECT_FALSE(this->MayRun());
  // Further heartbeats do not begin the tail anew.
  this->life.OnHeartbeat(this->Beat("i1", 5, 3, true), this->now);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, LateReadyHeartbeatAfterDrain_ChangesNothing) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 7, true), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 6), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

TEST_F(BackendLifeTest, HeartbeatAfterGoodbye_ChangesNothing) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  EXPECT_TRUE(this->life.OnLeave("i1", this->now));
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 9), this->now),
            HeartbeatVerdict::kStale);
  this->now += seconds(2);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, LeaveOfAStartNeverSeen_LateHeartbeatChangesNothing) {
  this->life.OnLeave("i1", this->now);
  this->now += milliseconds(2100);
  this->life.OnHeartbeat(this->Beat("i1", 5, 9), this->now);
  EXPECT_FALSE(this->MayRun());
  // Others of another name are not meant.
  this->life.OnHeartbeat(this->Beat("i2", 8, 1), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, FirstWordIsDraining_RunsNothing) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 9, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, DrainingWordOutOfOrder_IsTakenAllTheSame) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 9), this->now);
  this->life.OnHeartbeat(this->Beat("i1", 5, 8, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

TEST_F(BackendLifeTest, SameNameStartsAnew_CountsAnew) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 40), this->now);
  this->life.OnLeave("i1", this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 9, 1), this->now),
            HeartbeatVerdict::kChanged);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

TEST_F(BackendLifeTest, HeartbeatOfAnEarlierStart_ChangesNothing) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->Beat("i2", 9, 1), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 4), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.known()->instance, "i2");
}

TEST_F(BackendLifeTest, LateHeartbeatOfAStartNeverSeen_ChangesNothing) {
  this->life.OnHeartbeat(this->Beat("i2", 9, 1), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i0", 4, 30), this->now),
            HeartbeatVerdict::kStale);
}

TEST_F(BackendLifeTest, Died_IsBackWithItsNextHeartbeat) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  this->life.OnDied("i1");
  EXPECT_FALSE(this->MayRun());
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 2), this->now),
            HeartbeatVerdict::kChanged);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, RecalledAfterARestart_RunsAndTakesItsNextHeartbeat) {
  this->life.OnConfirmed(this->Beat("i1", 5, 8), this->now, this->now);
  EXPECT_TRUE(this->MayRun());
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 7), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 9), this->now),
            HeartbeatVerdict::kUnchanged);
}

TEST_F(BackendLifeTest, RecalledAfterAHeartbeat_ChangesNothing) {
  this->life.OnHeartbeat(this->Beat("i2", 9, 1, true), this->now);
  this->life.OnConfirmed(this->Beat("i1", 5, 8), this->now, this->now);
  EXPECT_EQ(this->life.known()->instance, "i2");
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

// A node that may have acknowledged the backend server's leave at an earlier
// start.
class RestartedNodeTest : public BackendLifeTest {
 protected:
  static constexpr std::int64_t kNodeStart = 100'000;

  RestartedNodeTest() {
    BackendLifeConfig config;
    config.node_started_ms = kNodeStart;
    this->life = BackendLife(config);
  }
};

TEST_F(RestartedNodeTest, OlderBackend_WaitsUntilItIsConfirmed) {
  const Heartbeat beat = this->Beat("i1", 5, 9);
  EXPECT_EQ(this->life.OnHeartbeat(beat, this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_FALSE(this->MayRun());
  EXPECT_TRUE(this->life.OnConfirmed(beat, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
  EXPECT_FALSE(this->life.unconfirmed().has_value());
}

TEST_F(RestartedNodeTest, BackendOfThisStart_IsTakenAtOnce) {
  this->life.OnHeartbeat(this->Beat("i1", kNodeStart + 60'000, 1), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeftBetweenQuestionAndAnswer_IsNotConfirmed) {
  const Heartbeat beat = this->Beat("i1", 5, 9);
  const Instant asked = this->now;
  this->life.OnHeartbeat(beat, asked);
  this->now += milliseconds(5);
  this->life.OnLeave("i1", this->now);
  EXPECT_FALSE(this->life.OnConfirmed(beat, asked, this->now));
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest, NeverAnswersHealthChecks_ThreeHeartbeatsAreEnough) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 7), this->now);
  this->life.OnHeartbeat(this->Beat("i1", 5, 7), this->now);
  this->life.OnHeartbeat(this->Beat("i1", 5, 8), this->now);
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->Beat("i1", 5, 9), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeftWithoutAName_HeartbeatsProveNothing) {
  this->life.OnLeave("i1", this->now);
  for (std::uint64_t sequence = 1; sequence < 9; ++sequence) {
    this->life.OnHeartbeat(this->Beat("i1", 5, sequence), this->now);
  }
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest, NameStartsAnewAfterItsLeave_IsConfirmedAndServed) {
  this->life.OnLeave("i1", this->now);
  this->now += seconds(4);
  const Heartbeat beat = this->Beat("i1", kNodeStart + 4000, 1);
  EXPECT_EQ(this->life.OnHeartbeat(beat, this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_TRUE(this->life.OnConfirmed(beat, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeavingWasWrittenDown_NothingBringsItBack) {
  const Heartbeat beat = this->Beat("i1", 5, 9);
  this->life.OnHeartbeat(beat, this->now);
  this->life.OnLeftEarlier(beat, this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->Beat("i1", 5, 10), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_FALSE(this->life.OnConfirmed(beat, this->now, this->now));
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeavingWrittenDownIsReadLate_CallsEndAtOnce) {
  const Heartbeat beat = this->Beat("i1", 5, 9);
  this->life.OnHeartbeat(beat, this->now);
  this->life.OnConfirmed(beat, this->now, this->now);
  this->life.OnLeftEarlier(beat, this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, Silent_IsGoneUntilItSpeaks) {
  this->life.OnHeartbeat(this->Beat("i1", 5, 1), this->now);
  this->now += milliseconds(4501);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kGone);
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->Beat("i1", 5, 2), this->now);
  EXPECT_TRUE(this->MayRun());
}

}  // namespace
}  // namespace tanagerledge
