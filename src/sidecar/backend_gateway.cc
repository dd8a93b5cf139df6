#include "src/sidecar/backend_gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/accounted_body.h"
#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/crash_log.h"
#include "src/adapters/peer_transport.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxCallUs = 600'000'000;
// The backend server answers at the deadline that it was given, even if it has
// not finished. The gateway waits this much longer to receive that answer.
constexpr milliseconds kAnswerMargin{25};
// A call with less time left is not sent to the backend server, because
// requests take 20 ms or more there.
constexpr milliseconds kMinExecutionTime{15};
// How long calls already on their way are still run after the stop is announced
// to the other nodes. The announcement reaches all nodes sooner.
constexpr milliseconds kServeAfterStop{1000};
// A dying process may close its connections before its listener, so a check
// that finds it listening is repeated after this time.
constexpr milliseconds kDeathRecheckDelay{20};
// Minimum time between two such pairs of checks. Each check is a connection.
constexpr milliseconds kDeathCheckInterval{200};
// How long the answer to a call whose connection was lost waits for the checks,
// so that nodes know of a death before its callers send again.
constexpr milliseconds kMaxDeathCheckWait{60};
constexpr milliseconds kDeathCheckPoll{5};
// The same for a suspect, whose next run must not begin before.
constexpr milliseconds kMaxSuspectCheckWait{200};
// How long calls whose connection was lost are kept: the death of the backend
// server may be detected this long after it.
constexpr milliseconds kLostCallRetention{1000};
constexpr int kDeathChecks = 2;
// How long a cancellation is kept for a call that has not begun.
constexpr milliseconds kUnstartedCallRetention{10'000};
// The backend server queues a health check for a slot like any request. The
// next heartbeat, 1.5 s later, starts a new one.
constexpr milliseconds kHealthCheckTimeout{1000};
// When a downstream service rejects calls, its queue takes as long as the
// deadline of its calls, about 250 ms: an earlier retry would be rejected too.
constexpr milliseconds kDependencyRetryDelay{250};

// A slowdown from which on the log says that the backend server is slow, and
// below which it says that it has recovered. Many servers are 2.5 times slower
// for 0.6 s at a time, which is not worth a line.
constexpr double kSlow = 3;
constexpr double kRecovered = 1.6;

wire::CallReply NotRun(Reason reason,
                       std::string detail,
                       microseconds room_in = microseconds{0}) {
  wire::CallReply reply =
      MakeReply(Outcome::kNotRun, reason, std::move(detail));
  reply.room_in_us = room_in.count();
  return reply;
}

}  // namespace

BackendGateway::BackendGateway(IoLoop& io_loop,
                               const PlatformPort& platform_port,
                               SuspectHost& suspect_host,
                               EventLog& event_log,
                               BackendLifeConfig life_config,
                               Incarnation own_incarnation)
    : loop(io_loop),
      platform(platform_port),
      suspects(suspect_host),
      events(event_log),
      incarnation(own_incarnation),
      life(life_config),
      link(io_loop) {}

// Calls of other nodes --------------------------------------------------------

BackendGateway::SendKey BackendGateway::SendKeyOf(const NodeId& from,
                                                  std::int64_t send_id) {
  return from.value + "#" + std::to_string(send_id);
}

std::string BackendGateway::RunForPeer(const NodeId& from,
                                       std::string_view bytes,
                                       Instant arrived) {
  ByteReservation room(this->account);
  if (!room.GrowTo(RoomFor(bytes.size()))) {
    return Encode(NotRun(Reason::kOverloaded, "no memory for its body"));
  }
  auto request = Decode<wire::CallRequest>(bytes);
  if (!request) {
    return Encode(NotRun(Reason::kBadRequest, "the call is not readable"));
  }
  if (this->transfers != nullptr &&
      this->transfers->NeedsGrant(request->body.size())) {
    this->transfers->OnEnded(from, request->send_id);
  }
  if (request->__isset.sender_load && this->peer_load_listener) {
    this->peer_load_listener(from, *request);
  }
  CountWaitingTime(*request, duration_cast<microseconds>(Now() - arrived));
  const Instant deadline = Now() + microseconds(std::clamp<std::int64_t>(
                                       request->remaining_us, 0, kMaxCallUs));
  const SendKey key = SendKeyOf(from, request->send_id);
  const AttemptState before = this->ledger.OnRun(key, deadline);
  if (before == AttemptState::kCancelled) {
    return Encode(
        NotRun(Reason::kDuplicate, "this send was cancelled or declared void"));
  }
  if (before != AttemptState::kNew) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kDuplicate,
                            "this send arrived before"));
  }
  const CachedReply reply =
      this->EncodeForPeer(request->remaining_us > 0 ? this->Run(from, *request)
                                                    : this->RejectAsLate());
  this->ledger.OnDone(key, reply);
  const auto asked = this->reply_waiters.extract(key);
  if (!asked.empty()) {
    std::ranges::for_each(asked.mapped(), [&reply](const ReplyWaiter& waiter) {
      waiter->SetValue(reply);
    });
  }
  return *reply;
}

wire::CallReply BackendGateway::RejectAsLate() {
  wire::CallReply reply =
      NotRun(Reason::kDeadline, "its deadline passed before it began");
  reply.__set_load(ToWire(this->Load()));
  return reply;
}

// A reply that doesn't fit into a frame fails alone: sent as it is, it would
// end the connection with all calls on it. A kept reply counts as long as it
// lives.
CachedReply BackendGateway::EncodeForPeer(wire::CallReply reply) {
  std::string bytes = Encode(reply);
  if (bytes.size() > kMaxFrameBytes) {
    reply.outcome = static_cast<std::int32_t>(Outcome::kUnknown);
    reply.reason = static_cast<std::int32_t>(Reason::kAnswerTooLong);
    reply.detail = "its answer is too long to pass between nodes";
    reply.headers.clear();
    std::string().swap(reply.body);
    bytes = Encode(reply);
  }
  const auto held = std::make_shared<ByteReservation>(this->account);
  held->HoldAtLeast(bytes.size());
  return {new std::string(std::move(bytes)),
          [held](const std::string* kept) { delete kept; }};
}

std::string BackendGateway::AwaitSendResult(const NodeId& from,
                                            std::string_view bytes) {
  const auto question = Decode<wire::SendQuestion>(bytes);
  if (!question) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kBadRequest,
                            "the question is not readable"));
  }
  if (question->incarnation !=
      static_cast<std::int64_t>(this->incarnation.value)) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                            "this node has restarted since"));
  }
  const Instant deadline = Now() + microseconds(std::clamp<std::int64_t>(
                                       question->remaining_us, 0, kMaxCallUs));
  const SendKey key = SendKeyOf(from, question->send_id);
  switch (this->ledger.OnStatusRequest(key, deadline)) {
    case AttemptState::kNew:
    case AttemptState::kCancelled:
      return Encode(NotRun(Reason::kConnectionLost, "the send never arrived"));
    case AttemptState::kDone:
      return *this->ledger.ReplyOf(key);
    case AttemptState::kRunning:
      break;
  }
  const auto waiter = std::make_shared<FiberPromise<CachedReply>>();
  this->reply_waiters[key].push_back(waiter);
  const auto kept = waiter->WaitUntil(deadline + kAnswerMargin);
  if (!kept || *kept == nullptr) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kDeadline,
                            "still at the backend server at the deadline"));
  }
  return **kept;
}

void BackendGateway::Cancel(const NodeId& from, std::int64_t send_id) {
  const SendKey key = SendKeyOf(from, send_id);
  const auto found = this->by_send.find(key);
  if (found == this->by_send.end()) {
    // The call may have arrived in the same read, and its fiber not run yet.
    this->ledger.OnCancel(key, Now() + kUnstartedCallRetention);
    return;
  }
  const CallPtr call = this->calls.at(found->second);
  call->caller_left = true;
  this->ApplyActions(this->queue.OnCancel(call->id));
  // A call that is not idempotent runs to its end: if it were aborted, nobody
  // would know whether it ran. Only the end of a suspect shows whether it is
  // harmless.
  if (call->abort_exchange && call->request->idempotent && !call->leased) {
    call->abort_exchange();
  }
}

void BackendGateway::OnNestedCallRejected(const std::string& parent_id) {
  const auto found = this->by_attempt.find(parent_id);
  if (found != this->by_attempt.end()) {
    this->calls.at(found->second)->nested_call_rejected = true;
  }
}

void BackendGateway::OnNestedCallStart(const std::string& parent_id) {
  const auto found = this->by_attempt.find(parent_id);
  if (found != this->by_attempt.end()) {
    this->work_times.OnNestedStart(found->second, Now());
  }
}

void BackendGateway::OnNestedCallEnd(const std::string& parent_id) {
  const auto found = this->by_attempt.find(parent_id);
  if (found != this->by_attempt.end()) {
    this->work_times.OnNestedEnd(found->second, Now());
  }
}

LoadReport BackendGateway::Load() {
  LoadReport load = this->queue.Report();
  load.slowdown = this->work_times.Slowdown(Now());
  return load;
}

bool BackendGateway::IsRunningRetry(const std::string& attempt_id) const {
  const auto found = this->by_attempt.find(attempt_id);
  return found != this->by_attempt.end() &&
         this->calls.at(found->second)->request->within_retry;
}

bool BackendGateway::IsRunning(std::string_view attempt_id) const {
  return std::ranges::any_of(this->calls, [attempt_id](const auto& entry) {
    return entry.second->abort_exchange &&
           entry.second->request->attempt_id == attempt_id;
  });
}

// Running a call --------------------------------------------------------------

wire::CallReply BackendGateway::Run(const NodeId& from,
                                    const wire::CallRequest& request) {
  const auto call = std::make_shared<Call>();
  const Instant now = Now();
  call->request = &request;
  call->id = ++this->last_id;
  call->deadline = now + microseconds(std::clamp<std::int64_t>(
                             request.remaining_us, 0, kMaxCallUs));
  if (this->stop) {
    call->deadline =
        this->stop->DeadlineFor(call->deadline, microseconds{0}, now)
            .value_or(now);
  }
  call->fingerprint = FingerprintOf({request.customer}, request.method,
                                    request.target, request.body);
  this->calls.emplace(call->id, call);
  const SendKey key = SendKeyOf(from, request.send_id);
  this->by_send[key] = call->id;
  this->by_attempt[request.attempt_id] = call->id;
  wire::CallReply reply = this->AdmitAndRun(call);
  reply.__set_load(ToWire(this->Load()));
  this->by_send.erase(key);
  this->by_attempt.erase(request.attempt_id);
  this->calls.erase(call->id);
  return reply;
}

bool BackendGateway::IsServing(const ServiceName& service, Instant now) const {
  const bool stopped =
      this->stop && now - this->stop->peer_calls_until() > kServeAfterStop;
  return !stopped && !this->aborting && this->life.MayRun(service, now);
}

wire::CallReply BackendGateway::AdmitAndRun(const CallPtr& call) {
  const wire::CallRequest& request = *call->request;
  if (!this->IsServing({request.service_name}, Now())) {
    return NotRun(Reason::kNoEndpoint,
                  "no backend server of this service runs here");
  }
  SuspectVerdict verdict =
      this->suspects.Admit(call->fingerprint, call->deadline);
  wire::CallReply reply = this->RunAdmitted(*call, verdict);
  if (verdict == SuspectVerdict::kRunLeased) {
    this->events.Write(
        "suspect ran",
        {{"id", request.attempt_id},
         {"fingerprint", ToText(call->fingerprint)},
         {"reason", ToText(ReasonOf(reply))},
         {"status", static_cast<std::int64_t>(reply.status)},
         {"left_ms",
          duration_cast<milliseconds>(call->deadline - Now()).count()}});
  }
  if (FinishKindOf(reply) == FinishKind::kOk) {
    this->suspects.OnCallAnswered(call->fingerprint, verdict);
  } else if (!call->may_run_on) {
    this->suspects.OnCallUnproven(call->fingerprint, verdict);
  }
  return reply;
}

wire::CallReply BackendGateway::RunAdmitted(Call& call,
                                            SuspectVerdict& verdict) {
  const wire::CallRequest& request = *call.request;
  const auto suspect_refusal = [&]() -> std::optional<wire::CallReply> {
    if (verdict == SuspectVerdict::kRefuse) {
      this->events.Write("quarantined",
                         {{"id", request.attempt_id},
                          {"route", request.route},
                          {"fingerprint", ToText(call.fingerprint)}});
      return NotRun(Reason::kQuarantined,
                    "backend servers died running this request");
    }
    if (verdict == SuspectVerdict::kNoLease) {
      this->events.Write("suspect without lease",
                         {{"id", request.attempt_id},
                          {"route", request.route},
                          {"fingerprint", ToText(call.fingerprint)}});
      return NotRun(Reason::kQuarantined,
                    "a backend server died running this request");
    }
    return std::nullopt;
  };
  if (auto refusal = suspect_refusal()) {
    return std::move(*refusal);
  }
  if (!this->throttle.Admit(request.route)) {
    return NotRun(Reason::kDependencyOverloaded,
                  "nested calls of such requests are rejected",
                  kDependencyRetryDelay);
  }
  if (request.hedge && !this->HasFreeSlot()) {
    // Its first send is in progress elsewhere, so that it must not compete for
    // a slot with requests that run nowhere.
    return NotRun(Reason::kOverloaded, "no free slot for a second send");
  }
  const SlotDecision decision = this->AwaitSlot(call);
  if (decision.reason != Reason::kNone) {
    return NotRun(decision.reason, "no slot in time", decision.room_in);
  }
  wire::CallReply reply;
  verdict = this->suspects.Recheck(call.fingerprint, verdict, call.deadline);
  if (auto refusal = suspect_refusal()) {
    reply = std::move(*refusal);
  } else if (call.caller_left) {
    reply = NotRun(Reason::kDeadline, "the caller disconnected");
  } else if (!this->IsServing({request.service_name}, Now())) {
    reply = NotRun(Reason::kNoEndpoint, "the backend server left meanwhile");
  } else {
    const Instant sent = Now();
    call.leased = verdict == SuspectVerdict::kRunLeased;
    this->CheckServerStart(sent);
    this->work_times.OnStart(call.id, request.route, sent);
    reply = this->SendToBackend(call);
    const Instant ended = Now();
    reply.execution_us = duration_cast<microseconds>(ended - sent).count();
    reply.work_us =
        this->work_times.OnEnd(call.id, FinishKindOf(reply), ended).count();
    if (const auto usual = this->work_times.UsualTimeOf(request.route)) {
      reply.__set_kind_time(ToWire(*usual));
    }
    this->throttle.OnFinished(request.route, call.nested_call_rejected);
  }
  this->ApplyActions(
      this->queue.OnFinished(call.id, FinishKindOf(reply), Now()));
  return reply;
}

// Another start of the backend server is cold at first.
void BackendGateway::CheckServerStart(Instant now) {
  const std::int64_t born_ms = this->life.known()->born_ms;
  if (born_ms != this->work_times_born_ms) {
    this->work_times_born_ms = born_ms;
    this->work_times.OnServerStart(now);
  }
}

bool BackendGateway::HasFreeSlot() const {
  const LoadReport load = this->queue.Report();
  return load.running + load.queued < load.limit;
}

BackendGateway::SlotDecision BackendGateway::AwaitSlot(Call& call) {
  const wire::CallRequest& request = *call.request;
  NoteActivity("call offered to the slots", request.attempt_id);
  const Instant now = Now();
  SlotRequest offer;
  offer.id = call.id;
  offer.work = request.route;
  offer.priority = request.priority;
  offer.nested = request.nested;
  offer.returning = request.returning;
  if (!request.nested) {
    offer.client_account = request.client_account;
    offer.weight = std::max(1, request.fair_weight);
  }
  offer.deadline = call.deadline - kMinExecutionTime;
  // A nested call has no target of its own: the outer request waits for it
  // either way, so only the deadline counts.
  offer.target = request.nested ? offer.deadline
                                : now + microseconds(std::clamp<std::int64_t>(
                                            request.target_us, 0, kMaxCallUs));
  this->ApplyActions(this->queue.Offer(offer, now));
  // OnTick rejects calls that can't be served in time; the margin lets it run
  // before this wait times out.
  constexpr milliseconds kTickMargin{100};
  if (const auto decision = call.slot.WaitUntil(call.deadline + kTickMargin)) {
    return *decision;
  }
  this->ApplyActions(this->queue.OnCancel(call.id));
  return call.slot.WaitUntil(Now()).value_or(
      SlotDecision{Reason::kDeadline, microseconds{0}});
}

void BackendGateway::ApplyActions(const SlotActions& actions) {
  const auto decide = [this](std::uint64_t id, SlotDecision decision) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
      found->second->slot.SetValue(decision);
    }
  };
  std::ranges::for_each(actions, [&](const SlotAction& action) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      decide(start->id, {});
    } else {
      const auto& rejection = std::get<RejectCall>(action);
      decide(rejection.id, {rejection.reason, rejection.room_in});
    }
  });
}

wire::CallReply BackendGateway::SendToBackend(Call& call) {
  const wire::CallRequest& request = *call.request;
  const auto remaining = duration_cast<milliseconds>(call.deadline - Now());
  if (remaining < kMinExecutionTime) {
    return NotRun(Reason::kDeadline, "no time was left to run it");
  }
  const Heartbeat& backend = *this->life.known();
  call.backend = {backend.instance, backend.born_ms};
  const HttpRequest out = this->platform.ToBackendRequest(
      request, call.backend.instance, remaining);
  ExchangeOptions exchange;
  exchange.id = request.attempt_id;
  exchange.matches_request = [this, &request](const HttpResponse& answer) {
    const bool ours = this->platform.IsAnswerTo(answer, request.attempt_id);
    if (!ours) {
      this->events.Write("stray answer", {{"id", request.attempt_id},
                                          {"status", answer.status}});
    }
    return ours;
  };
  std::optional<wire::CallReply> withdrawn;
  exchange.may_send = [this, &call, &withdrawn, checked_at = Now()] {
    withdrawn = this->RecheckBeforeSend(call, checked_at);
    call.in_flight = !withdrawn;
    return !withdrawn;
  };
  exchange.cancel = &call.abort_exchange;
  exchange.body = request.body;
  ByteReservation answer_room(this->account);
  exchange.response_room = &answer_room;
  auto answer = this->link.Send({backend.address}, out,
                                remaining + kAnswerMargin, exchange);
  call.in_flight = false;
  if (withdrawn) {
    return std::move(*withdrawn);
  }
  if (!answer) {
    return this->OnNoAnswer(call, answer.error());
  }
  switch (this->platform.ClassifyAnswer(*answer, request.attempt_id)) {
    case AnswerKind::kAnswered:
      this->unobserved.OnAlive(call.backend, Now());
      return this->ToCallReply(std::move(*answer));
    case AnswerKind::kNotRun:
      return NotRun(Reason::kBackendRefused,
                    "the backend server did not run it");
    case AnswerKind::kWrongInstance:
      this->OnBackendDied(call.backend.instance);
      this->events.Write(
          "back end replaced",
          {{"id", request.attempt_id}, {"instance", call.backend.instance}});
      return NotRun(Reason::kBackendRefused, "another instance answered");
    case AnswerKind::kInvalid:
      this->unobserved.Add(call.backend, call.fingerprint, call.deadline,
                           Now());
      break;
  }
  this->events.Write("answer spoilt",
                     {{"id", request.attempt_id},
                      {"status", static_cast<std::int64_t>(answer->status)}});
  return MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                   "the answer does not belong to this request");
}

// Checks again whether the call may be sent, since it has waited for a
// connection to the backend server; returns the reply if it may not.
std::optional<wire::CallReply> BackendGateway::RecheckBeforeSend(
    const Call& call,
    Instant checked_at) {
  const wire::CallRequest& request = *call.request;
  const Instant now = Now();
  const auto waited = duration_cast<milliseconds>(now - checked_at);
  if (call.caller_left) {
    return NotRun(Reason::kDeadline, "the caller disconnected");
  }
  const bool same_backend =
      this->life.known() &&
      this->life.known()->instance == call.backend.instance;
  if (!same_backend || !this->IsServing({request.service_name}, now)) {
    this->events.Write("send withdrawn", {{"id", request.attempt_id},
                                          {"instance", call.backend.instance},
                                          {"waited_ms", waited.count()}});
    return NotRun(Reason::kNoEndpoint, "the backend server left meanwhile");
  }
  if (const auto since_leave = this->life.TimeSinceLeave(now)) {
    this->events.Write("sent while leaving",
                       {{"id", request.attempt_id},
                        {"instance", call.backend.instance},
                        {"since_leave_ms", since_leave->count()},
                        {"waited_ms", waited.count()}});
  }
  return std::nullopt;
}

wire::CallReply BackendGateway::ToCallReply(HttpResponse&& answer) const {
  wire::CallReply reply = MakeReply(Outcome::kOk, Reason::kNone, "");
  reply.status = answer.status;
  reply.body = std::move(answer.body);
  std::ranges::for_each(answer.headers, [&](HttpHeader& header) {
    if (IsEndToEnd(header.name) && !this->platform.IsEchoHeader(header.name)) {
      wire::Header& kept = reply.headers.emplace_back();
      kept.name = std::move(header.name);
      kept.value = std::move(header.value);
    }
  });
  return reply;
}

wire::CallReply BackendGateway::OnNoAnswer(Call& call, const HttpError& error) {
  const bool by_deadline = Now() >= call.deadline;
  const bool caller_left =
      call.caller_left && call.request->idempotent && !call.leased;
  // Whether this node closed the connection itself. The backend server may
  // still run the call then, and has shown no sign of its death.
  const bool closed_here =
      by_deadline || caller_left || this->aborting || error.response_too_long;
  if (error.may_have_arrived) {
    this->unobserved.Add(call.backend, call.fingerprint, call.deadline, Now());
    call.may_run_on = closed_here;
  }
  if (!closed_here) {
    this->OnConnectionLost(call);
  }
  this->events.Write(
      "no answer",
      {{"id", call.request->attempt_id},
       {"instance", call.backend.instance},
       {"fingerprint", ToText(call.fingerprint)},
       {"may_have_run", std::int64_t{error.may_have_arrived}},
       {"closed_here", std::int64_t{closed_here}},
       {"left_ms", duration_cast<milliseconds>(call.deadline - Now()).count()},
       {"error", error.text}});
  if (!error.may_have_arrived) {
    return NotRun(Reason::kBackendRefused,
                  "the backend server was not reached");
  }
  if (error.response_too_long) {
    return MakeReply(Outcome::kUnknown, Reason::kAnswerTooLong,
                     "there is no room for its answer");
  }
  return MakeReply(Outcome::kUnknown,
                   by_deadline ? Reason::kDeadline : Reason::kConnectionLost,
                   "no answer from the backend server");
}

// Backend server --------------------------------------------------------------

void BackendGateway::OnConnectionLost(const Call& call) {
  this->lost_calls.push_back({call.backend, Now(), call.leased});
  const Instant until =
      Now() + (call.leased ? kMaxSuspectCheckWait : kMaxDeathCheckWait);
  const auto must_wait = [this, &call] {
    return call.leased ? this->HasUncheckedSuspect() : !this->death_rechecked;
  };
  this->DetectBackendDeath();
  while (must_wait() && Now() < until && !this->aborting &&
         this->loop.SleepFor(kDeathCheckPoll)) {
    this->DetectBackendDeath();
  }
}

bool BackendGateway::HasUncheckedSuspect() const {
  return std::ranges::any_of(this->lost_calls, [](const LostCall& lost) {
    return lost.leased && lost.checks < kDeathChecks;
  });
}

// Finds out whether the backend server at which calls were lost has died: it no
// longer listens, or another start has taken its place. A dying process may
// close its connections before its listener, so a later tick checks again.
void BackendGateway::DetectBackendDeath() {
  if (this->checking_death) {
    return;
  }
  this->checking_death = true;
  const Instant now = Now();
  std::erase_if(this->lost_calls, [now](const LostCall& lost) {
    return lost.checks >= kDeathChecks ||
           now - lost.lost_at >= kLostCallRetention;
  });
  if (const auto replaced = this->FindReplaced()) {
    this->ReportDeathOf(*replaced);
  } else if (this->IsDeathCheckDue(now)) {
    this->CheckListening(now);
  }
  this->checking_death = false;
}

bool BackendGateway::IsDeathCheckDue(Instant now) const {
  if (this->lost_calls.empty()) {
    const auto current = this->CurrentStart();
    return current && this->unobserved.NeedsCheck(*current, now);
  }
  return now >= this->next_death_check ||
         (this->HasUncheckedSuspect() &&
          now >= this->last_death_check + kDeathRecheckDelay);
}

void BackendGateway::CheckListening(Instant now) {
  const BackendStart checked = this->lost_calls.empty()
                                   ? *this->CurrentStart()
                                   : this->lost_calls.back().backend;
  if (!this->lost_calls.empty()) {
    this->last_death_check = now;
    this->death_rechecked = !this->death_rechecked;
    this->next_death_check = now + (this->death_rechecked ? kDeathCheckInterval
                                                          : kDeathRecheckDelay);
  }
  const bool listening = this->HasListeningBackend();
  this->events.Write(
      "back end checked",
      {{"instance", checked.instance},
       {"listening", std::int64_t{listening}},
       {"lost_calls", static_cast<std::int64_t>(this->lost_calls.size())},
       {"unobserved", static_cast<std::int64_t>(this->unobserved.size())}});
  if (listening) {
    this->unobserved.OnAlive(checked, now);
  } else {
    this->OnBackendDied(checked.instance);
    this->death_rechecked = true;
    this->ReportDeathOf(checked);
  }
  std::ranges::for_each(this->lost_calls, [now](LostCall& lost) {
    lost.checks += lost.lost_at <= now ? 1 : 0;
  });
}

void BackendGateway::OnBackendDied(const std::string& instance) {
  const Instant now = Now();
  if (this->life.OnDied(instance, now)) {
    this->events.Write("back end replaced after its death",
                       {{"instance", this->life.known()->instance},
                        {"born_ms", this->life.known()->born_ms}});
    this->ApplyActions(this->queue.OnSlots(this->life.known()->slots, now));
  }
}

bool BackendGateway::HasListeningBackend() {
  return this->life.known() &&
         this->link.IsListening(BackendId{this->life.known()->address});
}

std::optional<BackendStart> BackendGateway::CurrentStart() const {
  const auto& current = this->life.known();
  return current
             ? std::optional(BackendStart{current->instance, current->born_ms})
             : std::nullopt;
}

// A start with calls whose place another one has taken, if any.
std::optional<BackendStart> BackendGateway::FindReplaced() const {
  const auto current = this->CurrentStart();
  if (!current) {
    return std::nullopt;
  }
  const auto lost = std::ranges::find_if(
      this->lost_calls,
      [&current](const LostCall& each) { return each.backend != *current; });
  return lost == this->lost_calls.end() ? this->unobserved.FindOther(*current)
                                        : std::optional(lost->backend);
}

// Reports all calls that may have been running at this start of the backend
// server.
void BackendGateway::ReportDeathOf(BackendStart backend) {
  std::vector<Fingerprint> running = this->unobserved.OnDied(backend);
  std::ranges::for_each(this->calls, [&](const auto& entry) {
    if (entry.second->in_flight && entry.second->backend == backend) {
      running.push_back(entry.second->fingerprint);
    }
  });
  std::erase_if(this->lost_calls, [&backend](const LostCall& each) {
    return each.backend == backend;
  });
  const bool has_left = this->unobserved.HasLeft(backend);
  this->events.Write("back end died",
                     {{"instance", backend.instance},
                      {"after_leave", std::int64_t{has_left}},
                      {"running", static_cast<std::int64_t>(running.size())}});
  if (!has_left && !running.empty()) {
    this->suspects.ReportBackendDeath(
        backend.instance + "#" + std::to_string(backend.born_ms), running);
  }
}

HeartbeatVerdict BackendGateway::OnHeartbeat(const Heartbeat& heartbeat) {
  NoteActivity("heartbeat", heartbeat.instance);
  const Instant now = Now();
  const HeartbeatVerdict verdict = this->life.OnHeartbeat(heartbeat, now);
  // The heartbeat may be one of another start, which changes only the state.
  if (verdict == HeartbeatVerdict::kChanged) {
    this->ApplyActions(this->queue.OnSlots(this->life.known()->slots, now));
  }
  return verdict;
}

void BackendGateway::RunHealthCheck(const Heartbeat& reported,
                                    const std::string& health_path) {
  HttpRequest request;
  request.target = health_path;
  const Instant asked = Now();
  const auto answer =
      this->link.SendOnce({reported.address}, request, kHealthCheckTimeout);
  const Instant now = Now();
  const auto instance =
      answer ? this->platform.HealthyInstance(*answer) : std::nullopt;
  const bool same = instance == reported.instance;
  const bool taken = same && this->life.OnConfirmed(reported, asked, now);
  this->events.Write("back end confirmed",
                     {{"instance", reported.instance},
                      {"born_ms", reported.born_ms},
                      {"status", std::int64_t{answer ? answer->status : 0}},
                      {"same", std::int64_t{same}},
                      {"taken", std::int64_t{taken}}});
  if (taken) {
    this->ApplyActions(this->queue.OnSlots(this->life.known()->slots, now));
  }
}

void BackendGateway::OnLeftEarlier(const Heartbeat& reported) {
  this->life.OnLeftEarlier(reported, Now());
}

bool BackendGateway::OnDeregistration(const std::string& instance) {
  const auto current = this->CurrentStart();
  if (current && current->instance == instance) {
    this->unobserved.OnLeave(*current);
  }
  return this->life.OnLeave(instance, Now());
}

void BackendGateway::AbortCalls() {
  this->aborting = true;
  this->suspects.CancelWaits();
  this->ApplyActions(this->queue.Flush(Reason::kShuttingDown));
  std::ranges::for_each(this->calls, [](const auto& entry) {
    if (entry.second->abort_exchange) {
      entry.second->abort_exchange();
    }
  });
  this->link.Close();  // Ends calls that wait for a connection.
}

EndpointState BackendGateway::AnnouncedState() const {
  const bool leaving = this->stop && Now() >= this->stop->peer_calls_until();
  return leaving ? EndpointState::kDraining : this->BackendState();
}

bool BackendGateway::Serves(const ServiceName& service) const {
  return this->IsServing(service, Now());
}

EndpointState BackendGateway::BackendState() const {
  return this->life.State(Now());
}

void BackendGateway::LogSlowdown() {
  const double slowdown = this->work_times.Slowdown(Now());
  const bool slow = slowdown >= (this->was_slow ? kRecovered : kSlow);
  if (slow != this->was_slow) {
    this->was_slow = slow;
    this->events.Write(
        slow ? "back end slow" : "back end recovered",
        {{"slowdown_permille", static_cast<std::int64_t>(slowdown * 1000)}});
  }
}

void BackendGateway::OnTick() {
  NoteActivity("tick of the slots", "");
  const Instant now = Now();
  if (this->FindReplaced() || this->IsDeathCheckDue(now)) {
    this->loop.SpawnHere([this] { this->DetectBackendDeath(); });
  }
  this->ApplyActions(this->queue.OnTick(now));
  this->LogSlowdown();
  this->ledger.Expire(now);
  const bool open =
      this->life.known() && this->IsServing(this->life.known()->service, now);
  if (!open) {
    this->ApplyActions(this->queue.Flush(Reason::kNoEndpoint));
  }
}

}  // namespace tanagerledge
