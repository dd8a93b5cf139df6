// Properties of Limiter that hold for any announced slots and any results of
// calls, with values at their bounds.

#include "src/admission/limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

rc::Gen<int> AnySlots() {
  return rc::gen::element(0, 1, -1, 2, 13, 1'000'000,
                          std::numeric_limits<int>::min(),
                          std::numeric_limits<int>::max());
}

// Without slots no call is admitted; with slots at least one is, so that the
// limit can rise again.
RC_GTEST_PROP(LimiterProperty,
              ValuesAtTheirBounds_LimitIsBetweenOneAndTheSlots,
              ()) {
  constexpr int kSteps = 200;
  Limiter limiter;
  Instant now = Instant{} + std::chrono::hours(1);
  int slots = 0;
  for (int step = 0; step < kSteps; ++step) {
    if (*rc::gen::inRange(0, 4) == 0) {
      slots = *AnySlots();
      limiter.OnSlots(slots);
    } else {
      limiter.OnFinished(
          *rc::gen::element(FinishKind::kOk, FinishKind::kFailed,
                            FinishKind::kShed, FinishKind::kLost),
          *rc::gen::element(0, 1, 2, 13, 1'000'000,
                            std::numeric_limits<int>::max()),
          now);
    }
    now += milliseconds(*rc::gen::element(0, 1, 250, 8000));
    RC_ASSERT(limiter.limit() <= std::max(0, slots));
    RC_ASSERT(limiter.limit() >= std::min(1, std::max(0, slots)));
  }
}

// A server that refuses nothing any more gets all its slots again.
RC_GTEST_PROP(LimiterProperty, RefusalsEnd_LimitReturnsToTheSlots, ()) {
  constexpr int kSlots = 13;
  constexpr int kCalls = 40;
  Limiter limiter;
  limiter.OnSlots(kSlots);
  Instant now = Instant{} + std::chrono::hours(1);
  const int refusals = *rc::gen::inRange(1, 20);
  for (int refusal = 0; refusal < refusals; ++refusal) {
    limiter.OnFinished(FinishKind::kShed, limiter.limit(), now);
    now += milliseconds(*rc::gen::inRange(0, 500));
  }
  RC_ASSERT(limiter.limit() < kSlots);
  for (int call = 0; call < kCalls; ++call) {
    now += std::chrono::seconds(8);
    limiter.OnFinished(FinishKind::kOk, limiter.limit(), now);
  }
  RC_ASSERT(limiter.limit() == kSlots);
}

}  // namespace
}  // namespace tanagerledge
