#include "src/node/entry.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/node/call_headers.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMaxClientAccountBytes = 128;
constexpr std::int64_t kMaxDepth = 64;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxHeaders = 64;
constexpr milliseconds kMaxReleaseWait{500};
constexpr milliseconds kReleasePollInterval{5};
// A peer stops a call at its deadline, and the reply then needs time to travel
// back.
constexpr milliseconds kReplyMargin{50};

wire::CallReply NotRun(Reason reason, std::string detail) {
  return MakeReply(Outcome::kNotRun, reason, std::move(detail));
}

}  // namespace

// One call from its arrival at the entry until its answer.
struct Entry::Call {
  explicit Call(const HttpRequest& http_request) : request(http_request) {}

  const HttpRequest& request;
  Instant arrived{};
  Instant deadline{};
  std::shared_ptr<const Snapshot> snapshot;
  const Route* route = nullptr;
  RankName rank;
  ClientAccount client_account;
  std::string key;
  SessionToken session;
  int depth = 0;
  bool within_retry = false;
  int attempts = 0;
  bool may_have_run = false;  // An attempt ended with an unknown outcome.
  std::vector<NodeId> tried;
};

Entry::Entry(NodeId own_node,
             Zone own_zone,
             Executor& own_executor,
             EndpointChooser& endpoint_chooser,
             CallMetrics& call_metrics,
             DecisionLog& decision_log)
    : self(std::move(own_node)),
      zone(std::move(own_zone)),
      executor(own_executor),
      chooser(endpoint_chooser),
      metrics(call_metrics),
      decisions(decision_log) {}

HttpResponse Entry::Handle(Worker& worker, const HttpRequest& request) {
  Call call(request);
  call.arrived = Now();
  wire::CallReply reply;
  if (auto refused = this->Prepare(worker, call)) {
    reply = std::move(*refused);
  } else {
    reply = this->SendWithRetries(worker, call);
  }
  if (call.may_have_run && OutcomeOf(reply) == Outcome::kNotRun) {
    // The last attempt did not run, but an earlier attempt may have run.
    reply = MakeReply(Outcome::kUnknown, ReasonOf(reply), reply.detail);
  }
  const ReleaseNumber release =
      call.snapshot ? call.snapshot->fleet().release : ReleaseNumber{};
  HttpResponse response = ToHttp(reply, call.rank, release);
  call.session.RecordRelease(release);
  response.headers.push_back(
      {std::string(kSessionHeader), ToText(call.session)});
  const microseconds latency =
      std::chrono::duration_cast<microseconds>(Now() - call.arrived);
  this->metrics.Record(call.rank, OutcomeOf(reply), ReasonOf(reply), latency);
  if (OutcomeOf(reply) != Outcome::kOk) {
    this->decisions.Add(
        Part::kCall,
        std::string(ToText(OutcomeOf(reply))) + " " + request.method + " " +
            std::string(request.Path().substr(0, 64)),
        std::string(ToText(ReasonOf(reply))) + ": " + reply.detail);
  }
  return response;
}

// Before the first attempt --------------------------------------------------

// Checks the request and matches its route. Returns a reply when the call is
// refused here.
std::optional<wire::CallReply> Entry::Prepare(Worker& worker, Call& call) {
  const HttpRequest& request = call.request;
  if (this->shutting_down.load()) {
    return NotRun(Reason::kShuttingDown, "this node is shutting down");
  }
  call.snapshot = worker.snapshots.Read();
  if (!this->ready.load() || !call.snapshot) {
    return NotRun(Reason::kNodeNotReady, "this node is not ready");
  }
  call.client_account.value = request.Header(kClientAccountHeader);
  call.key = request.Header(kKeyHeader);
  if (call.client_account.value.size() > kMaxClientAccountBytes ||
      call.key.size() > kMaxOnceKeyBytes ||
      request.headers.size() > kMaxHeaders) {
    return NotRun(Reason::kBadRequest,
                  "a header is too long, or there are too many headers");
  }
  const std::string_view token = request.Header(kSessionHeader);
  if (!token.empty()) {
    auto session = ParseSessionToken(token);
    if (!session) {
      return NotRun(Reason::kBadRequest, "the session token is malformed");
    }
    call.session = std::move(*session);
  }
  call.depth = static_cast<int>(
      ParseNumberOr(request.Header(kDepthHeader), 0, kMaxDepth));
  call.within_retry = !request.Header(kRetryHeader).empty();
  if (auto refusal = this->AwaitRelease(worker, call)) {
    return refusal;
  }
  call.route = call.snapshot->Match(request.Path());
  if (call.route == nullptr) {
    return NotRun(Reason::kNoRoute, "no route matches the path");
  }
  call.rank = call.route->rank;
  const milliseconds requested{ParseNumberOr(request.Header(kDeadlineHeader),
                                             call.route->deadline.count(),
                                             kMaxDeadlineMs)};
  call.deadline = call.arrived + std::min(requested, call.route->deadline);
  return std::nullopt;
}

// Waits, at most kMaxReleaseWait, until this node has the release that the
// session has already seen. Returns a reply when the wait times out.
std::optional<wire::CallReply> Entry::AwaitRelease(Worker& worker, Call& call) {
  const ReleaseNumber required = call.session.release_floor();
  const Instant until = call.arrived + kMaxReleaseWait;
  while (call.snapshot->fleet().release < required) {
    if (Now() >= until || !worker.loop.SleepFor(kReleasePollInterval)) {
      return NotRun(Reason::kSessionBehind,
                    "this node is behind the session's release");
    }
    call.snapshot = worker.snapshots.Read();
  }
  return std::nullopt;
}

// Attempts ------------------------------------------------------------------

wire::CallReply Entry::SendWithRetries(Worker& worker, Call& call) {
  RetryBudget& budget = RetryBudgetOf(worker, call);
  budget.OnFirstAttempt(call.depth);
  // Returned when there is no endpoint for the first attempt. When there is
  // none for a later attempt, the reply to the attempt before it is returned.
  const bool has_endpoints =
      !call.snapshot->EndpointsOf(call.route->service).empty();
  wire::CallReply reply =
      has_endpoints
          ? NotRun(Reason::kOverloaded,
                   "no endpoint accepts calls of this rank now")
          : NotRun(Reason::kNoEndpoint, "the service has no endpoint");
  while (true) {
    const std::optional<NodeId> node = this->Choose(worker, call);
    if (!node) {
      return reply;
    }
    ++call.attempts;
    reply = this->SendTo(worker, call, *node);
    call.may_have_run |= OutcomeOf(reply) == Outcome::kUnknown;
    if (OutcomeOf(reply) == Outcome::kOk) {
      return reply;
    }
    FinishedAttempt attempt;
    attempt.outcome = OutcomeOf(reply);
    attempt.reason = ReasonOf(reply);
    attempt.idempotent = call.route->idempotent;
    attempt.has_key = !call.key.empty();
    attempt.attempts = call.attempts;
    attempt.remaining =
        std::chrono::duration_cast<microseconds>(call.deadline - Now());
    attempt.judged_downstream = reply.judged;
    attempt.within_retry = call.within_retry;
    const RetryDecision decision = DecideRetry(attempt, budget);
    if (const auto* give_up = std::get_if<GiveUp>(&decision)) {
      reply.outcome = static_cast<std::int32_t>(give_up->outcome);
      reply.reason = static_cast<std::int32_t>(give_up->reason);
      reply.judged = true;
      return reply;
    }
    call.tried.push_back(*node);
    worker.loop.SleepFor(std::get<RetryElsewhere>(decision).after);
  }
}

std::optional<NodeId> Entry::Choose(Worker& worker, Call& call) {
  const ServiceName& service = call.route->service;
  // Sends calls of a session to the endpoint where it last wrote, as long as
  // that endpoint accepts calls.
  if (const SessionWrite* write = call.session.LastWriteTo(service)) {
    const auto& endpoints = call.snapshot->EndpointsOf(service);
    const auto found =
        std::ranges::find(endpoints, write->node, &Endpoint::node);
    const bool tried =
        std::ranges::find(call.tried, write->node) != call.tried.end();
    if (found != endpoints.end() && !tried &&
        found->state != EndpointState::kDraining &&
        found->state != EndpointState::kGone) {
      return write->node;
    }
  }
  return this->chooser.Choose(*call.snapshot, service, call.rank,
                              call.client_account, this->zone, call.tried,
                              Now(), worker.rng);
}

wire::CallReply Entry::SendTo(Worker& worker, Call& call, const NodeId& node) {
  const Instant start = Now();
  this->chooser.OnStart(node);
  wire::CallReply reply = this->Forward(worker, call, node);
  const Instant end = Now();
  // A node without its backend server is treated like an unreachable one: the
  // next calls would be sent there before membership has spread that it is
  // gone.
  const bool answered = ReasonOf(reply) != Reason::kPeerUnreachable &&
                        ReasonOf(reply) != Reason::kNoEndpoint;
  if (answered) {
    this->chooser.OnReply(node, call.rank, call.client_account,
                          FinishKindOf(reply), FromWire(reply.load),
                          std::chrono::duration_cast<microseconds>(end - start),
                          end);
  } else {
    this->chooser.OnUnreachable(node, end);
  }
  if (OutcomeOf(reply) == Outcome::kOk && reply.write_mark > 0 &&
      !call.route->idempotent) {
    call.session.RecordWrite(
        call.route->service,
        WriteMark{static_cast<std::uint64_t>(reply.write_mark)}, node);
  }
  return reply;
}

wire::CallReply Entry::Forward(Worker& worker, Call& call, const NodeId& node) {
  const wire::CallRequest request = MakeRequest(call);
  if (node == this->self) {
    return this->executor.Execute(worker.backend, request);
  }
  const auto timeout = microseconds(request.remaining_us) + kReplyMargin;
  const auto bytes =
      worker.peers->Request(node, Channel::kCall, Encode(request), timeout);
  if (!bytes) {
    const bool not_sent = bytes.error().kind == PeerErrorKind::kNotSent;
    return MakeReply(not_sent ? Outcome::kNotRun : Outcome::kUnknown,
                     Reason::kPeerUnreachable, bytes.error().text);
  }
  auto reply = DecodeReply(*bytes);
  if (!reply) {
    return MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                     "the node's reply was malformed");
  }
  return std::move(*reply);
}

wire::CallRequest Entry::MakeRequest(const Call& call) {
  wire::CallRequest out;
  out.service_name = call.route->service.value;
  out.rank = call.rank.value;
  out.customer = call.client_account.value;
  out.method = call.request.method;
  out.target = call.request.target;
  out.body = call.request.body;
  for (const HttpHeader& header : call.request.headers) {
    if (IsEndToEnd(header.name)) {
      wire::Header& copy = out.headers.emplace_back();
      copy.name = header.name;
      copy.value = header.value;
    }
  }
  out.remaining_us = std::max<std::int64_t>(
      std::chrono::duration_cast<microseconds>(call.deadline - Now()).count(),
      0);
  out.idempotent = call.route->idempotent;
  out.idempotency_key = call.key;
  out.release = static_cast<std::int64_t>(call.snapshot->fleet().release.value);
  out.depth = call.depth;
  out.within_retry = call.within_retry || call.attempts > 1;
  if (const SessionWrite* write =
          call.session.LastWriteTo(call.route->service)) {
    out.write_mark = static_cast<std::int64_t>(write->mark.value);
  }
  return out;
}

RetryBudget& Entry::RetryBudgetOf(Worker& worker, const Call& call) {
  std::unique_ptr<RetryBudget>& budget =
      worker.budgets[call.route->service.value + "/" + call.rank.value];
  if (!budget) {
    budget = std::make_unique<RetryBudget>();
  }
  return *budget;
}

}  // namespace tanagerledge
