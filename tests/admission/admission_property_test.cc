// Properties of admission control that hold for any order of events.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/admission/fair_queue.h"
#include "tanagerledge/admission.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using Random = std::mt19937_64;

const std::vector<RankName> kRanks = {{"urgent"}, {"normal"}, {"bulk"}};

std::map<RankName, RankPolicy> Policies(const std::vector<int>& floors) {
  std::map<RankName, RankPolicy> policies;
  for (std::size_t index = 0; index < kRanks.size(); ++index) {
    policies[kRanks[index]] = {kRanks[index], milliseconds(100),
                               100 - 10 * static_cast<int>(index),
                               floors[index]};
  }
  return policies;
}

// Any order of events -------------------------------------------------------

// Sends random events to a controller and checks each action that it returns.
class ScheduleChecker {
 public:
  explicit ScheduleChecker(std::uint64_t seed) : random(seed) {
    this->controller.OnPolicies(Policies({10, 20, 30}));
    this->ChangeSlots();
  }

  void Step() {
    this->now += std::chrono::microseconds(this->random() % 3'000);
    switch (this->random() % 12) {
      case 0:
        this->ChangeSlots();
        break;
      case 1:
        this->Apply(this->controller.OnTick(this->now));
        break;
      case 2:
        this->Cancel();
        break;
      case 3:
      case 4:
      case 5:
      case 6:
        this->FinishOne();
        break;
      default:
        this->Offer();
    }
  }

  void Drain() {
    const std::size_t running_before = this->running.size();
    this->Apply(this->controller.OnDrain(this->now));
    this->draining = true;
    RC_ASSERT(this->waiting.empty());
    RC_ASSERT(this->running.size() == running_before);
    RC_ASSERT(this->controller.Report(this->now).queued == 0);
  }

  void FinishAll() {
    while (!this->running.empty()) {
      this->FinishOne();
    }
    RC_ASSERT(this->waiting.empty());
    RC_ASSERT(this->controller.Report(this->now).running == 0);
  }

 private:
  void ChangeSlots() {
    this->slots = 1 + static_cast<int>(this->random() % 8);
    this->controller.OnSlots(this->slots, this->now);
  }

  void Offer() {
    AdmissionRequest request;
    request.id = ++this->last_id;
    request.rank = kRanks[this->random() % kRanks.size()];
    request.client_account = {std::to_string(this->random() % 4)};
    request.arrived = this->now;
    request.deadline = this->now + milliseconds(this->random() % 60);
    request.suspect = this->random() % 8 == 0;
    this->waiting[request.id] = request;
    this->Apply(this->controller.Offer(request, this->now));
  }

  void Cancel() {
    const std::uint64_t id = 1 + this->random() % (this->last_id + 1);
    this->Apply(this->controller.OnCancel(id, this->now));
    RC_ASSERT(!this->waiting.contains(id));
  }

  void FinishOne() {
    if (this->running.empty()) {
      return;
    }
    auto call = this->running.begin();
    std::advance(call, this->random() % this->running.size());
    const std::uint64_t id = call->first;
    this->running.erase(call);
    const auto kind = static_cast<FinishKind>(this->random() % 4);
    this->Apply(this->controller.OnFinished(id, kind, this->now));
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      std::visit([this](const auto& each) { this->Check(each); }, action);
    }
  }

  void Check(const RunCall& run) {
    RC_ASSERT(!this->draining);
    RC_ASSERT(this->waiting.contains(run.id));
    const AdmissionRequest request = this->waiting.at(run.id);
    RC_ASSERT(request.deadline > this->now);
    this->waiting.erase(run.id);
    this->running[run.id] = request;
    const int limit = this->controller.Report(this->now).limit;
    RC_ASSERT(static_cast<int>(this->running.size()) <=
              std::min(limit, this->slots));
    RC_ASSERT(std::ranges::count_if(this->running, [](const auto& entry) {
                return entry.second.suspect;
              }) <= 1);
  }

  void Check(const RefuseCall& refuse) {
    RC_ASSERT(this->waiting.contains(refuse.id));
    this->waiting.erase(refuse.id);
  }

  Random random;
  AdmissionController controller;
  Instant now{std::chrono::hours(1)};
  int slots = 0;
  bool draining = false;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, AdmissionRequest> waiting;
  std::map<std::uint64_t, AdmissionRequest> running;
};

RC_GTEST_PROP(AdmissionPropertyTest,
              AnyOrderOfEvents_EachCallRunsOrIsRefusedOnceWithinTheLimit,
              (std::uint64_t seed)) {
  ScheduleChecker checker(seed);
  for (int step = 0; step < 400; ++step) {
    checker.Step();
  }
  checker.Drain();
  for (int step = 0; step < 50; ++step) {
    checker.Step();
  }
  checker.FinishAll();
}

// Shares under overload -----------------------------------------------------

// Offers calls of several sources at fixed mean rates. Each call holds its slot
// for a random time. Measures the slot time that each source gets.
class Flood {
 public:
  struct Source {
    RankName rank;
    ClientAccount client_account;
    double demand_slots = 0;  // Slots needed for all its calls.
    std::chrono::duration<double> work{0};
    std::chrono::duration<double> served{0};
    Instant next{};
  };

  Flood(int slots, std::uint64_t seed) : random(seed) {
    this->controller.OnSlots(slots, this->now);
  }

  void Run(std::chrono::seconds time) {
    const Instant end = this->now + time;
    Instant tick = this->now;
    for (Source& source : this->sources) {
      source.next = this->now;
    }
    while (this->now < end) {
      const auto source =
          std::ranges::min_element(this->sources, {}, &Source::next);
      this->now = std::min({source->next, tick, this->NextEnd()});
      if (this->now == tick) {
        tick += milliseconds(5);
        this->Apply(this->controller.OnTick(this->now));
      } else if (this->now == source->next) {
        this->Offer(*source);
      } else {
        this->Finish();
      }
    }
  }

  AdmissionController controller;
  std::vector<Source> sources;

 private:
  struct RunningCall {
    std::uint64_t id = 0;
    Instant start{};
  };

  Instant NextEnd() const {
    return this->ends.empty() ? Instant::max() : this->ends.begin()->first;
  }

  Instant::duration Draw(std::chrono::duration<double> mean) {
    std::exponential_distribution<double> draw(1 / mean.count());
    return std::chrono::duration_cast<Instant::duration>(
        std::chrono::duration<double>(draw(this->random)));
  }

  void Offer(Source& source) {
    source.next = this->now + this->Draw(source.work / source.demand_slots);
    const std::uint64_t id = ++this->last_id;
    this->source_by_call[id] = &source;
    this->Apply(this->controller.Offer(
        {id, source.rank, source.client_account, this->now,
         this->now + milliseconds(300), false},
        this->now));
  }

  void Finish() {
    const RunningCall call = this->ends.begin()->second;
    this->ends.erase(this->ends.begin());
    this->source_by_call.at(call.id)->served += this->now - call.start;
    this->Apply(
        this->controller.OnFinished(call.id, FinishKind::kOk, this->now));
  }

  void Apply(const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* run = std::get_if<RunCall>(&action)) {
        const auto duration =
            this->Draw(this->source_by_call.at(run->id)->work);
        this->ends.emplace(this->now + duration,
                           RunningCall{run->id, this->now});
      }
    }
  }

  Random random;
  Instant now{std::chrono::hours(1)};
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, Source*> source_by_call;
  std::multimap<Instant, RunningCall> ends;
};

constexpr std::chrono::seconds kFloodTime{4};

RC_GTEST_PROP(AdmissionPropertyTest,
              AnyRankFloods_EveryRankGetsItsFloor,
              (std::uint64_t seed)) {
  const int slots = *rc::gen::inRange(4, 24);
  const auto floors =
      *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(5, 30));
  const auto flooder = *rc::gen::inRange<std::size_t>(0, 3);
  Flood flood(slots, seed);
  flood.controller.OnPolicies(Policies(floors));
  for (std::size_t index = 0; index < kRanks.size(); ++index) {
    const auto work = milliseconds(*rc::gen::inRange(2, 20));
    const double demand_slots = index == flooder ? 5 * slots : 0.5 * slots;
    flood.sources.push_back({kRanks[index], {"skf"}, demand_slots, work});
  }
  flood.Run(kFloodTime);
  for (std::size_t index = 0; index < kRanks.size(); ++index) {
    const std::chrono::duration<double> floor =
        kFloodTime * (slots * floors[index] / 100.0);
    RC_ASSERT(flood.sources[index].served > 0.95 * floor);
  }
}

RC_GTEST_PROP(AdmissionPropertyTest,
              OneClientAccountFloods_OthersGetTheirFairShare,
              (std::uint64_t seed)) {
  const int slots = *rc::gen::inRange(4, 24);
  const int others = *rc::gen::inRange(1, 5);
  Flood flood(slots, seed);
  flood.controller.OnPolicies(Policies({10, 10, 10}));
  const double fair_slots = static_cast<double>(slots) / (others + 1);
  const auto work = milliseconds(*rc::gen::inRange(2, 20));
  flood.sources.push_back({kRanks[1], {"flooder"}, 10.0 * slots, work});
  for (int index = 0; index < others; ++index) {
    const ClientAccount name{"rival" + std::to_string(index)};
    flood.sources.push_back({kRanks[1], name, 2 * fair_slots, work});
  }
  flood.Run(kFloodTime);
  for (const Flood::Source& source : flood.sources) {
    RC_ASSERT(source.served > 0.9 * fair_slots * kFloodTime);
  }
}

// Memory --------------------------------------------------------------------

TEST(FairQueueTest, ManyClientAccounts_MemoryStaysBounded) {
  FairQueue queue;
  for (int index = 0; index < 100'000; ++index) {
    CallList call(1);
    queue.Push({std::to_string(index)}, call);
    CallList dequeued;
    queue.Dequeue(queue.Next(), dequeued, milliseconds(1));
    queue.Finish(dequeued.front(), milliseconds(1));
  }
  EXPECT_TRUE(queue.empty());
  EXPECT_LE(queue.client_accounts(), 1'100u);
}

}  // namespace
}  // namespace tanagerledge
