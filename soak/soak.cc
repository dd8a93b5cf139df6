#include "soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "fakes/log_store.h"
#include "platform/store_client.h"
#include "soak/backend.h"
#include "soak/caller.h"
#include "soak/ledger.h"
#include "soak/node_history.h"
#include "soak/node_process.h"
#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallPause{20};  // Between the calls of one caller.
constexpr milliseconds kRefusedPause{100};
constexpr milliseconds kLongTarget{3500};
constexpr int kMoreCallers = 12;  // Beside each node, half keep theirs.
constexpr milliseconds kReapStep{20};
constexpr milliseconds kStall{20};
constexpr milliseconds kLoading{300};  // Of a program; 20 ms when idle.
constexpr milliseconds kStoreWrite{2000};
// Membership needs 2.5 s to forgive a node, the store's list is read each
// second, and the platform allows 15 s for a recovery.
constexpr seconds kRecovery{15};
constexpr seconds kGrace{6};
// Of the calls after the recovery, so many are served.
constexpr double kServedAfter = 0.9;

int Draw(std::mt19937_64& random, int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

// A node, the backend server beside it and its callers.
struct Place {
  explicit Place(std::string name) : history(std::move(name)) {}

  NodeHistory history;
  std::string service;
  std::string front;
  std::unique_ptr<Proxy> to_store;
  std::unique_ptr<Backend> backend;
  std::unique_ptr<NodeProcess> process;
  Instant started{};
  bool stopping = false;  // SIGTERM was sent; the end is to be in order.
  Instant stop_until{};
};

class Soak {
 public:
  explicit Soak(SoakOptions soak_options)
      : options(std::move(soak_options)),
        fault_random(this->options.seed),
        leave_random(this->options.seed),
        stop_random(this->options.seed),
        other_random(this->options.seed),
        store(this->loop) {}

  // Whether every promise held.
  bool Run() {
    bool held = false;
    this->loop.Spawn([this, &held] {
      held = this->RunWhole();
      this->loop.Stop();
    });
    this->loop.Run();
    return held;
  }

 private:
  bool RunWhole() {
    this->store_address =
        "127.0.0.1:" + std::to_string(this->store.Listen(0).value());
    this->Configure();
    for (int i = 0; i < this->options.nodes; ++i) {
      this->AddPlace(i);
    }
    std::ranges::for_each(this->places, [this](const auto& place) {
      this->loop.Spawn([this, &place] { this->KeepRunning(*place); });
      this->loop.Spawn([this, &place] { this->CallOn(*place); });
      for (int i = 0; i < kMoreCallers; ++i) {
        this->loop.Spawn([this, &place, keeps = i % 2 == 0] {
          this->PressOn(*place, keeps);
        });
      }
    });
    this->loop.Spawn([this] { this->WatchStalls(); });
    this->loop.SleepFor(seconds(2));
    this->SetBusy(true);
    const Instant until = Now() + this->options.length;
    if (this->options.stops_only) {
      this->MakeStops(until);
    } else {
      this->loop.SpawnHere([this, until] { this->MakeLeaves(until); });
      this->loop.SpawnHere([this, until] { this->MakeStops(until); });
      this->MakeTrouble(until);
    }
    this->AwaitTrouble();
    this->SetBusy(false);
    this->loop.SleepFor(kRecovery);
    this->CheckRecovered();
    this->ending = true;
    this->StopAll();
    return this->Judge();
  }

  // Below the ports that the system gives to outgoing connections: one of those
  // may be taken while its node is down. Soaks side by side get others, unless
  // their seeds are a multiple of 50 apart.
  std::string NextAddress() {
    constexpr int kFirstPort = 10'000;
    constexpr int kPortsOfASeed = 400;
    constexpr int kSeedsApart = 50;
    const int first =
        kFirstPort +
        static_cast<int>(this->options.seed % kSeedsApart) * kPortsOfASeed;
    return "127.0.0.1:" + std::to_string(first + this->ports_given++);
  }

  // Set-up --------------------------------------------------------------------

  void Configure() {
    const auto route = [](const char* service, const char* kind) {
      return json{{"host", std::string(service) + ".example"},
                  {"path_prefix", "/x/"},
                  {"kind", kind},
                  {"timeout_ms", kShortTimeout.count()},
                  {"priority", 1},
                  {"target_latency_ms", 300},
                  {"service", service},
                  {"max_attempts", 3}};
    };
    // Less urgent, so that its requests wait long.
    const auto long_route = [&route](const char* service, const char* kind) {
      json table = route(service, kind);
      table["path_prefix"] = "/long/";
      table["timeout_ms"] = kLongTimeout.count();
      table["priority"] = 2;
      table["target_latency_ms"] = kLongTarget.count();
      return table;
    };
    const json routes = {
        {"archive", route("archive", "idempotent")},
        {"claims", route("claims", "non_idempotent")},
        {"archive-long", long_route("archive", "idempotent")},
        {"claims-long", long_route("claims", "non_idempotent")}};
    const json config = {{"version", ++this->version},
                         {"routes", routes},
                         {"services",
                          {{"archive", {{"health_path", "/health"}}},
                           {"claims", {{"health_path", "/health"}}}}},
                         {"limits", json::object()}};
    const auto client = platform::ConnectStore(this->loop, this->store_address);
    // A change that a fault of the store loses is as good a case as another.
    static_cast<void>(
        client->Put("keyed.op", "config", config.dump(), kStoreWrite));
    client->Close();
  }

  void AddPlace(int number) {
    auto place = std::make_unique<Place>("node-" + std::to_string(number));
    place->service = number % 2 == 0 ? "archive" : "claims";
    place->front = this->NextAddress();
    place->to_store = std::make_unique<Proxy>(this->loop, this->store_address);
    const std::string admin = this->NextAddress();
    place->backend = std::make_unique<Backend>(
        this->loop, this->ledger, WhereIs(*place), admin, this->other_random());
    const std::string path =
        this->options.directory + "/node-" + std::to_string(number) + ".ini";
    std::ofstream(path) << "[node]\nsource = platform\nfleet = soak-"
                        << this->options.seed
                        << "\naddress = " << this->NextAddress() << "\nzone = z"
                        << number % 3 << "\n[front]\naddress = " << place->front
                        << "\n[admin]\naddress = " << admin
                        << "\n[readiness]\naddress = " << this->NextAddress()
                        << "\n[back_end]\nservice = " << place->service
                        << "\n[log]\naddress = " << place->to_store->address()
                        << "\n[membership]\nheartbeat_period = 300ms\n"
                        << "[bounds]\na = drain_ms=2000\nb = grace_s=6\n"
                        << "c = retry_budget_ratio=0.2\n"
                        << "d = budget_extra_retries=60\n"
                        << "e = budget_window_s=10\n";
    place->process = std::make_unique<NodeProcess>(this->options.program, path);
    this->places.push_back(std::move(place));
  }

  // Starts the node whenever it is down, and looks how it ended.
  void KeepRunning(Place& place) {
    while (!this->ending) {
      if (!place.process->running()) {
        place.stopping = false;
        place.started = Now();
        place.history.OnStart(place.started);
        if (!place.process->Start()) {
          this->faults.push_back("the node can't be started");
          return;
        }
      }
      this->loop.SleepFor(kReapStep);
      const auto code = place.process->Reap();
      if (place.stopping && Now() > place.stop_until) {
        this->faults.push_back("a node outlived its grace time");
        place.stop_until += std::chrono::hours(1);  // Told once.
      }
      if (code && !place.process->running()) {
        this->CheckEnd(place, *code);
        this->loop.SleepFor(milliseconds(Draw(this->other_random, 100, 800)));
      }
    }
  }

  void CheckEnd(const Place& place, int code) {
    const bool killed = code == -SIGKILL;
    // A loaded program blocks the signal and can't end by it.
    const bool unloaded = code == -SIGTERM && place.stopping &&
                          place.stop_until - kGrace - place.started < kLoading;
    if (!killed && !unloaded && (code != 0 || !place.stopping)) {
      this->faults.push_back("a node of " + place.service + " ended with " +
                             std::to_string(code));
    }
  }

  // Callers -------------------------------------------------------------------

  static CallerPlace WhereIs(const Place& place) {
    return {place.service, place.front, &place.history};
  }

  // Keeps its connection until the node is gone, as the platform's clients do.
  void CallOn(const Place& place) {
    Caller caller(this->loop, this->ledger, WhereIs(place), true);
    while (!this->ending) {
      CallPlan plan;
      plan.repeatable = Draw(this->other_random, 0, 1) == 0;
      this->Call(caller, std::move(plan));
      this->loop.SleepFor(kCallPause);
    }
    caller.Close();
  }

  // More callers while there is trouble, with long deadlines.
  void PressOn(const Place& place, bool keeps_connections) {
    Caller caller(this->loop, this->ledger, WhereIs(place), keeps_connections);
    while (!this->ending) {
      bool well = false;
      if (this->busy) {
        CallPlan plan;
        plan.repeatable = Draw(this->press_random, 0, 1) == 0;
        plan.long_route = Draw(this->press_random, 0, 2) > 0;
        plan.deadline =
            plan.long_route
                ? milliseconds(Draw(this->press_random, 3000, 4500))
                : milliseconds(Draw(this->press_random, 1500, 2500));
        well = this->Call(caller, std::move(plan));
      }
      this->loop.SleepFor(well ? kCallPause : kRefusedPause);
    }
    caller.Close();
  }

  bool Call(Caller& caller, CallPlan plan) {
    plan.id = "a" + std::to_string(++this->last_id);
    ++this->calls_under_way;
    const bool well = caller.Call(plan);
    --this->calls_under_way;
    return well;
  }

  void SetBusy(bool next) {
    this->busy = next;
    std::ranges::for_each(this->places, [next](const auto& place) {
      place->backend->SetBusy(next);
    });
  }

  // How late this process itself is.
  void WatchStalls() {
    while (!this->ending) {
      const Instant due = Now() + kReapStep;
      this->loop.SleepFor(kReapStep);
      const Instant::duration late = Now() - due;
      if (late >= kStall) {
        this->ledger.OnOwnStall(late);
      }
      this->longest_stall = std::max(this->longest_stall, late);
    }
  }

  // Faults --------------------------------------------------------------------

  // Draws for the faults, in their order.
  int Between(int least, int most) {
    return Draw(this->fault_random, least, most);
  }

  // A fault after the other, each in a fiber of its own, so that they overlap.
  void MakeTrouble(Instant until) {
    using Fault = void (Soak::*)(Place&, milliseconds);
    static const std::vector<Fault> kFaults = {
        &Soak::Kill,         &Soak::Stop,
        &Soak::Pause,        &Soak::Reload,
        &Soak::HurtStore,    &Soak::HurtStoreLink,
        &Soak::CrashBackend, &Soak::HurtBackendLink,
        &Soak::MakeMoody,    &Soak::ChangeConfig};
    while (Now() < until) {
      const Fault fault =
          kFaults[this->Between(0, static_cast<int>(kFaults.size()) - 1)];
      Place& place = *this->places[this->Between(0, this->options.nodes - 1)];
      const milliseconds length(this->Between(100, 2500));
      ++this->under_way;
      this->loop.SpawnHere([this, fault, &place, length] {
        (this->*fault)(place, length);
        --this->under_way;
      });
      this->loop.SleepFor(milliseconds(this->Between(50, 500)));
    }
  }

  void AwaitTrouble() {
    while (this->under_way > 0) {
      this->loop.SleepFor(kReapStep);
    }
  }

  // Backend servers that leave, beside the other faults. A node that is killed
  // about then starts when it knows nothing of the backend server.
  void MakeLeaves(Instant until) {
    const auto between = [this](int least, int most) {
      return Draw(this->leave_random, least, most);
    };
    while (Now() < until) {
      Place& place = *this->places[between(0, this->options.nodes - 1)];
      Backend::Leave leave;
      leave.sudden = between(0, 1) == 0;
      leave.keeps_name = between(0, 3) == 0;
      leave.stays = milliseconds(between(2500, 6000));
      leave.late_beat_after = milliseconds(between(100, 3000));
      const bool restarts = between(0, 1) == 0;
      const milliseconds restarted_before(between(0, 600));
      ++this->under_way;
      this->loop.SpawnHere([this, &place, leave, restarts, restarted_before] {
        if (restarts) {
          this->Kill(place, milliseconds(0));
          this->loop.SleepFor(restarted_before);
        }
        place.backend->RunLeave(leave);
        --this->under_way;
      });
      this->loop.SleepFor(milliseconds(between(500, 2000)));
    }
  }

  // Planned work beside the other faults: nodes stop in series.
  void MakeStops(Instant until) {
    using Series = void (Soak::*)(int, milliseconds);
    static const std::vector<Series> kSeries = {
        &Soak::StopInTurn,     &Soak::StopTwoAtOnce, &Soak::StopAgain,
        &Soak::StopThenReload, &Soak::StopTwice,     &Soak::StopAmidConfigs};
    const auto between = [this](int least, int most) {
      return Draw(this->stop_random, least, most);
    };
    while (Now() < until) {
      const Series series =
          kSeries[between(0, static_cast<int>(kSeries.size()) - 1)];
      const int first = between(0, this->options.nodes - 1);
      const milliseconds apart(between(0, 3000));
      ++this->under_way;
      this->loop.SpawnHere([this, series, first, apart] {
        (this->*series)(first, apart);
        --this->under_way;
      });
      this->loop.SleepFor(milliseconds(between(500, 2500)));
    }
  }

  Place& PlaceAt(int number) {
    return *this->places[number % this->options.nodes];
  }

  // False when the node does not run, is being loaded, or stops already.
  bool StopLoaded(Place& place) {
    const bool stops = place.process->running() && !place.stopping &&
                       Now() - place.started >= kLoading;
    if (stops) {
      this->Stop(place, milliseconds(0));
    }
    return stops;
  }

  void StopInTurn(int first, milliseconds apart) {
    for (int i = 0; i < this->options.nodes; ++i) {
      this->StopLoaded(this->PlaceAt(first + i));
      this->loop.SleepFor(apart / 2);
    }
  }

  void StopTwoAtOnce(int first, milliseconds) {
    this->StopLoaded(this->PlaceAt(first));
    this->StopLoaded(this->PlaceAt(first + 1));
  }

  // Right after its restart.
  void StopAgain(int first, milliseconds apart) {
    Place& place = this->PlaceAt(first);
    const Instant began = Now();
    const auto restarted = [&] { return place.started > began; };
    if (!this->StopLoaded(place)) {
      return;
    }
    while (!restarted() && Now() < began + 2 * kGrace) {
      this->loop.SleepFor(kReapStep);
    }
    this->loop.SleepFor(kLoading + apart / 5);
    this->StopLoaded(place);
  }

  void StopThenReload(int first, milliseconds apart) {
    Place& place = this->PlaceAt(first);
    this->StopLoaded(place);
    this->loop.SleepFor(apart);
    this->Reload(place, milliseconds(0));
  }

  void StopTwice(int first, milliseconds apart) {
    Place& place = this->PlaceAt(first);
    const Instant start = place.started;
    if (this->StopLoaded(place)) {
      this->loop.SleepFor(apart);
      if (place.started == start) {
        place.process->Signal(SIGTERM);
      }
    }
  }

  void StopAmidConfigs(int first, milliseconds apart) {
    constexpr int kConfigs = 5;
    this->StopLoaded(this->PlaceAt(first));
    for (int i = 0; i < kConfigs; ++i) {
      this->Configure();
      this->loop.SleepFor(apart / kConfigs);
    }
  }

  void Kill(Place& place, milliseconds) {
    place.history.OnKill(Now());
    place.process->Signal(SIGKILL);
  }

  void Stop(Place& place, milliseconds) {
    if (place.process->running() && !place.stopping) {
      place.stopping = true;
      place.stop_until = Now() + kGrace;
      place.history.OnStop(Now());
      place.process->Signal(SIGTERM);
    }
  }

  void Pause(Place& place, milliseconds length) {
    place.history.OnPause();
    place.process->Signal(SIGSTOP);
    this->loop.SleepFor(length);
    place.process->Signal(SIGCONT);
    place.history.OnContinue(Now());
    place.stop_until += length;  // A paused node can't end.
  }

  // A program that is still being loaded can't have a handler yet. With seeds
  // 40 and 45 a node ended so before its first log line.
  void Reload(Place& place, milliseconds) {
    if (Now() - place.started >= kLoading) {
      place.process->Signal(SIGHUP);
    }
  }

  void HurtStore(Place&, milliseconds length) {
    LogFaults some;
    switch (this->Between(0, 3)) {
      case 0:
        some.down = true;
        break;
      case 1:
        some.silent = true;
        break;
      case 2:
        some.slow = milliseconds(this->Between(50, 600));
        break;
      default:
        some.lose_answers = this->Between(1, 5);
    }
    this->store.SetFaults(some);
    this->loop.SleepFor(length);
    this->store.SetFaults({});
  }

  LinkFault AnyLinkFault() {
    return static_cast<LinkFault>(
        this->Between(static_cast<int>(LinkFault::kDelay),
                      static_cast<int>(LinkFault::kReset)));
  }

  void Hurt(Proxy& link, milliseconds length) {
    link.Set(this->AnyLinkFault());
    this->loop.SleepFor(length);
    link.Set(LinkFault::kNone);
  }

  void HurtStoreLink(Place& place, milliseconds length) {
    this->Hurt(*place.to_store, length);
  }

  void HurtBackendLink(Place& place, milliseconds length) {
    this->Hurt(place.backend->link(), length);
  }

  void CrashBackend(Place& place, milliseconds) {
    place.backend->link().Set(LinkFault::kReset);
    place.backend->StartAnew();
    place.backend->link().Set(LinkFault::kNone);
  }

  void MakeMoody(Place& place, milliseconds length) {
    place.backend->SetMoody(true);
    this->loop.SleepFor(length);
    place.backend->SetMoody(false);
  }

  void ChangeConfig(Place&, milliseconds) { this->Configure(); }

  // Judgement -----------------------------------------------------------------

  void CheckRecovered() {
    const int asked = this->ledger.asked();
    const int served = this->ledger.served();
    this->loop.SleepFor(seconds(2));
    const int asked_since = this->ledger.asked() - asked;
    const int served_since = this->ledger.served() - served;
    if (served_since < kServedAfter * asked_since) {
      this->faults.push_back("after the faults " +
                             std::to_string(served_since) + " of " +
                             std::to_string(asked_since) + " were served");
    }
  }

  void StopAll() {
    std::ranges::for_each(this->places, [](const auto& place) {
      if (!place->stopping) {
        place->history.OnStop(Now());
      }
      place->process->Signal(SIGTERM);
    });
    const Instant until = Now() + kGrace;
    while (Now() < until && this->AnyRuns()) {
      this->loop.SleepFor(kReapStep);
    }
    if (this->AnyRuns()) {
      this->faults.push_back("a node outlived its grace time at the end");
    }
    // With the nodes gone, what is still under way ends at once.
    const Instant heard_until = Now() + seconds(1);
    while (Now() < heard_until && this->calls_under_way > 0) {
      this->loop.SleepFor(kReapStep);
    }
    std::ranges::for_each(this->places, [](const auto& place) {
      place->process->Signal(SIGKILL);
      place->backend->Close();
      place->to_store->Close();
    });
    this->store.Close();
  }

  bool AnyRuns() {
    return std::ranges::any_of(this->places, [](const auto& place) {
      static_cast<void>(place->process->Reap());
      return place->process->running();
    });
  }

  bool Judge() {
    std::ranges::copy(this->ledger.Faults(), std::back_inserter(this->faults));
    std::ranges::for_each(this->faults, [](const std::string& fault) {
      std::cout << "broken: " << fault << "\n";
    });
    std::cout
        << "seed " << this->options.seed << ": " << this->ledger.asked()
        << " asked, " << this->ledger.served() << " served, "
        << this->ledger.unanswered() << " without an answer, longest stall "
        << std::chrono::duration_cast<milliseconds>(this->longest_stall).count()
        << " ms, " << this->faults.size() << " broken" << std::endl;
    return this->faults.empty();
  }

  const SoakOptions options;
  // Apart, so that the faults of a seed do not depend on how many calls and
  // restarts fell between them.
  std::mt19937_64 fault_random;
  std::mt19937_64 leave_random;
  std::mt19937_64 stop_random;
  std::mt19937_64 press_random{this->options.seed};
  std::mt19937_64 other_random;
  IoLoop loop;
  LogStore store;
  std::string store_address;
  Ledger ledger;
  std::vector<std::unique_ptr<Place>> places;
  std::vector<std::string> faults;
  int version = 0;
  int ports_given = 0;
  std::uint64_t last_id = 0;
  int under_way = 0;        // Faults.
  int calls_under_way = 0;  // Of callers.
  Instant::duration longest_stall{};
  bool busy = false;
  bool ending = false;
};

}  // namespace

bool RunSoak(const SoakOptions& options) {
  return Soak(options).Run();
}

}  // namespace tanagerledge::soak
