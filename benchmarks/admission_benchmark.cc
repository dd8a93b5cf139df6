// Service by rank in floods and with odd backend servers, in virtual time.
//
// Bounds, from issue 5:
//   least urgent floods at 10x: the urgent rank's in-deadline share is at least
//     99% of its level without the flood; useful work at least 95% of capacity;
//   most urgent floods at 10x: each other rank keeps its floor in slot time, or
//     all it asks for; useful work at least 95% of capacity;
//   one client account floods inside a rank: the others keep 90% of a fair
//     share;
//   backend servers that shed above half of their slots: useful work at least
//     95% of what they take;
//   odd backend servers: urgent goodput not below either baseline.
// The two deployments differ only in their policies.

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

// Ours must not lose to a baseline.
constexpr double kNotLess = 1.0;

const Treatment kOurs{"tanagerledge", Choice::kTanagerledge, true};
const Treatment kRoundRobin{"round robin", Choice::kRoundRobin, false};
const Treatment kLeastLoad{"least load", Choice::kLeastReported, false};

struct Deployment {
  std::string name;
  int slots = 0;
  milliseconds zone_distance{0};
  std::map<RankName, RankPolicy> policies;
  std::vector<std::pair<std::string, int>> services;  // And their endpoints.
};

std::map<RankName, RankPolicy> Policies(int urgent, int normal, int bulk) {
  return {{kUrgent, {kUrgent, milliseconds(100), 100, urgent}},
          {kNormal, {kNormal, milliseconds(200), 50, normal}},
          {kBulk, {kBulk, milliseconds(400), 10, bulk}}};
}

std::vector<Deployment> Deployments() {
  return {{"Beryn",
           13,
           milliseconds(1),
           Policies(20, 5, 5),
           {{"catalogue", 5}, {"certifier", 4}, {"claims", 3}}},
          {"Sprinklo",
           20,
           milliseconds(2),
           Policies(20, 30, 25),
           {{"archiv", 5}, {"osvedceni", 3}, {"fakturace", 3}}}};
}

struct RankWork {
  RankName rank;
  Seconds work;
  milliseconds deadline;
  double usual_share;  // Of capacity, on an ordinary day.
};

const std::vector<RankWork>& Works() {
  static const std::vector<RankWork> kWorks = {
      {kUrgent, milliseconds(12), milliseconds(250), 0.35},
      {kNormal, milliseconds(10), milliseconds(400), 0.25},
      {kBulk, milliseconds(8), milliseconds(800), 0.15}};
  return kWorks;
}

std::vector<BackendTraits> Backends(int count, int slots) {
  std::vector<BackendTraits> backends;
  for (int index = 0; index < count; ++index) {
    BackendTraits traits;
    traits.zone = {"z" + std::to_string(index % 3 + 1)};
    traits.slots = slots;
    backends.push_back(traits);
  }
  return backends;
}

// Calls of one rank that ask for `share` of the capacity, by three client
// accounts.
void AddRank(Scenario& scenario,
             const RankWork& work,
             double share,
             Seconds from) {
  double slots = 0;
  for (const BackendTraits& traits : scenario.backends) {
    slots += traits.slots;
  }
  constexpr int kClientAccounts = 3;
  for (int index = 0; index < kClientAccounts; ++index) {
    scenario.streams.push_back(
        {work.rank,
         {"firm" + std::to_string(index)},
         share * slots / work.work.count() / kClientAccounts,
         work.work,
         work.deadline,
         from});
  }
}

Scenario Ordinary(const Deployment& deployment,
                  const std::string& service,
                  int endpoints) {
  Scenario scenario;
  scenario.backends = Backends(endpoints, deployment.slots);
  scenario.policies = deployment.policies;
  scenario.zone_distance = deployment.zone_distance;
  scenario.measure_until = Seconds(2.5);
  scenario.seed = std::hash<std::string>()(deployment.name + service);
  for (const RankWork& work : Works()) {
    AddRank(scenario, work, work.usual_share, Seconds(0));
  }
  return scenario;
}

// Floods --------------------------------------------------------------------

void LeastUrgentFloods(const Deployment& deployment,
                       const std::string& service,
                       int endpoints,
                       Bounds& bounds) {
  Scenario scenario = Ordinary(deployment, service, endpoints);
  const Figures calm = Run(scenario, kOurs);
  AddRank(scenario, Works()[2], kFloodFactor, Seconds(1));
  const Figures flood = Run(scenario, kOurs);
  const std::string title = deployment.name + " " + service;
  Print(title + ", calm", calm);
  Print(title + ", bulk floods", flood);
  bounds.AtLeast(
      title + ": urgent in deadline against calm",
      flood.ranks.at(kUrgent).ok_share() / calm.ranks.at(kUrgent).ok_share(),
      0.99);
  bounds.AtLeast(title + ": useful work", flood.utility(), 0.95);
}

void MostUrgentFloods(const Deployment& deployment,
                      const std::string& service,
                      int endpoints,
                      Bounds& bounds) {
  Scenario scenario = Ordinary(deployment, service, endpoints);
  scenario.streams.clear();
  AddRank(scenario, Works()[0], kFloodFactor, Seconds(1));
  AddRank(scenario, Works()[1], 0.5, Seconds(0));
  AddRank(scenario, Works()[2], 0.5, Seconds(0));
  const Figures flood = Run(scenario, kOurs);
  const std::string title = deployment.name + " " + service;
  Print(title + ", urgent floods", flood);
  for (const RankName& rank : {kNormal, kBulk}) {
    bounds.AtLeast(title + ": " + rank.value + " kept, against its floor",
                   flood.ranks.at(rank).useful / flood.capacity,
                   deployment.policies.at(rank).floor_percent / 100.0);
  }
  bounds.AtLeast(title + ": useful work", flood.utility(), 0.95);
}

// One firm asks for ten times the capacity, two others for a third and a
// quarter each: below their fair third, so that they should keep it all.
void OneClientAccountFloods(const Deployment& deployment, Bounds& bounds) {
  Scenario scenario = Ordinary(deployment, "customers", 4);
  scenario.streams.clear();
  const RankWork& work = Works()[1];
  const double slots = 4.0 * deployment.slots;
  const auto add = [&](const char* name, double share) {
    scenario.streams.push_back({work.rank,
                                {name},
                                share * slots / work.work.count(),
                                work.work,
                                work.deadline,
                                Seconds(0)});
  };
  add("flooder", kFloodFactor);
  add("rival", 1.0 / 3);
  add("small", 0.25);
  const Figures figures = Run(scenario, kOurs);
  const std::string title = deployment.name + " one customer floods";
  Print(title, figures);
  const std::vector<std::pair<std::string, double>> fair = {{"rival", 1.0 / 3},
                                                            {"small", 0.25}};
  for (const auto& [name, share] : fair) {
    bounds.AtLeast(
        title + ": " + name + " of its fair share",
        figures.client_accounts.at({name}).useful / figures.capacity / share,
        0.9);
    std::printf("  %s: offered %d, ok %.2f%%\n", name.c_str(),
                figures.client_accounts.at({name}).offered,
                100 * figures.client_accounts.at({name}).ok_share());
  }
}

// Odd backend servers ---------------------------------------------------------

struct Oddity {
  std::string name;
  void (*change)(std::vector<BackendTraits>& backends);
};

const std::vector<Oddity>& Oddities() {
  static const std::vector<Oddity> kOddities = {
      {"all well", [](std::vector<BackendTraits>&) {}},
      {"one slow by 10",
       [](std::vector<BackendTraits>& all) { all[0].slowness = 10; }},
      {"one fails fast",
       [](std::vector<BackendTraits>& all) { all[0].fails_fast = true; }},
      {"one slow, reports no load",
       [](std::vector<BackendTraits>& all) {
         all[0].slowness = 5;
         all[0].reports_no_load = true;
       }},
      {"one cold",
       [](std::vector<BackendTraits>& all) { all[0].cold_for = Seconds(3); }},
      {"one drains",
       [](std::vector<BackendTraits>& all) {
         all[0].drains_at = Seconds(1.5);
       }},
      {"one sheds above half",
       [](std::vector<BackendTraits>& all) {
         all[0].sheds_above = all[0].slots / 2;
       }},
      {"one slows above half",
       [](std::vector<BackendTraits>& all) {
         all[0].slows_above = all[0].slots / 2;
       }},
      {"a zone is lost", [](std::vector<BackendTraits>& all) {
         for (BackendTraits& traits : all) {
           traits.lost_at =
               traits.zone == Zone{"z1"} ? Seconds(1.5) : Seconds(1e9);
         }
       }}};
  return kOddities;
}

// Urgent goodput, with bulk asking for more than there is.
void OddBackends(const Deployment& deployment, Bounds& bounds) {
  for (const Oddity& oddity : Oddities()) {
    Scenario scenario = Ordinary(deployment, oddity.name, 5);
    scenario.measure_until = Seconds(3.5);
    oddity.change(scenario.backends);
    const std::string title = deployment.name + " " + oddity.name;
    const Figures ours = Run(scenario, kOurs);
    Print(title + ", tanagerledge", ours);
    for (const Treatment& baseline : {kRoundRobin, kLeastLoad}) {
      const Figures other = Run(scenario, baseline);
      Print(title + ", " + baseline.name, other);
      bounds.AtLeast(title + ": urgent goodput against " + baseline.name,
                     static_cast<double>(ours.ranks.at(kUrgent).ok) /
                         ours.ranks.at(kUrgent).offered /
                         other.ranks.at(kUrgent).ok_share(),
                     kNotLess);
    }
  }
}

// All backend servers refuse above half of the slots that they announced, and
// bulk asks for three times what there is.
void AllShed(const Deployment& deployment, Bounds& bounds) {
  Scenario scenario = Ordinary(deployment, "shed", 4);
  for (BackendTraits& traits : scenario.backends) {
    traits.sheds_above = traits.slots / 2;
  }
  constexpr double kShedFlood = 3;
  AddRank(scenario, Works()[2], kShedFlood, Seconds(1));
  const Figures figures = Run(scenario, kOurs);
  const std::string title = deployment.name + " all shed above half";
  Print(title, figures);
  const int taken = deployment.slots / 2;
  bounds.AtLeast(title + ": useful work of what they take",
                 figures.utility() * deployment.slots / taken, 0.95);
}

int Main() {
  Bounds bounds;
  for (const Deployment& deployment : Deployments()) {
    for (const auto& [service, endpoints] : deployment.services) {
      LeastUrgentFloods(deployment, service, endpoints, bounds);
      MostUrgentFloods(deployment, service, endpoints, bounds);
    }
    OneClientAccountFloods(deployment, bounds);
    AllShed(deployment, bounds);
    OddBackends(deployment, bounds);
  }
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge::model

int main() {
  return tanagerledge::model::Main();
}
