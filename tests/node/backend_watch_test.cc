// Tests that BackendWatch remembers which instance was asked to drain.

#include "src/node/backend_watch.h"

#include <gtest/gtest.h>

namespace tanagerledge {
namespace {

using std::chrono::seconds;

class BackendWatchTest : public ::testing::Test {
 protected:
  void Announce(const std::string& instance) {
    Announcement announcement;
    announcement.service = {"claims"};
    announcement.backend = {"10.0.0.1:80"};
    announcement.instance = instance;
    announcement.slots = 13;
    announcement.state = EndpointState::kReady;
    this->watch.OnAnnounced(announcement, this->now);
  }

  EndpointState State() const { return this->watch.Current(this->now)->state; }

  BackendWatch watch;
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(BackendWatchTest,
       DrainedBeforeFirstAnnouncement_FirstInstanceIsDraining) {
  this->watch.OnDrain();
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest,
       AnnouncementExpiredAfterDrain_SameInstanceIsStillDraining) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->now += seconds(6);
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest, TakenForDeadAfterDrain_SameInstanceIsStillDraining) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->watch.OnDied();
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest, NextInstanceAfterDrain_IsReady) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->Announce("i2");
  EXPECT_EQ(this->State(), EndpointState::kReady);
}

TEST_F(BackendWatchTest, UnnamedInstanceExpiredAfterDrain_CountsAsNewInstance) {
  this->Announce("");
  this->watch.OnDrain();
  this->Announce("");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
  this->now += seconds(6);
  this->Announce("");
  EXPECT_EQ(this->State(), EndpointState::kReady);
}

}  // namespace
}  // namespace tanagerledge
