// IoLoop: timers wake fibers, work can come from other threads, and Stop ends
// the loop.

#include "src/adapters/fiber_io.h"

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <thread>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

class FiberIoTest : public testing::Test {
 protected:
  void RunUntilStopped() { this->loop.Run(); }

  IoLoop loop;
};

TEST_F(FiberIoTest, AwaitedTimerExpires_FiberResumes) {
  bool resumed = false;
  this->loop.Spawn([&] {
    boost::asio::steady_timer timer(this->loop.context(), milliseconds(5));
    const auto error =
        AwaitError([&](auto handler) { timer.async_wait(std::move(handler)); });
    resumed = !error;
    this->loop.Stop();
  });
  this->RunUntilStopped();
  EXPECT_TRUE(resumed);
}

TEST_F(FiberIoTest, BusyFiber_DoesNotStarveTimers) {
  bool fired = false;
  this->loop.Spawn([&] {
    while (!fired) {
      boost::this_fiber::yield();
    }
    this->loop.Stop();
  });
  this->loop.Spawn([&] {
    boost::asio::steady_timer timer(this->loop.context(), milliseconds(5));
    AwaitError([&](auto handler) { timer.async_wait(std::move(handler)); });
    fired = true;
  });
  this->RunUntilStopped();
  EXPECT_TRUE(fired);
}

TEST_F(FiberIoTest, StopDuringSleep_EndsTheSleepEarly) {
  bool slept_full_time = true;
  this->loop.Spawn(
      [&] { slept_full_time = this->loop.SleepFor(std::chrono::hours(1)); });
  this->loop.Spawn([&] { this->loop.Stop(); });
  this->RunUntilStopped();
  EXPECT_FALSE(slept_full_time);
}

TEST_F(FiberIoTest, SpawnFromAnotherThread_Runs) {
  std::thread other([&] { this->loop.Spawn([&] { this->loop.Stop(); }); });
  this->RunUntilStopped();
  other.join();
  SUCCEED();
}

}  // namespace
}  // namespace tanagerledge
