// Tests random schedules of heartbeats, leaves, late messages and node
// restarts: after an acknowledged leave, calls are accepted during the grace
// period only.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "tanagerledge/backend_life.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// Maximum number of steps in a schedule. RapidCheck starts with short
// schedules.
constexpr int kMaxScheduleSteps = 200;
// Unix time of the backend server's start.
constexpr std::int64_t kBirthMs = 1'000'000;

// One backend server and its node. Both clocks start at 0.
class BackendSimulation {
 public:
  void AdvanceTime(milliseconds time) { this->now += time; }

  void SendHeartbeat() {
    if (this->has_left) {
      return;
    }
    this->sent.push_back({this->MakeHeartbeat(false), this->now});
    this->Deliver(this->sent.back().heartbeat);
  }

  void DelayHeartbeat() {
    if (!this->has_left) {
      this->sent.push_back({this->MakeHeartbeat(false), this->now});
    }
  }

  // Delivers an earlier heartbeat, which may be a duplicate or a delayed one.
  void DeliverOldHeartbeat(std::size_t which) {
    std::erase_if(this->sent, [this](const SentHeartbeat& each) {
      return this->now - each.at >= BackendLifeConfig().max_heartbeat_delay;
    });
    if (!this->sent.empty()) {
      this->Deliver(this->sent[which % this->sent.size()].heartbeat);
    }
  }

  void Drain() {
    if (!this->has_left) {
      this->has_left = true;
      this->Deliver(this->MakeHeartbeat(true));
      this->RecordAcknowledgement();
    }
  }

  void Leave() {
    this->has_left = true;
    this->life.OnLeave("i1", this->Time());
    this->RecordAcknowledgement();
  }

  void RestartNode() {
    BackendLifeConfig config;
    config.node_started_ms = kBirthMs + this->now.count();
    this->life = BackendLife(config);
    this->health_check.reset();
  }

  // Sends a health check. FinishHealthCheck delivers its answer later.
  void StartHealthCheck() {
    if (this->life.unconfirmed() && !this->health_check) {
      this->health_check =
          HealthCheck{*this->life.unconfirmed(), this->Time(), !this->has_left};
    }
  }

  void FinishHealthCheck() {
    if (this->health_check && this->health_check->will_stay) {
      this->life.OnConfirmed(this->health_check->heartbeat,
                             this->health_check->started, this->Time());
    }
    this->health_check.reset();
  }

  bool AcceptsCallsAfterGracePeriod() const {
    return this->acknowledged_at && this->AcceptsCalls() &&
           this->now - *this->acknowledged_at >=
               BackendLifeConfig().drain_grace_period;
  }

  bool AcceptsCalls() const {
    return this->life.MayRun({"claims"}, this->Time());
  }
  bool HasLeft() const { return this->has_left; }

 private:
  struct SentHeartbeat {
    Heartbeat heartbeat;
    milliseconds at{0};
  };
  struct HealthCheck {
    Heartbeat heartbeat;
    Instant started{};
    bool will_stay = false;
  };

  Heartbeat MakeHeartbeat(bool draining) {
    Heartbeat heartbeat;
    heartbeat.instance = "i1";
    heartbeat.born_ms = kBirthMs;
    heartbeat.sequence = ++this->sequence;
    heartbeat.service = {"claims"};
    heartbeat.address = "10.0.0.1:80";
    heartbeat.slots = 13;
    heartbeat.draining = draining;
    return heartbeat;
  }

  void Deliver(const Heartbeat& heartbeat) {
    this->life.OnHeartbeat(heartbeat, this->Time());
  }

  void RecordAcknowledgement() {
    if (!this->acknowledged_at) {
      this->acknowledged_at = this->now;
    }
  }

  Instant Time() const { return Instant{} + std::chrono::hours(1) + this->now; }

  BackendLife life;
  milliseconds now{0};
  std::uint64_t sequence = 0;
  bool has_left = false;
  std::optional<milliseconds> acknowledged_at;
  std::optional<HealthCheck> health_check;
  std::vector<SentHeartbeat> sent;
};

RC_GTEST_PROP(BackendLifeProperty, AnySchedule_AcknowledgedLeaveIsFinal, ()) {
  BackendSimulation simulation;
  const auto steps = *rc::gen::resize(
      kMaxScheduleSteps,
      rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1200))));
  for (const auto& [step, amount] : steps) {
    switch (step) {
      case 0:
      case 1:
        simulation.SendHeartbeat();
        break;
      case 2:
        simulation.DelayHeartbeat();
        break;
      case 3:
        simulation.DeliverOldHeartbeat(static_cast<std::size_t>(amount));
        break;
      case 4:
        simulation.Drain();
        break;
      case 5:
        simulation.Leave();
        break;
      case 6:
        simulation.RestartNode();
        break;
      case 7:
        simulation.StartHealthCheck();
        break;
      case 8:
        simulation.FinishHealthCheck();
        break;
      default:
        simulation.AdvanceTime(milliseconds(amount));
    }
    RC_ASSERT(!simulation.AcceptsCallsAfterGracePeriod());
  }
}

RC_GTEST_PROP(BackendLifeProperty,
              AnySchedule_BackendThatStaysAcceptsCalls,
              ()) {
  BackendSimulation simulation;
  const auto steps = *rc::gen::resize(
      kMaxScheduleSteps,
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
  for (const int step : steps) {
    switch (step) {
      case 0:
        simulation.SendHeartbeat();
        break;
      case 1:
        simulation.DelayHeartbeat();
        break;
      case 2:
        simulation.RestartNode();
        break;
      case 3:
        simulation.StartHealthCheck();
        break;
      default:
        simulation.AdvanceTime(milliseconds(870));
    }
  }
  simulation.SendHeartbeat();
  simulation.FinishHealthCheck();
  simulation.StartHealthCheck();
  simulation.FinishHealthCheck();
  RC_ASSERT(simulation.AcceptsCalls());
}

// Other writers send single messages under other names, for other starts of the
// same name, and in the very name of the backend server. Only a leave in its
// very name and with its birth time can't be told from its own.
Heartbeat OddHeartbeat(int kind, int number) {
  Heartbeat heartbeat;
  heartbeat.instance = kind % 3 == 0 ? "i1" : "odd" + std::to_string(number);
  heartbeat.born_ms = kBirthMs - 1000 + number + (number < 1000 ? 0 : 1);
  heartbeat.sequence = static_cast<std::uint64_t>(number);
  heartbeat.service = {"claims"};
  heartbeat.address = "10.0.0.1:81";
  heartbeat.slots = 1;
  heartbeat.draining = kind % 2 == 0;
  return heartbeat;
}

// A ready heartbeat with the name and birth time of the backend server.
Heartbeat ForgedHeartbeat(int kind, int number) {
  Heartbeat heartbeat = OddHeartbeat(3, number);
  heartbeat.born_ms = kBirthMs;
  heartbeat.sequence = kind % 2 == 0 ? 1ULL << 53U : heartbeat.sequence;
  heartbeat.service = {kind % 3 == 0 ? "archive" : "claims"};
  heartbeat.address = kind % 5 == 0 ? "10.0.0.1:81" : "10.0.0.1:80";
  heartbeat.slots = kind % 7 == 0 ? 0 : 1;
  return heartbeat;
}

// The backend server lives and answers health checks: one message of another
// writer does not interrupt its calls.
RC_GTEST_PROP(BackendLifeProperty,
              SingleOddMessage_LiveBackendIsServedAllTheWhile,
              ()) {
  constexpr int kHeartbeatPeriodMs = 1500;
  constexpr int kMaxAnswerTimeMs = 200;
  BackendLife life;
  const Instant began = Instant{} + std::chrono::hours(1);
  Heartbeat own = ForgedHeartbeat(1, 1);
  own.slots = 13;
  const int heartbeats_before = *rc::gen::inRange(1, 4);
  const int odd_at_ms = (heartbeats_before - 1) * kHeartbeatPeriodMs +
                        *rc::gen::inRange(1, kHeartbeatPeriodMs);
  const int answer_time_ms = *rc::gen::inRange(0, kMaxAnswerTimeMs);
  const int kind = *rc::gen::inRange(0, 9);
  const int number = *rc::gen::inRange(1, 3000);
  const Heartbeat odd =
      kind < 6 ? OddHeartbeat(kind, number) : ForgedHeartbeat(kind, number);
  // The older start may be the true one if the newer one was heard only once.
  const bool may_seem_to_leave = odd.draining && odd.born_ms < own.born_ms &&
                                 odd.instance == own.instance &&
                                 heartbeats_before == 1;
  std::optional<Heartbeat> checked;
  for (int at_ms = 0; at_ms < odd_at_ms + 4 * kHeartbeatPeriodMs; ++at_ms) {
    const Instant now = began + milliseconds(at_ms);
    if (at_ms % kHeartbeatPeriodMs == 0) {
      ++own.sequence;
      life.OnHeartbeat(own, now);
    }
    if (at_ms == odd_at_ms) {
      life.OnHeartbeat(odd, now);
      checked = life.unconfirmed();
    }
    const bool is_answered = checked && checked->instance == own.instance &&
                             checked->address == own.address;
    if (is_answered && at_ms == odd_at_ms + answer_time_ms) {
      life.OnConfirmed(*checked, began + milliseconds(odd_at_ms), now);
    }
    RC_ASSERT((life.State(now) == EndpointState::kReady || may_seem_to_leave));
    RC_ASSERT(life.MayRun({"claims"}, now));
  }
  RC_ASSERT(life.known()->address == own.address);
}

// The backend server lives all the while: whatever single messages arrive, it
// accepts calls again after three of its heartbeats if it answers health
// checks, otherwise once its heartbeats can't be late ones, and its leave is
// obeyed.
RC_GTEST_PROP(BackendLifeProperty,
              OddMessages_LiveBackendReturnsAndItsLeaveIsObeyed,
              ()) {
  constexpr milliseconds kHeartbeatPeriod{1500};
  BackendLife life;
  Instant now = Instant{} + std::chrono::hours(1);
  Heartbeat own;
  own.instance = "i1";
  own.born_ms = kBirthMs;
  own.service = {"claims"};
  own.address = "10.0.0.1:80";
  own.slots = 13;
  const auto beat = [&] {
    ++own.sequence;
    life.OnHeartbeat(own, now);
  };
  const auto steps = *rc::gen::resize(
      kMaxScheduleSteps,
      rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(1, 3000))));
  for (const auto& [step, amount] : steps) {
    if (step == 8) {
      life.OnHeartbeat(ForgedHeartbeat(amount, amount), now);
      now += milliseconds(amount % 400);
    } else if (step < 6) {
      life.OnHeartbeat(OddHeartbeat(step, amount), now);
      now += milliseconds(amount % 400);
    } else if (step == 6) {
      life.OnDied("i1", now);
    } else {
      beat();
      now += kHeartbeatPeriod;
    }
  }
  const bool answers_checks = *rc::gen::arbitrary<bool>();
  const Instant proven_at =
      now + (answers_checks ? milliseconds(0)
                            : BackendLifeConfig().max_heartbeat_delay);
  for (int heartbeat = 0; heartbeat < 3 || now <= proven_at; ++heartbeat) {
    now += kHeartbeatPeriod;
    beat();
    const auto asked = life.unconfirmed();
    if (answers_checks && asked && asked->instance == own.instance &&
        asked->address == own.address) {
      life.OnConfirmed(*asked, now, now);
    }
  }
  RC_ASSERT(life.MayRun({"claims"}, now));
  RC_ASSERT(life.known()->instance == "i1");
  RC_ASSERT(life.known()->address == own.address);
  RC_ASSERT(life.known()->slots == own.slots);
  if (*rc::gen::arbitrary<bool>()) {
    life.OnHeartbeat(OddHeartbeat(3, 2500), now);
  }
  own.draining = true;
  beat();
  now += BackendLifeConfig().drain_grace_period;
  RC_ASSERT(!life.MayRun({"claims"}, now));
}

}  // namespace
}  // namespace tanagerledge
