#include "src/sidecar/rollout_host.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/execution/rendezvous.h"
#include "src/node/call_messages.h"
#include "src/rollout/rollout_wire.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kStoreTimeout{1500};
constexpr milliseconds kStoreRetryDelay{500};
// A node that does not answer is asked again in the next round.
constexpr milliseconds kReplyTimeout{1500};
// A node takes charge when it has been chosen for this long and the number of
// live nodes has not grown meanwhile: a node that has just started knows few.
constexpr milliseconds kChargeDelay{1500};
// A node that does not know the orders sends nothing to a service of several
// versions for at most this long after its start. The store may be away.
constexpr milliseconds kOrdersWait{3000};
constexpr int kServerErrorStatus = 500;

RolloutLimits LimitsOf(const FleetBounds& bounds) {
  return {bounds.exposure_ratio.value_or(0), bounds.exposure_slack};
}

std::string_view ToText(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kWaiting:
      return "waiting";
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kFinal:
      return "final";
    case RolloutPhase::kRejected:
      return "rejected";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled back";
  }
  return "";
}

bool CanServe(const Endpoint& endpoint) {
  return endpoint.state == EndpointState::kWarming ||
         endpoint.state == EndpointState::kReady;
}

}  // namespace

RolloutHost::RolloutHost(RolloutHostConfig host_config,
                         IoLoop& io_loop,
                         PeerTransport& peer_transport,
                         KeyedLogPort& store_port,
                         const PlatformPort& platform_port,
                         EventLog& event_log,
                         StoreCalls& store_calls)
    : config(std::move(host_config)),
      loop(io_loop),
      peers(peer_transport),
      store(store_port),
      platform(platform_port),
      events(event_log),
      calls(store_calls),
      started(Now()) {}

RolloutHost::Service& RolloutHost::ServiceOf(const ServiceName& name) {
  const auto found = this->services.find(name);
  if (found != this->services.end()) {
    return found->second;
  }
  RolloutGateConfig gate;
  gate.limits = LimitsOf(this->config.bounds);
  gate.self = this->config.self;
  gate.seed = this->config.incarnation.value;
  Service& service = this->services.try_emplace(name, gate).first->second;
  this->SetServers(name, service);
  return service;
}

// Orders ----------------------------------------------------------------------

void RolloutHost::OnRecords(std::span<const KeyedRecord> records, bool newest) {
  if (!this->enabled()) {
    return;
  }
  // Offsets are assigned again in a new era, so that a record that looks known
  // may be another one.
  const std::uint64_t store_era = this->store.era().value_or(StoreEra{}).value;
  if (store_era > this->era) {
    this->era = store_era;
    this->processed.clear();
  }
  std::ranges::for_each(records, [this](const KeyedRecord& record) {
    const auto [known, added] =
        this->processed.try_emplace(record.key, record.offset);
    const bool is_new = added || known->second != record.offset;
    known->second = record.offset;
    if (is_new && this->platform.IsRolloutKey(record.key)) {
      this->OnOrderRecord(record);
    }
  });
  this->orders_read = this->orders_read || newest;
}

void RolloutHost::OnOrderRecord(const KeyedRecord& record) {
  auto order = this->platform.ParseRolloutOrder(record);
  if (order) {
    order->era = this->era;
  }
  if (!order) {
    ++this->orders_rejected;
    this->events.Write(
        "roll-out order rejected",
        {{"key", record.key},
         {"offset", static_cast<std::int64_t>(record.offset.value)},
         {"error", order.error()}});
    return;
  }
  if (this->mesh) {
    this->CheckService(*order);
  } else {
    this->unchecked_orders[order->service] = *order;
  }
}

void RolloutHost::CheckService(const RolloutOrder& order) {
  if (this->mesh->Service(order.service) != nullptr) {
    this->AcceptOrder(order, milliseconds(0), "store");
    return;
  }
  ++this->orders_rejected;
  this->events.Write("roll-out order rejected",
                     {{"key", order.service.value},
                      {"offset", static_cast<std::int64_t>(order.offset.value)},
                      {"error", "no service of this name"}});
}

void RolloutHost::AcceptOrder(const RolloutOrder& order,
                              milliseconds age,
                              std::string_view source) {
  Service& service = this->ServiceOf(order.service);
  const auto former = service.gate.order();
  service.gate.OnOrder(order, age, Now());
  if (former == service.gate.order()) {
    return;
  }
  service.controller.reset();
  this->events.Write("roll-out order",
                     {{"service", order.service.value},
                      {"new_version", order.new_version},
                      {"duration_ms", order.duration.count()},
                      {"offset", static_cast<std::int64_t>(order.offset.value)},
                      {"age_ms", age.count()},
                      {"from", source}});
  // The order may have ended before this node started.
  if (source == "store") {
    this->loop.SpawnHere(
        [this, name = order.service] { this->UpdateStatus(name); });
  }
}

void RolloutHost::SetConfig(std::shared_ptr<const MeshConfig> next) {
  this->mesh = std::move(next);
  const auto orders = std::exchange(this->unchecked_orders, {});
  std::ranges::for_each(
      orders, [this](const auto& entry) { this->CheckService(entry.second); });
}

// Fleet -----------------------------------------------------------------------

void RolloutHost::SetMembers(const std::vector<Member>& all,
                             std::vector<NodeId> store_readers) {
  if (!this->enabled()) {
    return;
  }
  this->members = all;
  this->readers = std::move(store_readers);
  const auto live =
      static_cast<std::size_t>(std::ranges::count_if(all, &IsLive));
  if (live > this->fleet_size) {
    this->fleet_size = live;
    this->last_growth = Now();
  }
  std::ranges::for_each(all, [this](const Member& member) {
    if (member.endpoint) {
      this->ServiceOf(member.endpoint->service);
    }
  });
  for (auto& [name, service] : this->services) {
    this->SetServers(name, service);
  }
}

void RolloutHost::SetHints(const std::vector<Endpoint>& endpoints) {
  if (!this->enabled()) {
    return;
  }
  this->hints = endpoints;
  for (auto& [name, service] : this->services) {
    this->SetServers(name, service);
  }
}

void RolloutHost::SetServers(const ServiceName& name, Service& service) {
  std::vector<Endpoint> servers;
  std::ranges::for_each(this->members, [&](const Member& member) {
    if (IsLive(member) && member.endpoint && member.endpoint->service == name &&
        CanServe(*member.endpoint)) {
      servers.push_back(*member.endpoint);
      servers.back().node = member.node;
    }
  });
  service.hinted.clear();
  std::ranges::for_each(this->hints, [&](const Endpoint& hint) {
    if (hint.service == name &&
        std::ranges::find(servers, hint.node, &Endpoint::node) ==
            servers.end()) {
      service.hinted.push_back(hint.node);
    }
  });
  if (service.controller) {
    service.controller->SetServers(servers);
    service.controller->SetFleetSize(this->fleet_size);
  }
  service.gate.SetServers(std::move(servers), this->fleet_size, Now());
}

// Node in charge --------------------------------------------------------------

void RolloutHost::OnTick() {
  for (auto& [name, service] : this->services) {
    if (!service.gate.order()) {
      continue;
    }
    this->UpdateCharge(name, service);
    if (service.controller && Now() >= service.next_directive) {
      this->RunController(name, service);
    }
  }
}

void RolloutHost::UpdateCharge(const ServiceName& name, Service& service) {
  const auto best =
      BestNodesFor(std::hash<ServiceName>()(name), this->readers, 1);
  const bool chosen = !best.empty() && best.front() == this->config.self;
  const Instant now = Now();
  service.chosen_since =
      chosen ? std::optional(service.chosen_since.value_or(now)) : std::nullopt;
  const bool in_charge = chosen &&
                         now - *service.chosen_since >= kChargeDelay &&
                         now - this->last_growth >= kChargeDelay;
  const RolloutOrder& order = *service.gate.order();
  if (service.controller && (!chosen || service.controller->order() != order)) {
    service.controller.reset();
    this->events.Write("roll-out handed over", {{"service", name.value}});
  }
  if (in_charge && !service.controller) {
    RolloutControllerConfig controller;
    controller.limits = LimitsOf(this->config.bounds);
    service.controller.emplace(controller, order, service.gate.Age(now), now);
    service.acknowledged.clear();
    service.next_directive = now;
    service.next_status = now;
    service.logged_phase = RolloutPhase::kWaiting;
    this->SetServers(name, service);
    this->events.Write("roll-out in charge",
                       {{"service", name.value},
                        {"new_version", order.new_version},
                        {"age_ms", service.gate.Age(now).count()}});
  }
}

void RolloutHost::RunController(const ServiceName& name, Service& service) {
  const Instant now = Now();
  RolloutController& controller = *service.controller;
  controller.OnReport(this->config.self, this->config.incarnation,
                      service.gate.EvidenceSince(0), service.gate.phase(),
                      service.gate.Age(now), now);
  controller.Tick(now);
  service.next_directive = now + controller.Period();
  this->LogPhase(name, service);
  service.gate.OnDirective(controller.Directive(now), now);
  std::ranges::for_each(this->members, [&](const Member& member) {
    const auto known = service.acknowledged.find(member.node);
    const bool informed =
        known != service.acknowledged.end() && known->second.terminal &&
        known->second.incarnation ==
            static_cast<std::int64_t>(member.incarnation.value);
    if (member.node != this->config.self && IsLive(member) &&
        !(informed && IsTerminal(controller.phase())) &&
        this->peers.IsConnected(member.node) &&
        service.asked.insert(member.node).second) {
      this->loop.SpawnHere(
          [this, name, member] { this->SendDirective(name, member); });
    }
  });
  if ((!controller.status_known() || controller.DesiredStatus()) &&
      !service.status_busy && now >= service.next_status) {
    this->loop.SpawnHere([this, name] { this->UpdateStatus(name); });
  }
}

void RolloutHost::SendDirective(const ServiceName& name, const Member& member) {
  Service& service = this->services.at(name);  // Services are never removed.
  if (!service.controller) {
    service.asked.erase(member.node);
    return;
  }
  wire::RolloutDirective directive =
      ToWire(service.controller->Directive(Now()));
  const Acknowledged& known = service.acknowledged[member.node];
  directive.seen_incarnation = known.incarnation;
  directive.seen_revision = known.revision;
  const auto bytes = this->peers.Request(member.node, Channel::kRollout,
                                         Encode(directive), kReplyTimeout);
  service.asked.erase(member.node);
  if (!bytes) {
    return;
  }
  const auto report = Decode<wire::RolloutReport>(*bytes);
  const auto order = FromWire(directive.order);
  if (report && service.controller && order == service.controller->order()) {
    this->OnReport(service, member.node, *report);
  }
}

void RolloutHost::OnReport(Service& service,
                           const NodeId& node,
                           const wire::RolloutReport& report) {
  if (report.__isset.newer_order) {
    if (const auto newer = FromWire(report.newer_order)) {
      this->AcceptOrder(*newer, milliseconds(0), "peer");
    }
    return;
  }
  const auto rows = FromWire(report.rows);
  const auto phase = PhaseFromWire(report.phase);
  constexpr std::int64_t kMaxAgeMs = 7LL * 24 * 3'600'000;
  if (!rows || !phase || report.age_ms < 0 || report.age_ms > kMaxAgeMs) {
    this->events.Write("roll-out report unreadable", {{"from", node.value}});
    return;
  }
  service.controller->OnReport(
      node, {static_cast<std::uint64_t>(report.incarnation)}, *rows, *phase,
      milliseconds(report.age_ms), Now());
  service.acknowledged[node] = {report.incarnation, report.revision,
                                IsTerminal(*phase)};
}

void RolloutHost::LogPhase(const ServiceName& name, Service& service) {
  const RolloutController& controller = *service.controller;
  if (std::exchange(service.logged_phase, controller.phase()) ==
      controller.phase()) {
    return;
  }
  EvidenceCounts target;
  EvidenceCounts others;
  for (const auto& [key, counts] : controller.Sum()) {
    (key.server.value.empty() ? others : target) += counts;
  }
  this->events.Write("roll-out phase",
                     {{"service", name.value},
                      {"phase", ToText(controller.phase())},
                      {"reason", controller.reason()},
                      {"age_ms", service.gate.Age(Now()).count()},
                      {"target_answers", target.answers},
                      {"target_failures", target.failures},
                      {"other_answers", others.answers},
                      {"other_failures", others.failures}});
}

// Status ----------------------------------------------------------------------

// Reads the status, and writes it if this node is in charge and the store lacks
// it. The controller may change while the store is being called.
void RolloutHost::UpdateStatus(const ServiceName& name) {
  Service& service = this->services.at(name);
  if (std::exchange(service.status_busy, true)) {
    return;
  }
  const RolloutOrder order = *service.gate.order();
  ++this->calls.status_reads;
  const auto page = this->store.ReadNewest(this->platform.RolloutStatusStream(),
                                           kStoreTimeout);
  service.status_busy = false;
  if (service.gate.order() != order) {
    return;
  }
  if (!page) {
    service.next_status = Now() + kStoreRetryDelay;
    if (service.controller) {
      service.controller->OnStatusNotWritten();
    }
    return;
  }
  const auto record = std::ranges::find(
      page->records, this->platform.RolloutStatusKey(name), &KeyedRecord::key);
  std::optional<RolloutStatus> status;
  if (record != page->records.end()) {
    if (const auto parsed = this->platform.ParseRolloutStatus(record->value)) {
      status = *parsed;
      service.gate.OnStatus(*parsed);
    } else {
      this->events.Write("roll-out status unreadable",
                         {{"service", name.value}, {"error", parsed.error()}});
    }
  }
  if (!service.controller || service.controller->order() != order) {
    return;
  }
  service.controller->OnStatusRead(status);
  if (const auto desired = service.controller->DesiredStatus()) {
    this->WriteStatus(name, *desired, page->end);
  }
}

void RolloutHost::WriteStatus(const ServiceName& name,
                              RolloutState state,
                              LogOffset at) {
  Service& service = this->services.at(name);
  const RolloutOrder order = service.controller->order();
  const std::string text = this->platform.FormatRolloutStatus(
      {state, order.new_version, order.offset, order.era});
  service.status_busy = true;
  ++this->calls.status_writes;
  const auto put = this->store.PutAt(this->platform.RolloutStatusStream(),
                                     this->platform.RolloutStatusKey(name),
                                     text, at, kStoreTimeout);
  service.status_busy = false;
  this->events.Write("roll-out status",
                     {{"service", name.value},
                      {"status", text},
                      {"written", std::int64_t{put.has_value()}},
                      {"error", put ? std::string() : put.error().text}});
  if (!service.controller || service.controller->order() != order) {
    return;
  }
  if (put) {
    service.controller->OnStatusWritten(state);
    service.next_directive = Now();  // All nodes must know at once.
    return;
  }
  // After a lost answer or another writer's append, the next read shows what
  // the store has.
  const bool read_again = put.error().kind == LogErrorKind::kAmbiguous ||
                          put.error().kind == LogErrorKind::kConflict;
  service.next_status = read_again ? Now() : Now() + kStoreRetryDelay;
  service.next_directive =
      std::min(service.next_directive, std::max(Now(), service.next_status));
  if (!read_again) {
    service.controller->OnStatusNotWritten();
  }
}

// Directives ------------------------------------------------------------------

std::string RolloutHost::OnDirective(const NodeId& from,
                                     std::string_view bytes) {
  const auto message = Decode<wire::RolloutDirective>(bytes);
  const auto directive = message ? FromWire(*message) : std::nullopt;
  if (!directive || !this->enabled()) {
    this->events.Write("roll-out directive unreadable", {{"from", from.value}});
    return {};
  }
  this->AcceptOrder(directive->order, directive->age, "peer");
  Service& service = this->ServiceOf(directive->order.service);
  service.gate.OnDirective(*directive, Now());
  return Encode(this->ReportFor(service, *message));
}

wire::RolloutReport RolloutHost::ReportFor(
    Service& service,
    const wire::RolloutDirective& question) {
  const RolloutOrder& order = *service.gate.order();
  wire::RolloutReport report;
  report.incarnation =
      static_cast<std::int64_t>(this->config.incarnation.value);
  if (const auto asked = FromWire(question.order); asked && *asked != order) {
    report.__set_newer_order(ToWire(order));
    return report;
  }
  const bool same_start = question.seen_incarnation == report.incarnation;
  report.revision = service.gate.revision();
  report.rows = ToWire(
      service.gate.EvidenceSince(same_start ? question.seen_revision : 0));
  report.phase = static_cast<std::int32_t>(service.gate.phase());
  report.age_ms = service.gate.Age(Now()).count();
  return report;
}

// Requests --------------------------------------------------------------------

VersionChoice RolloutHost::Choose(const ServiceName& name, bool retry) {
  const auto found = this->services.find(name);
  if (found == this->services.end()) {
    return {};
  }
  Service& service = found->second;
  const Instant now = Now();
  VersionChoice choice = service.gate.Choose(retry, now);
  if (service.gate.order()) {
    if (choice.only || choice.excluded) {
      choice.excluded_servers.insert(choice.excluded_servers.end(),
                                     service.hinted.begin(),
                                     service.hinted.end());
    }
  } else if (!this->orders_read && now - this->started < kOrdersWait) {
    choice.none =
        service.gate.has_several_versions() || !service.hinted.empty();
  }
  return choice;
}

VersionChoice RolloutHost::ChooseInstead(const ServiceName& name,
                                         const VersionChoice& failed) {
  Service& service = this->ServiceOf(name);
  VersionChoice choice = service.gate.ChooseInstead(failed);
  choice.excluded_servers = service.hinted;
  return choice;
}

void RolloutHost::OnReply(const ServiceName& name,
                          const NodeId& node,
                          const RouteName& route,
                          const VersionChoice& choice,
                          const wire::CallReply& reply,
                          microseconds took) {
  const auto found = this->services.find(name);
  if (found == this->services.end() || !found->second.gate.order()) {
    return;
  }
  RolloutGate& gate = found->second.gate;
  const Outcome outcome = OutcomeOf(reply);
  if (outcome == Outcome::kNotRun) {
    if (choice.counts && ReasonOf(reply) != Reason::kBackendRefused) {
      gate.ReturnAllowance();
    }
    return;
  }
  // Without a load report the reply is not that of the node beside the backend
  // server, and says nothing about its version.
  if (!reply.__isset.load || ReasonOf(reply) == Reason::kAnswerTooLong) {
    return;
  }
  const bool failure =
      outcome != Outcome::kOk || reply.status >= kServerErrorStatus;
  gate.OnAnswer(
      node, route, failure,
      reply.execution_us > 0 ? microseconds(reply.execution_us) : took);
}

// Metrics ---------------------------------------------------------------------

std::size_t RolloutHost::in_charge() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->services,
      [](const auto& entry) { return entry.second.controller.has_value(); }));
}

std::int64_t RolloutHost::exposed() const {
  std::int64_t sum = 0;
  for (const auto& [name, service] : this->services) {
    sum += service.gate.exposed_requests();
  }
  return sum;
}

}  // namespace tanagerledge
