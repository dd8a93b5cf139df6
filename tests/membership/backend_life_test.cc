#include "tanagerledge/backend_life.h"

#include <gtest/gtest.h>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BackendLifeTest : public ::testing::Test {
 protected:
  Heartbeat MakeHeartbeat(std::string instance,
                          std::int64_t birth_ms,
                          std::uint64_t sequence,
                          bool draining = false) const {
    Heartbeat heartbeat;
    heartbeat.instance = std::move(instance);
    heartbeat.born_ms = birth_ms;
    heartbeat.sequence = sequence;
    heartbeat.service = this->service;
    heartbeat.address = "10.0.0.1:80";
    heartbeat.slots = 13;
    heartbeat.draining = draining;
    return heartbeat;
  }

  bool MayRun() const { return this->life.MayRun(this->service, this->now); }

  // Delivers heartbeats with these sequence numbers, 150 ms apart.
  void Deliver(const std::string& instance,
               std::int64_t birth_ms,
               std::uint64_t first,
               std::uint64_t last) {
    for (std::uint64_t sequence = first; sequence <= last; ++sequence) {
      this->now += milliseconds(150);
      this->life.OnHeartbeat(this->MakeHeartbeat(instance, birth_ms, sequence),
                             this->now);
    }
  }

  // Heartbeats that arrive from now on were sent after all that has happened.
  void PassMaxHeartbeatDelay() {
    this->now += BackendLifeConfig().max_heartbeat_delay + milliseconds(1);
  }

  void PassGracePeriod() {
    this->now += BackendLifeConfig().drain_grace_period;
  }

  BackendLife life;
  ServiceName service{"claims"};
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(BackendLifeTest, NoHeartbeatYet_AcceptsNoCalls) {
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, CallForAnotherService_IsRejected) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  EXPECT_FALSE(this->life.MayRun({"certifier"}, this->now));
}

TEST_F(BackendLifeTest, Draining_AcceptsCallsOnlyDuringGracePeriod) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 2, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_TRUE(this->MayRun());
  this->now += milliseconds(1001);
  EXPECT_FALSE(this->MayRun());
  // Further heartbeats don't restart the grace period.
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3, true), this->now);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, LateReadyHeartbeatAfterDrain_IsStale) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 7, true), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 6), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

TEST_F(BackendLifeTest, HeartbeatAfterLeave_IsStale) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  EXPECT_TRUE(this->life.OnLeave("i1", this->now));
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now),
            HeartbeatVerdict::kStale);
  this->now += seconds(2);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, UnknownBackendLeft_LateHeartbeatIsNotAccepted) {
  this->life.OnLeave("i1", this->now);
  this->now += milliseconds(2100);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now);
  EXPECT_FALSE(this->MayRun());
  // Another instance is not affected.
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 8, 1), this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, FirstHeartbeatDraining_AcceptsNoCalls) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, DrainingHeartbeatOutOfOrder_StillDrains) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 8, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

// The leave message may be that of the newer start, whose heartbeats are late.
TEST_F(BackendLifeTest, SameNameRestartsAfterLeave_IsReadyOnceConfirmed) {
  const Heartbeat newer = this->MakeHeartbeat("i1", 9, 1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 40), this->now);
  this->life.OnLeave("i1", this->now);
  this->now += milliseconds(1);
  EXPECT_EQ(this->life.OnHeartbeat(newer, this->now),
            HeartbeatVerdict::kUnconfirmed);
  this->PassGracePeriod();
  this->Deliver("i1", 9, 2, 5);
  EXPECT_FALSE(this->MayRun());
  EXPECT_TRUE(this->life.OnConfirmed(newer, this->now, this->now));
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

TEST_F(BackendLifeTest, SameNameRestartsLongAfterLeave_BecomesReady) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 40), this->now);
  this->life.OnLeave("i1", this->now);
  this->PassMaxHeartbeatDelay();
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now),
            HeartbeatVerdict::kChanged);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

TEST_F(BackendLifeTest, HeartbeatOfPreviousStart_IsStale) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->now += milliseconds(1500);
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 9, 1), this->now);
  EXPECT_TRUE(this->life.OnConfirmed(this->MakeHeartbeat("i2", 9, 1), this->now,
                                     this->now + milliseconds(2)));
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.known()->instance, "i2");
}

// One message doesn't displace a backend server that lives.
TEST_F(BackendLifeTest, SingleHeartbeatOfOtherInstance_CurrentOneStays) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("odd", 9, 1), this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_EQ(this->life.known()->instance, "i1");
  EXPECT_TRUE(this->MayRun());
  EXPECT_EQ(
      this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4, true), this->now),
      HeartbeatVerdict::kChanged);
  this->now += milliseconds(1001);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, SingleDrainingHeartbeatOfOtherInstance_CurrentStays) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("odd", 9, 1, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
  // Its leave is acknowledged all the same.
  this->life.OnDied("i1", this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("odd", 9, 2), this->now),
            HeartbeatVerdict::kStale);
}

TEST_F(BackendLifeTest, NewInstanceAnswersHealthCheck_TakesOver) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->now += milliseconds(500);
  const Heartbeat next = this->MakeHeartbeat("i2", 9, 1);
  this->life.OnHeartbeat(next, this->now);
  EXPECT_TRUE(
      this->life.OnConfirmed(next, this->now, this->now + milliseconds(2)));
  EXPECT_EQ(this->life.known()->instance, "i2");
}

TEST_F(BackendLifeTest, CurrentHeardSinceHealthCheck_IsNotDisplaced) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  const Heartbeat next = this->MakeHeartbeat("odd", 9, 1);
  this->life.OnHeartbeat(next, this->now);
  const Instant asked = this->now;
  this->now += milliseconds(2);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4), this->now);
  EXPECT_FALSE(this->life.OnConfirmed(next, asked, this->now));
  EXPECT_EQ(this->life.known()->instance, "i1");
}

TEST_F(BackendLifeTest, DisplacedWithoutLeave_ReturnsByThreeHeartbeats) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnDied("i1", this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("odd", 9, 1), this->now);
  EXPECT_EQ(this->life.known()->instance, "odd");
  for (std::uint64_t sequence = 4; sequence < 7; ++sequence) {
    this->now += milliseconds(1500);
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence), this->now);
  }
  EXPECT_EQ(this->life.known()->instance, "i1");
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, LeftBeforeReplacement_HeartbeatsDoNotReturnIt) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3, true), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 9, 1), this->now);
  this->life.OnDied("i2", this->now);
  for (std::uint64_t sequence = 4; sequence < 9; ++sequence) {
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence), this->now);
  }
  EXPECT_FALSE(this->MayRun());
}

// Guards against a server that one message with a sequence number that is far
// too high silences for good.
TEST_F(BackendLifeTest, SequenceFarTooHigh_ThreeHeartbeatsBelowAreAccepted) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1ULL << 53U), this->now);
  for (std::uint64_t sequence = 4; sequence < 6; ++sequence) {
    this->now += milliseconds(1500);
    EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence),
                                     this->now),
              HeartbeatVerdict::kStale);
  }
  this->now += milliseconds(1500);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 6), this->now);
  this->now += milliseconds(4400);
  EXPECT_TRUE(this->MayRun());
  EXPECT_EQ(this->life.known()->sequence, 6u);
}

TEST_F(BackendLifeTest, LateAndDoubledHeartbeats_ChangeNothing) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now);
  for (const std::uint64_t sequence : {7, 7, 8, 8, 7, 9, 9, 8, 8, 3}) {
    Heartbeat late = this->MakeHeartbeat("i1", 5, sequence);
    late.slots = 1;
    EXPECT_EQ(this->life.OnHeartbeat(late, this->now),
              HeartbeatVerdict::kStale);
  }
  EXPECT_EQ(this->life.known()->slots, 13);
  EXPECT_EQ(this->life.known()->sequence, 9u);
}

// Guards against a server that one message of a newer start of its name, at an
// address where nobody listens, displaces.
TEST_F(BackendLifeTest, NewerStartOfSameNameAtOtherAddress_LiveOneStays) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  Heartbeat odd = this->MakeHeartbeat("i1", 9, 4);
  odd.address = "10.0.0.1:81";
  EXPECT_EQ(this->life.OnHeartbeat(odd, this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_EQ(this->life.known()->address, "10.0.0.1:80");
  EXPECT_TRUE(this->MayRun());
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4), this->now),
            HeartbeatVerdict::kUnchanged);
}

// The same for a message with the birth time of the server itself.
TEST_F(BackendLifeTest, SameStartAtOtherAddressOrService_LiveOneStays) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  Heartbeat moved = this->MakeHeartbeat("i1", 5, 4);
  moved.address = "10.0.0.1:81";
  Heartbeat changed = this->MakeHeartbeat("i1", 5, 4);
  changed.service = {"certifier"};
  for (const Heartbeat& odd : {moved, changed}) {
    EXPECT_EQ(this->life.OnHeartbeat(odd, this->now),
              HeartbeatVerdict::kUnconfirmed);
    EXPECT_EQ(this->life.known()->address, "10.0.0.1:80");
    EXPECT_TRUE(this->MayRun());
  }
}

// Guards against a live server that one message with another service displaces,
// since its own answer to the health check seems to confirm the message.
TEST_F(BackendLifeTest, OtherServiceAtSameAddressAnswersCheck_LiveOneStays) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  for (const std::int64_t born_ms : {4, 5, 9}) {
    Heartbeat odd = this->MakeHeartbeat("i1", born_ms, 4);
    odd.service = {"certifier"};
    this->life.OnHeartbeat(odd, this->now);
    const Instant asked = this->now;
    this->now += milliseconds(2);
    EXPECT_FALSE(this->life.OnConfirmed(odd, asked, this->now));
    EXPECT_TRUE(this->MayRun());
  }
}

TEST_F(BackendLifeTest, RestartAtOtherAddressAnswersHealthCheck_TakesOver) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->now += milliseconds(500);
  Heartbeat next = this->MakeHeartbeat("i1", 9, 1);
  next.address = "10.0.0.1:81";
  this->life.OnHeartbeat(next, this->now);
  EXPECT_TRUE(
      this->life.OnConfirmed(next, this->now, this->now + milliseconds(2)));
  EXPECT_EQ(this->life.known()->address, "10.0.0.1:81");
}

TEST_F(BackendLifeTest, RestartAtOtherAddressAndOldOneDied_TakesOver) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  Heartbeat next = this->MakeHeartbeat("i1", 9, 1);
  next.address = "10.0.0.1:81";
  this->life.OnHeartbeat(next, this->now);
  EXPECT_TRUE(this->life.OnDied("i1", this->now));
  EXPECT_EQ(this->life.known()->address, "10.0.0.1:81");
  EXPECT_TRUE(this->MayRun());
}

// A newcomer that was not heard for long may be gone as well.
TEST_F(BackendLifeTest, NewcomerNotHeardForLong_DoesNotReplaceTheDead) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 9, 1), this->now);
  this->now += milliseconds(4501);
  EXPECT_FALSE(this->life.OnDied("i1", this->now));
  EXPECT_FALSE(this->MayRun());
}

// Guards against a live server that one draining message of a newer start of
// its name silences.
TEST_F(BackendLifeTest, NewerStartOfSameNameDrains_LiveOneStaysInDoubt) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  EXPECT_EQ(
      this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now),
      HeartbeatVerdict::kUnconfirmed);
  EXPECT_EQ(this->life.unconfirmed()->born_ms, 5);
  this->now += milliseconds(249);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
  // The message may be true, so it is obeyed like any leave.
  this->now += milliseconds(1);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_TRUE(this->MayRun());
  this->now += milliseconds(750);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, NewerStartDrainsAndCurrentAnswersCheck_StaysReady) {
  const Heartbeat current = this->MakeHeartbeat("i1", 5, 3);
  this->life.OnHeartbeat(current, this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  const Instant asked = this->now;
  this->now += milliseconds(900);
  EXPECT_TRUE(this->life.OnConfirmed(current, asked, this->now));
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
  EXPECT_FALSE(this->life.unconfirmed().has_value());
  // The leave of the newer start is acknowledged.
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 2), this->now),
            HeartbeatVerdict::kStale);
}

TEST_F(BackendLifeTest, NewerStartDrainsAndCheckWasSentBefore_LeaveStands) {
  const Heartbeat current = this->MakeHeartbeat("i1", 5, 3);
  this->life.OnHeartbeat(current, this->now);
  const Instant asked = this->now;
  this->now += milliseconds(1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  EXPECT_FALSE(this->life.OnConfirmed(current, asked, this->now));
  this->now += milliseconds(1000);
  EXPECT_FALSE(this->MayRun());
}

// The current start may have died before the newer one came, and its heartbeats
// be late.
TEST_F(BackendLifeTest, NewerStartDrains_LateHeartbeatsOfCurrentDoNotEndIt) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  this->PassGracePeriod();
  this->Deliver("i1", 5, 4, 9);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, NewerStartDrains_ThreeHeartbeatsSentLaterEndTheLeave) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  this->PassMaxHeartbeatDelay();
  for (std::uint64_t sequence = 4; sequence < 7; ++sequence) {
    EXPECT_FALSE(this->MayRun());
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence), this->now);
  }
  EXPECT_TRUE(this->MayRun());
}

// A leave of the current start itself is not disproved.
TEST_F(BackendLifeTest, CurrentDrainsAfterForeignLeave_LeaveIsFinal) {
  const Heartbeat current = this->MakeHeartbeat("i1", 5, 3);
  this->life.OnHeartbeat(current, this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  const Instant asked = this->now;
  this->now += milliseconds(1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4, true), this->now);
  EXPECT_FALSE(this->life.OnConfirmed(current, asked, this->now));
  this->now += milliseconds(1001);
  EXPECT_FALSE(this->MayRun());
}

// The newer start of the name may be another writer's.
TEST_F(BackendLifeTest, OlderStartOfSameNameDrains_DrainsUntilNewerIsProven) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 7, 1), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4, true), this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  this->Deliver("i1", 7, 2, 4);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  this->PassMaxHeartbeatDelay();
  this->Deliver("i1", 7, 5, 5);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

TEST_F(BackendLifeTest, OlderStartOfSameNameDrains_NewerIsReadyOnceConfirmed) {
  const Heartbeat newer = this->MakeHeartbeat("i1", 7, 1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(newer, this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 4, true), this->now);
  EXPECT_TRUE(this->life.OnConfirmed(newer, this->now, this->now));
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

// Late heartbeats, births and health checks against a leave ------------------

// Guards against an acknowledged leave that is undone by late heartbeats of the
// start before, under the same name.
TEST_F(BackendLifeTest, HeartbeatsOfFormerStartAreLate_LeaveStands) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnDied("i1", this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 2, true), this->now);
  this->PassGracePeriod();
  for (std::uint64_t beat = 1; beat < 5; ++beat) {
    this->Deliver("i1", 5, 10 * beat, 10 * beat + 4);
    EXPECT_FALSE(this->MayRun());
    EXPECT_EQ(this->life.OnHeartbeat(
                  this->MakeHeartbeat("i1", 9, 2 + beat, true), this->now),
              HeartbeatVerdict::kUnchanged);
  }
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

// The same after the leave message.
TEST_F(BackendLifeTest, HeartbeatsOfFormerStartAreLate_DeregistrationStands) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnDied("i1", this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now);
  this->life.OnLeave("i1", this->now);
  this->PassGracePeriod();
  this->Deliver("i1", 5, 4, 9);
  EXPECT_FALSE(this->MayRun());
}

// The same if the clock was set back between the two starts, so that the former
// one seems to be the newer one.
TEST_F(BackendLifeTest, FormerStartWasBornLater_OneLateHeartbeatIsNoProof) {
  const Heartbeat next = this->MakeHeartbeat("i1", 5, 1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 3), this->now);
  this->life.OnDied("i1", this->now);
  this->life.OnHeartbeat(next, this->now);
  this->now += milliseconds(1);
  ASSERT_TRUE(this->life.OnConfirmed(next, this->now, this->now));
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 2, true), this->now);
  this->PassGracePeriod();
  this->Deliver("i1", 9, 4, 9);
  EXPECT_FALSE(this->MayRun());
}

// A server that starts again after its leave, with the clock set back, lives.
TEST_F(BackendLifeTest, ClockSetBackAfterLeave_IsServedOnceConfirmed) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 3, true), this->now);
  this->life.OnLeave("i1", this->now);
  this->now += seconds(2);
  const Heartbeat next = this->MakeHeartbeat("i1", 5, 2);
  this->Deliver("i1", 5, 1, 2);
  EXPECT_EQ(this->life.unconfirmed()->born_ms, 5);
  EXPECT_TRUE(this->life.OnConfirmed(next, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, ClockSetBackAfterLeaveAndNoCheck_IsServedInTime) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 3, true), this->now);
  this->life.OnLeave("i1", this->now);
  this->Deliver("i1", 5, 1, 2);
  this->PassMaxHeartbeatDelay();
  this->Deliver("i1", 5, 3, 3);
  EXPECT_TRUE(this->MayRun());
}

// A heartbeat of a start that was never heard may be late, whatever its birth
// time says.
TEST_F(BackendLifeTest, NewerStartAfterDrain_IsReadyOnceConfirmed) {
  const Heartbeat newer = this->MakeHeartbeat("i1", 9, 1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3, true), this->now);
  this->PassGracePeriod();
  this->Deliver("i1", 9, 1, 5);
  EXPECT_FALSE(this->MayRun());
  EXPECT_TRUE(this->life.OnConfirmed(newer, this->now, this->now));
  EXPECT_EQ(this->life.State(this->now), EndpointState::kReady);
}

TEST_F(BackendLifeTest, NewerStartLongAfterDrain_BecomesReady) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3, true), this->now);
  this->PassMaxHeartbeatDelay();
  this->Deliver("i1", 9, 1, 1);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, OtherStartDrains_NewerOneIsReadyOnceConfirmed) {
  const Heartbeat newest = this->MakeHeartbeat("i1", 12, 9);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1, true), this->now);
  this->PassGracePeriod();
  this->Deliver("i1", 12, 1, 9);
  EXPECT_FALSE(this->MayRun());
  EXPECT_EQ(this->life.unconfirmed()->born_ms, 12);
  EXPECT_TRUE(this->life.OnConfirmed(newest, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
}

// The clock was set back, and the current start died unnoticed or not.
TEST_F(BackendLifeTest, UnknownOlderStartDrains_LateHeartbeatDoesNotEndIt) {
  for (const bool is_death_known : {false, true}) {
    this->life = BackendLife();
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 3), this->now);
    if (is_death_known) {
      this->life.OnDied("i1", this->now);
    }
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1, true), this->now);
    this->PassGracePeriod();
    this->Deliver("i1", 9, 4, 9);
    EXPECT_FALSE(this->MayRun());
  }
}

// Guards against a drain without effect, because late heartbeats of the former
// start have taken the place of the draining one.
TEST_F(BackendLifeTest, DrainsAfterLateHeartbeatsOfFormerStart_IsObeyed) {
  for (const std::int64_t birth_ms : {9, 3}) {
    this->life = BackendLife();
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
    this->life.OnDied("i1", this->now);
    this->Deliver("i1", birth_ms, 1, 3);
    ASSERT_EQ(this->life.known()->born_ms, birth_ms);
    this->Deliver("i1", 5, 4, 9);
    ASSERT_EQ(this->life.known()->born_ms, 5);
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", birth_ms, 4, true),
                           this->now);
    this->PassGracePeriod();
    this->Deliver("i1", 5, 10, 15);
    EXPECT_FALSE(this->MayRun());
  }
}

// A leave that is newer than the question of a health check counts, even if the
// leave before it is older.
TEST_F(BackendLifeTest, SecondStartDrainsDuringCheck_LeaveStands) {
  const Heartbeat current = this->MakeHeartbeat("i1", 9, 3);
  this->life.OnHeartbeat(current, this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1, true), this->now);
  this->now += milliseconds(1);
  const Instant asked = this->now;
  this->now += milliseconds(1);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 6, 1, true), this->now);
  EXPECT_FALSE(this->life.OnConfirmed(current, asked, this->now));
  this->PassGracePeriod();
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, Died_NewerOrConfirmedStartTakesOver) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnDied("i1", this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now);
  EXPECT_EQ(this->life.known()->born_ms, 9);
  this->life.OnDied("i1", this->now);
  const Heartbeat other = this->MakeHeartbeat("i2", 7, 2);
  this->Deliver("i2", 7, 1, 2);
  EXPECT_TRUE(this->life.OnConfirmed(other, this->now, this->now));
  EXPECT_EQ(this->life.known()->instance, "i2");
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, NewerStartAtSamePlace_TakesOverFromLiveOne) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now),
            HeartbeatVerdict::kChanged);
  EXPECT_EQ(this->life.known()->born_ms, 9);
}

// Guards against an acknowledged leave that an answer given before it undoes.
TEST_F(BackendLifeTest, LeftSinceCheckOfFormerStartWasSent_LeaveStands) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 3), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 9, 1), this->now);
  const Heartbeat former = this->MakeHeartbeat("i1", 5, 5);
  this->Deliver("i1", 5, 4, 5);
  const Instant asked = this->now;
  this->now += milliseconds(1);
  this->life.OnLeave("i1", this->now);
  EXPECT_FALSE(this->life.OnConfirmed(former, asked, this->now));
  this->PassGracePeriod();
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, UnknownBackendLeft_HeartbeatsSentLaterConfirm) {
  this->life.OnLeave("i1", this->now);
  this->Deliver("i1", 5, 1, 6);
  EXPECT_FALSE(this->MayRun());
  this->PassMaxHeartbeatDelay();
  this->Deliver("i1", 5, 7, 7);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, HeartbeatOfUnknownOlderStart_IsStale) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 9, 1), this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i0", 4, 30), this->now),
            HeartbeatVerdict::kStale);
}

TEST_F(BackendLifeTest, Died_NextHeartbeatRestoresIt) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  this->life.OnDied("i1", this->now);
  EXPECT_FALSE(this->MayRun());
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 2), this->now),
            HeartbeatVerdict::kChanged);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(BackendLifeTest, ConfirmedFirst_AcceptsCallsAndNewerHeartbeats) {
  this->life.OnConfirmed(this->MakeHeartbeat("i1", 5, 8), this->now, this->now);
  EXPECT_TRUE(this->MayRun());
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 7), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now),
            HeartbeatVerdict::kUnchanged);
}

TEST_F(BackendLifeTest, ConfirmedAfterHeartbeatOfNewerStart_IsIgnored) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i2", 9, 1, true), this->now);
  this->life.OnConfirmed(this->MakeHeartbeat("i1", 5, 8), this->now, this->now);
  EXPECT_EQ(this->life.known()->instance, "i2");
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
}

// A restarted node, which may have acknowledged the backend server's leave
// before its restart.
class RestartedNodeTest : public BackendLifeTest {
 protected:
  static constexpr std::int64_t kNodeStartMs = 100'000;

  RestartedNodeTest() {
    BackendLifeConfig config;
    config.node_started_ms = kNodeStartMs;
    this->life = BackendLife(config);
  }
};

TEST_F(RestartedNodeTest, OlderBackend_AcceptsCallsOnlyOnceConfirmed) {
  const Heartbeat heartbeat = this->MakeHeartbeat("i1", 5, 9);
  EXPECT_EQ(this->life.OnHeartbeat(heartbeat, this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_FALSE(this->MayRun());
  EXPECT_TRUE(this->life.OnConfirmed(heartbeat, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
  EXPECT_FALSE(this->life.unconfirmed().has_value());
}

TEST_F(RestartedNodeTest, YoungerBackend_AcceptsCallsAtOnce) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", kNodeStartMs + 60'000, 1),
                         this->now);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeftDuringHealthCheck_IsNotConfirmed) {
  const Heartbeat heartbeat = this->MakeHeartbeat("i1", 5, 9);
  const Instant asked = this->now;
  this->life.OnHeartbeat(heartbeat, asked);
  this->now += milliseconds(5);
  this->life.OnLeave("i1", this->now);
  EXPECT_FALSE(this->life.OnConfirmed(heartbeat, asked, this->now));
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest, HealthChecksUnanswered_ThreeHeartbeatsSentLaterDo) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 7), this->now);
  this->PassMaxHeartbeatDelay();
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 7), this->now);
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 8), this->now);
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 9), this->now);
  EXPECT_TRUE(this->MayRun());
}

// Guards against a leave that is forgotten with the former start of the node,
// and undone by late heartbeats.
TEST_F(RestartedNodeTest, HeartbeatsFromBeforeItsStart_DoNotConfirm) {
  this->Deliver("i1", 5, 7, 20);
  EXPECT_FALSE(this->MayRun());
  EXPECT_TRUE(this->life.unconfirmed().has_value());
}

// Guards against a server that is never confirmed since one message in its name
// has a sequence number that is far too high.
TEST_F(RestartedNodeTest, FirstSequenceFarTooHigh_ThreeHeartbeatsConfirm) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1ULL << 53U), this->now);
  this->PassMaxHeartbeatDelay();
  for (std::uint64_t sequence = 7; sequence < 10; ++sequence) {
    EXPECT_FALSE(this->MayRun());
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence), this->now);
  }
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, LeftBeforeFirstHeartbeat_HeartbeatsDoNotConfirm) {
  this->life.OnLeave("i1", this->now);
  for (std::uint64_t sequence = 1; sequence < 9; ++sequence) {
    this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, sequence), this->now);
  }
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest,
       SameNameRestartsAfterLeave_AcceptsCallsOnceConfirmed) {
  this->life.OnLeave("i1", this->now);
  this->now += seconds(4);
  const Heartbeat heartbeat = this->MakeHeartbeat("i1", kNodeStartMs + 4000, 1);
  EXPECT_EQ(this->life.OnHeartbeat(heartbeat, this->now),
            HeartbeatVerdict::kUnconfirmed);
  EXPECT_TRUE(this->life.OnConfirmed(heartbeat, this->now, this->now));
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, RecordedLeave_IsFinal) {
  const Heartbeat heartbeat = this->MakeHeartbeat("i1", 5, 9);
  this->life.OnHeartbeat(heartbeat, this->now);
  this->life.OnLeftEarlier(heartbeat, this->now);
  EXPECT_EQ(this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 10), this->now),
            HeartbeatVerdict::kStale);
  EXPECT_FALSE(this->life.OnConfirmed(heartbeat, this->now, this->now));
  EXPECT_FALSE(this->MayRun());
}

TEST_F(RestartedNodeTest, RecordedLeave_HeartbeatsDoNotUndoIt) {
  this->life.OnLeftEarlier(this->MakeHeartbeat("i1", 5, 9), this->now);
  this->Deliver("i1", 5, 10, 15);
  this->PassMaxHeartbeatDelay();
  this->Deliver("i1", 5, 16, 20);
  EXPECT_FALSE(this->MayRun());
  this->Deliver("i1", kNodeStartMs + 60'000, 1, 1);
  EXPECT_TRUE(this->MayRun());
}

TEST_F(RestartedNodeTest, RecordedLeaveReadLate_CallsEndAtOnce) {
  const Heartbeat heartbeat = this->MakeHeartbeat("i1", 5, 9);
  this->life.OnHeartbeat(heartbeat, this->now);
  this->life.OnConfirmed(heartbeat, this->now, this->now);
  this->life.OnLeftEarlier(heartbeat, this->now);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kDraining);
  EXPECT_FALSE(this->MayRun());
}

TEST_F(BackendLifeTest, HeartbeatTimeout_IsGoneUntilNextHeartbeat) {
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 1), this->now);
  this->now += milliseconds(4501);
  EXPECT_EQ(this->life.State(this->now), EndpointState::kGone);
  EXPECT_FALSE(this->MayRun());
  this->life.OnHeartbeat(this->MakeHeartbeat("i1", 5, 2), this->now);
  EXPECT_TRUE(this->MayRun());
}

}  // namespace
}  // namespace tanagerledge
