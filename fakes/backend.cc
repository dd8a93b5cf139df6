#include "fakes/backend.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/net.h"
#include "src/node/call_headers.h"
#include "src/node/call_messages.h"
#include "tanagerledge/outcome.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kAnnounceTimeout{400};
constexpr milliseconds kDrainPollInterval{5};
constexpr double kWarmUpSlowdown = 3;
constexpr int kCrashExitCode = 134;
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kCrashPathMarker = "poison";

std::int64_t UnixMicroseconds() {
  return std::chrono::duration_cast<microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

FakeBackend::FakeBackend(IoLoop& io_loop, FakeBackendConfig backend_config)
    : loop(io_loop),
      config(std::move(backend_config)),
      server(
          io_loop,
          [this](const HttpRequest& request) { return this->Answer(request); }),
      random(this->config.seed),
      started_at(std::chrono::steady_clock::now()) {}

tl::expected<std::string, std::string> FakeBackend::Start() {
  const auto address = ParseAddress(this->config.address);
  if (!address) {
    return tl::unexpected(address.error().text);
  }
  const auto bound = this->server.Accept(*address);
  if (!bound) {
    return tl::unexpected(bound.error().text);
  }
  this->config.address = FormatAddress(*bound);
  if (!this->config.admin_address.empty()) {
    const auto admin_address = ParseAddress(this->config.admin_address);
    if (!admin_address) {
      return tl::unexpected(admin_address.error().text);
    }
    this->admin = std::make_unique<HttpClient>(this->loop, *admin_address);
    this->loop.Spawn([this] { this->AnnouncePeriodically(); });
  }
  return this->config.address;
}

void FakeBackend::Drain(milliseconds timeout) {
  const Instant deadline = std::chrono::steady_clock::now() + timeout;
  this->draining = true;
  this->state = "draining";
  if (this->admin) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/drain";
    static_cast<void>(this->admin->Send(request, kAnnounceTimeout));
  }
  while (this->running > 0 && std::chrono::steady_clock::now() < deadline) {
    this->loop.SleepFor(kDrainPollInterval);
  }
}

void FakeBackend::Close() {
  this->server.Close();
  if (this->admin) {
    this->admin->Close();
  }
}

// Announcing ----------------------------------------------------------------

void FakeBackend::AnnouncePeriodically() {
  do {
    this->AnnounceOnce();
  } while (this->loop.SleepFor(kAnnounceInterval));
}

void FakeBackend::AnnounceOnce() {
  const nlohmann::json body = {
      {"service", this->config.service.value},
      {"address", this->config.address},
      {"slots", this->config.slots},
      {"connections", this->config.connections},
      {"state", this->state},
      {"instance",
       std::to_string(this->started_at.time_since_epoch().count())}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/announce";
  request.body = body.dump();
  // The result is ignored: when the node isn't up, the next announcement
  // reaches it.
  static_cast<void>(this->admin->Send(request, kAnnounceTimeout));
}

// Answering -----------------------------------------------------------------

std::optional<HttpResponse> FakeBackend::Answer(const HttpRequest& request) {
  if (request.Path() == "/stats") {
    return this->Stats();
  }
  if (request.Path() == "/faults") {
    return this->SetFaults(request);
  }
  return this->Run(request);
}

std::optional<HttpResponse> FakeBackend::Run(const HttpRequest& request) {
  const std::int64_t run_by = ParseNumberOr(
      request.Header(kRunByHeader), std::numeric_limits<std::int64_t>::max(),
      std::numeric_limits<std::int64_t>::max());
  if (UnixMicroseconds() >= run_by) {
    ++this->expired;
    return this->RespondNotRun("expired");
  }
  if (this->shed || this->running >= this->config.slots) {
    return this->RespondNotRun("no slot");
  }
  if (this->fail_fast) {
    return MakeResponse(500, "text/plain", "failed\n");
  }
  ++this->running;
  this->max_running = std::max(this->max_running, this->running);
  this->CountRun(request);
  if (request.Path().find(kCrashPathMarker) != std::string_view::npos) {
    std::_Exit(kCrashExitCode);
  }
  this->loop.SleepFor(this->NextServiceTime());
  --this->running;
  if (this->drop) {
    return std::nullopt;
  }
  HttpResponse response = MakeResponse(
      200, "text/plain",
      this->config.service.value + " ran " + request.target + "\n");
  response.headers.push_back(
      {std::string(kWriteMarkHeader), std::to_string(this->write_mark)});
  return response;
}

void FakeBackend::CountRun(const HttpRequest& request) {
  ++this->runs;
  const std::string_view key = request.Header(kKeyHeader);
  if (!key.empty()) {
    ++this->runs_of_key[std::string(key)];
    ++this->write_mark;
    if (this->config.trace) {
      std::cout << "ran " << key << " " << UnixMicroseconds() << std::endl;
    }
  }
}

HttpResponse FakeBackend::RespondNotRun(const std::string& reason) {
  ++this->refused;
  HttpResponse response = MakeResponse(503, "text/plain", reason + "\n");
  response.headers.push_back(
      {std::string(kOutcomeHeader), std::string(ToText(Outcome::kNotRun))});
  return response;
}

microseconds FakeBackend::NextServiceTime() {
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const bool warming_up = std::chrono::steady_clock::now() <
                          this->started_at + this->config.warm_up;
  const double spread_factor =
      this->config.fixed_service_time ? 1 : spread(this->random);
  const double factor =
      spread_factor * this->slow_factor * (warming_up ? kWarmUpSlowdown : 1);
  return std::chrono::duration_cast<microseconds>(this->config.service_time *
                                                  factor);
}

// Control -------------------------------------------------------------------

HttpResponse FakeBackend::Stats() const {
  const nlohmann::json stats = {{"service", this->config.service.value},
                                {"runs", this->runs},
                                {"running", this->running},
                                {"most_running", this->max_running},
                                {"refused", this->refused},
                                {"expired", this->expired},
                                {"runs_of_key", this->runs_of_key}};
  return MakeResponse(200, kJson, stats.dump() + "\n");
}

HttpResponse FakeBackend::SetFaults(const HttpRequest& request) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeResponse(400, kJson, "{\"error\":\"no JSON object\"}\n");
  }
  const auto flag = [&body](const char* name, bool current) {
    const auto found = body.find(name);
    return found != body.end() && found->is_boolean() ? found->get<bool>()
                                                      : current;
  };
  this->fail_fast = flag("fail_fast", this->fail_fast);
  this->shed = flag("shed", this->shed);
  this->drop = flag("drop", this->drop);
  const auto factor = body.find("slow_factor");
  if (factor != body.end() && factor->is_number()) {
    this->slow_factor = std::clamp(factor->get<double>(), 0.01, 1000.0);
  }
  return MakeResponse(200, kJson, "{}\n");
}

}  // namespace tanagerledge
