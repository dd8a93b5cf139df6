#include "src/sidecar/mesh_entry.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/node/call_messages.h"
#include "src/sidecar/quota_host.h"
#include "tanagerledge/account_check.h"
#include "tanagerledge/dependency_throttle.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Used when neither the caller nor the route sets a timeout.
constexpr milliseconds kDefaultCallTimeout{10'000};
// The other node answers at the deadline; its reply may take this much longer
// to arrive.
constexpr milliseconds kReplyMargin{60};
// How many nodes may reject a call without running it before the caller is
// told. Each one costs a round trip, and the second best node is usually full
// too.
constexpr int kMaxSends = 3;
// The rest of a frame is for the headers and the other fields of the call.
constexpr std::size_t kMaxPeerBodyBytes = kMaxFrameBytes - 256 * 1024;
// Pause between two queries about a call whose connection was lost.
constexpr milliseconds kQueryInterval{20};
constexpr int kMaxQueries = 4;
constexpr int kServerErrorStatus = 500;
// A stopping node finishes its last calls and is restarted in about a second.
constexpr milliseconds kRestartRetryDelay{500};

// The first configuration arrives 0.1 s after the start of the node if it is
// small, and after 1.4 s if it has 3,000 routes and comes over a link of
// 7 Mbit/s. Callers spend at most a third of their time waiting and retry once
// or twice.
constexpr milliseconds kNotReadyRetryDelay{600};
// A body that is too long to be passed on beside the others is read and run
// within seconds.
constexpr milliseconds kNoMemoryRetryDelay{1000};
// A node that knows of a newer version has it within this time on average.
constexpr milliseconds kBehindRetryDelay{400};
// Changes of a backend server reach the other nodes with membership probes and
// the node list in the store, which is written after the same delay.
constexpr milliseconds kNoEndpointRetryDelay{100};

// The first send id of a start. A later start has greater ids: it began some ms
// later, and no node sends 65,536 calls per ms. The numbers wrap around after
// 12 days.
std::int64_t FirstSendIdOf(Incarnation incarnation) {
  constexpr std::uint64_t kStartBits = 30;
  constexpr std::uint64_t kNumberBits = 16;
  return static_cast<std::int64_t>(
      (incarnation.value & ((1ULL << kStartBits) - 1)) << kNumberBits);
}

// The time that this many bytes take on a link, or 0 if its rate is not known.
microseconds TimeOnLink(std::size_t bytes, double link_mbps) {
  constexpr double kBitsPerByte = 8;
  // 1 Mbit/s is 1 bit per microsecond.
  return link_mbps > 0
             ? microseconds(static_cast<std::int64_t>(
                   kBitsPerByte * static_cast<double>(bytes) / link_mbps))
             : microseconds{0};
}

RankName RankOf(int priority) {
  return {"p" + std::to_string(priority)};
}

}  // namespace

// One send of a call to a node, until its reply.
struct MeshEntry::Send {
  wire::CallRequest* message = nullptr;
  NodeId node;
  // The node's incarnation when it got the call.
  std::optional<Incarnation> incarnation;
  VersionChoice version;   // Of the backend server, during a roll-out.
  bool cancelled = false;  // Nobody waits for the reply any longer.
};

// The state of one request from its arrival to its answer.
struct MeshEntry::Call : std::enable_shared_from_this<MeshEntry::Call> {
  Instant arrived{};
  Instant deadline{};
  Instant target{};
  std::shared_ptr<const MeshConfig> mesh;
  const MeshRoute* route = nullptr;
  wire::CallRequest message;
  std::vector<NodeId> tried;
  int sends = 0;  // How often the call was sent to a node.
  // Sends that may have reached a backend server, plus the next send.
  int attempts = 1;
  // The sends without a reply: the first one and its hedge.
  std::array<Send*, 2> open_sends{};
  // The last reply after which a backend server may have run the call. Once it
  // is set, the caller is never told that the call has not run.
  std::optional<wire::CallReply> maybe_executed_reply;
  bool caller_left = false;  // The caller has disconnected.

  // A hedge has a copy of the body, so that long ones are not hedged.
  bool MayBeHedged() const {
    return this->route->idempotent &&
           this->message.body.size() <= kLongBodyBytes;
  }

  std::string parent_id;  // Set for a nested call of a backend server.
  bool parent_is_retry = false;
  VersionChoice version;  // Of the current send.
};

MeshEntry::MeshEntry(IoLoop& loop,
                     MeshEntryConfig entry_config,
                     const PlatformPort& platform_port,
                     PeerTransport& peer_transport,
                     BackendGateway& local_gateway,
                     BodyTransfers& body_transfers,
                     EventLog& event_log,
                     CallMetrics& call_metrics,
                     FleetRetryConfig retry_config)
    : config(std::move(entry_config)),
      platform(platform_port),
      peers(peer_transport),
      gateway(local_gateway),
      transfers(body_transfers),
      events(event_log),
      metrics(call_metrics),
      split(this->config.incarnation.value),
      placement(this->config.zone,
                this->config.incarnation.value,
                this->config.self),
      retries(retry_config),
      hedges(loop, this->config.hedging, this->retries, event_log),
      last_send_id(FirstSendIdOf(this->config.incarnation)) {
  this->gateway.OnPeerLoad(
      [this](const NodeId& from, const wire::CallRequest& call) {
        this->OnPeerLoad(from, call);
      });
}

void MeshEntry::SetConfig(std::shared_ptr<const MeshConfig> next) {
  this->mesh = std::move(next);
}

void MeshEntry::SetEndpoints(const std::vector<Endpoint>& endpoints) {
  this->placement.SetEndpoints(endpoints);
}

// Requests --------------------------------------------------------------------

std::optional<HttpResponse> MeshEntry::Handle(HttpRequest& request,
                                              DisconnectNotifier& departure) {
  auto caller = this->platform.ParseCallerRequest(request);
  if (!caller) {
    this->events.Write("bad request", {{"error", caller.error()}});
    return this->platform.ToCallerResponse(
        {Outcome::kNotRun, Reason::kBadRequest});
  }
  if (!this->mesh) {
    return this->platform.ToCallerResponse(
        {Outcome::kNotRun, Reason::kNodeNotReady, kNotReadyRetryDelay});
  }
  const bool parent_unknown = this->mesh->has_accounts() &&
                              !caller->parent_id.empty() &&
                              !this->gateway.IsRunning(caller->parent_id);
  if (parent_unknown) {
    caller->parent_id.clear();  // It must have a key, as a client's request.
  }
  const bool callers_left =
      this->stop && Now() >= this->stop->caller_calls_until();
  if (this->rejecting_all || (callers_left && caller->parent_id.empty())) {
    return this->RejectWhileStopping();
  }
  const auto call = std::make_shared<Call>();
  call->mesh = this->mesh;
  call->route = call->mesh->Match(caller->host, request.target);
  if (call->route == nullptr) {
    const bool behind = this->is_behind();
    this->events.Write("no route", {{"id", caller->attempt_id},
                                    {"host", caller->host},
                                    {"target", request.target},
                                    {"behind", std::int64_t{behind}}});
    if (behind) {
      return this->platform.ToCallerResponse(
          {Outcome::kNotRun, Reason::kNodeNotReady, kBehindRetryDelay});
    }
    return this->platform.ToCallerResponse(
        {Outcome::kNotRun, Reason::kNoRoute});
  }
  const MeshRoute& route = *call->route;
  const AccountVerdict verdict =
      CheckAccount(*call->mesh, route, caller->account_key,
                   {!caller->parent_id.empty(), parent_unknown,
                    this->is_behind(), this->is_unproven()});
  if (verdict.refusal != Reason::kNone) {
    return this->RejectAccount(caller->attempt_id, route, verdict.refusal);
  }
  call->arrived = Now();
  milliseconds call_timeout =
      caller->caller_timeout.value_or(kDefaultCallTimeout);
  if (route.timeout.count() > 0) {
    call_timeout = std::min(call_timeout, route.timeout);
  }
  call->deadline = call->arrived + call_timeout;
  if (this->stop) {
    const auto limit = this->stop->DeadlineFor(
        call->deadline, this->MeanBackendTime(route), call->arrived);
    if (!limit) {
      return this->RejectWhileStopping();
    }
    call->deadline = *limit;
  }
  call->target = call->arrived + std::min(call_timeout, route.target);
  wire::CallRequest& message = call->message;
  message.service_name = this->split.Next(route).value;
  message.customer = this->config.caller_service.value;
  message.method = request.method;
  message.target = request.target;
  message.headers = std::move(caller->headers);
  message.body = std::move(request.body);
  message.idempotent = route.idempotent;
  message.attempt_id = caller->attempt_id;
  message.route = route.name.value;
  message.priority = PriorityOf(route, verdict.account);
  if (verdict.account != nullptr) {
    message.client_account = verdict.account->name.value;
  }
  message.nested = !caller->parent_id.empty();
  call->parent_id = caller->parent_id;
  call->parent_is_retry = this->gateway.IsRunningRetry(caller->parent_id);
  message.release = static_cast<std::int64_t>(call->mesh->version());
  departure.OnDisconnect([this, call] { this->OnCallerLeft(*call); });
  this->active_calls.insert(call);
  this->gateway.OnNestedCallStart(call->parent_id);
  wire::CallReply reply = this->RunWithinQuota(*call);
  this->gateway.OnNestedCallEnd(call->parent_id);
  this->active_calls.erase(call);
  return this->FinishCall(*call, reply);
}

HttpResponse MeshEntry::RejectWhileStopping() {
  ++this->rejected;
  return this->platform.ToCallerResponse(
      {Outcome::kNotRun, Reason::kShuttingDown, kRestartRetryDelay});
}

HttpResponse MeshEntry::RejectAccount(const std::string& attempt_id,
                                      const MeshRoute& route,
                                      Reason reason) {
  this->metrics.Record(RankOf(route.priority), Outcome::kNotRun, reason,
                       microseconds{0});
  this->events.Write("refused", {{"id", attempt_id},
                                 {"route", route.name.value},
                                 {"reason", ToText(reason)}});
  return this->platform.ToCallerResponse(
      {Outcome::kNotRun, reason, kBehindRetryDelay});
}

HttpResponse MeshEntry::RejectForMemory(const HttpRequest& request) {
  const auto caller = this->platform.ParseCallerRequest(request);
  this->events.Write("refused",
                     {{"id", caller ? caller->attempt_id : std::string()},
                      {"reason", ToText(Reason::kOverloaded)},
                      {"detail", "no memory for its body"},
                      {"length", request.Header("Content-Length")}});
  return this->platform.ToCallerResponse(
      {Outcome::kNotRun, Reason::kOverloaded, kNoMemoryRetryDelay});
}

void MeshEntry::OnCallerLeft(Call& call) {
  call.caller_left = true;
  std::ranges::for_each(call.open_sends, [this](Send* send) {
    if (send != nullptr) {
      this->CancelSend(*send);
    }
  });
}

void MeshEntry::OnNodeStopping(const StopPlan& plan) {
  this->stop = plan;
  const Instant now = Now();
  // The node that runs a call keeps the deadline it was given; only later
  // attempts use the new one.
  std::ranges::for_each(this->active_calls, [&](const auto& call) {
    call->deadline = plan.DeadlineFor(call->deadline, microseconds{0}, now)
                         .value_or(call->deadline);
  });
}

void MeshEntry::AbortCalls() {
  this->aborting = true;
  std::ranges::for_each(this->active_calls, [this](const auto& call) {
    std::ranges::for_each(call->open_sends, [this](const Send* send) {
      if (send != nullptr && send->node != this->config.self) {
        this->CancelAtNode(*send);
      }
    });
  });
}

void MeshEntry::CancelSend(Send& send) {
  send.cancelled = true;
  if (send.node == this->config.self) {
    this->gateway.Cancel(this->config.self, send.message->send_id);
  } else {
    this->CancelAtNode(send);
  }
}

void MeshEntry::CancelAtNode(const Send& send) {
  wire::SendCancel cancel;
  cancel.send_id = send.message->send_id;
  this->peers.Send(send.node, Channel::kSend, Encode(cancel));
}

HttpResponse MeshEntry::FinishCall(const Call& call, wire::CallReply& reply) {
  const Outcome outcome = OutcomeOf(reply);
  const Reason reason = ReasonOf(reply);
  const auto took = duration_cast<microseconds>(Now() - call.arrived);
  this->metrics.Record(RankOf(call.message.priority), outcome, reason, took);
  if (outcome == Outcome::kOk) {
    this->UpdateRouteCost(call, reply);
    HttpResponse response;
    response.status = reply.status;
    response.body = std::move(reply.body);
    response.headers.push_back(
        this->platform.EchoHeader(call.message.attempt_id));
    std::ranges::transform(
        reply.headers, std::back_inserter(response.headers),
        [](wire::Header& header) {
          return HttpHeader{std::move(header.name), std::move(header.value)};
        });
    return response;
  }
  if (outcome == Outcome::kNotRun && !call.parent_id.empty() &&
      DependencyThrottle::IndicatesOverload(reason)) {
    this->gateway.OnNestedCallRejected(call.parent_id);
  }
  this->events.Write(
      outcome == Outcome::kNotRun ? "refused" : "failed",
      {{"id", call.message.attempt_id},
       {"route", call.message.route},
       {"service", call.message.service_name},
       {"reason", ToText(reason)},
       {"detail", reply.detail},
       {"offers", std::int64_t{call.sends}},
       {"took_ms", took.count() / 1000},
       {"left_ms", duration_cast<milliseconds>(call.deadline - Now()).count()},
       {"room_in_ms", reply.room_in_us / 1000},
       {"version", static_cast<std::int64_t>(call.mesh->version())}});
  return this->platform.ToCallerResponse(
      {outcome, reason, microseconds(reply.room_in_us)});
}

void MeshEntry::UpdateRouteCost(const Call& call,
                                const wire::CallReply& reply) {
  RouteSample sample;
  sample.request_bytes = call.message.body.size();
  sample.answer_bytes = reply.body.size();
  sample.backend_time = microseconds(reply.execution_us);
  sample.work = microseconds(reply.work_us);
  this->route_costs[call.route->name].Add(sample);
}

microseconds MeshEntry::MeanBackendTime(const MeshRoute& route) const {
  const auto found = this->route_costs.find(route.name);
  return found == this->route_costs.end() ? microseconds{0}
                                          : found->second.backend_time();
}

// Attempts --------------------------------------------------------------------

// A request that provably did not run gives its token back.
wire::CallReply MeshEntry::RunWithinQuota(Call& call) {
  wire::CallRequest& message = call.message;
  if (this->quotas == nullptr || message.client_account.empty() ||
      message.nested) {
    return this->RunAttempts(call);
  }
  const ClientAccount account{message.client_account};
  message.fair_weight = this->quotas->FairWeightOf(account);
  if (call.route->is_public) {
    return this->RunAttempts(call);
  }
  const QuotaDecision quota = this->quotas->Acquire(account);
  if (!quota.admitted()) {
    wire::CallReply refusal =
        MakeReply(Outcome::kNotRun, Reason::kQuotaExceeded,
                  "the quota of the account is used up");
    refusal.room_in_us = quota.retry_in.count();
    return refusal;
  }
  wire::CallReply reply = this->RunAttempts(call);
  if (OutcomeOf(reply) == Outcome::kNotRun) {
    this->quotas->Return(account, quota);
  }
  return reply;
}

wire::CallReply MeshEntry::RunAttempts(Call& call) {
  const ServiceName service{call.message.service_name};
  this->retries.OnRequest(service, Now());
  if (call.MayBeHedged()) {
    this->hedges.policy().OnRequest(service, Now());
  }
  if (call.parent_is_retry) {
    this->retries.OnRequestWithinRetry(service, Now());
  }
  wire::CallReply reply = MakeReply(Outcome::kNotRun, Reason::kNoEndpoint,
                                    "no endpoint of the service is known");
  reply.room_in_us = microseconds(kNoEndpointRetryDelay).count();
  while (!call.caller_left) {
    const Instant now = Now();
    const auto node = this->ChooseNode(call, now);
    if (!node || now >= call.deadline) {
      break;
    }
    wire::CallReply next = this->Attempt(call, *node);
    const bool earlier_retry_known = call.sends > 1 && reply.room_in_us > 0 &&
                                     reply.room_in_us < next.room_in_us;
    if (earlier_retry_known) {
      next.room_in_us = reply.room_in_us;
    }
    reply = std::move(next);
    if (!this->PrepareRetry(call, reply)) {
      break;
    }
    if (OutcomeOf(reply) != Outcome::kNotRun) {
      call.maybe_executed_reply = reply;
    }
  }
  const bool use_earlier_reply =
      call.maybe_executed_reply && OutcomeOf(reply) == Outcome::kNotRun;
  return use_earlier_reply ? std::move(*call.maybe_executed_reply)
                           : std::move(reply);
}

PlacementRequest MeshEntry::ToPlacement(const Call& call, Instant now) {
  PlacementRequest placement_request;
  placement_request.service = {call.message.service_name};
  placement_request.tried = call.tried;
  placement_request.target =
      std::max(microseconds{0}, duration_cast<microseconds>(call.target - now));
  const RouteCost& cost = this->route_costs[call.route->name];
  placement_request.bytes = cost.BytesWith(call.message.body.size());
  placement_request.upload_time =
      TimeOnLink(call.message.body.size(), this->config.link_mbps);
  placement_request.kind = call.route->name;
  placement_request.work = cost.backend_time() - cost.nested_wait();
  placement_request.nested_wait = cost.nested_wait();
  return placement_request;
}

// During a roll-out of the service, each send takes from this node's allowance
// for a version, so requests are not hedged.
std::optional<NodeId> MeshEntry::ChooseNodeForHedge(const Call& call,
                                                    Instant now) {
  if (call.version.only || call.version.excluded) {
    return std::nullopt;
  }
  return this->placement.Choose(this->ToPlacement(call, now), now);
}

// A body that doesn't fit into a frame can be run here only.
std::optional<NodeId> MeshEntry::ChooseNode(Call& call, Instant now) {
  const ServiceName service{call.message.service_name};
  if (call.message.body.size() > kMaxPeerBodyBytes) {
    const bool runs_here = call.tried.empty() && this->gateway.Serves(service);
    return runs_here ? std::optional(this->config.self) : std::nullopt;
  }
  const PlacementRequest placement_request = this->ToPlacement(call, now);
  return this->rollouts == nullptr
             ? this->placement.Choose(placement_request, now)
             : this->ChooseByVersion(call, placement_request, now);
}

std::optional<NodeId> MeshEntry::ChooseByVersion(
    Call& call,
    PlacementRequest placement_request,
    Instant now) {
  std::vector<NodeId> excluded;
  const auto choose = [&]() -> std::optional<NodeId> {
    const VersionChoice& choice = call.version;
    if (choice.none) {
      return std::nullopt;
    }
    if (!choice.excluded_servers.empty()) {
      excluded = call.tried;
      excluded.insert(excluded.end(), choice.excluded_servers.begin(),
                      choice.excluded_servers.end());
      placement_request.tried = excluded;
    }
    placement_request.only_version = choice.only;
    placement_request.not_version = choice.excluded;
    return this->placement.Choose(placement_request, now);
  };
  call.version =
      this->rollouts->Choose(placement_request.service, call.sends > 0);
  auto node = choose();
  if (!node && call.version.only) {
    call.version =
        this->rollouts->ChooseInstead(placement_request.service, call.version);
    placement_request.tried = call.tried;
    node = choose();
  }
  return node;
}

// Decides whether to try another node, and spends the retry budget if so. A
// call that was rejected before it reached a backend server is retried without
// cost. A call that may have reached one counts against the fleet's retry
// budget and the route's attempts.
bool MeshEntry::PrepareRetry(Call& call, const wire::CallReply& reply) {
  if (this->aborting) {
    return false;
  }
  const Outcome outcome = OutcomeOf(reply);
  const Reason reason = ReasonOf(reply);
  const bool reached_backend =
      outcome != Outcome::kNotRun || reason == Reason::kBackendRefused;
  const bool server_error =
      outcome == Outcome::kOk && reply.status >= kServerErrorStatus;
  if (outcome == Outcome::kOk && !server_error) {
    return false;
  }
  if (outcome != Outcome::kNotRun && !call.route->idempotent) {
    return false;
  }
  const bool same_on_every_node = reason == Reason::kQuarantined ||
                                  reason == Reason::kDependencyOverloaded ||
                                  reason == Reason::kAnswerTooLong;
  if (same_on_every_node || Now() >= call.deadline) {
    return false;
  }
  if (!reached_backend) {
    return call.sends < kMaxSends;
  }
  const RetryOrigin retry_for = call.parent_id.empty()
                                    ? RetryOrigin::kCaller
                                    : RetryOrigin::kRunningRequest;
  if (call.attempts >= call.route->max_attempts ||
      !this->retries.TrySpend({call.message.service_name}, retry_for, Now())) {
    return false;
  }
  ++call.attempts;
  return true;
}

wire::CallReply MeshEntry::Attempt(Call& call, const NodeId& node) {
  const Instant began = Now();
  const bool may_be_hedged =
      this->hedges.policy().enabled() && call.MayBeHedged();
  if (may_be_hedged) {
    const auto delay = this->hedges.policy().DelayOf(call.route->name, began);
    if (delay) {
      return this->AttemptHedged(call, node, *delay);
    }
  }
  Send send = this->BeginSend(call, call.message, node);
  wire::CallReply reply = this->RunSend(call, send);
  if (may_be_hedged && FinishKindOf(reply) == FinishKind::kOk) {
    const Instant now = Now();
    this->hedges.policy().OnAnswer(
        call.route->name, duration_cast<microseconds>(now - began), now);
  }
  return reply;
}

// The fibers of the two sends share the call: one of them may end after it.
wire::CallReply MeshEntry::AttemptHedged(Call& call,
                                         const NodeId& node,
                                         microseconds delay) {
  struct Hedge {
    wire::CallRequest message;
    std::optional<NodeId> node;
    Send send;
  };
  const auto held = call.shared_from_this();
  const auto first =
      std::make_shared<Send>(this->BeginSend(call, call.message, node));
  const auto hedge = std::make_shared<Hedge>();
  HedgedRequest request;
  request.id = call.message.attempt_id;
  request.route = call.route->name;
  request.delay = delay;
  request.first.run = [this, held, first] {
    return this->RunSend(*held, *first);
  };
  request.first.cancel = [this, first] { this->CancelSend(*first); };
  request.describe = [this, held, hedge] {
    hedge->node = this->ChooseNodeForHedge(*held, Now());
    return this->DescribeForHedge(*held, hedge->node.has_value());
  };
  request.begin_second = [this, held, hedge] {
    // It may reach a backend server like a retry, and its calls count as calls
    // of a repeated run.
    ++held->attempts;
    hedge->message = held->message;
    hedge->message.hedge = true;
    hedge->send = this->BeginSend(*held, hedge->message, *hedge->node);
    return HedgedSend{[this, held, hedge] {
                        wire::CallReply reply =
                            this->RunSend(*held, hedge->send);
                        const bool reached_backend =
                            OutcomeOf(reply) != Outcome::kNotRun ||
                            ReasonOf(reply) == Reason::kBackendRefused;
                        held->attempts -= reached_backend ? 0 : 1;
                        return reply;
                      },
                      [this, hedge] { this->CancelSend(hedge->send); }};
  };
  return this->hedges.Run(request);
}

HedgeQuestion MeshEntry::DescribeForHedge(const Call& call,
                                          bool has_other_node) const {
  HedgeQuestion question;
  question.service = {call.message.service_name};
  question.origin = call.parent_id.empty() ? RetryOrigin::kCaller
                                           : RetryOrigin::kRunningRequest;
  question.attempts = call.attempts;
  question.max_attempts = call.route->max_attempts;
  question.load_per_slot = this->placement.LoadPerSlot(question.service);
  question.has_other_node = has_other_node;
  question.has_time =
      !call.caller_left && !this->aborting &&
      Now() + this->MeanBackendTime(*call.route) < call.deadline;
  return question;
}

void MeshEntry::SetTimeLeft(const Call& call, wire::CallRequest& message) {
  const Instant now = Now();
  message.remaining_us =
      duration_cast<microseconds>(call.deadline - now).count();
  message.target_us = std::max<std::int64_t>(
      0, duration_cast<microseconds>(call.target - now).count());
}

MeshEntry::Send MeshEntry::BeginSend(Call& call,
                                     wire::CallRequest& message,
                                     const NodeId& node) {
  SetTimeLeft(call, message);
  message.send_id = ++this->last_send_id;
  message.within_retry = call.parent_is_retry || call.attempts > 1;
  call.tried.push_back(node);
  ++call.sends;
  this->placement.OnSent(node);
  return {&message, node, this->peers.IncarnationOf(node), call.version};
}

wire::CallReply MeshEntry::RunSend(Call& call, Send& send) {
  if (call.caller_left || send.cancelled) {
    // The fiber of a hedged send begins later than the send.
    this->placement.OnCancel(send.node);
    return MakeReply(Outcome::kNotRun, Reason::kDeadline,
                     "the caller disconnected");
  }
  Send*& open = call.open_sends[send.message->hedge ? 1 : 0];
  open = &send;
  const Instant began = Now();
  wire::CallReply reply =
      send.node == this->config.self
          ? this->gateway.Run(this->config.self, *send.message)
          : this->SendToPeer(call, send);
  open = nullptr;
  if (this->rollouts != nullptr && !call.caller_left && !send.cancelled) {
    this->rollouts->OnReply({send.message->service_name}, send.node,
                            call.route->name, send.version, reply,
                            duration_cast<microseconds>(Now() - began));
  }
  if (call.caller_left || send.cancelled) {
    this->placement.OnCancel(send.node);
  } else if (reply.__isset.load) {
    this->OnReply(send.node, {send.message->service_name}, reply);
  } else {
    this->placement.OnUnreachable(send.node, Now());
  }
  return reply;
}

void MeshEntry::OnReply(const NodeId& node,
                        const ServiceName& service,
                        const wire::CallReply& reply) {
  this->placement.OnReply(node, service, FromWire(reply.load), Now());
  if (reply.__isset.kind_time) {
    this->placement.OnKindTime(node, FromWire(reply.kind_time));
  }
}

void MeshEntry::OnPeerLoad(const NodeId& from, const wire::CallRequest& call) {
  this->placement.OnLoad(from, FromWire(call.sender_load), Now());
  if (call.__isset.sender_kind_time) {
    this->placement.OnKindTime(from, FromWire(call.sender_kind_time));
  }
}

wire::CallReply MeshEntry::SendToPeer(const Call& call, Send& send) {
  // Does not wait for a connection: connections are opened in advance, and a
  // missing one may never come up.
  if (!this->peers.IsConnected(send.node)) {
    return MakeReply(Outcome::kNotRun, Reason::kPeerUnreachable,
                     "no connection to the node");
  }
  if (auto refusal = this->AwaitTransfer(call, send)) {
    return std::move(*refusal);
  }
  // Other nodes learn the load here sooner than from replies alone.
  if (this->gateway.backend()) {
    send.message->__set_sender_load(ToWire(this->gateway.Load()));
    if (const auto kind_time = this->gateway.NextKindTime()) {
      send.message->__set_sender_kind_time(ToWire(*kind_time));
    }
  }
  const auto wait =
      duration_cast<microseconds>(call.deadline - Now()) + kReplyMargin;
  const auto bytes = this->peers.Request(send.node, Channel::kCall,
                                         Encode(*send.message), wait);
  if (bytes) {
    auto reply = DecodeReply(*bytes);
    return reply ? std::move(*reply)
                 : MakeReply(Outcome::kUnknown, Reason::kBadRequest,
                             "the reply is not readable");
  }
  if (bytes.error().kind == PeerErrorKind::kNotSent) {
    return MakeReply(Outcome::kNotRun, Reason::kPeerUnreachable,
                     bytes.error().text);
  }
  return this->QueryLostSend(call, send);
}

// Waits until the node takes a long body. Returns the reply if it does not. The
// last node that is asked may keep the call waiting for longer, since a late
// answer is better than none.
std::optional<wire::CallReply> MeshEntry::AwaitTransfer(const Call& call,
                                                        const Send& send) {
  wire::CallRequest& message = *send.message;
  const std::size_t bytes = message.body.size();
  if (!this->transfers.NeedsGrant(bytes)) {
    return std::nullopt;
  }
  const Instant latest = call.sends < kMaxSends ? call.target : call.deadline;
  const auto max_wait = std::max(
      microseconds{0}, duration_cast<microseconds>(latest - Now()) / 2);
  const auto granted =
      this->transfers.Await(send.node, message.send_id, bytes, max_wait);
  if (!granted) {
    wire::CallReply reply = MakeReply(Outcome::kNotRun, Reason::kOverloaded,
                                      "no room for its body on the link");
    reply.room_in_us = granted.error().count();
    return reply;
  }
  if (call.caller_left || send.cancelled || Now() >= call.deadline) {
    this->CancelAtNode(send);
    return MakeReply(Outcome::kNotRun, Reason::kDeadline,
                     "its caller left or its deadline passed before the send");
  }
  SetTimeLeft(call, message);
  return std::nullopt;
}

// The connection was lost while the call was in flight. Asks the node over a
// new connection for the result, which is unknown if the node has restarted.
wire::CallReply MeshEntry::QueryLostSend(const Call& call, const Send& send) {
  wire::CallReply lost = MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                                   "the link to the node was lost");
  if (!send.incarnation) {
    return lost;
  }
  // An idempotent call is better retried at another node.
  const int max_queries = call.route->idempotent ? 1 : kMaxQueries;
  for (int queries = 0; queries < max_queries && !call.caller_left &&
                        !send.cancelled && !this->aborting;
       ++queries) {
    const auto remaining = duration_cast<microseconds>(call.deadline - Now());
    if (remaining.count() <= 0) {
      return MakeReply(Outcome::kUnknown, Reason::kDeadline,
                       "no reply by the deadline");
    }
    wire::SendQuestion question;
    question.send_id = send.message->send_id;
    question.incarnation = static_cast<std::int64_t>(send.incarnation->value);
    question.remaining_us = remaining.count();
    const auto bytes = this->peers.Request(
        send.node, Channel::kSend, Encode(question), remaining + kReplyMargin);
    if (bytes) {
      auto reply = DecodeReply(*bytes);
      this->events.Write("asked again",
                         {{"id", call.message.attempt_id},
                          {"to", send.node.value},
                          {"readable", std::int64_t{reply.has_value()}}});
      return reply ? std::move(*reply) : lost;
    }
    boost::this_fiber::sleep_for(kQueryInterval);
  }
  return lost;
}

}  // namespace tanagerledge
