// Heartbeats that are complete but extreme, sent to a real process.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <iterator>
#include <thread>
#include <vector>

#include "src/adapters/clock.h"
#include "tests/process/node_process_test.h"

namespace tanagerledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HostileHeartbeatTest : public NodeProcessTest {
 protected:
  // A start that is not older than the node's own, which would need a proof in
  // any case.
  static std::int64_t BornLater() {
    constexpr std::int64_t kAfterNodeMs = 30'000;
    return UnixMilliseconds() + kAfterNodeMs;
  }

  // Makes calls for longer than the time after which a silent server counts as
  // gone.
  void ExpectAllServed() {
    int made = 0;
    int served = 0;
    const Instant until = Now() + 5 * kHeartbeatPeriod;
    while (Now() < until) {
      ++made;
      served += this->CallStatus() == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, made);
  }
};

// Guards against the end of the process when a heartbeat has no slots: calls
// are rejected at once until a heartbeat has some.
TEST_F(HostileHeartbeatTest, NoSlots_ProcessLivesAndServesWithTheNextSlots) {
  this->StopHeartbeats();
  for (int i = 0; i < 20; ++i) {
    json none = this->NextHeartbeat();
    none["slots"] = 0;
    ASSERT_EQ(this->SendToNode(none.dump()), 200) << this->ReadLog();
    const Instant began = Now();
    const HttpResponse rejected = this->Call();
    ASSERT_EQ(rejected.status, 503) << this->ReadLog();
    EXPECT_FALSE(rejected.Header("Retry-After").empty());
    EXPECT_LT(Now() - began, milliseconds(500));
  }
  EXPECT_EQ(this->SendToNode(this->NextHeartbeat().dump()), 200);
  EXPECT_EQ(this->CallStatus(), 200);
}

// The same while calls run and wait: those that run end well.
TEST_F(HostileHeartbeatTest, LastSlotTakenAway_RunningCallsAreAnswered) {
  this->StopHeartbeats();
  json heartbeat = this->NextHeartbeat();
  heartbeat["slots"] = 2;
  ASSERT_EQ(this->SendToNode(heartbeat.dump()), 200);
  this->backend.work = milliseconds(600);
  const int began = this->backend.began;
  std::vector<std::future<int>> statuses;
  for (int call = 0; call < 6; ++call) {
    statuses.push_back(this->CallAsync());
  }
  ASSERT_TRUE(this->Eventually([&] { return this->backend.began == began + 2; },
                               seconds(2)));
  heartbeat = this->NextHeartbeat();
  heartbeat["slots"] = 0;
  ASSERT_EQ(this->SendToNode(heartbeat.dump()), 200);
  std::vector<int> results;
  std::ranges::transform(statuses, std::back_inserter(results),
                         [](std::future<int>& each) { return each.get(); });
  EXPECT_EQ(std::ranges::count(results, 200), 2);
  EXPECT_EQ(std::ranges::count(results, 503), 4);
  EXPECT_TRUE(this->IsRunning()) << this->ReadLog();
}

// Guards against a server that is silenced for good by one message whose
// sequence number is far too high.
TEST_F(HostileHeartbeatTest, SequenceFarTooHigh_ServerIsServedOn) {
  json odd = this->NextHeartbeat();
  odd["sequence"] = std::int64_t{1} << 53;
  EXPECT_EQ(this->SendToNode(odd.dump()), 200);
  this->ExpectAllServed();
}

// Guards against a server that is displaced by one message of a newer start of
// its name, at an address where nobody listens.
TEST_F(HostileHeartbeatTest, NewerStartWhereNobodyListens_ServerIsServedOn) {
  json odd = this->NextHeartbeat();
  odd["born"] = BornLater();
  odd["address"] = "127.0.0.1:1";
  EXPECT_EQ(this->SendToNode(odd.dump()), 200);
  this->ExpectAllServed();
}

// A true restart of the same name at another address, under load: callers find
// it at once.
TEST_F(HostileHeartbeatTest, RestartAtOtherAddress_CallsRunThere) {
  constexpr int kCallers = 8;
  constexpr milliseconds kSettled{500};
  TestBackend& next = this->AddBackend();
  std::atomic<bool> ended{false};
  std::atomic<Instant> settled_at{Instant::max()};
  std::atomic<int> failed{0};
  std::atomic<int> failed_later{0};
  std::vector<std::future<void>> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [&] {
      while (!ended) {
        const Instant began = Now();
        const bool lost = this->CallStatus() != 200;
        failed += lost ? 1 : 0;
        failed_later += lost && began > settled_at.load() ? 1 : 0;
      }
    }));
  }
  std::this_thread::sleep_for(kSettled);
  this->StopHeartbeats();
  json heartbeat = this->NextHeartbeat();
  heartbeat["born"] = BornLater();
  heartbeat["address"] = next.address;
  heartbeat["sequence"] = 1;
  this->loop.Spawn([this] { this->backend.server.Close(); });
  settled_at = Now() + kSettled;
  EXPECT_EQ(this->SendToNode(heartbeat.dump()), 200);
  // The backend server counts as gone after three periods without a heartbeat.
  std::this_thread::sleep_for(kSettled + kHeartbeatPeriod);
  ended = true;
  std::ranges::for_each(callers, [](auto& caller) { caller.wait(); });
  EXPECT_EQ(failed_later, 0);
  EXPECT_FALSE(next.Ran().empty());
  this->RecordProperty("failed", failed);
  std::cout << failed << " calls failed around the restart\n";
}

// Guards against a process that ends without a line in its log.
TEST_F(HostileHeartbeatTest, EndedByASignalOfItsOwn_LogsTheSignal) {
  this->process->Signal(SIGSEGV);
  ASSERT_TRUE(
      this->Eventually([this] { return !this->IsRunning(); }, seconds(2)));
  EXPECT_EQ(this->process->Reap(), -SIGSEGV);
  EXPECT_NE(this->ReadLog().find("\"event\":\"ended by signal\",\"signal\":"
                                 "\"SIGSEGV\",\"last_activity\":"),
            std::string::npos);
}

}  // namespace
}  // namespace tanagerledge
