#include "src/sidecar/mesh_entry.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/node/call_messages.h"
#include "tanagerledge/dependency_throttle.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A caller that does not say how long it waits gets the route's time-out; this
// is for a route without one.
constexpr milliseconds kDefaultPatience{10'000};
// The owner answers at the deadline; its reply needs this long to come back.
constexpr milliseconds kReplyMargin{60};
// Nodes that turned a call away without running it, before the caller hears of
// it: each costs a round trip, and the second best place is mostly full too.
constexpr int kMostOffers = 3;
// A call that lost its link is asked for this long at most at a time.
constexpr milliseconds kAskPause{20};
constexpr int kMostAsks = 4;
constexpr int kServerErrorStatus = 500;
// A node that stops ends its last calls and is started again in about a second.
constexpr milliseconds kNextStart{500};

// From a start to the first configuration: 0.1 s with a small one, 1.4 s with
// 3,000 routes over a link of 7 Mbit/s. Callers wait a third of their time at
// most and have one return or two.
constexpr milliseconds kUntilReady{600};
// News of a backend server ride on probes and the store's list, gathered for as
// long.
constexpr milliseconds kUntilEndpoint{100};

// Numbers of a later start are greater: it began some ms later, and no node
// sends 65,536 calls in a ms. Starts are told apart for 12 days.
std::int64_t FirstSendOf(Incarnation incarnation) {
  constexpr std::uint64_t kStartBits = 30;
  constexpr std::uint64_t kNumberBits = 16;
  return static_cast<std::int64_t>(
      (incarnation.value & ((1ULL << kStartBits) - 1)) << kNumberBits);
}

RankName RankOf(int priority) {
  return {"p" + std::to_string(priority)};
}

}  // namespace

// One request on its way through the entry.
struct MeshEntry::Call {
  Instant arrived{};
  Instant deadline{};
  Instant target{};
  std::shared_ptr<const MeshConfig> mesh;
  const MeshRoute* route = nullptr;
  wire::CallRequest message;
  std::vector<NodeId> tried;
  int offers = 0;    // Nodes that the call was sent to.
  int attempts = 1;  // Backend servers that it may have reached, and the next.
  std::optional<NodeId> at;             // Where it is now.
  std::optional<Incarnation> at_start;  // The start of that node.
  // The last reply of a backend server that may have run the call. From then on
  // the caller is never told that it has not run.
  std::optional<wire::CallReply> ran;
  bool left = false;      // Its caller has gone.
  std::string parent_id;  // Of a call that a backend server makes.
  bool parent_repeats = false;
};

MeshEntry::MeshEntry(MeshEntryConfig entry_config,
                     const PlatformPort& platform_port,
                     PeerTransport& peer_transport,
                     Owner& own_owner,
                     EventLog& event_log,
                     CallMetrics& call_metrics,
                     FleetRetryConfig retry_config)
    : config(std::move(entry_config)),
      platform(platform_port),
      peers(peer_transport),
      owner(own_owner),
      events(event_log),
      metrics(call_metrics),
      split(this->config.incarnation.value),
      placement(this->config.zone, this->config.incarnation.value),
      retries(retry_config),
      last_send(FirstSendOf(this->config.incarnation)) {}

void MeshEntry::SetConfig(std::shared_ptr<const MeshConfig> next) {
  this->mesh = std::move(next);
}

void MeshEntry::SetEndpoints(const std::vector<Endpoint>& endpoints) {
  this->placement.SetEndpoints(endpoints);
}

// A request -------------------------------------------------------------------

std::optional<HttpResponse> MeshEntry::Handle(const HttpRequest& request,
                                              DisconnectNotifier& departure) {
  auto caller = this->platform.ReadCaller(request);
  if (!caller) {
    this->events.Write("bad request", {{"error", caller.error()}});
    return this->platform.ToCaller({Outcome::kNotRun, Reason::kBadRequest});
  }
  if (!this->mesh) {
    return this->platform.ToCaller(
        {Outcome::kNotRun, Reason::kNodeNotReady, kUntilReady});
  }
  const bool callers_left = this->stop && Now() >= this->stop->callers_until();
  if (this->refusing_all || (callers_left && caller->parent_id.empty())) {
    return this->RefuseByStop();
  }
  const auto call = std::make_shared<Call>();
  call->mesh = this->mesh;
  call->route = call->mesh->Match(caller->host, request.target);
  if (call->route == nullptr) {
    this->events.Write("no route", {{"id", caller->attempt_id},
                                    {"host", caller->host},
                                    {"target", request.target}});
    return this->platform.ToCaller({Outcome::kNotRun, Reason::kNoRoute});
  }
  const MeshRoute& route = *call->route;
  call->arrived = Now();
  milliseconds longest = caller->patience.value_or(kDefaultPatience);
  if (route.timeout.count() > 0) {
    longest = std::min(longest, route.timeout);
  }
  call->deadline = call->arrived + longest;
  if (this->stop) {
    const auto limit = this->stop->LimitOf(
        call->deadline, this->UsualWork(route), call->arrived);
    if (!limit) {
      return this->RefuseByStop();
    }
    call->deadline = *limit;
  }
  call->target = call->arrived + std::min(longest, route.target);
  wire::CallRequest& message = call->message;
  message.service_name = this->split.Next(route).value;
  message.customer = this->config.caller.value;
  message.method = request.method;
  message.target = request.target;
  message.headers = std::move(caller->headers);
  message.body = request.body;
  message.idempotent = route.idempotent;
  message.attempt_id = caller->attempt_id;
  message.route = route.name.value;
  message.priority = route.priority;
  message.nested = !caller->parent_id.empty();
  call->parent_id = caller->parent_id;
  call->parent_repeats = this->owner.RunsRepeat(caller->parent_id);
  message.release = static_cast<std::int64_t>(call->mesh->version());
  departure.OnDisconnect([this, call] { this->Leave(*call); });
  this->under_way.insert(call);
  wire::CallReply reply = this->RunAttempts(*call);
  this->under_way.erase(call);
  return this->Finish(*call, reply);
}

HttpResponse MeshEntry::RefuseByStop() {
  ++this->refused;
  return this->platform.ToCaller(
      {Outcome::kNotRun, Reason::kShuttingDown, kNextStart});
}

void MeshEntry::Leave(Call& call) {
  call.left = true;
  if (call.at == this->config.self) {
    this->owner.Cancel(this->config.self, call.message.send_id);
  } else if (call.at) {
    this->Withdraw(call);
  }
}

void MeshEntry::OnNodeStopping(const StopPlan& plan) {
  this->stop = plan;
  const Instant now = Now();
  // Where they are now they keep their limit; attempts to come get this one.
  std::ranges::for_each(this->under_way, [&](const auto& call) {
    call->deadline = plan.LimitOf(call->deadline, microseconds{0}, now)
                         .value_or(call->deadline);
  });
}

void MeshEntry::GiveUp() {
  this->giving_up = true;
  std::ranges::for_each(this->under_way, [this](const auto& call) {
    if (call->at && call->at != this->config.self) {
      this->Withdraw(*call);
    }
  });
}

void MeshEntry::Withdraw(const Call& call) {
  wire::SendCancel cancel;
  cancel.send_id = call.message.send_id;
  this->peers.Send(*call.at, Channel::kSend, Encode(cancel));
}

HttpResponse MeshEntry::Finish(const Call& call, wire::CallReply& reply) {
  const Outcome outcome = OutcomeOf(reply);
  const Reason reason = ReasonOf(reply);
  const auto took = duration_cast<microseconds>(Now() - call.arrived);
  this->metrics.Count(RankOf(call.route->priority), outcome, reason, took);
  if (outcome == Outcome::kOk) {
    this->Learn(call, reply);
    HttpResponse response;
    response.status = reply.status;
    response.body = std::move(reply.body);
    response.headers.push_back(this->platform.EchoOf(call.message.attempt_id));
    std::ranges::transform(
        reply.headers, std::back_inserter(response.headers),
        [](wire::Header& header) {
          return HttpHeader{std::move(header.name), std::move(header.value)};
        });
    return response;
  }
  if (outcome == Outcome::kNotRun && !call.parent_id.empty() &&
      DependencyThrottle::TellsOfOverload(reason)) {
    this->owner.OnNestedTurnedAway(call.parent_id);
  }
  this->events.Write(
      outcome == Outcome::kNotRun ? "refused" : "failed",
      {{"id", call.message.attempt_id},
       {"route", call.message.route},
       {"service", call.message.service_name},
       {"reason", ToText(reason)},
       {"detail", reply.detail},
       {"offers", std::int64_t{call.offers}},
       {"took_ms", took.count() / 1000},
       {"left_ms", duration_cast<milliseconds>(call.deadline - Now()).count()},
       {"room_in_ms", reply.room_in_us / 1000},
       {"version", static_cast<std::int64_t>(call.mesh->version())}});
  return this->platform.ToCaller(
      {outcome, reason, microseconds(reply.room_in_us)});
}

void MeshEntry::Learn(const Call& call, const wire::CallReply& reply) {
  // Fields, lengths and frames around the bodies: about this much in all.
  constexpr double kAround = 350;
  constexpr double kMeanWeight = 1.0 / 32;
  const auto learn = [](double& mean, double seen) {
    mean = mean == 0 ? seen : mean + (seen - mean) * kMeanWeight;
  };
  RouteCost& usual = this->costs[call.route->name];
  learn(usual.bytes, kAround + static_cast<double>(call.message.body.size() +
                                                   reply.body.size()));
  learn(usual.work_us, static_cast<double>(reply.execution_us));
}

microseconds MeshEntry::UsualWork(const MeshRoute& route) {
  return microseconds(
      static_cast<std::int64_t>(this->costs[route.name].work_us));
}

// Attempts --------------------------------------------------------------------

wire::CallReply MeshEntry::RunAttempts(Call& call) {
  const ServiceName service{call.message.service_name};
  this->retries.OnRequest(service, Now());
  if (call.parent_repeats) {
    this->retries.OnRepeat(service, Now());
  }
  wire::CallReply reply = MakeReply(Outcome::kNotRun, Reason::kNoEndpoint,
                                    "no endpoint of the service is known");
  reply.room_in_us = microseconds(kUntilEndpoint).count();
  while (!call.left) {
    const Instant now = Now();
    PlacementAsk ask;
    ask.service = service;
    ask.tried = call.tried;
    ask.target = std::max(microseconds{0},
                          duration_cast<microseconds>(call.target - now));
    ask.bytes = static_cast<std::size_t>(this->costs[call.route->name].bytes);
    ask.work = this->UsualWork(*call.route);
    const auto node = this->placement.Choose(ask, now);
    if (!node || now >= call.deadline) {
      break;
    }
    wire::CallReply next = this->Attempt(call, *node);
    const bool sooner_before = call.offers > 1 && reply.room_in_us > 0 &&
                               reply.room_in_us < next.room_in_us;
    if (sooner_before) {
      next.room_in_us = reply.room_in_us;
    }
    reply = std::move(next);
    if (!this->MayTryElsewhere(call, reply)) {
      break;
    }
    if (OutcomeOf(reply) != Outcome::kNotRun) {
      call.ran = reply;
    }
  }
  const bool nothing_better = call.ran && OutcomeOf(reply) == Outcome::kNotRun;
  return nothing_better ? std::move(*call.ran) : std::move(reply);
}

// Refusals that reached no backend server are free to go elsewhere. Anything
// that may have reached one draws on the fleet's budget, and on the route's
// attempts.
bool MeshEntry::MayTryElsewhere(Call& call, const wire::CallReply& reply) {
  if (this->giving_up) {
    return false;
  }
  const Outcome outcome = OutcomeOf(reply);
  const Reason reason = ReasonOf(reply);
  const bool reached =
      outcome != Outcome::kNotRun || reason == Reason::kBackendRefused;
  const bool failed =
      outcome == Outcome::kOk && reply.status >= kServerErrorStatus;
  if (outcome == Outcome::kOk && !failed) {
    return false;
  }
  if (outcome != Outcome::kNotRun && !call.route->idempotent) {
    return false;
  }
  const bool same_anywhere =
      reason == Reason::kQuarantined || reason == Reason::kDependencyOverloaded;
  if (same_anywhere || Now() >= call.deadline) {
    return false;
  }
  if (!reached) {
    return call.offers < kMostOffers;
  }
  const RetryFor whom =
      call.parent_id.empty() ? RetryFor::kCaller : RetryFor::kRunningRequest;
  if (call.attempts >= call.route->max_attempts ||
      !this->retries.TrySpend({call.message.service_name}, whom, Now())) {
    return false;
  }
  ++call.attempts;
  return true;
}

wire::CallReply MeshEntry::Attempt(Call& call, const NodeId& node) {
  const Instant now = Now();
  wire::CallRequest& message = call.message;
  message.remaining_us =
      duration_cast<microseconds>(call.deadline - now).count();
  message.target_us = std::max<std::int64_t>(
      0, duration_cast<microseconds>(call.target - now).count());
  message.send_id = ++this->last_send;
  message.within_retry = call.parent_repeats || call.attempts > 1;
  call.tried.push_back(node);
  ++call.offers;
  call.at = node;
  call.at_start = this->peers.IncarnationOf(node);
  this->placement.OnSent(node);
  wire::CallReply reply = node == this->config.self
                              ? this->owner.Run(this->config.self, message)
                              : this->SendToPeer(call, node);
  call.at.reset();
  if (call.left) {
    this->placement.OnGivenUp(node);
  } else if (reply.__isset.load) {
    this->placement.OnReply(node, {message.service_name}, FromWire(reply.load),
                            Now());
  } else {
    this->placement.OnUnreachable(node, Now());
  }
  return reply;
}

wire::CallReply MeshEntry::SendToPeer(Call& call, const NodeId& node) {
  // A call that waits for a connection is held for nothing: connections are
  // opened beforehand, and one that is not there may never be.
  if (!this->peers.IsConnected(node)) {
    return MakeReply(Outcome::kNotRun, Reason::kPeerUnreachable,
                     "no connection to the node");
  }
  const auto wait =
      duration_cast<microseconds>(call.deadline - Now()) + kReplyMargin;
  const auto bytes =
      this->peers.Request(node, Channel::kCall, Encode(call.message), wait);
  if (bytes) {
    auto reply = Decode<wire::CallReply>(*bytes);
    return reply ? std::move(*reply)
                 : MakeReply(Outcome::kUnknown, Reason::kBadRequest,
                             "the reply is not readable");
  }
  if (bytes.error().kind == PeerErrorKind::kNotSent) {
    return MakeReply(Outcome::kNotRun, Reason::kPeerUnreachable,
                     bytes.error().text);
  }
  return this->AskAgain(call, node);
}

// The connection died with the call in flight: a new one learns what became of
// it, unless the node has started anew and knows nothing.
wire::CallReply MeshEntry::AskAgain(Call& call, const NodeId& node) {
  wire::CallReply lost = MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                                   "the link to the node was lost");
  if (!call.at_start) {
    return lost;
  }
  // What may be repeated is soon better off at another node.
  const int most_asks = call.route->idempotent ? 1 : kMostAsks;
  for (int asks = 0; asks < most_asks && !call.left && !this->giving_up;
       ++asks) {
    const auto left = duration_cast<microseconds>(call.deadline - Now());
    if (left.count() <= 0) {
      return MakeReply(Outcome::kUnknown, Reason::kDeadline,
                       "no reply by the deadline");
    }
    wire::SendQuestion question;
    question.send_id = call.message.send_id;
    question.incarnation = static_cast<std::int64_t>(call.at_start->value);
    question.remaining_us = left.count();
    const auto bytes = this->peers.Request(
        node, Channel::kSend, Encode(question), left + kReplyMargin);
    if (bytes) {
      auto reply = Decode<wire::CallReply>(*bytes);
      this->events.Write("asked again",
                         {{"id", call.message.attempt_id},
                          {"to", node.value},
                          {"readable", std::int64_t{reply.has_value()}}});
      return reply ? std::move(*reply) : lost;
    }
    boost::this_fiber::sleep_for(kAskPause);
  }
  return lost;
}

}  // namespace tanagerledge
