// What a node by release notes remembers of a drain.

#include "src/node/backend_watch.h"

#include <gtest/gtest.h>

namespace tanagerledge {
namespace {

using std::chrono::seconds;

class BackendWatchTest : public ::testing::Test {
 protected:
  void Announce(const std::string& instance) {
    Announcement word;
    word.service = {"claims"};
    word.backend = {"10.0.0.1:80"};
    word.instance = instance;
    word.slots = 13;
    word.state = EndpointState::kReady;
    this->watch.OnAnnounced(word, this->now);
  }

  EndpointState State() const { return this->watch.Current(this->now)->state; }

  BackendWatch watch;
  Instant now = Instant{} + std::chrono::hours(1);
};

TEST_F(BackendWatchTest, DrainBeforeAnyAnnouncement_IsRemembered) {
  this->watch.OnDrain();
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest, SilentAfterADrain_ComesBackDraining) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->now += seconds(6);
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest, TakenForDeadAfterADrain_ComesBackDraining) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->watch.OnDied();
  this->Announce("i1");
  EXPECT_EQ(this->State(), EndpointState::kDraining);
}

TEST_F(BackendWatchTest, NextStartAfterADrain_IsReady) {
  this->Announce("i1");
  this->watch.OnDrain();
  this->Announce("i2");
  EXPECT_EQ(this->State(), EndpointState::kReady);
}

TEST_F(BackendWatchTest, NamelessStartSilentAfterADrain_CountsAsANewOne) {
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
