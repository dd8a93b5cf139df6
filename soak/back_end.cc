#include "soak/back_end.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/http_client.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBeat{300};
constexpr milliseconds kBeatTimeout{1000};
constexpr int kSlots = 8;
constexpr int kLeastWorkMs = 5;
constexpr int kMostWorkMs = 80;
// A moody back end refuses and loses this share each.
constexpr double kMoodShare = 0.2;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kTooMany = 429;
constexpr int kServerError = 500;

std::string BodyOf(std::string_view id) {
  return "ran " + std::string(id);
}

}  // namespace

// Ledger ----------------------------------------------------------------------

void Ledger::Asked(const std::string& id,
                   bool repeatable,
                   const std::string& caller) {
  this->attempts[id] = {repeatable, caller, 0, 0};
}

void Ledger::Ran(const HttpRequest& request) {
  const std::string id(request.Header("X-Attempt-Id"));
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    this->faults.push_back(id + " ran and nobody asked for it");
    return;
  }
  ++found->second.runs;
  if (request.Header("X-Caller-Service") != found->second.caller) {
    this->faults.push_back(id + " ran for a caller that it did not come from");
  }
}

void Ledger::Answered(const std::string& id, const HttpResponse& answer) {
  Attempt& attempt = this->attempts.at(id);
  attempt.status = answer.status;
  if (answer.status == kOk) {
    ++this->served_count;
    if (answer.body != BodyOf(id) || answer.Header("X-Server-Stamp").empty()) {
      this->faults.push_back(id + " was answered with `" + answer.body + "`");
    }
  } else if (answer.status < kServerError && answer.status != kTooMany) {
    this->faults.push_back(id + " was denied with " +
                           std::to_string(answer.status));
  }
}

std::vector<std::string> Ledger::Faults() const {
  std::vector<std::string> all = this->faults;
  std::ranges::for_each(this->attempts, [&all](const auto& entry) {
    const auto& [id, attempt] = entry;
    const bool refused =
        attempt.status == kUnavailable || attempt.status == kTooMany;
    if (!attempt.repeatable && attempt.runs > 1) {
      all.push_back(id + " ran " + std::to_string(attempt.runs) + " times");
    }
    if (!attempt.repeatable && refused && attempt.runs > 0) {
      all.push_back(id + " was refused as not run, and ran");
    }
    if (attempt.status == kOk && attempt.runs == 0) {
      all.push_back(id + " was answered and never ran");
    }
  });
  return all;
}

// Back end --------------------------------------------------------------------

BackEnd::BackEnd(IoLoop& io_loop,
                 Ledger& run_ledger,
                 std::string service_name,
                 std::string node_admin_address,
                 std::uint64_t seed)
    : loop(io_loop),
      ledger(run_ledger),
      service(std::move(service_name)),
      admin_address(std::move(node_admin_address)),
      random(seed),
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

void BackEnd::StartAnew() {
  this->instance = this->service + "-" + this->proxy->address() + "-" +
                   std::to_string(++this->starts);
  this->beats = 0;
}

bool BackEnd::Draw(double chance) {
  return std::bernoulli_distribution(chance)(this->random);
}

std::optional<HttpResponse> BackEnd::Answer(const HttpRequest& request) {
  HttpResponse response = MakeResponse(kOk, "text/plain", "well");
  if (request.Path() == "/health") {
    response.headers.push_back({"X-Instance-Id", this->instance});
    return response;
  }
  const std::string id(request.Header("X-Attempt-Id"));
  if (request.Header("X-Expect-Instance") != this->instance) {
    return MakeResponse(kMisdirected, "text/plain", "");
  }
  if (this->moody && this->Draw(kMoodShare)) {
    HttpResponse refusal = MakeResponse(kUnavailable, "text/plain", "");
    refusal.headers.push_back({"X-Not-Executed", "1"});
    return refusal;
  }
  this->ledger.Ran(request);
  std::uniform_int_distribution<int> work(kLeastWorkMs, kMostWorkMs);
  const std::string began_as = this->instance;
  this->loop.SleepFor(milliseconds(work(this->random)));
  if (this->instance != began_as || (this->moody && this->Draw(kMoodShare))) {
    return std::nullopt;  // The answer is lost with the connection.
  }
  response.body = BodyOf(id);
  response.headers.push_back({"X-Attempt-Id", id});
  response.headers.push_back({"X-Server-Stamp", "stamp-" + this->instance});
  return response;
}

void BackEnd::Beat() {
  HttpRequest beat;
  beat.method = "PUT";
  beat.target = "/instances/" + this->instance;
  beat.body =
      nlohmann::json{
          {"service", this->service},  {"address", this->proxy->address()},
          {"slots", kSlots},           {"state", "ready"},
          {"sequence", ++this->beats}, {"born", this->starts}}
          .dump();
  HttpClient client(this->loop, ParseAddress(this->admin_address).value());
  // A node that is down or stopped misses a beat; the next one tells it all.
  static_cast<void>(client.Send(beat, kBeatTimeout));
  client.Close();
}

void BackEnd::Close() {
  this->closed = true;
  this->proxy->Close();
  this->server.Close();
}

}  // namespace tanagerledge::soak
