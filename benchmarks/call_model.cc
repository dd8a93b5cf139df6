#include "benchmarks/call_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <unordered_map>

namespace tanagerledge::model {
namespace {

constexpr int kEntryNodes = 6;
// One-way latency within an availability zone.
constexpr Seconds kIntraZoneLatency = std::chrono::microseconds(100);
constexpr Seconds kTickInterval = milliseconds(5);
constexpr Seconds kUnreachableDetectionDelay = milliseconds(10);
constexpr Seconds kMembershipPropagationDelay = milliseconds(1'000);
constexpr Seconds kFastAnswerTime = std::chrono::microseconds(200);
constexpr double kRetryTokensPerCall = 0.1;
// Calls that one backend server holds at most when admission is off.
constexpr std::size_t kMaxConnections = 130;
constexpr double kColdServiceTimeFactor = 5;

const ServiceName kService{"service"};

struct ModelCall {
  std::uint64_t id = 0;
  const Stream* stream = nullptr;
  Instant arrived{};
  Instant deadline{};
  Seconds service_time{0};
  int entry_index = 0;
  std::vector<NodeId> tried_nodes;
  std::size_t backend_index = 0;
  Instant sent{};
  Instant started{};
  Instant ended{};
};

using CallPointer = std::shared_ptr<ModelCall>;

struct Backend {
  BackendTraits traits;
  NodeId node;
  AdmissionController admission;
  std::deque<CallPointer> waiting_calls;  // Used only when admission is off.
  // Queued and running calls by id.
  std::unordered_map<std::uint64_t, CallPointer> open_calls;
  int running = 0;
  bool lost = false;
  bool draining = false;
};

struct EntryNode {
  Zone zone;
  EndpointChooser chooser;
  std::map<NodeId, int> reported_load;
  std::size_t next_endpoint = 0;
  double retry_tokens = 10;
};

class Simulation {
 public:
  Simulation(const Scenario& run_scenario, const Strategy& run_strategy)
      : scenario(run_scenario),
        strategy(run_strategy),
        arrival_rng(run_scenario.seed),
        rng(run_scenario.seed) {
    for (const BackendTraits& traits : run_scenario.backends) {
      auto backend = std::make_unique<Backend>();
      backend->traits = traits;
      backend->node = {"10.0.0." + std::to_string(this->backends.size()) +
                       ":7000"};
      backend->admission.OnSlots(traits.slots, this->queue.now());
      backend->admission.OnPolicies(run_scenario.policies);
      this->backends.push_back(std::move(backend));
    }
    for (int index = 0; index < kEntryNodes; ++index) {
      auto entry = std::make_unique<EntryNode>();
      entry->zone = {"z" + std::to_string(index % 3 + 1)};
      this->entry_nodes.push_back(std::move(entry));
    }
    this->results.attempts_per_backend.resize(this->backends.size());
    this->start_time = this->queue.now();
    this->RebuildSnapshot();
  }

  Results Run() {
    for (const Stream& stream : this->scenario.streams) {
      this->queue.ScheduleAfter(
          stream.from, [this, &stream] { this->GenerateNextCall(stream); });
    }
    for (std::size_t index = 0; index < this->backends.size(); ++index) {
      this->queue.ScheduleAfter(kTickInterval,
                                [this, index] { this->Tick(index); });
      this->ScheduleFaults(index);
    }
    const Seconds span =
        this->scenario.measure_until - this->scenario.measure_from;
    this->queue.RunUntil(
        this->TimeAt(this->scenario.measure_until + Seconds(2)));
    for (const BackendTraits& traits : this->scenario.backends) {
      this->results.slot_time_capacity += span * traits.slots;
    }
    return std::move(this->results);
  }

 private:
  Instant TimeAt(Seconds since_start) const {
    return this->start_time +
           std::chrono::duration_cast<Instant::duration>(since_start);
  }

  bool IsMeasured(Instant at) const {
    return at >= this->TimeAt(this->scenario.measure_from) &&
           at < this->TimeAt(this->scenario.measure_until);
  }

  double DrawExponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(this->arrival_rng);
  }

  // Draws a lognormal service time, so that some calls take several times the
  // mean.
  Seconds DrawServiceTime(Seconds mean) {
    constexpr double kSigma = 0.5;
    std::lognormal_distribution<double> draw(-kSigma * kSigma / 2, kSigma);
    return mean * draw(this->arrival_rng);
  }

  // Faults of backend servers -------------------------------------------------

  void ScheduleFaults(std::size_t index) {
    Backend& backend = *this->backends[index];
    this->queue.ScheduleAfter(backend.traits.drains_at, [this, &backend] {
      backend.draining = true;
      this->ApplyActions(backend, backend.admission.OnDrain(this->queue.now()));
      this->queue.ScheduleAfter(kMembershipPropagationDelay,
                                [this] { this->RebuildSnapshot(); });
    });
    this->queue.ScheduleAfter(backend.traits.lost_at, [this, &backend] {
      backend.lost = true;
      const auto lost_calls = std::move(backend.open_calls);
      backend.open_calls.clear();
      for (const auto& lost_call : lost_calls) {
        const CallPointer call = lost_call.second;
        this->queue.ScheduleAfter(kUnreachableDetectionDelay, [this, call] {
          this->ReportUnreachable(call);
          this->RecordOutcome(call, &CallStats::failed);
        });
      }
      this->queue.ScheduleAfter(kMembershipPropagationDelay,
                                [this] { this->RebuildSnapshot(); });
    });
  }

  void RebuildSnapshot() {
    auto fleet = std::make_shared<FleetState>();
    fleet->services = {kService};
    fleet->ranks = this->scenario.policies;
    std::vector<Endpoint> endpoints;
    for (const auto& backend : this->backends) {
      if (backend->lost) {
        continue;
      }
      const bool cold = backend->traits.cold_duration > Seconds(0);
      endpoints.push_back(
          {backend->node,
           kService,
           backend->traits.zone,
           backend->draining ? EndpointState::kDraining : backend->traits.state,
           backend->traits.slots,
           cold ? this->start_time
                : this->start_time - std::chrono::minutes(10),
           {}});
    }
    this->snapshot = std::make_unique<Snapshot>(fleet, endpoints);
  }

  void Tick(std::size_t index) {
    Backend& backend = *this->backends[index];
    if (backend.lost) {
      return;
    }
    this->ApplyActions(backend, backend.admission.OnTick(this->queue.now()));
    this->queue.ScheduleAfter(kTickInterval,
                              [this, index] { this->Tick(index); });
  }

  // Callers -----------------------------------------------------------------

  void GenerateNextCall(const Stream& stream) {
    if (this->queue.now() > this->TimeAt(stream.until) ||
        this->queue.now() > this->TimeAt(this->scenario.measure_until)) {
      return;
    }
    auto call = std::make_shared<ModelCall>();
    call->id = ++this->last_id;
    call->stream = &stream;
    call->arrived = this->queue.now();
    call->deadline = call->arrived + stream.deadline;
    call->service_time = this->DrawServiceTime(stream.mean_service_time);
    call->entry_index = static_cast<int>(this->arrival_rng() % kEntryNodes);
    this->CountCall(call, &CallStats::offered);
    this->entry_nodes[call->entry_index]->retry_tokens =
        std::min(10.0, this->entry_nodes[call->entry_index]->retry_tokens +
                           kRetryTokensPerCall);
    this->SendAttempt(call);
    this->queue.ScheduleAfter(
        Seconds(this->DrawExponential(1 / stream.calls_per_second)),
        [this, &stream] { this->GenerateNextCall(stream); });
  }

  void SendAttempt(const CallPointer& call) {
    EntryNode& entry = *this->entry_nodes[call->entry_index];
    const std::optional<NodeId> node = this->ChooseNode(entry, *call);
    if (!node) {
      this->RecordOutcome(call, &CallStats::refused);
      return;
    }
    const auto found = std::ranges::find(
        this->backends, *node, [](const auto& each) { return each->node; });
    call->backend_index =
        static_cast<std::size_t>(found - this->backends.begin());
    call->sent = this->queue.now();
    call->tried_nodes.push_back(*node);
    ++this->results.attempts_per_backend[call->backend_index];
    entry.chooser.OnStart(*node);
    this->queue.ScheduleAfter(this->NetworkLatency(*call),
                              [this, call] { this->Deliver(call); });
  }

  std::optional<NodeId> ChooseNode(EntryNode& entry, const ModelCall& call) {
    if (this->strategy.endpoint_selection == EndpointSelection::kTanagerledge) {
      return entry.chooser.Choose(*this->snapshot, kService, call.stream->rank,
                                  call.stream->client_account, entry.zone,
                                  call.tried_nodes, this->queue.now(),
                                  this->rng);
    }
    std::vector<NodeId> candidates;
    for (const Endpoint& endpoint : this->snapshot->EndpointsOf(kService)) {
      const bool tried = std::ranges::find(call.tried_nodes, endpoint.node) !=
                         call.tried_nodes.end();
      if (endpoint.state == EndpointState::kReady && !tried) {
        candidates.push_back(endpoint.node);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    if (this->strategy.endpoint_selection == EndpointSelection::kRoundRobin) {
      return candidates[entry.next_endpoint++ % candidates.size()];
    }
    std::ranges::shuffle(candidates, this->rng);
    return *std::ranges::min_element(candidates, {}, [&](const NodeId& node) {
      return entry.reported_load[node];
    });
  }

  Seconds NetworkLatency(const ModelCall& call) const {
    const bool same_zone = this->entry_nodes[call.entry_index]->zone ==
                           this->backends[call.backend_index]->traits.zone;
    return same_zone ? kIntraZoneLatency
                     : Seconds(this->scenario.inter_zone_latency);
  }

  void ReportUnreachable(const CallPointer& call) {
    this->entry_nodes[call->entry_index]->chooser.OnUnreachable(
        this->backends[call->backend_index]->node, this->queue.now());
  }

  void SendReply(const CallPointer& call, FinishKind kind) {
    const Backend& backend = *this->backends[call->backend_index];
    const LoadReport load = this->MakeLoadReport(backend);
    this->queue.ScheduleAfter(this->NetworkLatency(*call), [this, call, kind,
                                                            load] {
      EntryNode& entry = *this->entry_nodes[call->entry_index];
      const NodeId& node = this->backends[call->backend_index]->node;
      const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
          this->queue.now() - call->sent);
      entry.chooser.OnReply(node, call->stream->rank,
                            call->stream->client_account, kind, load, took,
                            this->queue.now());
      entry.reported_load[node] = load.running + load.queued;
      this->HandleReply(call, kind);
    });
  }

  void HandleReply(const CallPointer& call, FinishKind kind) {
    const bool in_time = this->queue.now() <= call->deadline;
    if (kind == FinishKind::kShed) {
      this->RetryOrRefuse(call);
    } else if (kind == FinishKind::kFailed) {
      this->RecordOutcome(call, &CallStats::failed);
    } else if (!in_time) {
      this->RecordOutcome(call, &CallStats::late);
    } else {
      this->AddUsefulTime(call);
      this->RecordOutcome(call, &CallStats::ok);
    }
  }

  void RetryOrRefuse(const CallPointer& call) {
    EntryNode& entry = *this->entry_nodes[call->entry_index];
    const bool may_retry = call->tried_nodes.size() < 2 &&
                           entry.retry_tokens >= 1 &&
                           this->queue.now() < call->deadline;
    if (!may_retry) {
      this->RecordOutcome(call, &CallStats::refused);
      return;
    }
    entry.retry_tokens -= 1;
    this->SendAttempt(call);
  }

  // Backend servers -----------------------------------------------------------

  void Deliver(const CallPointer& call) {
    Backend& backend = *this->backends[call->backend_index];
    if (backend.lost) {
      this->queue.ScheduleAfter(kUnreachableDetectionDelay, [this, call] {
        this->ReportUnreachable(call);
        this->RetryOrRefuse(call);
      });
      return;
    }
    backend.open_calls[call->id] = call;
    if (this->strategy.admission) {
      this->ApplyActions(backend, backend.admission.Offer(
                                      {call->id, call->stream->rank,
                                       call->stream->client_account,
                                       call->arrived, call->deadline, false},
                                      this->queue.now()));
      return;
    }
    if (backend.draining || backend.open_calls.size() > kMaxConnections) {
      backend.open_calls.erase(call->id);
      this->SendReply(call, FinishKind::kShed);
      return;
    }
    backend.waiting_calls.push_back(call);
    this->ServeQueue(backend);
  }

  void ServeQueue(Backend& backend) {
    while (!backend.waiting_calls.empty() &&
           backend.running < backend.traits.slots) {
      const CallPointer call = backend.waiting_calls.front();
      backend.waiting_calls.pop_front();
      if (call->deadline <= this->queue.now()) {
        backend.open_calls.erase(call->id);
        this->SendReply(call, FinishKind::kShed);
        continue;
      }
      this->StartCall(backend, call);
    }
  }

  void ApplyActions(Backend& backend, const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* run = std::get_if<RunCall>(&action)) {
        this->StartCall(backend, backend.open_calls.at(run->id));
      } else {
        const std::uint64_t id = std::get<RefuseCall>(action).id;
        const CallPointer call = backend.open_calls.at(id);
        backend.open_calls.erase(id);
        this->SendReply(call, FinishKind::kShed);
      }
    }
  }

  void StartCall(Backend& backend, const CallPointer& call) {
    call->started = this->queue.now();
    ++backend.running;
    const BackendTraits& traits = backend.traits;
    const bool sheds =
        traits.shed_threshold > 0 && backend.running > traits.shed_threshold;
    Seconds service_time = call->service_time * traits.service_time_factor;
    FinishKind kind = FinishKind::kOk;
    if (traits.slowdown_threshold > 0) {
      service_time *= std::max(1.0, static_cast<double>(backend.running) /
                                        traits.slowdown_threshold);
    }
    if (this->queue.now() < this->TimeAt(traits.cold_duration)) {
      service_time *= kColdServiceTimeFactor;
    }
    if (traits.fails_fast || sheds) {
      service_time = kFastAnswerTime;
      kind = sheds ? FinishKind::kShed : FinishKind::kFailed;
    }
    this->queue.ScheduleAfter(service_time, [this, &backend, call, kind] {
      this->FinishCall(backend, call, kind);
    });
  }

  void FinishCall(Backend& backend, const CallPointer& call, FinishKind kind) {
    if (backend.lost) {
      return;
    }
    --backend.running;
    backend.open_calls.erase(call->id);
    call->ended = this->queue.now();
    if (this->strategy.admission) {
      const auto actions =
          backend.admission.OnFinished(call->id, kind, this->queue.now());
      this->SendReply(call, kind);
      this->ApplyActions(backend, actions);
      return;
    }
    this->SendReply(call, kind);
    this->ServeQueue(backend);
  }

  LoadReport MakeLoadReport(const Backend& backend) const {
    if (backend.traits.reports_no_load) {
      return {.limit = backend.traits.slots};
    }
    if (this->strategy.admission) {
      return backend.admission.Report(this->queue.now());
    }
    return {.limit = backend.traits.slots,
            .running = backend.running,
            .queued = static_cast<int>(backend.waiting_calls.size())};
  }

  // Results -----------------------------------------------------------------

  void CountCall(const CallPointer& call, int CallStats::*counter) {
    if (this->IsMeasured(call->arrived)) {
      ++(this->results.ranks[call->stream->rank].*counter);
      ++(this->results.client_accounts[call->stream->client_account].*counter);
    }
  }

  void RecordOutcome(const CallPointer& call, int CallStats::*counter) {
    this->CountCall(call, counter);
    if (counter == &CallStats::ok && this->IsMeasured(call->arrived)) {
      this->results.ranks[call->stream->rank].latencies.emplace_back(
          this->queue.now() - call->arrived);
    }
  }

  // Adds the part of a successful call's slot time that lies within the
  // measured interval.
  void AddUsefulTime(const CallPointer& call) {
    const Instant from =
        std::max(call->started, this->TimeAt(this->scenario.measure_from));
    const Instant until =
        std::min(call->ended, this->TimeAt(this->scenario.measure_until));
    const Seconds used = std::max(Seconds(0), Seconds(until - from));
    this->results.useful_slot_time += used;
    this->results.ranks[call->stream->rank].useful_slot_time += used;
    this->results.client_accounts[call->stream->client_account]
        .useful_slot_time += used;
  }

  const Scenario& scenario;
  const Strategy& strategy;
  // Separate from `rng`, so that each strategy gets the same calls.
  std::mt19937_64 arrival_rng;
  std::mt19937_64 rng;
  EventQueue queue;
  Instant start_time{};
  std::unique_ptr<Snapshot> snapshot;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<EntryNode>> entry_nodes;
  std::uint64_t last_id = 0;
  Results results;
};

}  // namespace

// EventQueue ----------------------------------------------------------------

void EventQueue::ScheduleAfter(Seconds delay, std::function<void()> callback) {
  constexpr Seconds kNever{1e6};
  if (delay < kNever) {
    this->events.push(
        {this->time + std::chrono::duration_cast<Instant::duration>(delay),
         this->next_order++, std::move(callback)});
  }
}

void EventQueue::RunUntil(Instant end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    Event event = std::move(const_cast<Event&>(this->events.top()));
    this->events.pop();
    this->time = event.at;
    event.callback();
  }
  this->time = end;
}

// Results -------------------------------------------------------------------

double CallStats::LatencyPercentileMs(double fraction) const {
  if (this->latencies.empty()) {
    return 0;
  }
  std::vector<Seconds> sorted = this->latencies;
  const auto index = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + index);
  return sorted[static_cast<std::size_t>(index)].count() * 1e3;
}

Results Run(const Scenario& scenario, const Strategy& strategy) {
  return Simulation(scenario, strategy).Run();
}

void Print(const std::string& title, const Results& results) {
  std::printf("%s: useful %.1f%% of capacity\n", title.c_str(),
              100 * results.useful_share());
  for (const auto& [rank, each] : results.ranks) {
    std::printf(
        "  %-9s offered %7d  ok %6.2f%%  refused %7d  late %5d  failed %5d  "
        "share %5.1f%%  p50 %6.1f ms  p99 %6.1f ms\n",
        rank.value.c_str(), each.offered, 100 * each.ok_share(), each.refused,
        each.late, each.failed,
        100 * (each.useful_slot_time / results.slot_time_capacity),
        each.LatencyPercentileMs(0.5), each.LatencyPercentileMs(0.99));
  }
}

}  // namespace tanagerledge::model
