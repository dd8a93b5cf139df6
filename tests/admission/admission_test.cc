// Admission: what runs, what waits, what is refused.

#include "tanagerledge/admission.h"

#include <gtest/gtest.h>

#include <chrono>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

class AdmissionControllerTest : public testing::Test {
 protected:
  AdmissionControllerTest() {
    this->controller.OnSlots(1, this->now);
    this->controller.OnPolicies(
        {{{"urgent"}, {{"urgent"}, milliseconds(50), 100, 10}},
         {{"bulk"}, {{"bulk"}, milliseconds(200), 1, 10}}});
  }

  AdmissionActions Offer(std::uint64_t id, std::string rank) {
    return this->controller.Offer({id,
                                   {std::move(rank)},
                                   {"skf"},
                                   this->now,
                                   this->now + milliseconds(500),
                                   false},
                                  this->now);
  }

  AdmissionController controller;
  Instant now{milliseconds(1000)};
};

TEST_F(AdmissionControllerTest, SlotIsFree_CallRuns) {
  EXPECT_EQ(this->Offer(1, "bulk"), AdmissionActions{RunCall{1}});
}

TEST_F(AdmissionControllerTest, TwoRanksWait_MoreUrgentRunsFirst) {
  this->Offer(1, "bulk");
  EXPECT_TRUE(this->Offer(2, "bulk").empty());
  EXPECT_TRUE(this->Offer(3, "urgent").empty());
  EXPECT_EQ(this->controller.OnFinished(1, FinishKind::kOk, this->now),
            AdmissionActions{RunCall{3}});
}

TEST_F(AdmissionControllerTest, Drain_RefusesTheQueueAndLetsTheRunningEnd) {
  this->Offer(1, "bulk");
  this->Offer(2, "bulk");
  EXPECT_EQ(this->controller.OnDrain(this->now),
            (AdmissionActions{RefuseCall{2, Reason::kDraining}}));
  EXPECT_EQ(this->controller.Report(this->now).running, 1);
}

}  // namespace
}  // namespace tanagerledge
