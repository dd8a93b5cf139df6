// Measures the service that each rank gets, in virtual time, when one rank or
// client account floods a service and when some backend servers misbehave.
//
// Bounds, from issue 5:
//   - The least urgent rank floods at 10 times the capacity: the share of
//     urgent calls answered within the deadline is at least 99% of the share
//     without the flood, and useful work is at least 95% of capacity.
//   - The most urgent rank floods at 10 times the capacity: each other rank
//     gets the slot time of its floor, or all it asks for if that is less, and
//     useful work is at least 95% of capacity.
//   - One client account floods within a rank: each other client account gets
//     at least 90% of its fair share.
//   - All backend servers shed above half of their slots: useful work is at
//     least 95% of what they accept.
//   - One backend server or availability zone misbehaves: the urgent goodput is
//     at least that of each baseline.
// The two deployments differ only in their policies, slots, latency between
// availability zones, and services.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "benchmarks/bounds.h"
#include "benchmarks/call_model.h"

namespace tanagerledge::model {
namespace {

const RankName kUrgent{"urgent"};
const RankName kNormal{"normal"};
const RankName kBulk{"bulk"};

constexpr double kFloodFactor = 10;

constexpr double kMinRatioToBaseline = 1.0;

const Strategy kTanagerledgeStrategy{"tanagerledge",
                                     EndpointSelection::kTanagerledge, true};
const Strategy kRoundRobin{"round robin", EndpointSelection::kRoundRobin,
                           false};
const Strategy kLeastLoad{"least load", EndpointSelection::kLeastReportedLoad,
                          false};

struct Deployment {
  std::string name;
  int slots = 0;
  milliseconds inter_zone_latency{0};
  std::map<RankName, RankPolicy> policies;
  // Names and numbers of endpoints.
  std::vector<std::pair<std::string, int>> services;
};

std::map<RankName, RankPolicy> MakePolicies(int urgent, int normal, int bulk) {
  return {{kUrgent, {kUrgent, milliseconds(100), 100, urgent}},
          {kNormal, {kNormal, milliseconds(200), 50, normal}},
          {kBulk, {kBulk, milliseconds(400), 10, bulk}}};
}

std::vector<Deployment> Deployments() {
  return {{"Beryn",
           13,
           milliseconds(1),
           MakePolicies(20, 5, 5),
           {{"catalogue", 5}, {"certifier", 4}, {"claims", 3}}},
          {"Sprinklo",
           20,
           milliseconds(2),
           MakePolicies(20, 30, 25),
           {{"archiv", 5}, {"osvedceni", 3}, {"fakturace", 3}}}};
}

struct RankWorkload {
  RankName rank;
  Seconds mean_service_time;
  milliseconds deadline;
  // Share of the capacity that the rank asks for without a flood.
  double ordinary_share;
};

const std::vector<RankWorkload>& RankWorkloads() {
  static const std::vector<RankWorkload> kRankWorkloads = {
      {kUrgent, milliseconds(12), milliseconds(250), 0.35},
      {kNormal, milliseconds(10), milliseconds(400), 0.25},
      {kBulk, milliseconds(8), milliseconds(800), 0.15}};
  return kRankWorkloads;
}

std::vector<BackendTraits> MakeBackends(int count, int slots) {
  std::vector<BackendTraits> backends;
  for (int index = 0; index < count; ++index) {
    BackendTraits traits;
    traits.zone = {"z" + std::to_string(index % 3 + 1)};
    traits.slots = slots;
    backends.push_back(traits);
  }
  return backends;
}

// Adds calls of one rank that ask for `share` of the capacity, divided evenly
// among three client accounts.
void AddRank(Scenario& scenario,
             const RankWorkload& workload,
             double share,
             Seconds from) {
  double slots = 0;
  for (const BackendTraits& traits : scenario.backends) {
    slots += traits.slots;
  }
  constexpr int kClientAccounts = 3;
  for (int index = 0; index < kClientAccounts; ++index) {
    scenario.streams.push_back(
        {workload.rank,
         {"firm" + std::to_string(index)},
         share * slots / workload.mean_service_time.count() / kClientAccounts,
         workload.mean_service_time,
         workload.deadline,
         from});
  }
}

Scenario MakeOrdinaryScenario(const Deployment& deployment,
                              const std::string& service,
                              int endpoints) {
  Scenario scenario;
  scenario.backends = MakeBackends(endpoints, deployment.slots);
  scenario.policies = deployment.policies;
  scenario.inter_zone_latency = deployment.inter_zone_latency;
  scenario.measure_until = Seconds(2.5);
  scenario.seed = std::hash<std::string>()(deployment.name + service);
  for (const RankWorkload& workload : RankWorkloads()) {
    AddRank(scenario, workload, workload.ordinary_share, Seconds(0));
  }
  return scenario;
}

// Floods --------------------------------------------------------------------

void RunLeastUrgentFlood(const Deployment& deployment,
                         const std::string& service,
                         int endpoints,
                         Bounds& bounds) {
  Scenario scenario = MakeOrdinaryScenario(deployment, service, endpoints);
  const Results without_flood = Run(scenario, kTanagerledgeStrategy);
  AddRank(scenario, RankWorkloads()[2], kFloodFactor, Seconds(1));
  const Results flood = Run(scenario, kTanagerledgeStrategy);
  const std::string title = deployment.name + " " + service;
  Print(title + ", calm", without_flood);
  Print(title + ", bulk floods", flood);
  bounds.AtLeast(title + ": urgent in deadline against calm",
                 flood.ranks.at(kUrgent).ok_share() /
                     without_flood.ranks.at(kUrgent).ok_share(),
                 0.99);
  bounds.AtLeast(title + ": useful work", flood.useful_share(), 0.95);
}

void RunMostUrgentFlood(const Deployment& deployment,
                        const std::string& service,
                        int endpoints,
                        Bounds& bounds) {
  Scenario scenario = MakeOrdinaryScenario(deployment, service, endpoints);
  scenario.streams.clear();
  AddRank(scenario, RankWorkloads()[0], kFloodFactor, Seconds(1));
  AddRank(scenario, RankWorkloads()[1], 0.5, Seconds(0));
  AddRank(scenario, RankWorkloads()[2], 0.5, Seconds(0));
  const Results flood = Run(scenario, kTanagerledgeStrategy);
  const std::string title = deployment.name + " " + service;
  Print(title + ", urgent floods", flood);
  for (const RankName& rank : {kNormal, kBulk}) {
    bounds.AtLeast(
        title + ": " + rank.value + " kept, against its floor",
        flood.ranks.at(rank).useful_slot_time / flood.slot_time_capacity,
        deployment.policies.at(rank).floor_percent / 100.0);
  }
  bounds.AtLeast(title + ": useful work", flood.useful_share(), 0.95);
}

// One client account asks for ten times the capacity, and two others ask for a
// third and a quarter of it. Neither exceeds the fair share of a third, so that
// both should get all that they ask for.
void RunClientAccountFlood(const Deployment& deployment, Bounds& bounds) {
  Scenario scenario = MakeOrdinaryScenario(deployment, "customers", 4);
  scenario.streams.clear();
  const RankWorkload& workload = RankWorkloads()[1];
  const double slots = 4.0 * deployment.slots;
  const auto add = [&](const char* name, double share) {
    scenario.streams.push_back(
        {workload.rank,
         {name},
         share * slots / workload.mean_service_time.count(),
         workload.mean_service_time,
         workload.deadline,
         Seconds(0)});
  };
  add("flooder", kFloodFactor);
  add("rival", 1.0 / 3);
  add("small", 0.25);
  const Results results = Run(scenario, kTanagerledgeStrategy);
  const std::string title = deployment.name + " one customer floods";
  Print(title, results);
  const std::vector<std::pair<std::string, double>> fair_shares = {
      {"rival", 1.0 / 3}, {"small", 0.25}};
  for (const auto& [name, share] : fair_shares) {
    bounds.AtLeast(title + ": " + name + " of its fair share",
                   results.client_accounts.at({name}).useful_slot_time /
                       results.slot_time_capacity / share,
                   0.9);
    std::printf("  %s: offered %d, ok %.2f%%\n", name.c_str(),
                results.client_accounts.at({name}).offered,
                100 * results.client_accounts.at({name}).ok_share());
  }
}

// Misbehaving backend servers -------------------------------------------------

struct FaultCase {
  std::string name;
  void (*change)(std::vector<BackendTraits>& backends);
};

const std::vector<FaultCase>& FaultCases() {
  static const std::vector<FaultCase> kFaultCases = {
      {"all well", [](std::vector<BackendTraits>&) {}},
      {"one slow by 10",
       [](std::vector<BackendTraits>& all) {
         all[0].service_time_factor = 10;
       }},
      {"one fails fast",
       [](std::vector<BackendTraits>& all) { all[0].fails_fast = true; }},
      {"one slow, reports no load",
       [](std::vector<BackendTraits>& all) {
         all[0].service_time_factor = 5;
         all[0].reports_no_load = true;
       }},
      {"one cold",
       [](std::vector<BackendTraits>& all) {
         all[0].cold_duration = Seconds(3);
       }},
      {"one drains",
       [](std::vector<BackendTraits>& all) {
         all[0].drains_at = Seconds(1.5);
       }},
      {"one sheds above half",
       [](std::vector<BackendTraits>& all) {
         all[0].shed_threshold = all[0].slots / 2;
       }},
      {"one slows above half",
       [](std::vector<BackendTraits>& all) {
         all[0].slowdown_threshold = all[0].slots / 2;
       }},
      {"a zone is lost", [](std::vector<BackendTraits>& all) {
         for (BackendTraits& traits : all) {
           traits.lost_at =
               traits.zone == Zone{"z1"} ? Seconds(1.5) : Seconds(1e9);
         }
       }}};
  return kFaultCases;
}

// Compares the urgent goodput with that of both baselines while one backend
// server or availability zone misbehaves.
void RunFaultCases(const Deployment& deployment, Bounds& bounds) {
  for (const FaultCase& fault_case : FaultCases()) {
    Scenario scenario = MakeOrdinaryScenario(deployment, fault_case.name, 5);
    scenario.measure_until = Seconds(3.5);
    fault_case.change(scenario.backends);
    const std::string title = deployment.name + " " + fault_case.name;
    const Results result = Run(scenario, kTanagerledgeStrategy);
    Print(title + ", tanagerledge", result);
    for (const Strategy& baseline : {kRoundRobin, kLeastLoad}) {
      const Results other = Run(scenario, baseline);
      Print(title + ", " + baseline.name, other);
      bounds.AtLeast(title + ": urgent goodput against " + baseline.name,
                     static_cast<double>(result.ranks.at(kUrgent).ok) /
                         result.ranks.at(kUrgent).offered /
                         other.ranks.at(kUrgent).ok_share(),
                     kMinRatioToBaseline);
    }
  }
}

// All backend servers reject calls above half of their announced slots while
// the bulk rank asks for three times the capacity.
void RunAllBackendsShed(const Deployment& deployment, Bounds& bounds) {
  Scenario scenario = MakeOrdinaryScenario(deployment, "shed", 4);
  for (BackendTraits& traits : scenario.backends) {
    traits.shed_threshold = traits.slots / 2;
  }
  constexpr double kShedFlood = 3;
  AddRank(scenario, RankWorkloads()[2], kShedFlood, Seconds(1));
  const Results results = Run(scenario, kTanagerledgeStrategy);
  const std::string title = deployment.name + " all shed above half";
  Print(title, results);
  const int accepted_slots = deployment.slots / 2;
  bounds.AtLeast(title + ": useful work of what they take",
                 results.useful_share() * deployment.slots / accepted_slots,
                 0.95);
}

int Main() {
  Bounds bounds;
  for (const Deployment& deployment : Deployments()) {
    for (const auto& [service, endpoints] : deployment.services) {
      RunLeastUrgentFlood(deployment, service, endpoints, bounds);
      RunMostUrgentFlood(deployment, service, endpoints, bounds);
    }
    RunClientAccountFlood(deployment, bounds);
    RunAllBackendsShed(deployment, bounds);
    RunFaultCases(deployment, bounds);
  }
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge::model

int main() {
  return tanagerledge::model::Main();
}
