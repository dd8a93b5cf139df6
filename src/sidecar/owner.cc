#include "src/sidecar/owner.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::int64_t kLongestCallUs = 600'000'000;
// The backend server answers by itself at the deadline that it was given; the
// wait is longer by this so that its answer is seen.
constexpr milliseconds kAnswerMargin{25};
// Less time than this at a backend server serves nobody: work takes 20 ms and
// more.
constexpr milliseconds kLeastOffer{15};
// After a stop is announced, calls that were under way are still run this long;
// news of the stop reach all nodes in less.
constexpr milliseconds kStopTail{1000};
// Between two looks whether the backend server still listens.
constexpr milliseconds kDeathCheckInterval{200};
// A health check waits for a slot like any request; heartbeats come every 1.5 s
// and begin the next one.
constexpr milliseconds kConfirmTimeout{1000};
// When a service that is needed turns calls away, its queue is as long as its
// calls' deadline, some 250 ms: sooner is of no use.
constexpr milliseconds kDependencyPause{250};

wire::CallReply NotRun(Reason reason,
                       std::string detail,
                       microseconds room_in = microseconds{0}) {
  wire::CallReply reply =
      MakeReply(Outcome::kNotRun, reason, std::move(detail));
  reply.room_in_us = room_in.count();
  return reply;
}

}  // namespace

Owner::Owner(IoLoop& io_loop,
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

// Calls from elsewhere --------------------------------------------------------

Owner::SendKey Owner::KeyOf(const NodeId& from, std::int64_t send_id) {
  return from.value + "#" + std::to_string(send_id);
}

std::string Owner::RunForPeer(const NodeId& from, std::string_view bytes) {
  const auto request = Decode<wire::CallRequest>(bytes);
  if (!request) {
    return Encode(NotRun(Reason::kBadRequest, "the call is not readable"));
  }
  const Instant deadline =
      Now() + microseconds(std::clamp<std::int64_t>(request->remaining_us, 0,
                                                    kLongestCallUs));
  const SendKey key = KeyOf(from, request->send_id);
  const AttemptState before = this->ledger.OnRun(key, deadline);
  if (before == AttemptState::kVoid) {
    return Encode(NotRun(Reason::kDuplicate, "this send was declared void"));
  }
  if (before != AttemptState::kNew) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kDuplicate,
                            "this send came before"));
  }
  const auto reply =
      std::make_shared<const std::string>(Encode(this->Run(from, *request)));
  this->ledger.OnDone(key, reply);
  const auto asked = this->questions.extract(key);
  if (!asked.empty()) {
    std::ranges::for_each(asked.mapped(), [&reply](const KeptWaiter& waiter) {
      waiter->SetValue(reply);
    });
  }
  return *reply;
}

std::string Owner::RunQuestion(const NodeId& from, std::string_view bytes) {
  const auto question = Decode<wire::SendQuestion>(bytes);
  if (!question) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kBadRequest,
                            "the question is not readable"));
  }
  if (question->incarnation !=
      static_cast<std::int64_t>(this->incarnation.value)) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                            "this node has started anew since"));
  }
  const Instant deadline =
      Now() + microseconds(std::clamp<std::int64_t>(question->remaining_us, 0,
                                                    kLongestCallUs));
  const SendKey key = KeyOf(from, question->send_id);
  switch (this->ledger.OnAsk(key, deadline)) {
    case AttemptState::kNew:
    case AttemptState::kVoid:
      return Encode(NotRun(Reason::kConnectionLost, "the send never came"));
    case AttemptState::kDone:
      return *this->ledger.ReplyOf(key);
    case AttemptState::kRunning:
      break;
  }
  const auto waiter = std::make_shared<FiberPromise<KeptReply>>();
  this->questions[key].push_back(waiter);
  const auto kept = waiter->WaitUntil(deadline + kAnswerMargin);
  if (!kept || *kept == nullptr) {
    return Encode(MakeReply(Outcome::kUnknown, Reason::kDeadline,
                            "still at the back end at the deadline"));
  }
  return **kept;
}

void Owner::Cancel(const NodeId& from, std::int64_t send_id) {
  const auto found = this->by_send.find(KeyOf(from, send_id));
  if (found == this->by_send.end()) {
    return;
  }
  const CallPtr call = this->calls.at(found->second);
  call->caller_left = true;
  this->Carry(this->queue.OnCancel(call->id));
  // What must not run twice is left to end: breaking it off tells nobody
  // whether it ran.
  if (call->break_off && call->request->idempotent) {
    call->break_off();
  }
}

void Owner::OnNestedTurnedAway(const std::string& parent_id) {
  const auto found = this->by_attempt.find(parent_id);
  if (found != this->by_attempt.end()) {
    this->calls.at(found->second)->nested_turned_away = true;
  }
}

bool Owner::RunsRepeat(const std::string& attempt_id) const {
  const auto found = this->by_attempt.find(attempt_id);
  return found != this->by_attempt.end() &&
         this->calls.at(found->second)->request->within_retry;
}

// A call ----------------------------------------------------------------------

wire::CallReply Owner::Run(const NodeId& from,
                           const wire::CallRequest& request) {
  const auto call = std::make_shared<Call>();
  const Instant now = Now();
  call->request = &request;
  call->id = ++this->last_id;
  call->deadline = now + microseconds(std::clamp<std::int64_t>(
                             request.remaining_us, 0, kLongestCallUs));
  if (this->stop) {
    call->deadline =
        this->stop->LimitOf(call->deadline, microseconds{0}, now).value_or(now);
  }
  call->fingerprint = FingerprintOf({request.customer}, request.method,
                                    request.target, request.body);
  this->calls.emplace(call->id, call);
  const SendKey key = KeyOf(from, request.send_id);
  this->by_send[key] = call->id;
  this->by_attempt[request.attempt_id] = call->id;
  wire::CallReply reply = this->Admit(call);
  reply.__set_load(ToWire(this->queue.Report()));
  this->by_send.erase(key);
  this->by_attempt.erase(request.attempt_id);
  this->calls.erase(call->id);
  return reply;
}

bool Owner::MayRun(const ServiceName& service, Instant now) const {
  const bool stopped =
      this->stop && now - this->stop->serve_until() > kStopTail;
  return !stopped && !this->giving_up && this->life.MayRun(service, now);
}

wire::CallReply Owner::Admit(const CallPtr& call) {
  const wire::CallRequest& request = *call->request;
  if (!this->MayRun({request.service_name}, Now())) {
    return NotRun(Reason::kNoEndpoint, "no such back end runs here now");
  }
  const SuspectVerdict verdict =
      this->suspects.Admit(call->fingerprint, call->deadline);
  if (verdict == SuspectVerdict::kRefuse || verdict == SuspectVerdict::kHold) {
    this->events.Write("quarantined",
                       {{"id", request.attempt_id}, {"route", request.route}});
    return NotRun(Reason::kQuarantined, "back ends died running this request");
  }
  if (!this->throttle.Admit(request.route)) {
    return NotRun(Reason::kDependencyOverloaded,
                  "calls that such requests make are turned away",
                  kDependencyPause);
  }
  const SlotDecision decision = this->AwaitSlot(*call);
  if (decision.reason != Reason::kNone) {
    return NotRun(decision.reason, "no slot in time", decision.room_in);
  }
  wire::CallReply reply;
  if (call->caller_left) {
    reply = NotRun(Reason::kDeadline, "the caller left");
  } else if (!this->MayRun({request.service_name}, Now())) {
    reply = NotRun(Reason::kNoEndpoint, "the back end left meanwhile");
  } else {
    const Instant sent = Now();
    reply = this->SendToBackend(*call);
    reply.execution_us = duration_cast<microseconds>(Now() - sent).count();
    this->throttle.OnFinished(request.route, call->nested_turned_away);
    if (OutcomeOf(reply) == Outcome::kOk) {
      this->suspects.RanSafely(call->fingerprint, verdict);
    }
  }
  this->Carry(this->queue.OnFinished(call->id, FinishKindOf(reply), Now()));
  return reply;
}

Owner::SlotDecision Owner::AwaitSlot(Call& call) {
  const wire::CallRequest& request = *call.request;
  const Instant now = Now();
  SlotRequest offer;
  offer.id = call.id;
  offer.work = request.route;
  offer.priority = request.priority;
  offer.nested = request.nested;
  offer.returning = request.returning;
  offer.deadline = call.deadline - kLeastOffer;
  // A request that waits for this call gains nothing by its own target.
  offer.target =
      request.nested ? offer.deadline : now + microseconds(request.target_us);
  this->Carry(this->queue.Offer(offer, now));
  // Ticks turn away what can't be served; the margin is for them.
  constexpr milliseconds kTickMargin{100};
  if (const auto decision = call.slot.WaitUntil(call.deadline + kTickMargin)) {
    return *decision;
  }
  this->Carry(this->queue.OnCancel(call.id));
  return call.slot.WaitUntil(Now()).value_or(
      SlotDecision{Reason::kDeadline, microseconds{0}});
}

void Owner::Carry(const SlotActions& actions) {
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
      const auto& away = std::get<TurnAway>(action);
      decide(away.id, {away.reason, away.room_in});
    }
  });
}

wire::CallReply Owner::SendToBackend(Call& call) {
  const wire::CallRequest& request = *call.request;
  const auto left = duration_cast<milliseconds>(call.deadline - Now());
  if (left < kLeastOffer) {
    return NotRun(Reason::kDeadline, "no time was left to run it");
  }
  const Heartbeat& backend = *this->life.known();
  call.instance = backend.instance;
  const HttpRequest out =
      this->platform.ToBackend(request, call.instance, left);
  ExchangeOptions exchange;
  exchange.id = request.attempt_id;
  exchange.matches_request = [this, &request](const HttpResponse& answer) {
    const bool ours = this->platform.IsFor(answer, request.attempt_id);
    if (!ours) {
      this->events.Write("stray answer", {{"id", request.attempt_id},
                                          {"status", answer.status}});
    }
    return ours;
  };
  std::optional<wire::CallReply> withdrawn;
  exchange.may_send = [this, &call, &withdrawn, checked = Now()] {
    withdrawn = this->WhyNotSend(call, checked);
    return !withdrawn;
  };
  exchange.cancel = &call.break_off;
  auto answer =
      this->link.Send({backend.address}, out, left + kAnswerMargin, exchange);
  if (withdrawn) {
    return std::move(*withdrawn);
  }
  if (!answer) {
    return this->OnNoAnswer(call, answer.error());
  }
  switch (this->platform.Judge(*answer, request.attempt_id)) {
    case AnswerKind::kAnswered:
      return this->Accept(std::move(*answer));
    case AnswerKind::kNotRun:
      return NotRun(Reason::kBackendRefused, "the back end did not run it");
    case AnswerKind::kWrongInstance:
      this->life.OnDied(call.instance);
      this->events.Write("back end replaced", {{"id", request.attempt_id},
                                               {"instance", call.instance}});
      return NotRun(Reason::kBackendRefused, "another instance answered");
    case AnswerKind::kSpoilt:
      break;
  }
  this->events.Write("answer spoilt",
                     {{"id", request.attempt_id},
                      {"status", static_cast<std::int64_t>(answer->status)}});
  return MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                   "the answer was not one to this request");
}

// What has changed while the call waited for a connection to the backend
// server.
std::optional<wire::CallReply> Owner::WhyNotSend(const Call& call,
                                                 Instant checked) {
  const wire::CallRequest& request = *call.request;
  const Instant now = Now();
  const auto waited = duration_cast<milliseconds>(now - checked);
  if (call.caller_left) {
    return NotRun(Reason::kDeadline, "the caller left");
  }
  const bool same_backend =
      this->life.known() && this->life.known()->instance == call.instance;
  if (!same_backend || !this->MayRun({request.service_name}, now)) {
    this->events.Write("send withdrawn", {{"id", request.attempt_id},
                                          {"instance", call.instance},
                                          {"waited_ms", waited.count()}});
    return NotRun(Reason::kNoEndpoint, "the back end left meanwhile");
  }
  if (const auto since_leave = this->life.SinceLeave(now)) {
    this->events.Write("sent while leaving",
                       {{"id", request.attempt_id},
                        {"instance", call.instance},
                        {"since_leave_ms", since_leave->count()},
                        {"waited_ms", waited.count()}});
  }
  return std::nullopt;
}

wire::CallReply Owner::Accept(HttpResponse&& answer) const {
  wire::CallReply reply = MakeReply(Outcome::kOk, Reason::kNone, "");
  reply.status = answer.status;
  reply.body = std::move(answer.body);
  std::ranges::for_each(answer.headers, [&](HttpHeader& header) {
    if (IsEndToEnd(header.name) && !this->platform.IsEcho(header.name)) {
      wire::Header& kept = reply.headers.emplace_back();
      kept.name = std::move(header.name);
      kept.value = std::move(header.value);
    }
  });
  return reply;
}

wire::CallReply Owner::OnNoAnswer(Call& call, const HttpError& error) {
  const bool by_deadline = Now() >= call.deadline;
  if (!by_deadline && !call.caller_left && !this->giving_up) {
    this->CheckDeath(call);
  }
  this->events.Write(
      "no answer",
      {{"id", call.request->attempt_id},
       {"instance", call.instance},
       {"may_have_run", std::int64_t{error.may_have_arrived}},
       {"left_ms", duration_cast<milliseconds>(call.deadline - Now()).count()},
       {"error", error.text}});
  if (!error.may_have_arrived) {
    return NotRun(Reason::kBackendRefused, "the back end was not reached");
  }
  return MakeReply(Outcome::kUnknown,
                   by_deadline ? Reason::kDeadline : Reason::kConnectionLost,
                   "no answer of the back end");
}

// Backend server --------------------------------------------------------------

void Owner::CheckDeath(const Call& call) {
  const Instant now = Now();
  if (now < this->next_death_check || !this->life.known()) {
    return;
  }
  this->next_death_check = now + kDeathCheckInterval;
  const BackendId address{this->life.known()->address};
  if (this->link.Listens(address)) {
    return;
  }
  this->life.OnDied(call.instance);
  std::vector<Fingerprint> running;
  std::ranges::for_each(this->calls, [&](const auto& entry) {
    if (entry.second->instance == call.instance) {
      running.push_back(entry.second->fingerprint);
    }
  });
  this->events.Write("back end died",
                     {{"instance", call.instance},
                      {"running", static_cast<std::int64_t>(running.size())}});
  this->suspects.BackendDied(running);
}

HeartbeatVerdict Owner::OnHeartbeat(const Heartbeat& heartbeat) {
  const Instant now = Now();
  const HeartbeatVerdict verdict = this->life.OnHeartbeat(heartbeat, now);
  if (verdict == HeartbeatVerdict::kChanged) {
    this->Carry(this->queue.OnSlots(heartbeat.slots, now));
  }
  return verdict;
}

void Owner::RunConfirm(const Heartbeat& told, const std::string& health_path) {
  HttpRequest request;
  request.target = health_path;
  const Instant asked = Now();
  ExchangeOptions exchange;
  exchange.force_new_connection = true;
  const auto answer =
      this->link.Send({told.address}, request, kConfirmTimeout, exchange);
  const Instant now = Now();
  const auto instance =
      answer ? this->platform.WellInstance(*answer) : std::nullopt;
  const bool same = instance == told.instance;
  const bool taken = same && this->life.OnConfirmed(told, asked, now);
  this->events.Write("back end confirmed",
                     {{"instance", told.instance},
                      {"born_ms", told.born_ms},
                      {"status", std::int64_t{answer ? answer->status : 0}},
                      {"same", std::int64_t{same}},
                      {"taken", std::int64_t{taken}}});
  if (taken) {
    this->Carry(this->queue.OnSlots(this->life.known()->slots, now));
  }
}

void Owner::OnLeftEarlier(const Heartbeat& told) {
  this->life.OnLeftEarlier(told, Now());
}

bool Owner::OnGoodbye(const std::string& instance) {
  return this->life.OnLeave(instance, Now());
}

void Owner::GiveUp() {
  this->giving_up = true;
  this->suspects.GiveUpWaits();
  this->Carry(this->queue.Flush(Reason::kShuttingDown));
  std::ranges::for_each(this->calls, [](const auto& entry) {
    if (entry.second->break_off) {
      entry.second->break_off();
    }
  });
  this->link.Close();  // Calls that wait for a connection.
}

EndpointState Owner::State() const {
  const bool leaving = this->stop && Now() >= this->stop->serve_until();
  return leaving ? EndpointState::kDraining : this->BackendState();
}

EndpointState Owner::BackendState() const {
  return this->life.State(Now());
}

void Owner::OnTick() {
  const Instant now = Now();
  this->Carry(this->queue.OnTick(now));
  this->ledger.Expire(now);
  const bool open =
      this->life.known() && this->MayRun(this->life.known()->service, now);
  if (!open) {
    this->Carry(this->queue.Flush(Reason::kNoEndpoint));
  }
}

}  // namespace tanagerledge
