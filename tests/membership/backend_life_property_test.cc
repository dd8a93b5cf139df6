// Any schedule of heartbeats, leaves, late arrivals and restarts of the node:
// once a leave is acknowledged, calls run for the tail at most.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <vector>

#include "tanagerledge/backend_life.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Schedules of up to this many steps; RapidCheck's first ones are short.
constexpr int kScheduleSize = 200;

// One backend server and the node beside it. Both clocks start at 0.
class BackendWorld {
 public:
  // Time passes; the backend server speaks when it is due.
  void Pass(milliseconds time) { this->now += time; }

  void Speak() {
    if (this->left) {
      return;
    }
    this->sent.push_back(this->Word(false));
    this->Deliver(this->sent.back());
  }

  void SpeakLate() {
    if (!this->left) {
      this->sent.push_back(this->Word(false));
    }
  }

  // One heartbeat of before arrives again or at last. After a leave no start of
  // the node gets more than two, which is fewer than prove anything.
  void ArriveLate(std::size_t which) {
    constexpr int kMostLate = 2;
    if (!this->sent.empty() && (!this->left || ++this->late <= kMostLate)) {
      this->Deliver(this->sent[which % this->sent.size()]);
    }
  }

  void Drain() {
    if (!this->left) {
      this->left = true;
      this->Deliver(this->Word(true));
      this->Acknowledged();
    }
  }

  void Leave() {
    this->left = true;
    this->life.OnLeave("i1", this->Time());
    this->Acknowledged();
  }

  void Restart() {
    BackendLifeConfig config;
    config.node_started_ms = kBorn + this->now.count();
    this->life = BackendLife(config);
    this->asked.reset();
    this->late = 0;
  }

  // A health check is sent, and its answer comes later.
  void Ask() {
    if (this->life.unconfirmed() && !this->asked) {
      this->asked =
          Question{*this->life.unconfirmed(), this->Time(), !this->left};
    }
  }

  void Answer() {
    if (this->asked && this->asked->stays) {
      this->life.OnConfirmed(this->asked->told, this->asked->at, this->Time());
    }
    this->asked.reset();
  }

  bool RunsAfterItsTail() const {
    return this->acknowledged && this->Runs() &&
           this->now - *this->acknowledged >=
               BackendLifeConfig().drain_grace_period;
  }

  bool Runs() const { return this->life.MayRun({"claims"}, this->Time()); }
  bool HasLeft() const { return this->left; }

 private:
  static constexpr std::int64_t kBorn = 1'000'000;

  struct Question {
    Heartbeat told;
    Instant at{};
    bool stays = false;
  };

  Heartbeat Word(bool draining) {
    Heartbeat word;
    word.instance = "i1";
    word.born_ms = kBorn;
    word.sequence = ++this->sequence;
    word.service = {"claims"};
    word.address = "10.0.0.1:80";
    word.slots = 13;
    word.draining = draining;
    return word;
  }

  void Deliver(const Heartbeat& word) {
    this->life.OnHeartbeat(word, this->Time());
  }

  void Acknowledged() {
    if (!this->acknowledged) {
      this->acknowledged = this->now;
    }
  }

  Instant Time() const { return Instant{} + std::chrono::hours(1) + this->now; }

  BackendLife life;
  milliseconds now{0};
  std::uint64_t sequence = 0;
  bool left = false;
  int late = 0;
  std::optional<milliseconds> acknowledged;
  std::optional<Question> asked;
  std::vector<Heartbeat> sent;
};

RC_GTEST_PROP(BackendLifeProperty, AnySchedule_AcknowledgedLeaveIsFinal, ()) {
  BackendWorld world;
  const auto steps = *rc::gen::resize(
      kScheduleSize,
      rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1200))));
  for (const auto& [step, amount] : steps) {
    switch (step) {
      case 0:
      case 1:
        world.Speak();
        break;
      case 2:
        world.SpeakLate();
        break;
      case 3:
        world.ArriveLate(static_cast<std::size_t>(amount));
        break;
      case 4:
        world.Drain();
        break;
      case 5:
        world.Leave();
        break;
      case 6:
        world.Restart();
        break;
      case 7:
        world.Ask();
        break;
      case 8:
        world.Answer();
        break;
      default:
        world.Pass(milliseconds(amount));
    }
    RC_ASSERT(!world.RunsAfterItsTail());
  }
}

RC_GTEST_PROP(BackendLifeProperty, AnySchedule_BackendThatStaysIsServed, ()) {
  BackendWorld world;
  const auto steps = *rc::gen::resize(
      kScheduleSize,
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
  for (const int step : steps) {
    switch (step) {
      case 0:
        world.Speak();
        break;
      case 1:
        world.SpeakLate();
        break;
      case 2:
        world.Restart();
        break;
      case 3:
        world.Ask();
        break;
      default:
        world.Pass(milliseconds(870));
    }
  }
  world.Speak();
  world.Answer();
  world.Ask();
  world.Answer();
  RC_ASSERT(world.Runs());
}

}  // namespace
}  // namespace tanagerledge
