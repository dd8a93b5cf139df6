// Replays of load at its worst, in virtual time: one backend server of 13
// slots, what its callers get by the queue, and what they would get first come
// first served.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "tanagerledge/slot_queue.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 13;

// One kind of request, as the platform's sheets tell it.
struct Kind {
  std::string name;
  int priority = 0;
  bool nested = false;
  double per_second = 0;
  milliseconds work{0};
  milliseconds target{0};
  milliseconds deadline{0};
  double worth = 0;
  double late_worth = 0;
  double burst = 1;  // Times its rate from second 2 to second 6.
};

struct Arrival {
  Instant at{};
  const Kind* kind = nullptr;
  milliseconds work{0};
};

struct Result {
  double earned = 0;
  double owed = 0;
  int served = 0;
  int asked = 0;
  std::vector<milliseconds> refusals;  // Time from arrival to each.

  double Share() const { return this->earned / this->owed; }
  milliseconds RefusalP99() {
    std::ranges::sort(this->refusals);
    return this->refusals.empty()
               ? milliseconds(0)
               : this->refusals[this->refusals.size() * 99 / 100];
  }
};
using Results = std::map<std::string, Result>;

std::vector<Arrival> Load(const std::vector<Kind>& kinds) {
  std::mt19937_64 random(20261204);
  std::vector<Arrival> all;
  for (const Kind& kind : kinds) {
    double at_ms = 0;
    while (at_ms < 8'000) {
      const bool burst = at_ms > 2'000 && at_ms < 6'000;
      const double rate = kind.per_second * (burst ? kind.burst : 1);
      at_ms += std::exponential_distribution<>(rate / 1000)(random);
      const double work = std::lognormal_distribution<>(-0.125, 0.5)(random) *
                          static_cast<double>(kind.work.count());
      all.push_back({Instant{} + std::chrono::hours(1) +
                         milliseconds(static_cast<int>(at_ms)),
                     &kind, milliseconds(std::max(1, static_cast<int>(work)))});
    }
  }
  std::ranges::sort(all, {}, &Arrival::at);
  return all;
}

void Count(Result& result, const Arrival& call, Instant end) {
  const auto took = end - call.at;
  if (took <= call.kind->deadline) {
    ++result.served;
    result.earned +=
        took <= call.kind->target ? call.kind->worth : call.kind->late_worth;
  }
}

class SlotQueueReplayTest : public ::testing::Test {
 protected:
  // The queue under test.
  static Results ByQueue(const std::vector<Arrival>& load) {
    Results results;
    SlotQueue queue;
    using End = std::pair<Instant, std::uint64_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    queue.OnSlots(kSlots, load.front().at);
    const auto carry = [&](const SlotActions& actions, Instant now) {
      for (const SlotAction& action : actions) {
        if (const auto* start = std::get_if<StartCall>(&action)) {
          ends.emplace(now + load[start->id].work, start->id);
        } else {
          const Arrival& call = load[std::get<RejectCall>(action).id];
          Result& result = results[call.kind->name];
          result.refusals.push_back(
              std::chrono::duration_cast<milliseconds>(now - call.at));
        }
      }
    };
    const auto finish_until = [&](Instant until) {
      while (!ends.empty() && ends.top().first <= until) {
        const auto [at, id] = ends.top();
        ends.pop();
        Count(results[load[id].kind->name], load[id], at);
        carry(queue.OnFinished(id, FinishKind::kOk, at), at);
      }
    };
    Instant tick = load.front().at;
    for (std::uint64_t id = 0; id < load.size(); ++id) {
      const Arrival& call = load[id];
      for (; tick < call.at; tick += milliseconds(20)) {
        finish_until(tick);
        carry(queue.OnTick(tick), tick);
      }
      finish_until(call.at);
      Result& result = results[call.kind->name];
      ++result.asked;
      result.owed += call.kind->worth;
      SlotRequest request;
      request.id = id;
      request.work = call.kind->name;
      request.priority = call.kind->priority;
      request.nested = call.kind->nested;
      request.target = call.at + call.kind->target;
      request.deadline = call.at + call.kind->deadline;
      carry(queue.Offer(request, call.at), call.at);
    }
    finish_until(load.back().at + std::chrono::seconds(5));
    return results;
  }

  // First come first served, dropped only when the deadline has passed.
  static Results ByArrival(const std::vector<Arrival>& load) {
    Results results;
    std::vector<Instant> slots(kSlots, load.front().at);
    for (const Arrival& call : load) {
      Result& result = results[call.kind->name];
      ++result.asked;
      result.owed += call.kind->worth;
      const auto slot = std::ranges::min_element(slots);
      const Instant start = std::max(*slot, call.at);
      if (start - call.at >= call.kind->deadline) {
        continue;
      }
      *slot = start + call.work;
      Count(result, call, *slot);
    }
    return results;
  }

  static std::vector<Kind> HistoriesAtTwiceTheSlots() {
    return {{"history", 1, false, 145, milliseconds(90), milliseconds(300),
             milliseconds(800), 0.82, 0.082, 2.0}};
  }

  static double Total(const Results& results) {
    double earned = 0;
    double owed = 0;
    for (const auto& [name, result] : results) {
      earned += result.earned;
      owed += result.owed;
    }
    return earned / owed;
  }
};

TEST_F(SlotQueueReplayTest, LongWorkBurstsToTwice_CallsOfBackendsStayInTime) {
  // One of four backend servers of a certifier: certificates burst, checks that
  // other services' requests wait for share its slots.
  const std::vector<Kind> kinds = {
      {"certify", 2, false, 60, milliseconds(120), milliseconds(600),
       milliseconds(2000), 0.86, 0.65, 2.2},
      {"check", 1, true, 85, milliseconds(24), milliseconds(80),
       milliseconds(250), 1, 0, 1}};
  const auto load = Load(kinds);
  Results queue = ByQueue(load);
  Results arrival = ByArrival(load);
  EXPECT_GT(queue["check"].Share(), 0.97);
  EXPECT_LT(arrival["check"].Share(), 0.7);
  EXPECT_GT(Total(queue), Total(arrival) + 0.1);
}

TEST_F(SlotQueueReplayTest, LessUrgentKindBursts_UrgentKindKeepsItsWorth) {
  const std::vector<Kind> kinds = {
      {"claim", 0, false, 70, milliseconds(60), milliseconds(200),
       milliseconds(1200), 4.9, 0.98, 1},
      {"lookup", 1, false, 90, milliseconds(80), milliseconds(250),
       milliseconds(1500), 0.86, 0.43, 2.0}};
  const auto load = Load(kinds);
  Results queue = ByQueue(load);
  Results arrival = ByArrival(load);
  EXPECT_GT(queue["claim"].Share(), 0.97);
  EXPECT_LT(arrival["claim"].Share(), 0.8);
  EXPECT_GT(Total(queue), Total(arrival) + 0.1);
}

TEST_F(SlotQueueReplayTest, OneKindAtTwiceTheSlots_UsefulWorkAndEarlyRefusals) {
  const auto kinds = HistoriesAtTwiceTheSlots();
  const auto load = Load(kinds);
  Results queue = ByQueue(load);
  Results arrival = ByArrival(load);
  EXPECT_GT(Total(queue), Total(arrival) + 0.2);
}

// After a loss of power all backend servers are cold and take twice the time: a
// call that starts at once meets its target only mostly. Played on sprinklo's
// trouble-1, 745 of 1,854 calls in 2 s were late when all of them counted as
// late and waited in one line.
TEST_F(SlotQueueReplayTest, WorkIsLongForItsTarget_StillServedInTime) {
  const std::vector<Kind> kinds = {{"history", 1, false, 95, milliseconds(180),
                                    milliseconds(300), milliseconds(800), 0.82,
                                    0.082, 1.0}};
  const auto load = Load(kinds);
  Results queue = ByQueue(load);
  // 13 slots have room for three quarters of it, and one call in ten of those
  // takes longer than its target by itself.
  EXPECT_GT(queue["history"].Share(), 0.45);
}

// The target is the issue's: 99 in 100 refusals within an eighth of the kind's
// target time, since a caller that is refused late can't come back in time.
TEST_F(SlotQueueReplayTest, OneKindAtTwiceTheSlots_RefusedWithinAnEighth) {
  const auto kinds = HistoriesAtTwiceTheSlots();
  Results queue = ByQueue(Load(kinds));
  EXPECT_LE(queue["history"].RefusalP99(), milliseconds(300 / 8));
}

}  // namespace
}  // namespace tanagerledge
