#include "src/sidecar/sidecar.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Waiting calls are judged anew, and reads of the store are started, this
// often. An eighth of the shortest target time seen, 80 ms, is 10 ms; judging
// costs some us.
constexpr milliseconds kTick{20};
// Lost connections are opened again this often, in ticks.
constexpr int kTicksPerConnect = 5;
// Bytes sent so far are logged every 10 s.
constexpr int kTicksPerTraffic = 500;
// Gossip has filled the table of a node by then.
constexpr milliseconds kHintLife{5000};
constexpr milliseconds kShutdownStep{20};
// From a cancel to the reply of the node that it goes to.
constexpr milliseconds kWithdrawal{100};
// The platform owes no answer to a request that was sent later than 200 ms
// before its connection closes.
constexpr milliseconds kLastRequests{200};
// Other nodes read what was written to them, and close.
constexpr milliseconds kPeersClose{100};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr std::string_view kMetricsType = "text/plain; version=0.0.4";

FleetRetryConfig RetryConfigOf(const FleetBounds& bounds) {
  FleetRetryConfig config;
  config.ratio = bounds.retry_ratio;
  config.extra = bounds.extra_retries;
  config.window = bounds.retry_window;
  return config;
}

BackendLifeConfig LifeConfigOf(const Settings& settings,
                               Incarnation incarnation) {
  constexpr int kHeartbeatsMissed = 3;  // One may come seconds late.
  BackendLifeConfig config;
  config.silence = settings.heartbeat_period * kHeartbeatsMissed;
  config.drain_tail = settings.bounds.drain / 2;
  // Incarnations are the Unix ms of a start.
  config.node_started_ms = static_cast<std::int64_t>(incarnation.value);
  return config;
}

MembershipConfig MembershipConfigOf(const Settings& settings,
                                    Incarnation incarnation) {
  // Probes are a datagram each way; news of a backend server ride on them, and
  // must be everywhere well within a second.
  constexpr milliseconds kPeriod{500};
  constexpr milliseconds kSuspicion{2500};
  MembershipConfig config;
  config.self = settings.address;
  config.zone = settings.zone;
  config.fleet = settings.fleet;
  config.incarnation = incarnation;
  config.seeds = settings.seeds;
  config.seed = incarnation.value ^ std::hash<NodeId>()(settings.address);
  config.period = kPeriod;
  config.suspicion = kSuspicion;
  return config;
}

std::string_view EventOf(HeartbeatVerdict verdict) {
  switch (verdict) {
    case HeartbeatVerdict::kStale:
      return "heartbeat stale";
    case HeartbeatVerdict::kUnproved:
      return "heartbeat unproved";
    default:
      return "heartbeat";
  }
}

std::string_view ToText(UnansweredRequest::Stage stage) {
  switch (stage) {
    case UnansweredRequest::Stage::kCallerDisconnected:
      return "caller left";
    case UnansweredRequest::Stage::kNoResponse:
      return "no answer";
    case UnansweredRequest::Stage::kWriteFailed:
      return "writing";
  }
  return "";
}

Heartbeat HeartbeatOf(const wire::NodeRecord& record) {
  Heartbeat heartbeat;
  heartbeat.instance = record.instance;
  heartbeat.born_ms = record.born_ms;
  heartbeat.sequence = static_cast<std::uint64_t>(record.sequence);
  heartbeat.service = {record.service_name};
  heartbeat.address = record.address;
  heartbeat.slots = record.slots;
  return heartbeat;
}

MeshEntryConfig EntryConfigOf(const Settings& settings,
                              Incarnation incarnation) {
  return {settings.address, settings.zone, incarnation, settings.service};
}

}  // namespace

Sidecar::Sidecar(Settings node_settings,
                 const PlatformPort& platform_port,
                 const StoreConnector& connect_store)
    : settings(std::move(node_settings)),
      platform(platform_port),
      identity{this->settings.fleet, this->settings.address,
               this->settings.zone, NewIncarnation(), this->settings.delays},
      events(this->settings.address.value),
      registry(std::make_shared<prometheus::Registry>()),
      metrics(*this->registry),
      handlers(this->MakeHandlers()),
      peers(this->loop, this->identity, this->handlers, this->peer_counters),
      datagrams(this->loop, this->settings.address),
      store(connect_store(this->loop, this->settings.log_address)),
      suspects(this->loop, this->peers, this->settings.address),
      owner(this->loop,
            this->platform,
            this->suspects,
            this->events,
            LifeConfigOf(this->settings, this->identity.incarnation),
            this->identity.incarnation),
      entry(EntryConfigOf(this->settings, this->identity.incarnation),
            this->platform,
            this->peers,
            this->owner,
            this->events,
            this->metrics,
            RetryConfigOf(this->settings.bounds)),
      membership(
          this->loop,
          this->peers,
          this->datagrams,
          MembershipConfigOf(this->settings, this->identity.incarnation),
          [this](const std::vector<Member>& all) { this->OnMembers(all); }),
      configs(this->loop,
              this->peers,
              *this->store,
              this->platform,
              this->events,
              [this](std::shared_ptr<const MeshConfig> next) {
                this->OnConfig(std::move(next));
              }),
      directory(this->loop,
                *this->store,
                this->events,
                this->platform.NodeStream(),
                this->settings.address,
                this->settings.zone,
                [this](const NodeDirectory::Records& records) {
                  this->OnNodeList(records);
                }),
      front(this->loop,
            HttpServer::DisconnectAwareHandler(
                [this](const HttpRequest& request,
                       DisconnectNotifier& departure) {
                  return this->entry.Handle(request, departure);
                })),
      control(this->loop,
              HttpServer::Handler([this](const HttpRequest& request) {
                return this->OnBackendWord(request);
              })),
      readiness(this->loop, HttpServer::Handler([this](const HttpRequest&) {
                  return std::optional(this->OnReadiness());
                })),
      shown(this->registry),
      metrics_server(this->loop,
                     HttpServer::Handler([this](const HttpRequest&) {
                       return std::optional(MakeResponse(kOk, kMetricsType,
                                                         this->shown.Scrape()));
                     })),
      started(Now()) {
  this->front.SetUnansweredObserver(
      [this](const HttpRequest& request, const UnansweredRequest& what) {
        this->LogUnanswered(request, what);
      });
  this->ShowMetrics();
}

Sidecar::~Sidecar() = default;

// Start -----------------------------------------------------------------------

tl::expected<void, std::string> Sidecar::Start() {
  if (auto listening = this->Listen(); !listening) {
    return listening;
  }
  if (auto opened = this->membership.Start(); !opened) {
    return tl::unexpected("node address " + opened.error());
  }
  this->suspects.Start();
  this->peers.StartKeepalive({});
  this->loop.Spawn([this] { this->RunTicks(); });
  this->directory.Start();
  this->events.Write("started",
                     {{"zone", this->settings.zone.value},
                      {"service", this->settings.service.value},
                      {"incarnation", static_cast<std::int64_t>(
                                          this->identity.incarnation.value)}});
  this->loop.Start();
  return {};
}

tl::expected<void, std::string> Sidecar::Listen() {
  const auto bind = [](std::string_view what,
                       auto bound) -> tl::expected<void, std::string> {
    if (!bound) {
      return tl::unexpected(std::string(what) + " address " +
                            bound.error().text);
    }
    return {};
  };
  return bind("node",
              this->peers.Accept(CheckedAddress(this->settings.address.value)))
      .and_then([&] {
        return bind("front", this->front.Accept(
                                 CheckedAddress(this->settings.front_address)));
      })
      .and_then([&] {
        return bind("admin", this->control.Accept(
                                 CheckedAddress(this->settings.admin_address)));
      })
      .and_then([&] {
        return this->settings.metrics_address.empty()
                   ? tl::expected<void, std::string>()
                   : bind("metrics", this->metrics_server.Accept(CheckedAddress(
                                         this->settings.metrics_address)));
      })
      .and_then([&] {
        return bind("readiness", this->readiness.Accept(CheckedAddress(
                                     this->settings.readiness_address)));
      });
}

PeerHandlers Sidecar::MakeHandlers() {
  PeerHandlers all;
  const auto index = [](Channel channel) {
    return static_cast<std::size_t>(channel);
  };
  all.on_request[index(Channel::kCall)] = [this](const NodeId& from,
                                                 std::string_view bytes) {
    return this->owner.RunForPeer(from, bytes);
  };
  all.on_request[index(Channel::kSend)] = [this](const NodeId& from,
                                                 std::string_view bytes) {
    return this->owner.RunQuestion(from, bytes);
  };
  all.on_message[index(Channel::kSend)] = [this](const NodeId& from,
                                                 std::string_view bytes) {
    if (const auto cancel = Decode<wire::SendCancel>(bytes)) {
      // After the fiber of its call, which may have come in the same read.
      this->loop.SpawnHere(
          [this, from, id = cancel->send_id] { this->owner.Cancel(from, id); });
    }
  };
  all.on_request[index(Channel::kConfig)] = [this](const NodeId&,
                                                   std::string_view bytes) {
    return this->configs.OnPeerQuestion(bytes);
  };
  all.on_message[index(Channel::kConfig)] = [this](const NodeId& from,
                                                   std::string_view bytes) {
    this->configs.OnPeerNotice(from, bytes);
  };
  const auto membership_answer = [this](const NodeId& from,
                                        std::string_view bytes) {
    return this->membership.OnPeerRequest(from, bytes);
  };
  all.on_request[index(Channel::kMembership)] = membership_answer;
  all.on_request[index(Channel::kReach)] = membership_answer;
  all.on_request[index(Channel::kSuspects)] = [this](const NodeId& from,
                                                     std::string_view bytes) {
    return this->suspects.OnPeerRequest(from, bytes);
  };
  return all;
}

void Sidecar::RunTicks() {
  for (int ticks = 0; this->loop.SleepFor(kTick); ++ticks) {
    if (ticks % kTicksPerConnect == 0) {
      this->KeepConnections();
    }
    if (ticks % kTicksPerTraffic == 0) {
      this->LogTraffic();
    }
    this->owner.OnTick();
    this->configs.OnTick();
    this->TellBackend();
    this->events.Flush();
  }
}

void Sidecar::OnConfig(std::shared_ptr<const MeshConfig> next) {
  this->mesh = std::move(next);
  HttpLimits limits;
  limits.max_header_bytes = this->mesh->limits().max_header_bytes;
  limits.max_body_bytes = this->mesh->limits().max_body_bytes;
  limits.read_timeout = this->mesh->limits().header_timeout;
  limits.idle_timeout = this->mesh->limits().idle_timeout;
  this->front.SetLimits(limits);
  this->membership.SetInForce({this->mesh->version()});
  this->entry.SetConfig(this->mesh);
  this->ConfirmBackend();
}

std::int64_t Sidecar::BytesSent(Channel channel) const {
  return static_cast<std::int64_t>(
      this->peer_counters.bytes_sent[static_cast<std::size_t>(channel)].load());
}

void Sidecar::LogTraffic() {
  std::int64_t datagrams_sent = 0;
  std::ranges::for_each(this->membership.counters().by_purpose,
                        [&](const MembershipTraffic& traffic) {
                          datagrams_sent +=
                              static_cast<std::int64_t>(traffic.sent_bytes);
                        });
  this->events.Write("traffic",
                     {{"call_bytes", this->BytesSent(Channel::kCall)},
                      {"question_bytes", this->BytesSent(Channel::kSend)},
                      {"config_bytes", this->BytesSent(Channel::kConfig)},
                      {"membership_bytes", datagrams_sent},
                      {"connects", static_cast<std::int64_t>(
                                       this->peer_counters.connects.load())}});
}

// Fleet -----------------------------------------------------------------------

void Sidecar::OnNodeList(const NodeDirectory::Records& records) {
  std::vector<NodeId> seeds;
  this->hints.clear();
  this->hints_until = Now() + kHintLife;
  std::ranges::for_each(records, [&](const auto& listed) {
    const auto& [node, record] = listed;
    const bool ready =
        record.state == static_cast<std::int32_t>(EndpointState::kReady);
    if (node == this->settings.address) {
      if (record.state == static_cast<std::int32_t>(EndpointState::kDraining)) {
        this->owner.OnLeftEarlier(HeartbeatOf(record));
      } else if (ready && !this->recalled) {
        this->recalled = HeartbeatOf(record);
        this->ConfirmBackend();
      }
      return;
    }
    seeds.push_back(node);
    if (ready) {
      Endpoint endpoint;
      endpoint.node = node;
      endpoint.zone = {record.zone};
      endpoint.service = {record.service_name};
      endpoint.slots = record.slots;
      this->hints.push_back(std::move(endpoint));
    }
  });
  this->membership.AddSeeds(seeds);
  this->ShowEndpoints();
  this->KeepConnections();
}

// Asks a backend server that may have left at an earlier start of this node:
// one whose first heartbeat has come, or else the one that the last start wrote
// down.
void Sidecar::ConfirmBackend() {
  const auto& heard = this->owner.unproved_backend();
  const auto& told = heard ? heard : this->recalled;
  const bool wanted = heard || !this->owner.backend();
  if (!wanted || !told || !this->mesh || this->confirming) {
    return;
  }
  const MeshService* service = this->mesh->Service(told->service);
  if (service == nullptr) {
    return;
  }
  this->confirming = true;
  this->loop.SpawnHere([this, backend = *told, path = service->health_path] {
    this->owner.RunConfirm(backend, path);
    this->confirming = false;
    this->TellBackend();
  });
}

void Sidecar::OnMembers(const std::vector<Member>& all) {
  this->members = all;
  const auto live =
      static_cast<std::size_t>(std::ranges::count_if(all, &IsLive));
  this->entry.SetLiveNodes(live);
  this->configs.SetMembers(all, this->settings.address, this->settings.zone);
  const auto& backend = this->owner.backend();
  this->suspects.SetMembers(all, backend ? backend->service : ServiceName{});
  this->ShowEndpoints();
  this->KeepConnections();
  this->events.Write("members changed",
                     {{"live", static_cast<std::int64_t>(live)}});
}

// What calls are placed by: what members say of themselves, and for a moment
// after the start the list's word on nodes that membership has not met yet.
void Sidecar::ShowEndpoints() {
  std::vector<Endpoint> endpoints;
  std::ranges::for_each(this->members, [&](const Member& member) {
    if (IsLive(member) && member.endpoint) {
      endpoints.push_back(*member.endpoint);
    }
  });
  if (Now() < this->hints_until) {
    std::ranges::copy_if(this->hints, std::back_inserter(endpoints),
                         [this](const Endpoint& hint) {
                           const auto met = std::ranges::find(
                               this->members, hint.node, &Member::node);
                           return met == this->members.end() || !met->endpoint;
                         });
  }
  this->entry.SetEndpoints(endpoints);
}

// Calls never wait for a connection: each node that may get some has one.
void Sidecar::KeepConnections() {
  const auto keep = [this](const NodeId& node) {
    if (node == this->settings.address) {
      return;
    }
    const bool connected = this->peers.IsConnected(node);
    if (!connected) {
      this->peers.Connect(node);
    }
    this->entry.SetConnected(node, connected);
  };
  std::ranges::for_each(this->members, [&](const Member& member) {
    if (IsLive(member)) {
      keep(member.node);
    }
  });
  if (Now() < this->hints_until) {
    std::ranges::for_each(this->hints, keep, &Endpoint::node);
  }
}

// Backend server --------------------------------------------------------------

// Tells the fleet what has changed of the backend server beside this node.
void Sidecar::TellBackend() {
  const auto& backend = this->owner.backend();
  const EndpointState state = this->owner.State();
  const EndpointState own_state = this->owner.BackendState();
  if (!backend ||
      (state == this->told_state && own_state == this->told_own_state &&
       backend->instance == this->told_instance)) {
    return;
  }
  this->told_state = state;
  this->told_own_state = own_state;
  this->told_instance = backend->instance;
  this->events.Write(
      "back end", {{"instance", backend->instance},
                   {"service", backend->service.value},
                   {"state", static_cast<std::int64_t>(state)},
                   {"slots", std::int64_t{backend->slots}},
                   {"sequence", static_cast<std::int64_t>(backend->sequence)}});
  this->directory.Tell(*backend, own_state);
  if (state == EndpointState::kDraining) {
    this->membership.Drain();
    return;
  }
  Endpoint endpoint;
  endpoint.node = this->settings.address;
  endpoint.zone = this->settings.zone;
  endpoint.service = backend->service;
  endpoint.slots = backend->slots;
  endpoint.state = state;
  endpoint.since = Now();
  this->membership.Announce(endpoint);
}

std::optional<HttpResponse> Sidecar::OnBackendWord(const HttpRequest& request) {
  const auto word = this->platform.ReadBackendWord(request);
  if (!word) {
    this->events.Write("back end word unreadable", {{"error", word.error()}});
    return MakeResponse(kBadRequest, "text/plain", word.error() + "\n");
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*word)) {
    const HeartbeatVerdict verdict = this->owner.OnHeartbeat(*heartbeat);
    if (verdict != HeartbeatVerdict::kTaken) {
      this->events.Write(
          EventOf(verdict),
          {{"instance", heartbeat->instance},
           {"born_ms", heartbeat->born_ms},
           {"sequence", static_cast<std::int64_t>(heartbeat->sequence)},
           {"draining", std::int64_t{heartbeat->draining}},
           {"up_ms",
            duration_cast<milliseconds>(Now() - this->started).count()}});
    }
    if (verdict == HeartbeatVerdict::kUnproved) {
      this->ConfirmBackend();
    }
  } else {
    const auto& goodbye = std::get<Goodbye>(*word);
    const bool known = this->owner.OnGoodbye(goodbye.instance);
    this->events.Write(
        "back end leaves",
        {{"instance", goodbye.instance},
         {"known", std::int64_t{known}},
         {"up_ms",
          duration_cast<milliseconds>(Now() - this->started).count()}});
  }
  this->TellBackend();
  return MakeResponse(kOk, "application/json", "{}");
}

// Callers ---------------------------------------------------------------------

void Sidecar::LogUnanswered(const HttpRequest& request,
                            const UnansweredRequest& what) {
  if (what.stage != UnansweredRequest::Stage::kCallerDisconnected) {
    ++this->unanswered;
  }
  const auto caller = this->platform.ReadCaller(request);
  this->events.Write("unanswered",
                     {{"id", caller ? caller->attempt_id : std::string()},
                      {"stage", ToText(what.stage)},
                      {"error", what.error},
                      {"since_read_ms", what.since_read.count()},
                      {"stopping", std::int64_t{this->stopping}}});
}

// Readiness -------------------------------------------------------------------

bool Sidecar::IsReady() const {
  return this->mesh != nullptr && !this->stopping;
}

HttpResponse Sidecar::OnReadiness() const {
  return this->IsReady()
             ? MakeResponse(kOk, "text/plain", "ready\n")
             : MakeResponse(
                   kUnavailable, "text/plain",
                   this->stopping ? "stopping\n" : "no configuration yet\n");
}

void Sidecar::ShowMetrics() {
  const auto show = [this](const char* name, const char* help, auto read) {
    this->shown.Show(name, help,
                     [read] { return static_cast<double>(read()); });
  };
  show("tanagerledge_ready", "1 when callers may be sent here.",
       [this] { return this->IsReady(); });
  show("tanagerledge_config_version", "Version of the configuration in force.",
       [this] { return this->mesh ? this->mesh->version() : 0; });
  show("tanagerledge_store_answers", "1 unless the store failed last.",
       [this] { return this->configs.store_answers(); });
  show("tanagerledge_live_members", "Nodes that count as living.",
       [this] { return std::ranges::count_if(this->members, &IsLive); });
  show("tanagerledge_back_end_state",
       "Of the own back end: 0 warming, 1 ready, 2 draining, 3 gone.",
       [this] { return this->owner.State(); });
  show("tanagerledge_calls_running", "Calls that hold a slot of the back end.",
       [this] { return this->owner.Load().running; });
  show("tanagerledge_calls_waiting", "Calls that wait for a slot.",
       [this] { return this->owner.Load().queued; });
  show("tanagerledge_calls_entered", "Callers' requests under way here.",
       [this] { return this->entry.calls_in_progress(); });
  show("tanagerledge_back_end_failing_permille",
       "Of recent calls there, those without a good answer.",
       [this] { return this->owner.Load().failing_permille; });
  show("tanagerledge_peer_connects_total", "Connections opened to nodes.",
       [this] { return this->peer_counters.connects.load(); });
  show("tanagerledge_call_bytes_total", "Bytes of calls sent to nodes.",
       [this] { return this->BytesSent(Channel::kCall); });
  show("tanagerledge_unanswered_total",
       "Requests read whole whose connection ended without a whole answer, "
       "though their callers had not left.",
       [this] { return this->unanswered; });
  show("tanagerledge_log_lines_dropped_total", "Log lines over the limit.",
       [this] { return this->events.dropped(); });
}

// Reload and end --------------------------------------------------------------

void Sidecar::Reload(const Settings& next) {
  this->loop.Spawn([this, next] {
    this->membership.AddSeeds(next.seeds);
    this->entry.SetCaller(next.service);
    this->settings.seeds = next.seeds;
    this->settings.service = next.service;
    this->events.Write(
        "settings reloaded",
        {{"service", next.service.value},
         {"seeds", static_cast<std::int64_t>(next.seeds.size())}});
  });
}

void Sidecar::Shutdown() {
  this->loop.Spawn([this] { this->RunShutdown(); });
  this->loop.Join();
  this->events.Flush();
}

void Sidecar::RunShutdown() {
  if (std::exchange(this->stopping, true)) {
    return;
  }
  const StopPlan plan(Now(), this->settings.bounds.grace);
  this->events.Write(
      "stopping",
      {{"calls", static_cast<std::int64_t>(this->CallsInProgress())}});
  this->entry.OnNodeStopping(plan);
  this->owner.OnNodeStopping(plan);
  // Callers leave with their answers; later it would be amid their requests.
  this->front.CloseAfterAnswer();
  this->EndCalls(plan);
  this->EndConnections(plan);
  const HttpServer::ConnectionCounts callers = this->front.CountConnections();
  this->events.Write(
      "stopped",
      {{"took_ms", duration_cast<milliseconds>(Now() - plan.began()).count()},
       {"calls", static_cast<std::int64_t>(this->CallsInProgress())},
       {"unanswered", static_cast<std::int64_t>(callers.unanswered())},
       {"unread", static_cast<std::int64_t>(callers.unread)},
       {"reading", static_cast<std::int64_t>(callers.reading)},
       {"ending", static_cast<std::int64_t>(callers.lingering)},
       {"callers", static_cast<std::int64_t>(this->front.open_connections())},
       {"peers", static_cast<std::int64_t>(this->peers.connections())},
       {"peer_bytes_unwritten",
        static_cast<std::int64_t>(this->peers.unwritten_bytes())},
       {"refused", this->entry.refused_by_stop()},
       {"lines_dropped", static_cast<std::int64_t>(this->events.dropped())}});
  this->events.Flush();
  this->membership.Stop();
  this->front.Close();
  this->control.Close();
  this->readiness.Close();
  this->metrics_server.Close();
  this->peers.Close();
  this->owner.Close();
  this->store->Close();
  this->datagrams.Close();
  this->loop.Stop();
}

std::size_t Sidecar::CallsInProgress() const {
  return this->owner.calls_in_progress() + this->entry.calls_in_progress();
}

void Sidecar::EndCalls(const StopPlan& plan) {
  // The backend server stays and its room is missed: calls of other nodes are
  // taken until this node's own callers are about to be gone.
  this->loop.SleepFor(plan.serve_until() - Now());
  this->TellBackend();
  this->loop.SleepFor(plan.callers_until() - Now());
  // New connections are still taken: the backend server makes calls of its own
  // for what it runs.
  while (this->CallsInProgress() > 0 && Now() < plan.answer_by()) {
    this->loop.SleepFor(kShutdownStep);
  }
  if (this->CallsInProgress() > 0) {
    this->GiveUpCalls(plan);
  }
}

// What waits anywhere is refused, the rest may have run.
void Sidecar::GiveUpCalls(const StopPlan& plan) {
  const LoadReport load = this->owner.Load();
  this->events.Write(
      "calls given up",
      {{"entered", static_cast<std::int64_t>(this->entry.calls_in_progress())},
       {"running", std::int64_t{load.running}},
       {"waiting", std::int64_t{load.queued}}});
  this->entry.GiveUp();
  this->owner.GiveUp();
  const auto await_end = [&] {
    const Instant until = std::min(Now() + kWithdrawal, plan.end_by());
    while (this->CallsInProgress() > 0 && Now() < until) {
      this->loop.SleepFor(kShutdownStep);
    }
  };
  await_end();
  this->peers.CancelRequests();
  await_end();
}

// Answers are written, and requests that have come by now are refused.
void Sidecar::EndConnections(const StopPlan& plan) {
  this->entry.RefuseAll();
  this->front.Drain();
  const Instant last_request = Now() + kLastRequests;
  const auto due = [&] {
    this->front.CloseIdle();
    const HttpServer::ConnectionCounts callers = this->front.CountConnections();
    return callers.unanswered() > 0 || this->peers.unwritten_bytes() > 0 ||
           (callers.lingering > 0 && Now() < plan.end_by() - kPeersClose) ||
           (this->front.open_connections() > 0 && Now() < last_request);
  };
  while (due() && Now() < plan.end_by()) {
    this->loop.SleepFor(kShutdownStep);
  }
  this->membership.Leave();
  this->peers.DrainAndClose();
  const Instant peers_close = std::min(Now() + kPeersClose, plan.end_by());
  while (this->peers.connections() > 0 && Now() < peers_close) {
    this->loop.SleepFor(kShutdownStep);
  }
}

}  // namespace tanagerledge
