#include "soak/backend.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/http_client.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kHeartbeatTimeout{1000};
// Longest time from the acknowledgement of a leave to the last request. Equals
// `drain_ms` in the nodes' settings.
constexpr milliseconds kDrainTime{2000};
// Requests that a disturbed link held back may arrive for this long after the
// fault.
constexpr milliseconds kLinkAftermath{3000};
constexpr int kSlots = 8;
constexpr int kBusySlots = 2;
constexpr int kMinWorkMs = 5;
constexpr int kMaxWorkMs = 80;
// Shares of the requests that take long or make nested calls while the backend
// server is busy.
constexpr double kLongWorkShare = 0.25;
constexpr int kMinLongWorkMs = 300;
constexpr int kMaxLongWorkMs = 2500;
constexpr double kNestedCallShare = 0.5;
constexpr int kMaxNestedCalls = 4;  // Made one after the other.
// A flaky backend server refuses this share of the requests, and loses the same
// share of its answers.
constexpr double kFlakyShare = 0.2;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kServerError = 500;
constexpr int kTimedOut = 504;

}  // namespace

Backend::Backend(IoLoop& io_loop,
                 Ledger& run_ledger,
                 CallerIdentity own_identity,
                 std::string node_admin_address,
                 std::uint64_t seed)
    : loop(io_loop),
      ledger(run_ledger),
      identity(std::move(own_identity)),
      admin_address(std::move(node_admin_address)),
      random(seed),
      odd_random(seed),
      nested_caller(io_loop, run_ledger, this->identity, true),
      server(io_loop, HttpServer::Handler([this](const HttpRequest& request) {
               return this->Answer(request);
             })) {
  const auto bound = this->server.Accept(ParseAddress("127.0.0.1:0").value());
  this->proxy = std::make_unique<Proxy>(io_loop, FormatAddress(bound.value()));
  this->Restart();
  this->loop.Spawn([this] {
    while (!this->closed) {
      this->SendHeartbeat();
      if (this->busy) {
        this->SendOddHeartbeat();
      }
      this->loop.SleepFor(kHeartbeatInterval);
    }
  });
}

void Backend::Restart() {
  ++this->start_count;
  const bool keeps_instance = this->leaving && this->leaving->keeps_instance;
  if (!keeps_instance) {
    this->instance = this->identity.service + "-" + this->proxy->address() +
                     "-" + std::to_string(this->start_count);
  }
  this->heartbeat_count = 0;
  this->born_ms = static_cast<std::int64_t>(NewIncarnation().value);
  this->leaving.reset();
  this->leave_acknowledged_at.reset();
}

void Backend::RunLeave(const Leave& leave) {
  if (this->leaving) {
    return;
  }
  const int start = this->start_count;
  const std::string stale_heartbeat = this->last_ready_heartbeat;
  const Instant began = Now();
  this->leaving = leave;
  this->AnnounceLeave();
  this->loop.SleepFor(began + leave.stale_heartbeat_delay - Now());
  if (this->start_count == start && !stale_heartbeat.empty()) {
    this->SendToNode("PUT", stale_heartbeat);
  }
  this->loop.SleepFor(began + leave.linger - Now());
  if (this->start_count == start) {
    this->SendToNode("DELETE", "");
    this->Restart();
  }
}

// Announces the leave and stores the time of the first acknowledgement.
void Backend::AnnounceLeave() {
  const int start = this->start_count;
  const bool accepted =
      this->leaving->abrupt
          ? this->SendToNode("DELETE", "")
          : this->SendToNode("PUT", this->HeartbeatBody("draining"));
  if (accepted && this->start_count == start && !this->leave_acknowledged_at) {
    this->leave_acknowledged_at = Now();
  }
}

bool Backend::DrawBool(double probability) {
  return std::bernoulli_distribution(probability)(this->random);
}

void Backend::CheckRequestAfterLeave(const std::string& id) {
  if (!this->leave_acknowledged_at ||
      this->proxy->DisturbedWithin(kLinkAftermath)) {
    return;
  }
  const auto since = std::chrono::duration_cast<milliseconds>(
      Now() - *this->leave_acknowledged_at);
  if (since > kDrainTime) {
    this->ledger.RecordLateRequest(id, since);
  }
}

std::optional<HttpResponse> Backend::Answer(const HttpRequest& request) {
  HttpResponse response = MakeResponse(kOk, "text/plain", "well");
  if (request.Path() == "/health") {
    if (this->leaving) {
      return MakeResponse(kUnavailable, "text/plain", "");
    }
    response.headers.push_back({"X-Instance-Id", this->instance});
    return response;
  }
  const std::string id(request.Header("X-Attempt-Id"));
  const auto refuse = [&id](int status) {
    HttpResponse refusal = MakeResponse(status, "text/plain", "");
    refusal.headers.push_back({"X-Attempt-Id", id});
    return refusal;
  };
  if (request.Header("X-Expect-Instance") != this->instance) {
    return refuse(kMisdirected);
  }
  this->CheckRequestAfterLeave(id);
  if (this->flaky && this->DrawBool(kFlakyShare)) {
    HttpResponse refusal = refuse(kUnavailable);
    refusal.headers.push_back({"X-Not-Executed", "1"});
    return refusal;
  }
  const RunPtr run =
      this->ledger.RecordRun(request, *this->identity.node, *this->proxy);
  const std::string instance_at_start = this->instance;
  response.status = this->RunRequest(request);
  run->ended = Now();
  if (this->instance != instance_at_start ||
      (this->flaky && this->DrawBool(kFlakyShare))) {
    return std::nullopt;  // Closes the connection without an answer.
  }
  response.body = "ran " + id;
  response.headers.push_back({"X-Attempt-Id", id});
  response.headers.push_back({"X-Server-Stamp", "stamp-" + this->instance});
  return response;
}

// Simulates the work on a request, at most until its deadline. Returns the
// status of the answer.
int Backend::RunRequest(const HttpRequest& request) {
  const std::string id(request.Header("X-Attempt-Id"));
  const std::string remaining_ms(request.Header("X-Deadline-Ms"));
  const Instant deadline =
      Now() + milliseconds(std::strtol(remaining_ms.c_str(), nullptr, 10));
  const bool is_nested = id.find('.') != std::string::npos;
  const bool is_long = this->busy && this->DrawBool(kLongWorkShare);
  const milliseconds work_time(
      is_long ? this->DrawInt(kMinLongWorkMs, kMaxLongWorkMs)
              : this->DrawInt(kMinWorkMs, kMaxWorkMs));
  int nested_calls =
      this->busy && !is_nested && this->DrawBool(kNestedCallShare)
          ? this->DrawInt(1, kMaxNestedCalls)
          : 0;
  this->loop.SleepFor(std::min<Instant::duration>(work_time, deadline - Now()));
  bool succeeded = true;
  while (succeeded && nested_calls-- > 0 && Now() < deadline) {
    CallOptions call;
    call.id = this->ledger.NestedId(id);
    call.idempotent = this->DrawBool(0.5);
    call.long_route = true;
    call.deadline = std::chrono::duration_cast<milliseconds>(deadline - Now());
    succeeded = this->nested_caller.Call(call);
  }
  if (Now() >= deadline) {
    return kTimedOut;
  }
  return succeeded ? kOk : kServerError;
}

int Backend::DrawInt(int min_value, int max_value) {
  return std::uniform_int_distribution<int>(min_value, max_value)(this->random);
}

void Backend::SendHeartbeat() {
  if (!this->leaving) {
    this->last_ready_heartbeat = this->HeartbeatBody("ready");
    // A heartbeat is not retried when the node is down or stopped: the next one
    // carries the whole state again.
    this->SendToNode("PUT", std::string(this->last_ready_heartbeat));
  } else if (!this->leaving->abrupt || !this->leave_acknowledged_at) {
    this->AnnounceLeave();
  }
}

std::string Backend::HeartbeatBody(const char* state) {
  return nlohmann::json{{"service", this->identity.service},
                        {"address", this->proxy->address()},
                        {"zone", "a"},
                        {"version", "v1"},
                        {"slots", this->busy ? kBusySlots : kSlots},
                        {"state", state},
                        {"cold_remaining_ms", 0},
                        {"sequence", ++this->heartbeat_count},
                        {"born", this->born_ms}}
      .dump();
}

// Another writer sends a heartbeat, about one in two seconds. None of them may
// displace this backend server or keep its leave from being obeyed.
void Backend::SendOddHeartbeat() {
  constexpr double kOddShare = 0.15;
  constexpr int kOddKinds = 6;
  constexpr std::int64_t kLaterStartMs = 10'000;
  if (!std::bernoulli_distribution(kOddShare)(this->odd_random)) {
    return;
  }
  nlohmann::json odd = nlohmann::json::parse(this->HeartbeatBody("ready"));
  std::string named_instance = this->instance;
  switch (std::uniform_int_distribution<int>(1, kOddKinds)(this->odd_random)) {
    case 1:
      odd["sequence"] = std::int64_t{1} << 53;
      break;
    case 2:
      odd["slots"] = 0;
      break;
    case 3:
      odd["born"] = this->born_ms + kLaterStartMs;
      odd["address"] = "127.0.0.1:1";
      break;
    case 4:
      odd["service"] = "nobody";
      break;
    case 5:
      odd.erase("born");
      break;
    default:
      named_instance = "other";
  }
  this->SendToNode("PUT", named_instance, odd.dump());
}

bool Backend::SendToNode(const char* method, const std::string& body) {
  return this->SendToNode(method, this->instance, body);
}

bool Backend::SendToNode(const char* method,
                         const std::string& named_instance,
                         const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = "/instances/" + named_instance;
  request.body = body;
  HttpClient client(this->loop, ParseAddress(this->admin_address).value());
  const auto answer = client.Send(request, kHeartbeatTimeout);
  client.Close();
  return answer && answer->status == kOk;
}

void Backend::Close() {
  this->closed = true;
  this->nested_caller.Close();
  this->proxy->Close();
  this->server.Close();
}

}  // namespace tanagerledge::soak
