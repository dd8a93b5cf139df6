#include "src/node/executor.h"

#include <algorithm>
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

// A backend server that dies may take this long to be noticed.
constexpr std::chrono::seconds kLossMemory{5};
constexpr std::int64_t kLongestCallUs = 600'000'000;

std::string UnixMicroseconds(Instant at) {
  const WallTime wall =
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<WallTime::duration>(at - Now());
  return std::to_string(
      std::chrono::duration_cast<microseconds>(wall.time_since_epoch())
          .count());
}

bool SaysNotRun(const HttpResponse& answer) {
  return answer.Header(kOutcomeHeader) == ToText(Outcome::kNotRun);
}

}  // namespace

// One call on its way through the executor.
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
                            request.remaining_us, 0, kLongestCallUs));
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
    return refuse(Reason::kNoEndpoint, "no such back end beside this node");
  }
  if (backend->state == EndpointState::kDraining) {
    return refuse(Reason::kDraining, "the back end is draining");
  }
  call.backend = *backend;
  call.suspect = this->suspects.Admit(call.fingerprint, call.deadline);
  if (call.suspect == SuspectVerdict::kRefuse) {
    this->decisions.Add(Part::kCall, "refused " + call.request.target,
                        "quarantined: back ends died running it");
    return refuse(Reason::kQuarantined, "back ends died running this request");
  }
  if (call.suspect == SuspectVerdict::kHold) {
    return refuse(Reason::kOverloaded, "a suspect whose turn did not come");
  }
  const Reason refusal = this->AwaitSlot(call);
  if (refusal != Reason::kNone) {
    return refuse(refusal, "refused at the back end's node");
  }
  wire::CallReply reply = this->RunOnce(link, call);
  this->LeaveSlot(call, call.finish);
  return reply;
}

// A keyed call that must not run twice asks for its key first.
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
    return MakeReply(stored->result.outcome, Reason::kDuplicate,
                     "an earlier attempt ended so; its answer is not kept");
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
  const auto left = std::chrono::ceil<milliseconds>(call.deadline - Now());
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
  this->Expose(call);
  ExchangeOptions exchange;
  exchange.allows_reuse = [](const HttpResponse& answer) {
    return !SaysNotRun(answer);
  };
  const auto answer = link.Send(call.backend.backend, out, left, exchange);
  this->Unexpose(call, !answer && answer.error().may_have_arrived);
  if (!answer) {
    return this->OnNoAnswer(link, call, answer.error());
  }
  this->suspects.RanSafely(call.fingerprint, call.suspect);
  if (SaysNotRun(*answer)) {
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
  reply.write_mark = NumberOr(answer->Header(kWriteMarkHeader), 0,
                              std::numeric_limits<std::int64_t>::max());
  for (const HttpHeader& header : answer->headers) {
    if (IsEndToEnd(header.name)) {
      wire::Header& kept = reply.headers.emplace_back();
      kept.name = header.name;
      kept.value = header.value;
    }
  }
  call.finish = FinishKindOf(reply);
  return reply;
}

wire::CallReply Executor::OnNoAnswer(BackendLink& link,
                                     Call& call,
                                     const HttpError& error) {
  if (!link.Listens(call.backend.backend)) {
    this->OnDied(call.backend);
  }
  if (!error.may_have_arrived) {
    return MakeReply(Outcome::kNotRun, Reason::kBackendRefused,
                     "the back end could not be reached: " + error.text);
  }
  call.finish = FinishKind::kLost;
  return MakeReply(Outcome::kUnknown, Reason::kConnectionLost,
                   "no answer of the back end: " + error.text);
}

// Slots ---------------------------------------------------------------------

// Takes an event to the controller. Fibers are woken after the lock is free:
// waking one may suspend this fiber, and a fiber must not suspend with a lock
// that others of its thread wait for.
template <typename Event>
void Executor::WithAdmission(Event&& event) {
  std::vector<SlotAnswer> answers;
  {
    const std::scoped_lock lock(this->mutex);
    answers = this->Resolve(event(this->admission));
  }
  for (const SlotAnswer& answer : answers) {
    answer.slot->SetValue(answer.reason);
  }
}

// With the lock held.
std::vector<Executor::SlotAnswer> Executor::Resolve(
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

// kNone when the call has a slot.
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
  // The controller answers each offer by its deadline; the margin is for ticks.
  constexpr milliseconds kMargin{100};
  if (const auto answer = slot->WaitUntil(call.deadline + kMargin)) {
    return *answer;
  }
  this->WithAdmission([&](AdmissionController& controller) {
    return controller.OnCancel(call.id, Now());
  });
  if (slot->WaitUntil(Now()) == Reason::kNone) {
    this->LeaveSlot(call, FinishKind::kShed);
  }
  return Reason::kDeadline;
}

void Executor::LeaveSlot(const Call& call, FinishKind kind) {
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

void Executor::Expose(const Call& call) {
  const std::scoped_lock lock(this->exposed_mutex);
  this->exposed[call.id] = {call.fingerprint, call.backend.instance, {}};
}

void Executor::Unexpose(const Call& call, bool lost) {
  const std::scoped_lock lock(this->exposed_mutex);
  if (lost) {
    this->exposed[call.id].lost = Now();
  } else {
    this->exposed.erase(call.id);
  }
  const Instant oldest = Now() - kLossMemory;
  std::erase_if(this->exposed, [oldest](const auto& entry) {
    return entry.second.lost && *entry.second.lost < oldest;
  });
}

void Executor::OnDied(const Announcement& backend) {
  std::vector<Fingerprint> running;
  {
    const std::scoped_lock lock(this->exposed_mutex);
    std::erase_if(this->exposed, [&](const auto& entry) {
      const bool there = entry.second.instance == backend.instance;
      if (there) {
        running.push_back(entry.second.fingerprint);
      }
      return there;
    });
  }
  this->watch.OnDied();
  if (!running.empty()) {
    this->decisions.Add(Part::kBackend,
                        "back end " + backend.backend.value + " died",
                        std::to_string(running.size()) + " calls were running");
    this->suspects.BackendDied(running);
  }
}

}  // namespace tanagerledge
