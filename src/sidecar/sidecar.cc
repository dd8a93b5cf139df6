#include "src/sidecar/sidecar.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/crash_log.h"
#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How often queued calls are checked again and reads of the store are started.
// An eighth of the shortest target time in use, 80 ms, would be 10 ms; a check
// costs a few us.
constexpr milliseconds kTickInterval{20};
// Ticks between attempts to reopen lost connections.
constexpr int kTicksPerReconnect = 5;
// Ticks between updates of the quarantines that this node records in the store.
constexpr int kTicksPerQuarantineRecord = 5;
// Ticks between log lines with the bytes sent so far: 10 s.
constexpr int kTicksPerTrafficLog = 500;
// When a reader of the configuration reads the node list again. Nodes that have
// started with it have written their records by then.
constexpr milliseconds kNodeListReadDelay{4000};
// Ticks between reads of the node list by a node that knows no other live one:
// at first, when others may be starting, and later.
constexpr int kTicksPerFirstLonelyRead = 25;
constexpr int kTicksPerLonelyRead = 250;
constexpr milliseconds kFirstLonelyReads{5000};
// How long hints from the node list are used. Gossip has filled the member
// table by then.
constexpr milliseconds kHintLifetime{5000};
constexpr milliseconds kShutdownPollInterval{20};
// How long to wait for the replies to cancelled calls.
constexpr milliseconds kCancelTimeout{100};
// The platform does not require an answer to a request that was sent less than
// 200 ms before its connection closes.
constexpr milliseconds kLateRequestWindow{200};
// How long to wait until the other nodes have read everything and closed their
// connections.
constexpr milliseconds kPeerCloseTimeout{100};
// The clocks of the nodes may differ by some seconds.
constexpr std::int64_t kMaxClockDifferenceMs = 60'000;
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

TransferGateConfig TransferConfigOf(const Settings& settings) {
  constexpr double kBytesPerMbit = 1e6 / 8;
  TransferGateConfig config;
  config.link_bytes_per_second = settings.link_mbps * kBytesPerMbit;
  return config;
}

BackendLifeConfig LifeConfigOf(const Settings& settings,
                               Incarnation incarnation) {
  constexpr int kMaxMissedHeartbeats = 3;  // A heartbeat may be seconds late.
  BackendLifeConfig config;
  config.heartbeat_timeout = settings.heartbeat_period * kMaxMissedHeartbeats;
  config.drain_grace_period = settings.bounds.drain / 2;
  // An incarnation is the Unix time of a start in ms.
  config.node_started_ms = static_cast<std::int64_t>(incarnation.value);
  return config;
}

MembershipConfig MembershipConfigOf(const Settings& settings,
                                    Incarnation incarnation) {
  // A probe is one datagram in each direction. Probes also carry the changes of
  // backend servers, which must reach all nodes well within a second.
  constexpr milliseconds kProbePeriod{500};
  constexpr milliseconds kSuspicionTimeout{2500};
  MembershipConfig config;
  config.self = settings.address;
  config.zone = settings.zone;
  config.fleet = settings.fleet;
  config.incarnation = incarnation;
  config.seeds = settings.seeds;
  config.seed = incarnation.value ^ std::hash<NodeId>()(settings.address);
  config.period = kProbePeriod;
  config.suspicion_timeout = kSuspicionTimeout;
  return config;
}

std::string_view EventName(HeartbeatVerdict verdict) {
  switch (verdict) {
    case HeartbeatVerdict::kStale:
      return "heartbeat stale";
    case HeartbeatVerdict::kUnconfirmed:
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

// The deaths counted for a recorded quarantine: as many as quarantine a call.
constexpr int kRecordedDeaths = SuspectConfig().quarantine_deaths;

std::vector<Suspicion> QuarantinesOf(const NodeId& node,
                                     const wire::NodeRecord& record) {
  const std::int64_t unix_ms = UnixMilliseconds();
  std::vector<Suspicion> quarantines;
  std::ranges::for_each(
      record.quarantined, [&](const wire::QuarantineRecord& each) {
        const std::int64_t most =
            milliseconds(SuspectConfig().quarantine_ttl).count() +
            kMaxClockDifferenceMs;
        if (each.until_unix_ms > unix_ms &&
            each.until_unix_ms - unix_ms <= most) {
          quarantines.push_back({{static_cast<std::uint64_t>(each.fingerprint)},
                                 kRecordedDeaths,
                                 false,
                                 node,
                                 milliseconds(each.until_unix_ms - unix_ms)});
        }
      });
  return quarantines;
}

std::vector<wire::QuarantineRecord> ToRecords(
    const std::vector<Suspicion>& quarantines) {
  const std::int64_t unix_ms = UnixMilliseconds();
  std::vector<wire::QuarantineRecord> records;
  std::ranges::transform(
      quarantines, std::back_inserter(records),
      [unix_ms](const Suspicion& each) {
        wire::QuarantineRecord record;
        record.fingerprint = static_cast<std::int64_t>(each.fingerprint.value);
        record.until_unix_ms = unix_ms + each.ttl.count();
        return record;
      });
  return records;
}

MeshEntryConfig EntryConfigOf(const Settings& settings,
                              Incarnation incarnation) {
  HedgeConfig hedging;
  hedging.extra_requests = settings.hedged_requests;
  return {settings.address, settings.zone,      incarnation,
          settings.service, settings.link_mbps, hedging};
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
      bodies(BodyLimitsFor(this->settings.memory_bytes)),
      store(connect_store(this->loop, this->settings.log_address)),
      suspects(this->loop, this->peers, this->settings.address),
      transfers(this->peers, TransferConfigOf(this->settings)),
      gateway(this->loop,
              this->platform,
              this->suspects,
              this->events,
              LifeConfigOf(this->settings, this->identity.incarnation),
              this->identity.incarnation),
      quotas(this->loop,
             this->peers,
             this->events,
             this->settings.address,
             this->identity.incarnation,
             {this->settings.bounds.quota_window,
              this->settings.bounds.quota_overage,
              this->settings.bounds.quota_slack}),
      entry(this->loop,
            EntryConfigOf(this->settings, this->identity.incarnation),
            this->platform,
            this->peers,
            this->gateway,
            this->transfers,
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
              this->store_calls,
              this->identity.incarnation.value,
              [this](std::shared_ptr<const MeshConfig> next) {
                this->OnConfig(std::move(next));
              }),
      proof(this->loop,
            this->peers,
            *this->store,
            this->platform,
            this->events,
            this->store_calls,
            this->configs,
            this->settings,
            this->identity.incarnation.value),
      rollouts({this->settings.address, this->identity.incarnation,
                this->settings.bounds},
               this->loop,
               this->peers,
               *this->store,
               this->platform,
               this->events,
               this->store_calls),
      directory(this->loop,
                *this->store,
                this->events,
                this->store_calls,
                this->platform.NodeStream(),
                this->settings.address,
                this->settings.zone,
                [this](const NodeDirectory::Records& records) {
                  this->OnNodeList(records);
                }),
      front_server(
          this->loop,
          HttpServer::DisconnectAwareHandler(
              [this](HttpRequest& request, DisconnectNotifier& departure) {
                return this->entry.Handle(request, departure);
              })),
      admin_server(this->loop,
                   HttpServer::Handler([this](const HttpRequest& request) {
                     return this->OnBackendMessage(request);
                   })),
      readiness_server(this->loop,
                       HttpServer::Handler([this](const HttpRequest&) {
                         return std::optional(this->OnReadiness());
                       })),
      sidecar_metrics(this->registry),
      metrics_server(this->loop,
                     HttpServer::Handler([this](const HttpRequest&) {
                       return std::optional(MakeResponse(
                           kOk, kMetricsType, this->sidecar_metrics.Scrape()));
                     })),
      started(Now()) {
  this->front_server.SetUnansweredObserver(
      [this](const HttpRequest& request, const UnansweredRequest& what) {
        this->LogUnanswered(request, what);
      });
  this->gateway.SetByteAccount(this->bodies);
  this->gateway.SetBodyTransfers(this->transfers);
  this->front_server.SetByteAccount(
      this->bodies, [this](const HttpRequest& request) {
        return this->entry.RejectForMemory(request);
      });
  this->membership.SetQuarantineDigest(
      [this] { return this->suspects.QuarantineDigest(); },
      [this](const NodeId& from, std::int64_t digest) {
        this->suspects.OnPeerDigest(from, digest);
      });
  this->suspects.SetEventSink(
      [this](std::string_view event, std::initializer_list<EventField> fields) {
        this->events.Write(event, fields);
      });
  this->entry.SetQuotas(this->quotas);
  this->entry.SetBehindCheck([this] { return this->configs.IsBehind(); });
  this->configs.SetEraSink(
      [this](StoreEra era) { this->directory.OnReportedEra(era); });
  this->entry.SetUnprovenCheck([this] { return this->proof.IsUnproven(); });
  if (this->rollouts.enabled()) {
    this->entry.SetRollouts(this->rollouts);
    this->configs.SetRecordSink(
        [this](std::span<const KeyedRecord> records, bool newest) {
          this->rollouts.OnRecords(records, newest);
        });
  }
  this->RegisterMetrics();
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
        return bind("front", this->front_server.Accept(
                                 CheckedAddress(this->settings.front_address)));
      })
      .and_then([&] {
        return bind("admin", this->admin_server.Accept(
                                 CheckedAddress(this->settings.admin_address)));
      })
      .and_then([&] {
        return this->settings.metrics_address.empty()
                   ? tl::expected<void, std::string>()
                   : bind("metrics", this->metrics_server.Accept(CheckedAddress(
                                         this->settings.metrics_address)));
      })
      .and_then([&] {
        return bind("readiness", this->readiness_server.Accept(CheckedAddress(
                                     this->settings.readiness_address)));
      });
}

// Notes each frame of a peer before its handler runs.
void Sidecar::NoteFrames(PeerHandlers& all) {
  const auto note = [](auto& by_channel, const char* what) {
    std::ranges::for_each(by_channel, [what](auto& handler) {
      if (handler) {
        handler = [what, handle = std::move(handler)](const NodeId& from,
                                                      std::string_view bytes,
                                                      auto... arrived) {
          NoteActivity(what, from.value);
          return handle(from, bytes, arrived...);
        };
      }
    });
  };
  note(all.on_request, "request of a peer");
  note(all.on_message, "message of a peer");
}

PeerHandlers Sidecar::MakeHandlers() {
  PeerHandlers all;
  const auto index = [](Channel channel) {
    return static_cast<std::size_t>(channel);
  };
  all.on_request[index(Channel::kCall)] =
      [this](const NodeId& from, std::string_view bytes, Instant arrived) {
        return this->gateway.RunForPeer(from, bytes, arrived);
      };
  all.on_request[index(Channel::kSend)] =
      [this](const NodeId& from, std::string_view bytes, Instant) {
        return this->gateway.AwaitSendResult(from, bytes);
      };
  all.on_message[index(Channel::kSend)] = [this](const NodeId& from,
                                                 std::string_view bytes) {
    if (const auto cancel = Decode<wire::SendCancel>(bytes)) {
      this->transfers.OnEnded(from, cancel->send_id);
      this->gateway.Cancel(from, cancel->send_id);
    }
  };
  all.on_request[index(Channel::kTransfer)] =
      [this](const NodeId& from, std::string_view bytes, Instant) {
        return this->transfers.OnRequest(from, bytes);
      };
  all.on_request[index(Channel::kConfig)] =
      [this](const NodeId&, std::string_view bytes, Instant) {
        return this->configs.OnPeerQuestion(bytes);
      };
  all.on_message[index(Channel::kConfig)] = [this](const NodeId& from,
                                                   std::string_view bytes) {
    this->configs.OnPeerNotice(from, bytes);
  };
  all.on_request[index(Channel::kQuota)] =
      [this](const NodeId& from, std::string_view bytes, Instant) {
        return this->quotas.OnPeerQuestion(from, bytes);
      };
  all.on_message[index(Channel::kQuota)] = [this](const NodeId& from,
                                                  std::string_view bytes) {
    this->quotas.OnPeerMessage(from, bytes);
  };
  const auto membership_answer = [this](const NodeId& from,
                                        std::string_view bytes, Instant) {
    return this->membership.OnPeerRequest(from, bytes);
  };
  all.on_request[index(Channel::kMembership)] = membership_answer;
  all.on_request[index(Channel::kReach)] = membership_answer;
  all.on_request[index(Channel::kSuspects)] =
      [this](const NodeId& from, std::string_view bytes, Instant) {
        return this->suspects.OnPeerRequest(from, bytes);
      };
  all.on_request[index(Channel::kRollout)] =
      [this](const NodeId& from, std::string_view bytes, Instant) {
        return this->rollouts.OnDirective(from, bytes);
      };
  NoteFrames(all);
  return all;
}

void Sidecar::RunTicks() {
  for (int ticks = 0; this->loop.SleepFor(kTickInterval); ++ticks) {
    if (ticks % kTicksPerReconnect == 0) {
      this->MaintainConnections();
    }
    if (ticks % kTicksPerTrafficLog == 0) {
      this->LogTraffic();
    }
    if (ticks % kTicksPerQuarantineRecord == 0) {
      this->directory.SetQuarantined(
          ToRecords(this->suspects.OwnQuarantines()));
    }
    this->gateway.OnTick();
    this->transfers.OnTick();
    this->quotas.OnTick();
    this->configs.OnTick();
    this->proof.OnTick();
    this->rollouts.OnTick();
    this->MaybeReadNodeList(ticks);
    this->AnnounceBackend();
    this->events.Flush();
  }
}

// Two groups of nodes may not know of each other, or this node of any other
// one. Each group has readers of the configuration, which read the node list
// too: a while after the start, when all nodes that started with this one are
// listed.
void Sidecar::MaybeReadNodeList(int ticks) {
  const auto up = Now() - this->started;
  if (std::ranges::count_if(this->members, &IsLive) <= 1) {
    const int interval =
        up < kFirstLonelyReads ? kTicksPerFirstLonelyRead : kTicksPerLonelyRead;
    if (ticks % interval == interval - 1) {
      this->directory.RequestListing();
    }
  } else if (up >= kNodeListReadDelay && this->configs.is_reader() &&
             !std::exchange(this->node_list_read_again, true)) {
    this->directory.RequestRead();
  }
}

void Sidecar::OnConfig(std::shared_ptr<const MeshConfig> next) {
  NoteActivity("configuration", std::to_string(next->version()));
  this->mesh = std::move(next);
  HttpLimits limits;
  limits.max_header_bytes = this->mesh->limits().max_header_bytes;
  limits.max_body_bytes = this->mesh->limits().max_body_bytes;
  limits.read_timeout = this->mesh->limits().header_timeout;
  limits.idle_timeout = this->mesh->limits().idle_timeout;
  this->front_server.SetLimits(limits);
  this->membership.SetInForce({this->mesh->version()});
  this->entry.SetConfig(this->mesh);
  this->proof.SetConfig(*this->mesh);
  this->quotas.SetConfig(this->mesh);
  this->rollouts.SetConfig(this->mesh);
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
  this->events.Write(
      "traffic", {{"call_bytes", this->BytesSent(Channel::kCall)},
                  {"question_bytes", this->BytesSent(Channel::kSend)},
                  {"config_bytes", this->BytesSent(Channel::kConfig)},
                  {"membership_bytes", datagrams_sent},
                  {"store_config_reads",
                   static_cast<std::int64_t>(this->store_calls.config_reads)},
                  {"store_config_polls",
                   static_cast<std::int64_t>(this->store_calls.config_polls)},
                  {"store_proof_reads",
                   static_cast<std::int64_t>(this->store_calls.proof_reads)},
                  {"store_list_reads",
                   static_cast<std::int64_t>(this->store_calls.list_reads)},
                  {"store_record_writes",
                   static_cast<std::int64_t>(this->store_calls.record_writes)},
                  {"connects", static_cast<std::int64_t>(
                                   this->peer_counters.connects.load())}});
}

// Fleet -----------------------------------------------------------------------

void Sidecar::OnEarlierRecord(const wire::NodeRecord& record, bool ready) {
  if (record.state == static_cast<std::int32_t>(EndpointState::kDraining)) {
    this->gateway.OnLeftEarlier(HeartbeatOf(record));
  } else if (ready) {
    this->recorded_backend = HeartbeatOf(record);
    this->ConfirmBackend();
  }
}

void Sidecar::OnNodeList(const NodeDirectory::Records& records) {
  NoteActivity("node list", "");
  std::vector<NodeId> seeds;
  this->quotas.SetListedNodes(records.size());
  this->hints.clear();
  this->hints_until = Now() + kHintLifetime;
  // Later lists have this node's own record, which may be of a leave in doubt.
  const bool has_record_of_earlier_start =
      !std::exchange(this->node_list_read, true);
  std::ranges::for_each(records, [&](const auto& listed) {
    const auto& [node, record] = listed;
    this->suspects.OnRecorded(QuarantinesOf(node, record));
    // A warming backend server is ready soon, and that is not recorded.
    const bool ready =
        record.state == static_cast<std::int32_t>(EndpointState::kReady) ||
        record.state == static_cast<std::int32_t>(EndpointState::kWarming);
    if (node == this->settings.address) {
      if (has_record_of_earlier_start) {
        this->OnEarlierRecord(record, ready);
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
  this->UpdateEndpoints();
  this->MaintainConnections();
}

// Sends a health check to a backend server that may have left during an earlier
// start of this node. That is the one with an unconfirmed first heartbeat or,
// without such a heartbeat, the one that the last start recorded.
void Sidecar::ConfirmBackend() {
  const auto& unconfirmed = this->gateway.unconfirmed_backend();
  const auto& reported = unconfirmed ? unconfirmed : this->recorded_backend;
  const bool needed = unconfirmed || !this->gateway.backend();
  if (!needed || !reported || !this->mesh || this->checking_health) {
    return;
  }
  const MeshService* service = this->mesh->Service(reported->service);
  if (service == nullptr) {
    return;
  }
  this->checking_health = true;
  this->loop.SpawnHere(
      [this, backend = *reported, path = service->health_path] {
        this->gateway.RunHealthCheck(backend, path);
        this->checking_health = false;
        this->AnnounceBackend();
      });
}

void Sidecar::OnMembers(const std::vector<Member>& all) {
  this->members = all;
  const auto live =
      static_cast<std::size_t>(std::ranges::count_if(all, &IsLive));
  this->entry.SetLiveNodes(live);
  this->quotas.SetMembers(all);
  this->configs.SetMembers(all, this->settings.address, this->settings.zone,
                           this->membership.isolated());
  this->proof.SetMembers(all);
  const auto& backend = this->gateway.backend();
  this->suspects.SetMembers(
      all, backend ? backend->service : this->settings.service);
  if (this->rollouts.enabled()) {
    this->rollouts.SetMembers(all, FindReaders(all));
  }
  this->UpdateEndpoints();
  this->MaintainConnections();
  this->events.Write("members changed",
                     {{"live", static_cast<std::int64_t>(live)}});
}

// Updates the endpoints that calls are routed to: those that members announce
// and, shortly after the start, those of the node list for nodes that
// membership does not know yet.
void Sidecar::UpdateEndpoints() {
  std::vector<Endpoint> endpoints;
  std::ranges::for_each(this->members, [&](const Member& member) {
    if (IsLive(member) && member.endpoint) {
      endpoints.push_back(*member.endpoint);
    }
  });
  if (Now() < this->hints_until) {
    std::ranges::copy_if(
        this->hints, std::back_inserter(endpoints),
        [this](const Endpoint& hint) {
          const auto known_member =
              std::ranges::find(this->members, hint.node, &Member::node);
          return known_member == this->members.end() || !known_member->endpoint;
        });
  }
  this->rollouts.SetHints(Now() < this->hints_until ? this->hints
                                                    : std::vector<Endpoint>());
  this->entry.SetEndpoints(endpoints);
}

// Keeps a connection to every node that may receive calls, so that no call
// waits for one.
void Sidecar::MaintainConnections() {
  const auto maintain = [this](const NodeId& node) {
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
      maintain(member.node);
    }
  });
  if (Now() < this->hints_until) {
    std::ranges::for_each(this->hints, maintain, &Endpoint::node);
  }
}

// Backend server --------------------------------------------------------------

// Announces changes of the local backend server to the fleet.
void Sidecar::AnnounceBackend() {
  const auto& backend = this->gateway.backend();
  const EndpointState state = this->gateway.AnnouncedState();
  const EndpointState backend_state = this->gateway.BackendState();
  if (!backend || (state == this->announced_state &&
                   backend_state == this->announced_backend_state &&
                   backend->instance == this->announced_instance)) {
    return;
  }
  this->announced_state = state;
  this->announced_backend_state = backend_state;
  this->announced_instance = backend->instance;
  this->events.Write(
      "back end", {{"instance", backend->instance},
                   {"service", backend->service.value},
                   {"state", static_cast<std::int64_t>(state)},
                   {"slots", std::int64_t{backend->slots}},
                   {"sequence", static_cast<std::int64_t>(backend->sequence)}});
  this->directory.SetBackend(*backend, backend_state);
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
  if (this->settings.bounds.exposure_ratio) {
    endpoint.version = backend->version;
  }
  this->membership.Announce(endpoint);
}

// A heartbeat of a service that nobody knows may come from another writer. The
// service may be added to the configuration later: the next heartbeat is
// checked again.
tl::expected<void, std::string> Sidecar::CheckHeartbeat(
    const Heartbeat& heartbeat) const {
  if (heartbeat.born_ms > UnixMilliseconds() + kMaxClockDifferenceMs) {
    return tl::unexpected(
        std::string("it says that it was born in the future"));
  }
  const auto& backend = this->gateway.backend();
  const bool known_start = backend && backend->instance == heartbeat.instance &&
                           backend->born_ms == heartbeat.born_ms &&
                           backend->service == heartbeat.service;
  const bool named =
      known_start || heartbeat.service == this->settings.service ||
      (this->mesh && this->mesh->Service(heartbeat.service) != nullptr);
  return named ? tl::expected<void, std::string>()
               : tl::unexpected(std::string(
                     this->mesh ? "no service of this name"
                                : "the configuration is not known yet"));
}

std::optional<HttpResponse> Sidecar::OnBackendMessage(
    const HttpRequest& request) {
  NoteActivity("message of a backend server", request.Path());
  const auto message = this->platform.ParseBackendMessage(request);
  if (!message) {
    ++this->heartbeat_counts.rejected;
    this->events.Write("back end word unreadable",
                       {{"error", message.error()}});
    return MakeResponse(kBadRequest, "text/plain", message.error() + "\n");
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*message)) {
    if (const auto valid = this->CheckHeartbeat(*heartbeat); !valid) {
      ++this->heartbeat_counts.rejected;
      this->events.Write("heartbeat rejected",
                         {{"instance", heartbeat->instance},
                          {"service", heartbeat->service.value},
                          {"born_ms", heartbeat->born_ms},
                          {"error", valid.error()}});
      return MakeResponse(kBadRequest, "text/plain", valid.error() + "\n");
    }
    const HeartbeatVerdict verdict = this->gateway.OnHeartbeat(*heartbeat);
    this->heartbeat_counts.stale += verdict == HeartbeatVerdict::kStale ? 1 : 0;
    this->heartbeat_counts.unconfirmed +=
        verdict == HeartbeatVerdict::kUnconfirmed ? 1 : 0;
    if (verdict != HeartbeatVerdict::kUnchanged) {
      this->events.Write(
          EventName(verdict),
          {{"instance", heartbeat->instance},
           {"born_ms", heartbeat->born_ms},
           {"sequence", static_cast<std::int64_t>(heartbeat->sequence)},
           {"address", heartbeat->address},
           {"slots", std::int64_t{heartbeat->slots}},
           {"draining", std::int64_t{heartbeat->draining}},
           {"up_ms",
            duration_cast<milliseconds>(Now() - this->started).count()}});
    }
    if (verdict == HeartbeatVerdict::kUnconfirmed ||
        this->gateway.has_foreign_leave()) {
      this->ConfirmBackend();
    }
  } else {
    const auto& deregistration = std::get<Deregistration>(*message);
    const bool known = this->gateway.OnDeregistration(deregistration.instance);
    this->events.Write(
        "back end leaves",
        {{"instance", deregistration.instance},
         {"known", std::int64_t{known}},
         {"up_ms",
          duration_cast<milliseconds>(Now() - this->started).count()}});
  }
  this->AnnounceBackend();
  return MakeResponse(kOk, "application/json", "{}");
}

// Callers ---------------------------------------------------------------------

void Sidecar::LogUnanswered(const HttpRequest& request,
                            const UnansweredRequest& what) {
  if (what.stage != UnansweredRequest::Stage::kCallerDisconnected) {
    ++this->unanswered;
  }
  const auto caller = this->platform.ParseCallerRequest(request);
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

void Sidecar::RegisterMetrics() {
  const auto add_gauge = [this](const char* name, const char* help, auto read) {
    this->sidecar_metrics.AddGauge(
        name, help, [read] { return static_cast<double>(read()); });
  };
  this->entry.AddMetrics(this->sidecar_metrics);
  add_gauge("tanagerledge_ready", "1 when callers may be sent here.",
            [this] { return this->IsReady(); });
  add_gauge("tanagerledge_config_version",
            "Version of the configuration in force.",
            [this] { return this->mesh ? this->mesh->version() : 0; });
  add_gauge("tanagerledge_config_behind",
            "1 while another node has a newer configuration.",
            [this] { return this->configs.IsBehind(); });
  add_gauge("tanagerledge_store_answers",
            "1 unless the last request to the store failed.",
            [this] { return this->configs.store_answers(); });
  add_gauge("tanagerledge_store_reader",
            "1 while this node follows the configuration in the store.",
            [this] { return this->configs.is_reader(); });
  add_gauge("tanagerledge_store_config_reads_total",
            "Reads of the newest configuration in the store.",
            [this] { return this->store_calls.config_reads; });
  add_gauge("tanagerledge_store_config_polls_total",
            "Reads of the store that may wait for a new configuration.",
            [this] { return this->store_calls.config_polls; });
  add_gauge("tanagerledge_store_proof_reads_total",
            "Reads of the store to prove that the configuration is the newest.",
            [this] { return this->store_calls.proof_reads; });
  add_gauge("tanagerledge_config_proof_age_seconds",
            "Time since the configuration was proven to be the newest; -1 "
            "without a proof.",
            [this] { return this->proof.AgeInSeconds(); });
  add_gauge("tanagerledge_config_unproven",
            "1 while requests with keys are refused because the proof is too "
            "old. tanagerledge_calls_total counts them by reason.",
            [this] { return this->proof.IsUnproven(); });
  add_gauge("tanagerledge_store_list_reads_total",
            "Reads of the node list in the store.",
            [this] { return this->store_calls.list_reads; });
  add_gauge("tanagerledge_store_record_writes_total",
            "Writes of this node's record in the node list.",
            [this] { return this->store_calls.record_writes; });
  add_gauge("tanagerledge_rollouts_in_charge",
            "Roll-outs about which this node decides.",
            [this] { return this->rollouts.in_charge(); });
  add_gauge("tanagerledge_rollout_exposed_requests",
            "Requests sent to the target versions of the newest orders.",
            [this] { return this->rollouts.exposed(); });
  add_gauge("tanagerledge_rollout_bad_orders_total",
            "Orders of roll-outs that were rejected.",
            [this] { return this->rollouts.bad_orders(); });
  add_gauge("tanagerledge_store_status_reads_total",
            "Reads of the status of roll-outs in the store.",
            [this] { return this->store_calls.status_reads; });
  add_gauge("tanagerledge_store_status_writes_total",
            "Writes of the status of roll-outs.",
            [this] { return this->store_calls.status_writes; });
  add_gauge("tanagerledge_live_members", "Nodes that count as live.",
            [this] { return std::ranges::count_if(this->members, &IsLive); });
  add_gauge("tanagerledge_back_end_state",
            "Local backend server: 0 warming, 1 ready, 2 draining, 3 gone.",
            [this] { return this->gateway.AnnouncedState(); });
  add_gauge("tanagerledge_heartbeats_rejected_total",
            "Messages of backend servers that were answered with an error.",
            [this] { return this->heartbeat_counts.rejected; });
  add_gauge("tanagerledge_heartbeats_stale_total",
            "Heartbeats that changed nothing because newer ones or the leave "
            "are known.",
            [this] { return this->heartbeat_counts.stale; });
  add_gauge("tanagerledge_heartbeats_unconfirmed_total",
            "Heartbeats of backend servers that had to be confirmed first.",
            [this] { return this->heartbeat_counts.unconfirmed; });
  add_gauge("tanagerledge_back_end_slots",
            "Slots that the local backend server announced.",
            [this] { return this->gateway.Load().limit; });
  add_gauge("tanagerledge_calls_running",
            "Calls that hold a slot of the backend server.",
            [this] { return this->gateway.Load().running; });
  add_gauge("tanagerledge_calls_waiting", "Calls that wait for a slot.",
            [this] { return this->gateway.Load().queued; });
  add_gauge("tanagerledge_calls_entered", "Callers' requests in progress here.",
            [this] { return this->entry.calls_in_progress(); });
  add_gauge("tanagerledge_back_end_failing_permille",
            "Recent calls there without a good answer, per thousand.",
            [this] { return this->gateway.Load().failing_permille; });
  add_gauge("tanagerledge_back_end_slowdown",
            "Recent work time there over the usual one.",
            [this] { return this->gateway.Load().slowdown; });
  add_gauge("tanagerledge_peer_connects_total", "Connections opened to nodes.",
            [this] { return this->peer_counters.connects.load(); });
  add_gauge("tanagerledge_call_bytes_total", "Bytes of calls sent to nodes.",
            [this] { return this->BytesSent(Channel::kCall); });
  add_gauge(
      "tanagerledge_unanswered_total",
      "Requests read completely whose connection ended without a whole answer, "
      "though their callers had not disconnected.",
      [this] { return this->unanswered; });
  add_gauge("tanagerledge_body_bytes",
            "Memory reserved for bodies of requests and answers.",
            [this] { return this->bodies.held(); });
  add_gauge("tanagerledge_bodies_refused_total",
            "Bodies of requests and answers for which there was no memory.",
            [this] { return this->bodies.refused(); });
  add_gauge("tanagerledge_transfers_waiting",
            "Long bodies of other nodes that wait for room on the link.",
            [this] { return this->transfers.waiting(); });
  add_gauge("tanagerledge_transfers_refused_total",
            "Long bodies of other nodes refused for want of room on the link.",
            [this] { return this->transfers.refused(); });
  add_gauge("tanagerledge_quota_granted_total",
            "Requests of client accounts that got a token of their quota.",
            [this] { return this->quotas.counts().granted; });
  add_gauge("tanagerledge_quota_refused_total",
            "Requests refused because of the quotas of client accounts.",
            [this] { return this->quotas.counts().refused; });
  add_gauge("tanagerledge_quota_fallback_total",
            "Requests admitted although no granting node answered.",
            [this] { return this->quotas.counts().fallback; });
  add_gauge("tanagerledge_quota_questions_total",
            "Questions to granting nodes of quotas.",
            [this] { return this->quotas.counts().questions; });
  add_gauge("tanagerledge_quota_buckets",
            "Client accounts whose tokens this node has granted lately.",
            [this] { return this->quotas.buckets(); });
  add_gauge("tanagerledge_log_lines_dropped_total", "Log lines over the limit.",
            [this] { return this->events.dropped(); });
}

// Reload and shutdown ---------------------------------------------------------

void Sidecar::Reload(const Settings& next) {
  this->loop.Spawn([this, next] {
    this->membership.AddSeeds(next.seeds);
    this->entry.SetCallerService(next.service);
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
  this->gateway.OnNodeStopping(plan);
  // Closes each caller's connection after its next answer. Closing connections
  // later would interrupt requests.
  this->front_server.CloseAfterAnswer();
  this->DrainCalls(plan);
  this->DrainConnections(plan);
  const HttpServer::ConnectionCounts callers =
      this->front_server.CountConnections();
  this->events.Write(
      "stopped",
      {{"took_ms", duration_cast<milliseconds>(Now() - plan.began()).count()},
       {"calls", static_cast<std::int64_t>(this->CallsInProgress())},
       {"unanswered", static_cast<std::int64_t>(callers.unanswered())},
       {"unread", static_cast<std::int64_t>(callers.unread)},
       {"reading", static_cast<std::int64_t>(callers.reading)},
       {"ending", static_cast<std::int64_t>(callers.lingering)},
       {"callers",
        static_cast<std::int64_t>(this->front_server.open_connections())},
       {"peers", static_cast<std::int64_t>(this->peers.connections())},
       {"peer_bytes_unwritten",
        static_cast<std::int64_t>(this->peers.unwritten_bytes())},
       {"refused", this->entry.rejected_while_stopping()},
       {"lines_dropped", static_cast<std::int64_t>(this->events.dropped())}});
  this->events.Flush();
  this->membership.Stop();
  this->front_server.Close();
  this->admin_server.Close();
  this->readiness_server.Close();
  this->metrics_server.Close();
  this->peers.Close();
  this->gateway.Close();
  this->store->Close();
  this->datagrams.Close();
  this->loop.Stop();
}

std::size_t Sidecar::CallsInProgress() const {
  return this->gateway.calls_in_progress() + this->entry.calls_in_progress();
}

void Sidecar::DrainCalls(const StopPlan& plan) {
  // The backend server keeps running and the fleet needs its capacity, so calls
  // of other nodes are accepted until this node's own callers are about to
  // leave.
  this->loop.SleepFor(plan.peer_calls_until() - Now());
  this->AnnounceBackend();
  this->loop.SleepFor(plan.caller_calls_until() - Now());
  // New connections are still accepted, because the backend server makes nested
  // calls for the requests that it runs.
  while (this->CallsInProgress() > 0 && Now() < plan.answer_by()) {
    this->loop.SleepFor(kShutdownPollInterval);
  }
  if (this->CallsInProgress() > 0) {
    this->AbortRemainingCalls(plan);
  }
}

// Aborts the remaining calls: queued calls end as not run, others may have run.
void Sidecar::AbortRemainingCalls(const StopPlan& plan) {
  const LoadReport load = this->gateway.Load();
  this->events.Write(
      "calls given up",
      {{"entered", static_cast<std::int64_t>(this->entry.calls_in_progress())},
       {"running", std::int64_t{load.running}},
       {"waiting", std::int64_t{load.queued}}});
  this->entry.AbortCalls();
  this->gateway.AbortCalls();
  const auto await_end = [&] {
    const Instant until = std::min(Now() + kCancelTimeout, plan.end_by());
    while (this->CallsInProgress() > 0 && Now() < until) {
      this->loop.SleepFor(kShutdownPollInterval);
    }
  };
  await_end();
  this->peers.CancelRequests();
  await_end();
}

// Rejects new requests and waits until all answers are written.
void Sidecar::DrainConnections(const StopPlan& plan) {
  this->entry.RejectAll();
  this->front_server.Drain();
  const Instant last_request = Now() + kLateRequestWindow;
  const auto pending = [&] {
    this->front_server.CloseIdle();
    const HttpServer::ConnectionCounts callers =
        this->front_server.CountConnections();
    return callers.unanswered() > 0 || this->peers.unwritten_bytes() > 0 ||
           (callers.lingering > 0 &&
            Now() < plan.end_by() - kPeerCloseTimeout) ||
           (this->front_server.open_connections() > 0 && Now() < last_request);
  };
  while (pending() && Now() < plan.end_by()) {
    this->loop.SleepFor(kShutdownPollInterval);
  }
  this->membership.Leave();
  this->peers.DrainAndClose();
  const Instant peers_close =
      std::min(Now() + kPeerCloseTimeout, plan.end_by());
  while (this->peers.connections() > 0 && Now() < peers_close) {
    this->loop.SleepFor(kShutdownPollInterval);
  }
}

}  // namespace tanagerledge
