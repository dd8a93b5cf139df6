// Values that fibers hand to each other.

#include "src/adapters/fiber_sync.h"

#include <gtest/gtest.h>

#include "src/adapters/clock.h"

namespace tanagerledge {
namespace {

TEST(FiberSlotTest, SecondValue_DoesNotReplaceTheFirst) {
  FiberSlot<int> slot;
  slot.Give(1);
  slot.Give(2);
  EXPECT_EQ(slot.TakeUntil(Now()), 1);
}

}  // namespace
}  // namespace tanagerledge
