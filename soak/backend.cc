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

constexpr milliseconds kBeat{300};
constexpr milliseconds kBeatTimeout{1000};
// From the acknowledgement of a leave to the last request, by the settings.
constexpr milliseconds kDrain{2000};
// What a harmed link held back may still come.
constexpr milliseconds kLinkForgiven{3000};
constexpr int kSlots = 8;
constexpr int kBusySlots = 2;
constexpr int kLeastWorkMs = 5;
constexpr int kMostWorkMs = 80;
// Of a busy backend server, these shares of the work.
constexpr double kLongShare = 0.25;
constexpr int kLeastLongWorkMs = 300;
constexpr int kMostLongWorkMs = 2500;
constexpr double kNestedShare = 0.5;
constexpr int kMostNested = 4;  // One after the other.
// A moody backend server refuses and loses this share each.
constexpr double kMoodShare = 0.2;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kServerError = 500;
constexpr int kTimedOut = 504;

}  // namespace

Backend::Backend(IoLoop& io_loop,
                 Ledger& run_ledger,
                 CallerPlace own_place,
                 std::string node_admin_address,
                 std::uint64_t seed)
    : loop(io_loop),
      ledger(run_ledger),
      place(std::move(own_place)),
      admin_address(std::move(node_admin_address)),
      random(seed),
      own_calls(io_loop, run_ledger, this->place, true),
      server(io_loop, HttpServer::Handler([this](const HttpRequest& request) {
               return this->Answer(request);
             })) {
  const auto bound = this->server.Accept(ParseAddress("127.0.0.1:0").value());
  this->proxy = std::make_unique<Proxy>(io_loop, FormatAddress(bound.value()));
  this->StartAnew();
  this->loop.Spawn([this] {
    while (!this->closed) {
      this->Beat();
      this->loop.SleepFor(kBeat);
    }
  });
}

void Backend::StartAnew() {
  ++this->starts;
  const bool keeps_name = this->leaving && this->leaving->keeps_name;
  if (!keeps_name) {
    this->instance = this->place.service + "-" + this->proxy->address() + "-" +
                     std::to_string(this->starts);
  }
  this->beats = 0;
  this->born_ms = static_cast<std::int64_t>(NewIncarnation().value);
  this->leaving.reset();
  this->acknowledged.reset();
}

void Backend::RunLeave(const Leave& leave) {
  if (this->leaving) {
    return;
  }
  const int start = this->starts;
  const std::string late = this->last_ready;
  const Instant began = Now();
  this->leaving = leave;
  this->TellLeave();
  this->loop.SleepFor(began + leave.late_beat_after - Now());
  if (this->starts == start && !late.empty()) {
    this->Tell("PUT", late);
  }
  this->loop.SleepFor(began + leave.stays - Now());
  if (this->starts == start) {
    this->Tell("DELETE", "");
    this->StartAnew();
  }
}

// Says that it goes and keeps the time of the first acknowledgement.
void Backend::TellLeave() {
  const int start = this->starts;
  const bool told = this->leaving->sudden
                        ? this->Tell("DELETE", "")
                        : this->Tell("PUT", this->BeatBody("draining"));
  if (told && this->starts == start && !this->acknowledged) {
    this->acknowledged = Now();
  }
}

bool Backend::Draw(double chance) {
  return std::bernoulli_distribution(chance)(this->random);
}

void Backend::CheckLeave(const std::string& id) {
  if (!this->acknowledged || this->proxy->Harmed(kLinkForgiven)) {
    return;
  }
  const auto since =
      std::chrono::duration_cast<milliseconds>(Now() - *this->acknowledged);
  if (since > kDrain) {
    this->ledger.CameAfterLeave(id, since);
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
  this->CheckLeave(id);
  if (this->moody && this->Draw(kMoodShare)) {
    HttpResponse refusal = refuse(kUnavailable);
    refusal.headers.push_back({"X-Not-Executed", "1"});
    return refusal;
  }
  const RunPtr run = this->ledger.Ran(request, *this->place.node, *this->proxy);
  const std::string began_as = this->instance;
  response.status = this->Work(request);
  run->ended = Now();
  if (this->instance != began_as || (this->moody && this->Draw(kMoodShare))) {
    return std::nullopt;  // The answer is lost with the connection.
  }
  response.body = "ran " + id;
  response.headers.push_back({"X-Attempt-Id", id});
  response.headers.push_back({"X-Server-Stamp", "stamp-" + this->instance});
  return response;
}

// Takes its time, at most what the request has left; the status of the answer.
int Backend::Work(const HttpRequest& request) {
  const std::string id(request.Header("X-Attempt-Id"));
  const std::string left(request.Header("X-Deadline-Ms"));
  const Instant until =
      Now() + milliseconds(std::strtol(left.c_str(), nullptr, 10));
  const bool nested = id.find('.') != std::string::npos;
  const bool is_long = this->busy && this->Draw(kLongShare);
  const milliseconds work(is_long
                              ? this->Between(kLeastLongWorkMs, kMostLongWorkMs)
                              : this->Between(kLeastWorkMs, kMostWorkMs));
  int calls = this->busy && !nested && this->Draw(kNestedShare)
                  ? this->Between(1, kMostNested)
                  : 0;
  this->loop.SleepFor(std::min<Instant::duration>(work, until - Now()));
  bool well = true;
  while (well && calls-- > 0 && Now() < until) {
    CallPlan plan;
    plan.id = this->ledger.NestedId(id);
    plan.repeatable = this->Draw(0.5);
    plan.long_route = true;
    plan.deadline = std::chrono::duration_cast<milliseconds>(until - Now());
    well = this->own_calls.Call(plan);
  }
  if (Now() >= until) {
    return kTimedOut;
  }
  return well ? kOk : kServerError;
}

int Backend::Between(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(this->random);
}

void Backend::Beat() {
  if (!this->leaving) {
    this->last_ready = this->BeatBody("ready");
    // A node that is down or stopped misses a beat; the next one tells it all.
    this->Tell("PUT", std::string(this->last_ready));
  } else if (!this->leaving->sudden || !this->acknowledged) {
    this->TellLeave();
  }
}

std::string Backend::BeatBody(const char* state) {
  return nlohmann::json{{"service", this->place.service},
                        {"address", this->proxy->address()},
                        {"slots", this->busy ? kBusySlots : kSlots},
                        {"state", state},
                        {"sequence", ++this->beats},
                        {"born", this->born_ms}}
      .dump();
}

bool Backend::Tell(const char* method, const std::string& body) {
  HttpRequest word;
  word.method = method;
  word.target = "/instances/" + this->instance;
  word.body = body;
  HttpClient client(this->loop, ParseAddress(this->admin_address).value());
  const auto answer = client.Send(word, kBeatTimeout);
  client.Close();
  return answer && answer->status == kOk;
}

void Backend::Close() {
  this->closed = true;
  this->own_calls.Close();
  this->proxy->Close();
  this->server.Close();
}

}  // namespace tanagerledge::soak
