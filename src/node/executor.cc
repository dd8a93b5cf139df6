#include "src/node/executor.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <limits>
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

// A dying process may close its connections before its listener, so a check
// that finds it listening is repeated after this time.
constexpr milliseconds kDeathRecheckDelay{20};
constexpr std::int64_t kMaxCallUs = 600'000'000;

std::string UnixMicroseconds(Instant at) {
  const WallTime wall =
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<WallTime::duration>(at - Now());
  return std::to_string(
      std::chrono::duration_cast<microseconds>(wall.time_since_epoch())
          .count());
}

bool IsNotRun(const HttpResponse& answer) {
  return answer.Header(kOutcomeHeader) == ToText(Outcome::kNotRun);
}

}  // namespace

// One call from its arrival at the executor until its reply.
struct Executor::Call {
  explicit Call(const wire::CallRequest& call_request)
      : request(call_request) {}

  const wire::CallRequest& request;
  std::uint64_t id = 0;
  Instant arrived{};
  Instant deadline{};
  Fingerprint fingerprint;
  Announcement backend;
  SuspectVerdict suspect = SuspectVerdict::kRun;
  FinishKind finish = FinishKind::kShed;
  // This node closed its connection at the deadline, so it may still run.
  bool may_run_on = false;
};

Executor::Executor(BackendWatch& backend_watch,
                   SuspectHost& suspect_host,
                   OnceHost& once_host,
                   DecisionLog& decision_log)
    : watch(backend_watch),
      suspects(suspect_host),
      once(once_host),
      decisions(decision_log) {}

// Request path --------------------------------------------------------------

wire::CallReply Executor::Execute(BackendLink& link,
                                  const wire::CallRequest& request) {
  ++this->in_progress;
  const Instant now = Now();
  Call call(request);
  call.id = ++this->last_id;
  call.arrived = now;
  call.deadline = now + microseconds(std::clamp<std::int64_t>(
                            request.remaining_us, 0, kMaxCallUs));
  call.fingerprint = FingerprintOf({request.customer}, request.method,
                                   request.target, request.body);
  wire::CallReply reply = this->Run(link, call);
  reply.__set_load(ToWire(this->Report()));
  reply.execution_us =
      std::chrono::duration_cast<microseconds>(Now() - now).count();
  --this->in_progress;
  return reply;
}

wire::CallReply Executor::Run(BackendLink& link, Call& call) {
  const auto refuse = [](Reason reason, std::string detail) {
    return MakeReply(Outcome::kNotRun, reason, std::move(detail));
  };
  const auto backend = this->watch.Current(call.arrived);
  if (!backend || backend->service.value != call.request.service_name) {
    return refuse(Reason::kNoEndpoint,
                  "this node has no back end of this service");
  }
  if (backend->state == EndpointState::kDraining) {
    return refuse(Reason::kDraining, "the back end is draining");
  }
  call.backend = *backend;
  call.suspect = this->suspects.Admit(call.fingerprint, call.deadline);
  if (auto refusal = this->RefuseSuspect(call)) {
    return std::move(*refusal);
  }
  const Reason refusal = this->AwaitSlot(call);
  if (refusal != Reason::kNone) {
    this->suspects.OnCallUnproven(call.fingerprint, call.suspect);
    return refuse(refusal, "refused by the back end's node");
  }
  call.suspect =
      this->suspects.Recheck(call.fingerprint, call.suspect, call.deadline);
  auto suspect_refusal = this->RefuseSuspect(call);
  wire::CallReply reply =
      suspect_refusal ? std::move(*suspect_refusal) : this->RunOnce(link, call);
  if (call.finish != FinishKind::kOk && !call.may_run_on) {
    this->suspects.OnCallUnproven(call.fingerprint, call.suspect);
  }
  this->ReleaseSlot(call, call.finish);
  return reply;
}

// Refuses a call that is quarantined, or a suspect without a lease.
std::optional<wire::CallReply> Executor::RefuseSuspect(const Call& call) {
  if (call.suspect == SuspectVerdict::kRefuse) {
    this->decisions.Add(Part::kCall, "refused " + call.request.target,
                        "quarantined: back ends died running it");
    return MakeReply(Outcome::kNotRun, Reason::kQuarantined,
                     "back ends died running this request");
  }
  if (call.suspect == SuspectVerdict::kNoLease) {
    return MakeReply(Outcome::kNotRun, Reason::kOverloaded,
                     "the request is a suspect and got no lease in time");
  }
  return std::nullopt;
}

// Claims the key of a non-idempotent call before it is sent.
wire::CallReply Executor::RunOnce(BackendLink& link, Call& call) {
  const wire::CallRequest& request = call.request;
  if (request.idempotent || request.idempotency_key.empty()) {
    return this->SendToBackend(link, call, call.deadline);
  }
  const OnceKey key{
      {request.customer}, {request.service_name}, request.idempotency_key};
  const OnceVerdict verdict =
      this->once.Begin(key, call.fingerprint, call.deadline);
  if (const auto* refusal = std::get_if<OnceRefusal>(&verdict)) {
    return MakeReply(refusal->outcome, refusal->reason, refusal->text);
  }
  if (const auto* stored = std::get_if<OnceStored>(&verdict)) {
    auto kept = Decode<wire::CallReply>(stored->result.reply);
    if (kept && !stored->result.reply.empty()) {
      return std::move(*kept);
    }
    return MakeReply(
        stored->result.outcome, Reason::kDuplicate,
        "an earlier attempt ended like this; its answer was not kept");
  }
  const auto& ticket = std::get<OnceTicket>(verdict);
  wire::CallReply reply =
      this->SendToBackend(link, call, std::min(call.deadline, ticket.run_by));
  this->once.Finish(ticket,
                    {OutcomeOf(reply), ReasonOf(reply), Encode(reply), false});
  return reply;
}

wire::CallReply Executor::SendToBackend(BackendLink& link,
                                        Call& call,
                                        Instant run_by) {
  const wire::CallRequest& request = call.request;
  const auto remaining = std::chrono::ceil<milliseconds>(call.deadline - Now());
  if (Now() >= run_by) {
    return MakeReply(Outcome::kNotRun, Reason::kDeadline,
                     "no time was left to run it");
  }
  HttpRequest out;
  out.method = request.method;
  out.target = request.target;
  out.body = request.body;
  for (const wire::Header& header : request.headers) {
    out.headers.push_back({header.name, header.value});
  }
  const auto add = [&out](std::string_view name, std::string value) {
    out.headers.push_back({std::string(name), std::move(value)});
  };
  add(kRunByHeader, UnixMicroseconds(run_by));
  add(kClientAccountHeader, request.customer);
  add(kDepthHeader, std::to_string(request.depth + 1));
  if (request.within_retry) {
    add(kRetryHeader, "yes");
  }
  if (request.write_mark != 0) {
    add(kNeedMarkHeader, std::to_string(request.write_mark));
  }
  ExchangeOptions exchange;
  // A call that waits for a connection has not reached the backend server.
  exchange.may_send = [this, &call] {
    this->OnCallSent(call);
    return true;
  };
  exchange.allows_reuse = [](const HttpResponse& answer) {
    return !IsNotRun(answer);
  };
  const auto answer = link.Send(call.backend.backend, out, remaining, exchange);
  this->OnCallEnded(call, answer.has_value(),
                    !answer && answer.error().may_have_arrived);
  if (!answer) {
    return this->OnNoAnswer(link, call, answer.error());
  }
  if (IsNotRun(*answer)) {
    const Reason reason =
        answer->Header(kReasonHeader) == ToText(Reason::kSessionBehind)
            ? Reason::kSessionBehind
            : Reason::kBackendRefused;
    return MakeReply(Outcome::kNotRun, reason, "the back end did not run it");
  }
  wire::CallReply reply = MakeReply(Outcome::kOk, Reason::kNone, "");
  reply.status = answer->status;
  reply.body = answer->body;
  reply.judged = !answer->Header(kJudgedHeader).empty();
  reply.write_mark = ParseNumberOr(answer->Header(kWriteMarkHeader), 0,
                                   std::numeric_limits<std::int64_t>::max());
  for (const HttpHeader& header : answer->headers) {
    if (IsEndToEnd(header.name)) {
      wire::Header& kept = reply.headers.emplace_back();
      kept.name = header.name;
      kept.value = header.value;
    }
  }
  call.finish = FinishKindOf(reply);
  if (call.finish == FinishKind::kOk) {
    this->suspects.OnCallAnswered(call.fingerprint, call.suspect);
  }
  return reply;
}

wire::CallReply Executor::OnNoAnswer(BackendLink& link,
                                     Call& call,
                                     const HttpError& error) {
  bool listening = link.IsListening(call.backend.backend);
  const bool may_be_dying = listening && error.may_have_arrived &&
                            Now() + kDeathRecheckDelay < call.deadline;
  if (may_be_dying) {
    // The caller may send again as soon as it is answered, so the nodes must
    // know of the death by then.
    boost::this_fiber::sleep_for(kDeathRecheckDelay);
    listening = link.IsListening(call.backend.backend);
  }
  if (!listening) {
    this->OnDied(call.backend);
  }
  call.may_run_on =
      listening && error.may_have_arrived && Now() >= call.deadline;
  if (!error.may_have_arrived) {
    return MakeReply(Outcome::kNotRun, Reason::kBackendRefused,
                     "the back end could not be reached: " + error.text);
  }
  call.finish = FinishKind::kLost;
  return MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                   "no answer from the back end: " + error.text);
}

// Slots ---------------------------------------------------------------------

// Passes an event to the admission controller, and its answers to the fibers
// that wait for them. The fibers are woken after the lock is released: waking a
// fiber may suspend this one, and a suspended fiber must not hold a lock that
// other fibers of its thread wait for.
template <typename Event>
void Executor::WithAdmission(Event&& event) {
  std::vector<SlotAnswer> answers;
  {
    const std::scoped_lock lock(this->mutex);
    answers = this->TakeAnswers(event(this->admission));
  }
  for (const SlotAnswer& answer : answers) {
    answer.slot->SetValue(answer.reason);
  }
}

// Removes the calls that were decided from `waiting` and returns their answers.
// The caller holds the lock.
std::vector<Executor::SlotAnswer> Executor::TakeAnswers(
    const AdmissionActions& actions) {
  std::vector<SlotAnswer> answers;
  const auto answer = [&](std::uint64_t id, Reason reason) {
    const auto found = this->waiting.find(id);
    if (found != this->waiting.end()) {
      answers.push_back({std::move(found->second), reason});
      this->waiting.erase(found);
    }
  };
  for (const AdmissionAction& action : actions) {
    if (const auto* run = std::get_if<RunCall>(&action)) {
      answer(run->id, Reason::kNone);
    } else {
      const auto& refusal = std::get<RefuseCall>(action);
      answer(refusal.id, refusal.reason);
    }
  }
  return answers;
}

// Waits until admission control has decided. Returns kNone when the call has
// got a slot, otherwise the reason of the refusal.
Reason Executor::AwaitSlot(const Call& call) {
  AdmissionRequest request;
  request.id = call.id;
  request.rank = RankName{call.request.rank};
  request.client_account = ClientAccount{call.request.customer};
  request.arrived = call.arrived;
  request.deadline = call.deadline;
  request.suspect = call.suspect == SuspectVerdict::kRunLeased;
  const auto slot = std::make_shared<FiberPromise<Reason>>();
  this->WithAdmission([&](AdmissionController& controller) {
    this->waiting.emplace(call.id, slot);
    return controller.Offer(request, Now());
  });
  // The controller decides each call by its deadline, but only at the next
  // tick.
  constexpr milliseconds kTickMargin{100};
  if (const auto answer = slot->WaitUntil(call.deadline + kTickMargin)) {
    return *answer;
  }
  this->WithAdmission([&](AdmissionController& controller) {
    return controller.OnCancel(call.id, Now());
  });
  // The slot may have been granted between the timeout and the cancellation.
  if (slot->WaitUntil(Now()) == Reason::kNone) {
    this->ReleaseSlot(call, FinishKind::kShed);
  }
  return Reason::kDeadline;
}

void Executor::ReleaseSlot(const Call& call, FinishKind kind) {
  this->WithAdmission([&](AdmissionController& controller) {
    return controller.OnFinished(call.id, kind, Now());
  });
}

// Events --------------------------------------------------------------------

void Executor::OnPolicies(const std::map<RankName, RankPolicy>& policies) {
  const std::scoped_lock lock(this->mutex);
  this->admission.OnPolicies(policies);
}

void Executor::OnAnnounced(const Announcement& announcement) {
  if (announcement.state == EndpointState::kDraining) {
    this->OnDrain();
    return;
  }
  const std::scoped_lock lock(this->mutex);
  this->admission.OnSlots(announcement.slots, Now());
}

void Executor::OnDrain() {
  this->WithAdmission([](AdmissionController& controller) {
    return controller.OnDrain(Now());
  });
}

void Executor::OnTick() {
  this->WithAdmission(
      [](AdmissionController& controller) { return controller.OnTick(Now()); });
}

LoadReport Executor::Report() const {
  const std::scoped_lock lock(this->mutex);
  return this->admission.Report(Now());
}

// Deaths of the backend server ------------------------------------------------

void Executor::OnCallSent(const Call& call) {
  const std::scoped_lock lock(this->sent_calls_mutex);
  this->sent_calls[call.id] = {call.fingerprint, call.backend.instance};
}

void Executor::OnCallEnded(const Call& call, bool answered, bool may_run_on) {
  const std::scoped_lock lock(this->sent_calls_mutex);
  this->sent_calls.erase(call.id);
  const BackendStart backend{call.backend.instance, 0};
  if (answered) {
    this->unobserved.OnAlive(backend, Now());
  } else if (may_run_on) {
    this->unobserved.Add(backend, call.fingerprint, call.deadline, Now());
  }
}

void Executor::OnDied(const Announcement& backend) {
  std::vector<Fingerprint> running;
  {
    const std::scoped_lock lock(this->sent_calls_mutex);
    running = this->unobserved.OnDied({backend.instance, 0});
    std::erase_if(this->sent_calls, [&](const auto& entry) {
      const bool was_running = entry.second.instance == backend.instance;
      if (was_running) {
        running.push_back(entry.second.fingerprint);
      }
      return was_running;
    });
  }
  if (this->watch.OnDied()) {
    ++this->deaths;
  }
  if (!running.empty()) {
    this->decisions.Add(Part::kBackend,
                        "back end " + backend.backend.value + " died",
                        std::to_string(running.size()) + " calls were running");
    this->suspects.ReportBackendDeath(
        backend.instance.empty()
            ? backend.backend.value + "#" + std::to_string(this->deaths.load())
            : backend.instance,
        running);
  }
}

}  // namespace tanagerledge
