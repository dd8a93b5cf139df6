// Values that fibers hand to each other.

#include "src/adapters/fiber_sync.h"

#include <gtest/gtest.h>

#include "src/adapters/clock.h"

namespace tanagerledge {
namespace {

TEST(FiberSlotTest, SecondValue_DoesNotReplaceTheFirst) {
  FiberPromise<int> slot;
  slot.SetValue(1);
  slot.SetValue(2);
  EXPECT_EQ(slot.WaitUntil(Now()), 1);
}

}  // namespace
}  // namespace tanagerledge
