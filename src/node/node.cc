#include "src/node/node.h"

#include <algorithm>
#include <initializer_list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/fiber_sync.h"
#include "src/adapters/logging.h"
#include "src/adapters/net.h"
#include "src/node/admin.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kControlTickInterval{5};
// Control ticks between two checks that the backend server still announces
// itself.
constexpr int kTicksPerBackendCheck = 20;
constexpr milliseconds kControlTimeout{2000};
constexpr milliseconds kDrainPollInterval{10};
// Minimum drain time, so that calls that other nodes sent before they learned
// of the drain are still answered.
constexpr milliseconds kDrainGrace{500};
constexpr std::size_t kMaxDecisions = 512;
constexpr std::size_t kMaxAuditEntries = 1024;
constexpr std::size_t kMaxAdminBody = 64 * 1024;

OnceConfig MakeOnceConfig(const PeerIdentity& identity) {
  OnceConfig config;
  config.self = identity.node;
  config.zone = identity.zone;
  config.incarnation = identity.incarnation;
  return config;
}

// The fields of a log event as `name value, name value`.
std::string ToSentence(std::initializer_list<EventField> fields) {
  std::string text;
  for (const EventField& field : fields) {
    text += text.empty() ? "" : ", ";
    text += std::string(field.name) + " ";
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
      text += std::to_string(*number);
    } else {
      text += std::get<std::string_view>(field.value);
    }
  }
  return text;
}

}  // namespace

// The event loop, the servers and the state of one worker thread.
struct Node::WorkerThread {
  WorkerThread(Node& node, std::uint64_t seed)
      : worker(this->loop, node.snapshots, seed),
        handlers(node.MakePeerHandlers(*this)),
        peers(this->loop, node.identity, this->handlers, node.peer_counters),
        front(this->loop, [&node, this](const HttpRequest& request) {
          return node.entry.Handle(this->worker, request);
        }) {
    this->worker.peers = &this->peers;
  }

  IoLoop loop;
  Worker worker;
  PeerHandlers handlers;
  PeerTransport peers;
  HttpServer front;
};

Node::Node(Settings node_settings, const StoreConnector& connect_store)
    : settings(std::move(node_settings)),
      identity{this->settings.fleet, this->settings.address,
               this->settings.zone, NewIncarnation(), this->settings.delays},
      decisions(kMaxDecisions),
      audit(kMaxAuditEntries),
      registry(std::make_shared<prometheus::Registry>()),
      call_metrics(*this->registry),
      control_peers(this->control,
                    this->identity,
                    this->no_handlers,
                    this->peer_counters),
      log(connect_store(this->control, this->settings.log_address)),
      datagrams(this->control, this->settings.address),
      suspects(this->control, this->control_peers, this->settings.address),
      once(this->control,
           this->control_peers,
           *this->log,
           MakeOnceConfig(this->identity)),
      executor(this->backend, this->suspects, this->once, this->decisions),
      entry(this->settings.address,
            this->settings.zone,
            this->executor,
            this->chooser,
            this->call_metrics,
            this->decisions) {
  MembershipConfig member_config;
  member_config.self = this->settings.address;
  member_config.zone = this->settings.zone;
  member_config.fleet = this->settings.fleet;
  member_config.incarnation = this->identity.incarnation;
  member_config.seeds = this->settings.seeds;
  member_config.seed = this->identity.incarnation.value;
  member_config.period = this->settings.heartbeat_period;
  this->membership = std::make_unique<MembershipHost>(
      this->control, this->control_peers, this->datagrams, member_config,
      [this](const std::vector<Member>& all) { this->OnMembers(all); });
  this->suspects.SetEventSink([this](std::string_view event,
                                     std::initializer_list<EventField> fields) {
    this->decisions.Add(Part::kBackend, std::string(event), ToSentence(fields));
  });
  this->membership->SetQuarantineDigest(
      [this] { return this->suspects.QuarantineDigest(); },
      [this](const NodeId& from, std::int64_t digest) {
        this->suspects.OnPeerDigest(from, digest);
      });
  ReleaseHostConfig release_config;
  release_config.distribution.node = this->settings.address;
  release_config.distribution.zone = this->settings.zone;
  release_config.distribution.seed = this->identity.incarnation.value;
  this->releases = std::make_unique<ReleaseHost>(
      this->control, this->control_peers, *this->log, release_config,
      [this](std::shared_ptr<const FleetState> next) {
        this->OnState(std::move(next));
      });
  this->admin = std::make_unique<Admin>(*this);
  HttpLimits limits;
  limits.max_body_bytes = kMaxAdminBody;
  this->admin_server = std::make_unique<HttpServer>(
      this->control,
      [this](const HttpRequest& request) {
        return this->admin->Handle(request);
      },
      limits);
}

Node::~Node() = default;

// Start ---------------------------------------------------------------------

tl::expected<void, std::string> Node::Start() {
  const auto admin_bound =
      this->admin_server->Accept(CheckedAddress(this->settings.admin_address));
  if (!admin_bound) {
    return tl::unexpected("admin address " + admin_bound.error().text);
  }
  if (auto started = this->StartWorkers(); !started) {
    return started;
  }
  if (auto opened = this->membership->Start(); !opened) {
    return tl::unexpected("node address " + opened.error());
  }
  this->StartControl();
  this->control.Start();
  for (const auto& worker : this->workers) {
    worker->loop.Start();
  }
  LOG_PART(Part::kNode, info)
      << "Node " << this->settings.address.value << " of fleet "
      << this->settings.fleet << " started in zone "
      << this->settings.zone.value << ".";
  return {};
}

tl::expected<void, std::string> Node::StartWorkers() {
  const auto peer_endpoint = CheckedAddress(this->settings.address.value);
  const auto front_endpoint = CheckedAddress(this->settings.front_address);
  if (const auto unused = CheckUnused(peer_endpoint); !unused) {
    return tl::unexpected("node address " + unused.error().text);
  }
  if (const auto unused = CheckUnused(front_endpoint); !unused) {
    return tl::unexpected("front address " + unused.error().text);
  }
  for (int i = 0; i < this->settings.workers; ++i) {
    const std::uint64_t seed =
        this->identity.incarnation.value + static_cast<std::uint64_t>(i);
    auto worker = std::make_unique<WorkerThread>(*this, seed);
    const auto peer_bound =
        worker->peers.Accept(peer_endpoint, PortSharing::kShared);
    if (!peer_bound) {
      return tl::unexpected("node address " + peer_bound.error().text);
    }
    const auto front_bound =
        worker->front.Accept(front_endpoint, PortSharing::kShared);
    if (!front_bound) {
      return tl::unexpected("front address " + front_bound.error().text);
    }
    this->workers.push_back(std::move(worker));
  }
  return {};
}

// Calls run on the worker that received the request. All other requests and
// messages are passed to the control loop, on which their state machines run.
PeerHandlers Node::MakePeerHandlers(WorkerThread& worker) {
  PeerHandlers handlers;
  const auto index = [](Channel channel) {
    return static_cast<std::size_t>(channel);
  };
  handlers.on_request[index(Channel::kCall)] =
      [this, &worker](const NodeId&, std::string_view bytes, Instant arrived) {
        auto request = Decode<wire::CallRequest>(bytes);
        if (request) {
          CountWaitingTime(
              *request, std::chrono::duration_cast<std::chrono::microseconds>(
                            Now() - arrived));
        }
        const wire::CallReply reply =
            request ? this->executor.Execute(worker.worker.backend, *request)
                    : MakeReply(Outcome::kNotRun, Reason::kBadRequest,
                                "the request could not be decoded");
        return Encode(reply);
      };
  const auto on_control = [this](auto handler) {
    return
        [this, handler](const NodeId& from, std::string_view bytes, Instant) {
          const auto reply =
              RunOn(this->control, Now() + kControlTimeout,
                    [handler, from, owned_bytes = std::string(bytes)] {
                      return handler(from, owned_bytes);
                    });
          return reply.value_or(std::string());
        };
  };
  const auto membership_handler =
      on_control([this](const NodeId& from, const std::string& bytes) {
        return this->membership->OnPeerRequest(from, bytes);
      });
  handlers.on_request[index(Channel::kMembership)] = membership_handler;
  handlers.on_request[index(Channel::kReach)] = membership_handler;
  handlers.on_request[index(Channel::kRelease)] =
      on_control([this](const NodeId& from, const std::string& bytes) {
        return this->releases->OnPeerRequest(from, bytes);
      });
  handlers.on_request[index(Channel::kOnce)] =
      on_control([this](const NodeId& from, const std::string& bytes) {
        return this->once.OnPeerRequest(from, bytes);
      });
  handlers.on_request[index(Channel::kSuspects)] =
      on_control([this](const NodeId& from, const std::string& bytes) {
        return this->suspects.OnPeerRequest(from, bytes);
      });
  handlers.on_message[index(Channel::kRelease)] =
      [this](const NodeId& from, std::string_view bytes) {
        this->control.Spawn([this, from, owned_bytes = std::string(bytes)] {
          this->releases->OnPeerMessage(from, owned_bytes);
        });
      };
  handlers.on_message[index(Channel::kOnce)] = [this](const NodeId& from,
                                                      std::string_view bytes) {
    this->control.Spawn([this, from, owned_bytes = std::string(bytes)] {
      this->once.OnPeerMessage(from, owned_bytes);
    });
  };
  return handlers;
}

void Node::StartControl() {
  this->suspects.Start();
  this->once.Start();
  this->releases->Start();
  this->control.Spawn([this] { this->RunControlTicks(); });
}

void Node::RunControlTicks() {
  int ticks = 0;
  while (this->control.SleepFor(kControlTickInterval)) {
    this->executor.OnTick();
    if (++ticks % kTicksPerBackendCheck == 0) {
      this->CheckBackend();
    }
    this->UpdateReadiness();
  }
}

// Advertises the backend server as gone when it has died or stopped announcing
// itself.
void Node::CheckBackend() {
  if (this->advertised_state != EndpointState::kGone &&
      !this->backend.Current(Now())) {
    this->audit.Add(Part::kBackend, "back end gone",
                    "it died or stopped announcing itself");
    this->AdvertiseBackend({}, EndpointState::kGone);
  }
}

void Node::UpdateReadiness() {
  const bool can_serve = this->releases->IsReady() && this->state != nullptr;
  if (can_serve == this->entry.ready.load()) {
    return;
  }
  this->entry.ready.store(can_serve);
  const std::string reason =
      can_serve ? "release " + std::to_string(this->state->release.value)
                : this->releases->NotReadyReason();
  this->audit.Add(Part::kNode, can_serve ? "ready" : "not ready", reason);
  LOG_PART(Part::kAudit, info)
      << "Node is " << (can_serve ? "ready: " : "not ready: ") << reason << ".";
}

// Events --------------------------------------------------------------------

void Node::OnState(std::shared_ptr<const FleetState> next) {
  this->state = std::move(next);
  this->executor.OnPolicies(this->state->ranks);
  this->RebuildSnapshot();
  this->membership->SetInForce(this->state->release);
  this->audit.Add(
      Part::kRelease,
      "release " + std::to_string(this->state->release.value) + " in force",
      "");
  LOG_PART(Part::kAudit, info)
      << "Release " << this->state->release.value << " is in force.";
}

void Node::OnMembers(const std::vector<Member>& all) {
  this->members = all;
  this->releases->SetMembers(all);
  this->once.SetMembers(all);
  const auto own = this->backend.Current(Now());
  this->suspects.SetMembers(all, own ? own->service : ServiceName{});
  this->RebuildSnapshot();
}

// Publishes endpoints and routes in one snapshot, so that a call never combines
// new endpoints with old routes or the reverse.
void Node::RebuildSnapshot() {
  if (!this->state) {
    return;
  }
  std::vector<Endpoint> endpoints;
  for (const Member& member : this->members) {
    const bool serves =
        member.endpoint && member.endpoint->state != EndpointState::kGone;
    if (IsLive(member) && serves) {
      endpoints.push_back(*member.endpoint);
    }
  }
  this->snapshots.Store(
      std::make_shared<const Snapshot>(this->state, std::move(endpoints)));
}

void Node::OnAnnounced(const Announcement& announcement) {
  const bool changed = this->backend.OnAnnounced(announcement, Now());
  if (!changed && this->advertised_state != EndpointState::kGone) {
    return;
  }
  const auto current = this->backend.Current(Now());
  this->executor.OnAnnounced(*current);
  this->AdvertiseBackend(*current, current->state);
  this->audit.Add(Part::kBackend,
                  "back end " + current->backend.value + " announced",
                  "service " + current->service.value);
}

void Node::OnBackendDrain() {
  this->backend.OnDrain();
  this->executor.OnDrain();
  this->membership->Drain();
  this->advertised_state = EndpointState::kDraining;
  this->audit.Add(Part::kBackend, "back end draining", "a drain was requested");
  LOG_PART(Part::kBackend, info) << "The back end is draining.";
}

void Node::AdvertiseBackend(const Announcement& announcement,
                            EndpointState new_state) {
  this->advertised_state = new_state;
  if (new_state == EndpointState::kDraining) {
    this->membership->Drain();
    return;
  }
  Endpoint endpoint;
  endpoint.node = this->settings.address;
  endpoint.zone = this->settings.zone;
  endpoint.service = announcement.service;
  endpoint.slots = announcement.slots;
  endpoint.state = new_state;
  endpoint.since = Now();
  this->membership->Announce(endpoint);
}

// Shutdown ------------------------------------------------------------------

void Node::Shutdown() {
  const Instant until = Now() + this->settings.drain_timeout;
  LOG_PART(Part::kNode, info) << "Draining.";
  this->control.Spawn([this] { this->OnBackendDrain(); });
  for (const auto& worker : this->workers) {
    worker->loop.Spawn([&worker = *worker] { worker.front.Drain(); });
  }
  std::this_thread::sleep_for(
      std::min<milliseconds>(kDrainGrace, this->settings.drain_timeout));
  while (this->executor.calls_in_progress() > 0 && Now() < until) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  this->control.Spawn([this] {
    this->membership->Leave();
    this->membership->Stop();
    this->admin_server->Close();
    this->control_peers.Close();
    this->log->Close();
    this->datagrams.Close();
    this->control.Stop();
  });
  this->control.Join();
  for (const auto& worker : this->workers) {
    worker->loop.Spawn([&worker = *worker] {
      worker.front.Close();
      worker.peers.Close();
      worker.worker.backend.Close();
      worker.loop.Stop();
    });
    worker->loop.Join();
  }
  LOG_PART(Part::kNode, info) << "Ended.";
}

}  // namespace tanagerledge
