// FiberPromise: values passed between fibers.

#include "src/adapters/fiber_sync.h"

#include <gtest/gtest.h>

#include "src/adapters/clock.h"

namespace tanagerledge {
namespace {

TEST(FiberPromiseTest, SecondValue_DoesNotReplaceTheFirst) {
  FiberPromise<int> promise;
  promise.SetValue(1);
  promise.SetValue(2);
  EXPECT_EQ(promise.WaitUntil(Now()), 1);
}

}  // namespace
}  // namespace tanagerledge
