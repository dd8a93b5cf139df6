// Tests random orders of true messages: a backend server is started again and
// again, under the same name or another one, with a clock that is set back and
// forth; its heartbeats are late, doubled and out of order; its node restarts.
// What docs/design/backend-proofs.md says must hold: no calls after an
// acknowledged leave, and none kept from a backend server that lives.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tanagerledge/backend_life.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxScheduleSteps = 300;
// Schedules of each case.
constexpr int kSchedules = 50;
constexpr milliseconds kHeartbeatPeriod{1500};
// Less than the clock step that a node allows for.
constexpr int kMaxClockStepMs = 4000;
constexpr std::int64_t kStartMs = 1'000'000;

// One machine: the process of the backend server, which is replaced again and
// again, and its node.
class Machine {
 public:
  Machine() { this->StartServer(false, 0); }

  void AdvanceTime(milliseconds time) { this->now += time; }

  void SendHeartbeat() {
    if (this->server.is_running && !this->server.has_left) {
      this->Deliver(this->NextHeartbeat());
    }
  }

  void DelayHeartbeat() {
    if (this->server.is_running && !this->server.has_left) {
      this->delayed.push_back({this->NextHeartbeat(), this->now});
    }
  }

  // Delivers all delayed heartbeats in order, as a link that is sound again.
  void DeliverAllLate() {
    this->DropTooLate();
    std::ranges::for_each(this->delayed, [this](const Delayed& each) {
      this->Deliver(each.heartbeat);
    });
  }

  // Delivers a heartbeat that was sent a while ago; it may arrive twice.
  void DeliverLate(std::size_t which) {
    this->DropTooLate();
    if (!this->delayed.empty()) {
      this->Deliver(this->delayed[which % this->delayed.size()].heartbeat);
    }
  }

  void Drain() {
    if (this->server.is_running) {
      this->server.is_draining = true;
      this->Deliver(this->NextHeartbeat());
      this->RecordAcknowledgement();
    }
  }

  void Leave() {
    if (this->server.is_running) {
      this->server.has_left = true;
      this->life.OnLeave(this->server.name, this->Time());
      this->RecordAcknowledgement();
    }
  }

  void StopServer() { this->server.is_running = false; }

  void StartServer(bool keeps_name, int clock_step_ms) {
    if (this->server.is_running) {
      return;
    }
    const std::string name =
        keeps_name ? this->server.name : "i" + std::to_string(++this->names);
    const std::int64_t born_ms =
        this->UnusedBirth(this->UnixMs() + clock_step_ms);
    this->server = {};
    this->server.name = name;
    this->server.born_ms = born_ms;
    this->server.is_running = true;
  }

  void RestartNode() {
    BackendLifeConfig config;
    config.node_started_ms = this->UnixMs();
    this->life = BackendLife(config);
    this->check.reset();
  }

  void NoticeDeath() {
    if (!this->server.is_running && this->life.known()) {
      this->life.OnDied(std::string(this->life.known()->instance),
                        this->Time());
    }
  }

  void StartHealthCheck() {
    if (this->life.unconfirmed() && !this->check) {
      this->now += milliseconds(1);
      this->check = HealthCheck{*this->life.unconfirmed(), this->Time(),
                                this->HealthyName()};
      this->now += milliseconds(1);
    }
  }

  void FinishHealthCheck() {
    if (this->check && this->check->answer == this->check->about.instance) {
      this->life.OnConfirmed(this->check->about, this->check->asked_at,
                             this->Time());
    }
    this->check.reset();
  }

  // Whether calls reach a server after its leave. One of another name would
  // reject them.
  bool IsServedAfterItsLeave() const {
    return this->server.is_running && this->server.acknowledged_at &&
           this->now - *this->server.acknowledged_at >=
               BackendLifeConfig().drain_grace_period &&
           this->IsServed();
  }

  bool IsServed() const {
    return this->life.MayRun({"claims"}, this->Time()) &&
           this->life.known()->instance == this->server.name;
  }

  // The current server goes on, and its heartbeats arrive in time. A server
  // that was leaving is replaced before.
  void ServeFor(milliseconds time, bool answers_checks) {
    if (!this->server.is_running || this->server.is_draining ||
        this->server.has_left) {
      this->StopServer();
      this->StartServer(true, 0);
    }
    this->check.reset();
    const milliseconds end = this->now + time;
    while (this->now < end) {
      this->SendHeartbeat();
      if (answers_checks) {
        this->StartHealthCheck();
        this->FinishHealthCheck();
      }
      this->now += kHeartbeatPeriod;
    }
  }

 private:
  struct Server {
    std::string name;
    std::int64_t born_ms = 0;
    std::uint64_t sequence = 0;
    bool is_running = false;
    bool is_draining = false;
    bool has_left = false;
    std::optional<milliseconds> acknowledged_at;
  };
  struct Delayed {
    Heartbeat heartbeat;
    milliseconds sent_at{0};
  };
  struct HealthCheck {
    Heartbeat about;
    Instant asked_at{};
    std::optional<std::string> answer;
  };

  Heartbeat NextHeartbeat() {
    Heartbeat heartbeat;
    heartbeat.instance = this->server.name;
    heartbeat.born_ms = this->server.born_ms;
    heartbeat.sequence = ++this->server.sequence;
    heartbeat.service = {"claims"};
    heartbeat.address = "10.0.0.1:80";
    heartbeat.slots = 13;
    heartbeat.draining = this->server.is_draining;
    return heartbeat;
  }

  void DropTooLate() {
    std::erase_if(this->delayed, [this](const Delayed& each) {
      return this->now - each.sent_at >=
             BackendLifeConfig().max_heartbeat_delay;
    });
  }

  void Deliver(const Heartbeat& heartbeat) {
    this->life.OnHeartbeat(heartbeat, this->Time());
  }

  void RecordAcknowledgement() {
    if (!this->server.acknowledged_at) {
      this->server.acknowledged_at = this->now;
    }
  }

  std::optional<std::string> HealthyName() const {
    const bool is_healthy = this->server.is_running &&
                            !this->server.is_draining && !this->server.has_left;
    return is_healthy ? std::optional(this->server.name) : std::nullopt;
  }

  std::int64_t UnusedBirth(std::int64_t wanted) {
    while (std::ranges::find(this->births, wanted) != this->births.end()) {
      ++wanted;
    }
    return this->births.emplace_back(wanted);
  }

  std::int64_t UnixMs() const { return kStartMs + this->now.count(); }
  Instant Time() const { return Instant{} + std::chrono::hours(1) + this->now; }

  BackendLife life;
  Server server;
  milliseconds now{0};
  int names = 0;
  std::vector<std::int64_t> births;
  std::vector<Delayed> delayed;
  std::optional<HealthCheck> check;
};

using Steps = std::vector<std::pair<int, int>>;

Steps DrawSteps() {
  return *rc::gen::resize(
      kMaxScheduleSteps,
      rc::gen::container<Steps>(
          rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 1600))));
}

void Play(Machine& machine, int step, int amount) {
  switch (step) {
    case 0:
    case 1:
      machine.SendHeartbeat();
      break;
    case 2:
    case 3:
      machine.DelayHeartbeat();
      break;
    case 4:
      machine.DeliverAllLate();
      break;
    case 5:
    case 6:
      machine.DeliverLate(static_cast<std::size_t>(amount));
      break;
    case 7:
      machine.Drain();
      break;
    case 8:
      machine.Leave();
      break;
    case 9:
      machine.StopServer();
      break;
    case 10:
      machine.StartServer(amount % 3 != 0, amount * 5 - kMaxClockStepMs);
      break;
    case 11:
      if (amount % 4 == 0) {
        machine.RestartNode();
      }
      break;
    case 12:
      machine.NoticeDeath();
      break;
    case 13:
      machine.StartHealthCheck();
      break;
    case 14:
      machine.FinishHealthCheck();
      break;
    default:
      machine.AdvanceTime(milliseconds(amount));
  }
}

Machine PlayAny() {
  Machine machine;
  for (const auto& [step, amount] : DrawSteps()) {
    Play(machine, step, amount);
  }
  return machine;
}

RC_GTEST_PROP(BackendProofsProperty,
              AnyOrder_NoCallsAfterAnAcknowledgedLeave,
              ()) {
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    Machine machine;
    for (const auto& [step, amount] : DrawSteps()) {
      Play(machine, step, amount);
      RC_ASSERT(!machine.IsServedAfterItsLeave());
    }
  }
}

// Late heartbeats of former starts may arrive for as long as heartbeats can be
// late; the proof takes as long again.
RC_GTEST_PROP(BackendProofsProperty,
              AnyOrderAndNoHealthCheckAnswered_LiveServerIsServedInTime,
              ()) {
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    Machine machine = PlayAny();
    machine.ServeFor(
        2 * BackendLifeConfig().max_heartbeat_delay + 3 * kHeartbeatPeriod,
        false);
    RC_ASSERT(machine.IsServed());
  }
}

RC_GTEST_PROP(BackendProofsProperty,
              AnyOrderAndHealthChecksAnswered_LiveServerIsServedSoon,
              ()) {
  Machine machine;
  for (const auto& [step, amount] : DrawSteps()) {
    Play(machine, step, amount);
  }
  machine.ServeFor(BackendLifeConfig().heartbeat_timeout + 2 * kHeartbeatPeriod,
                   true);
  RC_ASSERT(machine.IsServed());
}

}  // namespace
}  // namespace tanagerledge
