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
#include "fakes/node_process.h"
#include "fakes/reserved_address.h"
#include "platform/store_client.h"
#include "soak/backend.h"
#include "soak/caller.h"
#include "soak/ledger.h"
#include "soak/node_history.h"
#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallInterval{20};  // Between calls of the same caller.
constexpr milliseconds kRetryDelay{100};   // After a failed call.
constexpr milliseconds kLongTargetLatency{3500};
constexpr int kLoadCallersPerNode = 12;  // Half of them keep their connections.
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kMinStall{20};  // Shorter delays are not recorded.
// Time that a program needs to load; 20 ms on an idle machine.
constexpr milliseconds kLoadTime{300};
constexpr milliseconds kStoreWriteTimeout{2000};
// The platform allows 15 s for a recovery. Membership takes 2.5 s to accept a
// failed node again, and the node list in the store is read every second.
constexpr seconds kRecoveryTime{15};
constexpr seconds kGraceTime{6};
// Share of the calls after the recovery that must be served.
constexpr double kMinServedShare = 0.9;

int DrawInt(std::mt19937_64& random, int min_value, int max_value) {
  return std::uniform_int_distribution<int>(min_value, max_value)(random);
}

// A node with its backend server and its proxy to the store.
struct Site {
  explicit Site(std::string name) : history(std::move(name)) {}

  NodeHistory history;
  std::string service;
  std::string front;
  std::unique_ptr<Proxy> to_store;
  std::unique_ptr<Backend> backend;
  std::unique_ptr<NodeProcess> process;
  Instant started{};
  bool stopping = false;  // SIGTERM was sent; the node must exit cleanly.
  Instant stop_deadline{};
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

  // Returns true when no rule was violated.
  bool Run() {
    bool passed = false;
    this->loop.Spawn([this, &passed] {
      passed = this->RunPhases();
      this->loop.Stop();
    });
    this->loop.Run();
    return passed;
  }

 private:
  bool RunPhases() {
    this->store_address =
        "127.0.0.1:" + std::to_string(this->store.Listen(0).value());
    this->Configure();
    for (int i = 0; i < this->options.node_count; ++i) {
      this->AddSite(i);
    }
    std::ranges::for_each(this->sites, [this](const auto& site) {
      this->loop.Spawn([this, &site] { this->SuperviseNode(*site); });
      this->loop.Spawn([this, &site] { this->RunSteadyCaller(*site); });
      for (int i = 0; i < kLoadCallersPerNode; ++i) {
        this->loop.Spawn([this, &site, keeps_connections = i % 2 == 0] {
          this->RunLoadCaller(*site, keeps_connections);
        });
      }
    });
    this->loop.Spawn([this] { this->WatchStalls(); });
    this->loop.SleepFor(seconds(2));
    this->SetBusy(true);
    const Instant until = Now() + this->options.fault_duration;
    if (this->options.planned_stops_only) {
      this->InjectStops(until);
    } else {
      this->loop.SpawnHere([this, until] { this->InjectLeaves(until); });
      this->loop.SpawnHere([this, until] { this->InjectStops(until); });
      this->InjectFaults(until);
    }
    this->WaitForFaults();
    this->SetBusy(false);
    this->loop.SleepFor(kRecoveryTime);
    this->CheckRecovered();
    this->ending = true;
    this->StopAll();
    return this->Report();
  }

  // Setup ---------------------------------------------------------------------

  // Writes the next version of the configuration to the store.
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
    // These routes are less urgent, so that their requests wait long.
    const auto long_route = [&route](const char* service, const char* kind) {
      json table = route(service, kind);
      table["path_prefix"] = "/long/";
      table["timeout_ms"] = kLongTimeout.count();
      table["priority"] = 2;
      table["target_latency_ms"] = kLongTargetLatency.count();
      return table;
    };
    const json routes = {
        {"archive", route("archive", "idempotent")},
        {"claims", route("claims", "non_idempotent")},
        {"archive-long", long_route("archive", "idempotent")},
        {"claims-long", long_route("claims", "non_idempotent")}};
    const json config = {{"version", ++this->config_version},
                         {"routes", routes},
                         {"services",
                          {{"archive", {{"health_path", "/health"}}},
                           {"claims", {{"health_path", "/health"}}}}},
                         {"limits", json::object()}};
    const auto client = platform::ConnectStore(this->loop, this->store_address);
    // The result is ignored: a configuration that is lost by a fault of the
    // store is a valid test case, too.
    static_cast<void>(
        client->Put("keyed.op", "config", config.dump(), kStoreWriteTimeout));
    client->Close();
  }

  void AddSite(int number) {
    auto site = std::make_unique<Site>("node-" + std::to_string(number));
    site->service = number % 2 == 0 ? "archive" : "claims";
    site->front = ReserveAddress();
    site->to_store = std::make_unique<Proxy>(this->loop, this->store_address);
    const std::string admin = ReserveAddress();
    site->backend =
        std::make_unique<Backend>(this->loop, this->ledger, IdentityOf(*site),
                                  admin, this->other_random());
    const std::string path =
        this->options.directory + "/node-" + std::to_string(number) + ".ini";
    std::ofstream(path) << "[node]\nsource = platform\nfleet = soak-"
                        << this->options.seed
                        << "\naddress = " << ReserveAddress() << "\nzone = z"
                        << number % 3 << "\n[front]\naddress = " << site->front
                        << "\n[admin]\naddress = " << admin
                        << "\n[readiness]\naddress = " << ReserveAddress()
                        << "\n[back_end]\nservice = " << site->service
                        << "\n[log]\naddress = " << site->to_store->address()
                        << "\n[membership]\nheartbeat_period = 300ms\n"
                        << "[bounds]\na = drain_ms=2000\nb = grace_s=6\n"
                        << "c = retry_budget_ratio=0.2\n"
                        << "d = budget_extra_retries=60\n"
                        << "e = budget_window_s=10\n";
    site->process =
        std::make_unique<NodeProcess>(this->options.node_program, path);
    this->sites.push_back(std::move(site));
  }

  // Starts the node whenever it is down, and checks how it ended.
  void SuperviseNode(Site& site) {
    while (!this->ending) {
      if (!site.process->running()) {
        site.stopping = false;
        site.started = Now();
        site.history.OnStart(site.started);
        if (!site.process->Start()) {
          this->violations.push_back("the node can't be started");
          return;
        }
      }
      this->loop.SleepFor(kPollInterval);
      const auto code = site.process->Reap();
      // The deadline of a paused node is extended once the pause is over.
      if (site.stopping && !site.history.paused() &&
          Now() > site.stop_deadline) {
        this->violations.push_back("a node outlived its grace time");
        site.stop_deadline += std::chrono::hours(1);  // Reports it once only.
      }
      if (code && !site.process->running()) {
        this->CheckExit(site, *code);
        this->loop.SleepFor(
            milliseconds(DrawInt(this->other_random, 100, 800)));
      }
    }
  }

  void CheckExit(const Site& site, int code) {
    const bool killed = code == -SIGKILL;
    // SIGTERM can end a process only before it has loaded: a loaded program
    // blocks the signal.
    const bool ended_while_loading =
        code == -SIGTERM && site.stopping &&
        site.stop_deadline - kGraceTime - site.started < kLoadTime;
    if (!killed && !ended_while_loading && (code != 0 || !site.stopping)) {
      this->violations.push_back("a node of " + site.service + " ended with " +
                                 std::to_string(code));
    }
  }

  // Callers -------------------------------------------------------------------

  static CallerIdentity IdentityOf(const Site& site) {
    return {site.service, site.front, &site.history};
  }

  // Makes calls at a steady rate on a connection that is kept until the node
  // ends, like those of the platform's clients.
  void RunSteadyCaller(const Site& site) {
    Caller caller(this->loop, this->ledger, IdentityOf(site), true);
    while (!this->ending) {
      CallOptions call;
      call.idempotent = DrawInt(this->other_random, 0, 1) == 0;
      this->Call(caller, std::move(call));
      this->loop.SleepFor(kCallInterval);
    }
    caller.Close();
  }

  // Makes additional calls with long deadlines while faults are injected.
  void RunLoadCaller(const Site& site, bool keeps_connections) {
    Caller caller(this->loop, this->ledger, IdentityOf(site),
                  keeps_connections);
    while (!this->ending) {
      bool succeeded = false;
      if (this->busy) {
        CallOptions call;
        call.idempotent = DrawInt(this->load_random, 0, 1) == 0;
        call.long_route = DrawInt(this->load_random, 0, 2) > 0;
        call.deadline =
            call.long_route
                ? milliseconds(DrawInt(this->load_random, 3000, 4500))
                : milliseconds(DrawInt(this->load_random, 1500, 2500));
        succeeded = this->Call(caller, std::move(call));
      }
      this->loop.SleepFor(succeeded ? kCallInterval : kRetryDelay);
    }
    caller.Close();
  }

  bool Call(Caller& caller, CallOptions call) {
    call.id = "a" + std::to_string(++this->last_id);
    ++this->active_calls;
    const bool succeeded = caller.Call(call);
    --this->active_calls;
    return succeeded;
  }

  // Starts or ends the additional calls and the long work of backend servers.
  void SetBusy(bool value) {
    this->busy = value;
    std::ranges::for_each(this->sites, [value](const auto& site) {
      site->backend->SetBusy(value);
    });
  }

  // Measures delays of this process itself.
  void WatchStalls() {
    while (!this->ending) {
      const Instant due = Now() + kPollInterval;
      this->loop.SleepFor(kPollInterval);
      const Instant::duration lateness = Now() - due;
      if (lateness >= kMinStall) {
        this->ledger.RecordOwnStall(lateness);
      }
      this->longest_stall = std::max(this->longest_stall, lateness);
    }
  }

  // Faults --------------------------------------------------------------------

  // Returns a random number for the faults. Its uses must stay in the same
  // order for a seed to give the same faults.
  int DrawFaultInt(int min_value, int max_value) {
    return DrawInt(this->fault_random, min_value, max_value);
  }

  // Starts one fault after the other, each in its own fiber, so that they
  // overlap.
  void InjectFaults(Instant until) {
    using Fault = void (Soak::*)(Site&, milliseconds);
    static const std::vector<Fault> kFaults = {
        &Soak::Kill,         &Soak::Stop,
        &Soak::Pause,        &Soak::Reload,
        &Soak::DisturbStore, &Soak::DisturbStoreLink,
        &Soak::CrashBackend, &Soak::DisturbBackendLink,
        &Soak::MakeFlaky,    &Soak::ChangeConfig};
    while (Now() < until) {
      const Fault fault =
          kFaults[this->DrawFaultInt(0, static_cast<int>(kFaults.size()) - 1)];
      Site& site =
          *this->sites[this->DrawFaultInt(0, this->options.node_count - 1)];
      const milliseconds length(this->DrawFaultInt(100, 2500));
      ++this->active_faults;
      this->loop.SpawnHere([this, fault, &site, length] {
        (this->*fault)(site, length);
        --this->active_faults;
      });
      this->loop.SleepFor(milliseconds(this->DrawFaultInt(50, 500)));
    }
  }

  void WaitForFaults() {
    while (this->active_faults > 0) {
      this->loop.SleepFor(kPollInterval);
    }
  }

  // Makes backend servers leave, at the same time as the other faults. For half
  // of the leaves the node is killed shortly before, so that it restarts
  // without knowing its backend server.
  void InjectLeaves(Instant until) {
    const auto draw_int = [this](int min_value, int max_value) {
      return DrawInt(this->leave_random, min_value, max_value);
    };
    while (Now() < until) {
      Site& site = *this->sites[draw_int(0, this->options.node_count - 1)];
      Backend::Leave leave;
      leave.abrupt = draw_int(0, 1) == 0;
      leave.keeps_instance = draw_int(0, 3) == 0;
      leave.linger = milliseconds(draw_int(2500, 6000));
      leave.stale_heartbeat_delay = milliseconds(draw_int(100, 3000));
      const bool kills_node = draw_int(0, 1) == 0;
      const milliseconds leave_delay(draw_int(0, 600));
      ++this->active_faults;
      this->loop.SpawnHere([this, &site, leave, kills_node, leave_delay] {
        if (kills_node) {
          this->Kill(site, milliseconds(0));
          this->loop.SleepFor(leave_delay);
        }
        site.backend->RunLeave(leave);
        --this->active_faults;
      });
      this->loop.SleepFor(milliseconds(draw_int(500, 2000)));
    }
  }

  // Simulates planned work, at the same time as the other faults: runs random
  // scenarios in which nodes are stopped.
  void InjectStops(Instant until) {
    using StopScenario = void (Soak::*)(int, milliseconds);
    static const std::vector<StopScenario> kStopScenarios = {
        &Soak::StopAllInTurn,         &Soak::StopTwoAtOnce,
        &Soak::StopAgainAfterRestart, &Soak::StopThenReload,
        &Soak::SignalStopTwice,       &Soak::StopDuringConfigChanges};
    const auto draw_int = [this](int min_value, int max_value) {
      return DrawInt(this->stop_random, min_value, max_value);
    };
    while (Now() < until) {
      const StopScenario scenario = kStopScenarios[draw_int(
          0, static_cast<int>(kStopScenarios.size()) - 1)];
      const int first = draw_int(0, this->options.node_count - 1);
      const milliseconds interval(draw_int(0, 3000));
      ++this->active_faults;
      this->loop.SpawnHere([this, scenario, first, interval] {
        (this->*scenario)(first, interval);
        --this->active_faults;
      });
      this->loop.SleepFor(milliseconds(draw_int(500, 2500)));
    }
  }

  Site& SiteAt(int number) {
    return *this->sites[number % this->options.node_count];
  }

  // Stops the node. Does nothing and returns false when the node does not run,
  // is still loading, or is stopping already.
  bool StopIfLoaded(Site& site) {
    const bool can_stop = site.process->running() && !site.stopping &&
                          Now() - site.started >= kLoadTime;
    if (can_stop) {
      this->Stop(site, milliseconds(0));
    }
    return can_stop;
  }

  void StopAllInTurn(int first, milliseconds interval) {
    for (int i = 0; i < this->options.node_count; ++i) {
      this->StopIfLoaded(this->SiteAt(first + i));
      this->loop.SleepFor(interval / 2);
    }
  }

  void StopTwoAtOnce(int first, milliseconds) {
    this->StopIfLoaded(this->SiteAt(first));
    this->StopIfLoaded(this->SiteAt(first + 1));
  }

  // Stops a node, and stops it again right after its restart.
  void StopAgainAfterRestart(int first, milliseconds interval) {
    Site& site = this->SiteAt(first);
    const Instant began = Now();
    const auto restarted = [&] { return site.started > began; };
    if (!this->StopIfLoaded(site)) {
      return;
    }
    while (!restarted() && Now() < began + 2 * kGraceTime) {
      this->loop.SleepFor(kPollInterval);
    }
    this->loop.SleepFor(kLoadTime + interval / 5);
    this->StopIfLoaded(site);
  }

  void StopThenReload(int first, milliseconds interval) {
    Site& site = this->SiteAt(first);
    this->StopIfLoaded(site);
    this->loop.SleepFor(interval);
    this->Reload(site, milliseconds(0));
  }

  void SignalStopTwice(int first, milliseconds interval) {
    Site& site = this->SiteAt(first);
    const Instant start = site.started;
    if (this->StopIfLoaded(site)) {
      this->loop.SleepFor(interval);
      if (site.started == start) {
        site.process->Signal(SIGTERM);
      }
    }
  }

  void StopDuringConfigChanges(int first, milliseconds interval) {
    constexpr int kConfigs = 5;
    this->StopIfLoaded(this->SiteAt(first));
    for (int i = 0; i < kConfigs; ++i) {
      this->Configure();
      this->loop.SleepFor(interval / kConfigs);
    }
  }

  void Kill(Site& site, milliseconds) {
    site.history.OnKill(Now());
    site.process->Signal(SIGKILL);
  }

  void Stop(Site& site, milliseconds) {
    if (site.process->running() && !site.stopping) {
      site.stopping = true;
      site.stop_deadline = Now() + kGraceTime;
      site.history.OnStop(Now());
      site.process->Signal(SIGTERM);
    }
  }

  void Pause(Site& site, milliseconds length) {
    site.history.OnPause();
    site.process->Signal(SIGSTOP);
    this->loop.SleepFor(length);
    site.process->Signal(SIGCONT);
    site.history.OnContinue(Now());
    site.stop_deadline += length;  // A paused node can't end.
  }

  // Sends SIGHUP, but not to a program that is still loading: it has no handler
  // yet and would be ended by the signal. With seeds 40 and 45, a node ended
  // this way before it wrote its first log line.
  void Reload(Site& site, milliseconds) {
    if (Now() - site.started >= kLoadTime) {
      site.process->Signal(SIGHUP);
    }
  }

  void DisturbStore(Site&, milliseconds length) {
    LogFaults store_faults;
    switch (this->DrawFaultInt(0, 3)) {
      case 0:
        store_faults.down = true;
        break;
      case 1:
        store_faults.silent = true;
        break;
      case 2:
        store_faults.slow = milliseconds(this->DrawFaultInt(50, 600));
        break;
      default:
        store_faults.lose_answers = this->DrawFaultInt(1, 5);
    }
    this->store.SetFaults(store_faults);
    this->loop.SleepFor(length);
    this->store.SetFaults({});
  }

  LinkFault RandomLinkFault() {
    return static_cast<LinkFault>(
        this->DrawFaultInt(static_cast<int>(LinkFault::kDelay),
                           static_cast<int>(LinkFault::kReset)));
  }

  void DisturbLink(Proxy& link, milliseconds length) {
    link.SetFault(this->RandomLinkFault());
    this->loop.SleepFor(length);
    link.SetFault(LinkFault::kNone);
  }

  void DisturbStoreLink(Site& site, milliseconds length) {
    this->DisturbLink(*site.to_store, length);
  }

  void DisturbBackendLink(Site& site, milliseconds length) {
    this->DisturbLink(site.backend->link(), length);
  }

  void CrashBackend(Site& site, milliseconds) {
    site.backend->link().SetFault(LinkFault::kReset);
    site.backend->Restart();
    site.backend->link().SetFault(LinkFault::kNone);
  }

  void MakeFlaky(Site& site, milliseconds length) {
    site.backend->SetFlaky(true);
    this->loop.SleepFor(length);
    site.backend->SetFlaky(false);
  }

  void ChangeConfig(Site&, milliseconds) { this->Configure(); }

  // Checks --------------------------------------------------------------------

  void CheckRecovered() {
    const int requested = this->ledger.requested();
    const int served = this->ledger.served();
    this->loop.SleepFor(seconds(2));
    const int requested_since = this->ledger.requested() - requested;
    const int served_since = this->ledger.served() - served;
    if (served_since < kMinServedShare * requested_since) {
      this->violations.push_back(
          "after the faults " + std::to_string(served_since) + " of " +
          std::to_string(requested_since) + " were served");
    }
  }

  void StopAll() {
    std::ranges::for_each(this->sites, [](const auto& site) {
      if (!site->stopping) {
        site->history.OnStop(Now());
      }
      site->process->Signal(SIGTERM);
    });
    const Instant until = Now() + kGraceTime;
    while (Now() < until && this->AnyNodeRuns()) {
      this->loop.SleepFor(kPollInterval);
    }
    if (this->AnyNodeRuns()) {
      this->violations.push_back("a node outlived its grace time at the end");
    }
    // Calls that are still active end as soon as the nodes have ended.
    const Instant calls_deadline = Now() + seconds(1);
    while (Now() < calls_deadline && this->active_calls > 0) {
      this->loop.SleepFor(kPollInterval);
    }
    std::ranges::for_each(this->sites, [](const auto& site) {
      site->process->Signal(SIGKILL);
      site->backend->Close();
      site->to_store->Close();
    });
    this->store.Close();
  }

  bool AnyNodeRuns() {
    return std::ranges::any_of(this->sites, [](const auto& site) {
      static_cast<void>(site->process->Reap());
      return site->process->running();
    });
  }

  bool Report() {
    std::ranges::copy(this->ledger.Violations(),
                      std::back_inserter(this->violations));
    std::ranges::for_each(this->violations, [](const std::string& violation) {
      std::cout << "broken: " << violation << "\n";
    });
    std::cout
        << "seed " << this->options.seed << ": " << this->ledger.requested()
        << " asked, " << this->ledger.served() << " served, "
        << this->ledger.unanswered() << " without an answer, longest stall "
        << std::chrono::duration_cast<milliseconds>(this->longest_stall).count()
        << " ms, " << this->violations.size() << " broken" << std::endl;
    return this->violations.empty();
  }

  const SoakOptions options;
  // Separate generators, so that the faults of a seed do not depend on the
  // number of calls and restarts between them.
  std::mt19937_64 fault_random;
  std::mt19937_64 leave_random;
  std::mt19937_64 stop_random;
  std::mt19937_64 load_random{this->options.seed};
  std::mt19937_64 other_random;
  IoLoop loop;
  LogStore store;
  std::string store_address;
  Ledger ledger;
  std::vector<std::unique_ptr<Site>> sites;
  std::vector<std::string> violations;
  int config_version = 0;
  std::uint64_t last_id = 0;
  int active_faults = 0;
  int active_calls = 0;  // Without the nested calls of backend servers.
  Instant::duration longest_stall{};
  bool busy = false;
  bool ending = false;
};

}  // namespace

bool RunSoak(const SoakOptions& options) {
  return Soak(options).Run();
}

}  // namespace tanagerledge::soak
