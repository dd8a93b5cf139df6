#include "benchmarks/call_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <unordered_map>

namespace tanagerledge::model {
namespace {

constexpr int kEntries = 6;
constexpr Seconds kHop = std::chrono::microseconds(100);  // Inside a zone.
constexpr Seconds kTick = milliseconds(5);
constexpr Seconds kUntilUnreachable = milliseconds(10);
constexpr Seconds kUntilMembershipKnows = milliseconds(1'000);
constexpr Seconds kQuickAnswer = std::chrono::microseconds(200);
constexpr double kRetryShare = 0.1;
constexpr std::size_t kConnections =
    130;  // Of a backend server without admission.
constexpr double kColdSlowness = 5;

const ServiceName kService{"service"};

struct ModelCall {
  std::uint64_t id = 0;
  const Stream* stream = nullptr;
  Instant arrived{};
  Instant deadline{};
  Seconds work{0};
  int entry = 0;
  std::vector<NodeId> tried;
  std::size_t at = 0;
  Instant sent{};
  Instant started{};
  Instant ended{};
};

using CallPointer = std::shared_ptr<ModelCall>;

struct Backend {
  BackendTraits traits;
  NodeId node;
  AdmissionController admission;
  std::deque<CallPointer> line;  // Without admission.
  std::unordered_map<std::uint64_t, CallPointer> here;
  int running = 0;
  bool lost = false;
  bool draining = false;
};

struct Entry {
  Zone zone;
  EndpointChooser chooser;
  std::map<NodeId, int> reported;
  std::size_t turn = 0;
  double retries_left = 10;
};

class Simulation {
 public:
  Simulation(const Scenario& what, const Treatment& how)
      : scenario(what), treatment(how), arrivals(what.seed), rng(what.seed) {
    for (const BackendTraits& traits : what.backends) {
      auto backend = std::make_unique<Backend>();
      backend->traits = traits;
      backend->node = {"10.0.0." + std::to_string(this->backends.size()) +
                       ":7000"};
      backend->admission.OnSlots(traits.slots, this->queue.now());
      backend->admission.OnPolicies(what.policies);
      this->backends.push_back(std::move(backend));
    }
    for (int index = 0; index < kEntries; ++index) {
      auto entry = std::make_unique<Entry>();
      entry->zone = {"z" + std::to_string(index % 3 + 1)};
      this->entries.push_back(std::move(entry));
    }
    this->figures.calls_at.resize(this->backends.size());
    this->begin = this->queue.now();
    this->RebuildSnapshot();
  }

  Figures Run() {
    for (const Stream& stream : this->scenario.streams) {
      this->queue.After(stream.from, [this, &stream] { this->Next(stream); });
    }
    for (std::size_t index = 0; index < this->backends.size(); ++index) {
      this->queue.After(kTick, [this, index] { this->Tick(index); });
      this->ScheduleFate(index);
    }
    const Seconds span =
        this->scenario.measure_until - this->scenario.measure_from;
    this->queue.RunUntil(
        this->Moment(this->scenario.measure_until + Seconds(2)));
    for (const BackendTraits& traits : this->scenario.backends) {
      this->figures.capacity += span * traits.slots;
    }
    return std::move(this->figures);
  }

 private:
  Instant Moment(Seconds since_begin) const {
    return this->begin +
           std::chrono::duration_cast<Instant::duration>(since_begin);
  }

  bool Measured(Instant at) const {
    return at >= this->Moment(this->scenario.measure_from) &&
           at < this->Moment(this->scenario.measure_until);
  }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(this->arrivals);
  }

  // Lognormal, so that some calls take several times the mean.
  Seconds Work(Seconds mean) {
    constexpr double kSigma = 0.5;
    std::lognormal_distribution<double> draw(-kSigma * kSigma / 2, kSigma);
    return mean * draw(this->arrivals);
  }

  // Fate of backend servers ---------------------------------------------------

  void ScheduleFate(std::size_t index) {
    Backend& backend = *this->backends[index];
    this->queue.After(backend.traits.drains_at, [this, &backend] {
      backend.draining = true;
      this->Apply(backend, backend.admission.OnDrain(this->queue.now()));
      this->queue.After(kUntilMembershipKnows,
                        [this] { this->RebuildSnapshot(); });
    });
    this->queue.After(backend.traits.lost_at, [this, &backend] {
      backend.lost = true;
      const auto cut = std::move(backend.here);
      backend.here.clear();
      for (const auto& entry : cut) {
        const CallPointer call = entry.second;
        this->queue.After(kUntilUnreachable, [this, call] {
          this->Unreachable(call);
          this->Done(call, &RankFigures::failed);
        });
      }
      this->queue.After(kUntilMembershipKnows,
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
      const bool cold = backend->traits.cold_for > Seconds(0);
      endpoints.push_back(
          {backend->node, kService, backend->traits.zone,
           backend->draining ? EndpointState::kDraining : backend->traits.state,
           backend->traits.slots,
           cold ? this->begin : this->begin - std::chrono::minutes(10)});
    }
    this->snapshot = std::make_unique<Snapshot>(fleet, endpoints);
  }

  void Tick(std::size_t index) {
    Backend& backend = *this->backends[index];
    if (backend.lost) {
      return;
    }
    this->Apply(backend, backend.admission.OnTick(this->queue.now()));
    this->queue.After(kTick, [this, index] { this->Tick(index); });
  }

  // Callers -----------------------------------------------------------------

  void Next(const Stream& stream) {
    if (this->queue.now() > this->Moment(stream.until) ||
        this->queue.now() > this->Moment(this->scenario.measure_until)) {
      return;
    }
    auto call = std::make_shared<ModelCall>();
    call->id = ++this->last_id;
    call->stream = &stream;
    call->arrived = this->queue.now();
    call->deadline = call->arrived + stream.deadline;
    call->work = this->Work(stream.work);
    call->entry = static_cast<int>(this->arrivals() % kEntries);
    this->Count(call, &RankFigures::offered);
    this->entries[call->entry]->retries_left =
        std::min(10.0, this->entries[call->entry]->retries_left + kRetryShare);
    this->Attempt(call);
    this->queue.After(Seconds(this->Exponential(1 / stream.per_second)),
                      [this, &stream] { this->Next(stream); });
  }

  void Attempt(const CallPointer& call) {
    Entry& entry = *this->entries[call->entry];
    const std::optional<NodeId> node = this->Pick(entry, *call);
    if (!node) {
      this->Done(call, &RankFigures::refused);
      return;
    }
    const auto found = std::ranges::find(
        this->backends, *node, [](const auto& each) { return each->node; });
    call->at = static_cast<std::size_t>(found - this->backends.begin());
    call->sent = this->queue.now();
    call->tried.push_back(*node);
    ++this->figures.calls_at[call->at];
    entry.chooser.OnStart(*node);
    this->queue.After(this->Hop(*call), [this, call] { this->Deliver(call); });
  }

  std::optional<NodeId> Pick(Entry& entry, const ModelCall& call) {
    if (this->treatment.choice == Choice::kTanagerledge) {
      return entry.chooser.Choose(*this->snapshot, kService, call.stream->rank,
                                  call.stream->client_account, entry.zone,
                                  call.tried, this->queue.now(), this->rng);
    }
    std::vector<NodeId> open;
    for (const Endpoint& endpoint : this->snapshot->EndpointsOf(kService)) {
      const bool tried =
          std::ranges::find(call.tried, endpoint.node) != call.tried.end();
      if (endpoint.state == EndpointState::kReady && !tried) {
        open.push_back(endpoint.node);
      }
    }
    if (open.empty()) {
      return std::nullopt;
    }
    if (this->treatment.choice == Choice::kRoundRobin) {
      return open[entry.turn++ % open.size()];
    }
    std::ranges::shuffle(open, this->rng);
    return *std::ranges::min_element(
        open, {}, [&](const NodeId& node) { return entry.reported[node]; });
  }

  Seconds Hop(const ModelCall& call) const {
    const bool same =
        this->entries[call.entry]->zone == this->backends[call.at]->traits.zone;
    return same ? kHop : Seconds(this->scenario.zone_distance);
  }

  void Unreachable(const CallPointer& call) {
    this->entries[call->entry]->chooser.OnUnreachable(
        this->backends[call->at]->node, this->queue.now());
  }

  void Reply(const CallPointer& call, FinishKind kind) {
    const Backend& backend = *this->backends[call->at];
    const LoadReport load = this->Report(backend);
    this->queue.After(this->Hop(*call), [this, call, kind, load] {
      Entry& entry = *this->entries[call->entry];
      const NodeId& node = this->backends[call->at]->node;
      const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
          this->queue.now() - call->sent);
      entry.chooser.OnReply(node, call->stream->rank,
                            call->stream->client_account, kind, load, took,
                            this->queue.now());
      entry.reported[node] = load.running + load.queued;
      this->Conclude(call, kind);
    });
  }

  void Conclude(const CallPointer& call, FinishKind kind) {
    const bool in_time = this->queue.now() <= call->deadline;
    if (kind == FinishKind::kShed) {
      this->RetryOrRefuse(call);
    } else if (kind == FinishKind::kFailed) {
      this->Done(call, &RankFigures::failed);
    } else if (!in_time) {
      this->Done(call, &RankFigures::late);
    } else {
      this->Useful(call);
      this->Done(call, &RankFigures::ok);
    }
  }

  void RetryOrRefuse(const CallPointer& call) {
    Entry& entry = *this->entries[call->entry];
    const bool may = call->tried.size() < 2 && entry.retries_left >= 1 &&
                     this->queue.now() < call->deadline;
    if (!may) {
      this->Done(call, &RankFigures::refused);
      return;
    }
    entry.retries_left -= 1;
    this->Attempt(call);
  }

  // Backend servers -----------------------------------------------------------

  void Deliver(const CallPointer& call) {
    Backend& backend = *this->backends[call->at];
    if (backend.lost) {
      this->queue.After(kUntilUnreachable, [this, call] {
        this->Unreachable(call);
        this->RetryOrRefuse(call);
      });
      return;
    }
    backend.here[call->id] = call;
    if (this->treatment.admission) {
      this->Apply(backend, backend.admission.Offer(
                               {call->id, call->stream->rank,
                                call->stream->client_account, call->arrived,
                                call->deadline, false},
                               this->queue.now()));
      return;
    }
    if (backend.draining || backend.here.size() > kConnections) {
      backend.here.erase(call->id);
      this->Reply(call, FinishKind::kShed);
      return;
    }
    backend.line.push_back(call);
    this->ServeLine(backend);
  }

  void ServeLine(Backend& backend) {
    while (!backend.line.empty() && backend.running < backend.traits.slots) {
      const CallPointer call = backend.line.front();
      backend.line.pop_front();
      if (call->deadline <= this->queue.now()) {
        backend.here.erase(call->id);
        this->Reply(call, FinishKind::kShed);
        continue;
      }
      this->Start(backend, call);
    }
  }

  void Apply(Backend& backend, const AdmissionActions& actions) {
    for (const AdmissionAction& action : actions) {
      if (const auto* run = std::get_if<RunCall>(&action)) {
        this->Start(backend, backend.here.at(run->id));
      } else {
        const std::uint64_t id = std::get<RefuseCall>(action).id;
        const CallPointer call = backend.here.at(id);
        backend.here.erase(id);
        this->Reply(call, FinishKind::kShed);
      }
    }
  }

  void Start(Backend& backend, const CallPointer& call) {
    call->started = this->queue.now();
    ++backend.running;
    const BackendTraits& traits = backend.traits;
    const bool sheds =
        traits.sheds_above > 0 && backend.running > traits.sheds_above;
    Seconds takes = call->work * traits.slowness;
    FinishKind kind = FinishKind::kOk;
    if (traits.slows_above > 0) {
      takes *= std::max(
          1.0, static_cast<double>(backend.running) / traits.slows_above);
    }
    if (this->queue.now() < this->Moment(traits.cold_for)) {
      takes *= kColdSlowness;
    }
    if (traits.fails_fast || sheds) {
      takes = kQuickAnswer;
      kind = sheds ? FinishKind::kShed : FinishKind::kFailed;
    }
    this->queue.After(takes, [this, &backend, call, kind] {
      this->Finish(backend, call, kind);
    });
  }

  void Finish(Backend& backend, const CallPointer& call, FinishKind kind) {
    if (backend.lost) {
      return;
    }
    --backend.running;
    backend.here.erase(call->id);
    call->ended = this->queue.now();
    if (this->treatment.admission) {
      const auto actions =
          backend.admission.OnFinished(call->id, kind, this->queue.now());
      this->Reply(call, kind);
      this->Apply(backend, actions);
      return;
    }
    this->Reply(call, kind);
    this->ServeLine(backend);
  }

  LoadReport Report(const Backend& backend) const {
    if (backend.traits.reports_no_load) {
      return {.limit = backend.traits.slots};
    }
    if (this->treatment.admission) {
      return backend.admission.Report(this->queue.now());
    }
    return {.limit = backend.traits.slots,
            .running = backend.running,
            .queued = static_cast<int>(backend.line.size())};
  }

  // Figures -----------------------------------------------------------------

  void Count(const CallPointer& call, int RankFigures::*counter) {
    if (this->Measured(call->arrived)) {
      ++(this->figures.ranks[call->stream->rank].*counter);
      ++(this->figures.client_accounts[call->stream->client_account].*counter);
    }
  }

  void Done(const CallPointer& call, int RankFigures::*counter) {
    this->Count(call, counter);
    if (counter == &RankFigures::ok && this->Measured(call->arrived)) {
      this->figures.ranks[call->stream->rank].latencies.emplace_back(
          this->queue.now() - call->arrived);
    }
  }

  // Slot time inside the measured span, of calls that end in deadline.
  void Useful(const CallPointer& call) {
    const Instant from =
        std::max(call->started, this->Moment(this->scenario.measure_from));
    const Instant until =
        std::min(call->ended, this->Moment(this->scenario.measure_until));
    const Seconds used = std::max(Seconds(0), Seconds(until - from));
    this->figures.useful += used;
    this->figures.ranks[call->stream->rank].useful += used;
    this->figures.client_accounts[call->stream->client_account].useful += used;
  }

  const Scenario& scenario;
  const Treatment& treatment;
  std::mt19937_64 arrivals;  // The same calls under each treatment.
  std::mt19937_64 rng;
  EventQueue queue;
  Instant begin{};
  std::unique_ptr<Snapshot> snapshot;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<std::unique_ptr<Entry>> entries;
  std::uint64_t last_id = 0;
  Figures figures;
};

}  // namespace

// EventQueue ----------------------------------------------------------------

void EventQueue::After(Seconds delay, std::function<void()> work) {
  constexpr Seconds kNever{1e6};
  if (delay < kNever) {
    this->events.push(
        {this->time + std::chrono::duration_cast<Instant::duration>(delay),
         this->next_order++, std::move(work)});
  }
}

void EventQueue::RunUntil(Instant end) {
  while (!this->events.empty() && this->events.top().at <= end) {
    Event event = std::move(const_cast<Event&>(this->events.top()));
    this->events.pop();
    this->time = event.at;
    event.work();
  }
  this->time = end;
}

// Figures -------------------------------------------------------------------

double RankFigures::Percentile(double part) const {
  if (this->latencies.empty()) {
    return 0;
  }
  std::vector<Seconds> sorted = this->latencies;
  const auto place = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + place);
  return sorted[static_cast<std::size_t>(place)].count() * 1e3;
}

Figures Run(const Scenario& scenario, const Treatment& treatment) {
  return Simulation(scenario, treatment).Run();
}

void Print(const std::string& title, const Figures& figures) {
  std::printf("%s: useful %.1f%% of capacity\n", title.c_str(),
              100 * figures.utility());
  for (const auto& [rank, each] : figures.ranks) {
    std::printf(
        "  %-9s offered %7d  ok %6.2f%%  refused %7d  late %5d  failed %5d  "
        "share %5.1f%%  p50 %6.1f ms  p99 %6.1f ms\n",
        rank.value.c_str(), each.offered, 100 * each.ok_share(), each.refused,
        each.late, each.failed, 100 * (each.useful / figures.capacity),
        each.Percentile(0.5), each.Percentile(0.99));
  }
}

// Bounds --------------------------------------------------------------------

}  // namespace tanagerledge::model
