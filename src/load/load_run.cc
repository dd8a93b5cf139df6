#include "src/load/load_run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/net.h"
#include "src/load/key_check.h"
#include "src/node/call_headers.h"
#include "src/node/call_messages.h"
#include "tanagerledge/outcome.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMaxIdleConnections = 64;
constexpr milliseconds kFiberPollInterval{5};
constexpr std::int64_t kMaxReleaseNumber = std::int64_t{1} << 62;
constexpr int kFirstServerErrorStatus = 500;

}  // namespace

microseconds KindReport::Percentile(double percent) const {
  if (this->latencies.empty()) {
    return microseconds{0};
  }
  std::vector<microseconds> sorted = this->latencies;
  std::ranges::sort(sorted);
  const double rank = std::ceil(percent / 100 * sorted.size());
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

LoadRun::LoadRun(IoLoop& io_loop, LoadPlan load_plan)
    : loop(io_loop), plan(std::move(load_plan)), random(this->plan.seed) {
  HttpClientOptions options;
  options.max_idle_connections = kMaxIdleConnections;
  for (const std::string& entry : this->plan.entry_addresses) {
    this->entries.push_back(
        {std::make_unique<HttpClient>(this->loop, ParseAddress(entry).value(),
                                      options),
         0});
  }
  for (const CallKind& kind : this->plan.kinds) {
    this->total.kinds.emplace_back().name = kind.name;
  }
}

LoadRunReport LoadRun::Run() {
  this->end = Now() + this->plan.duration;
  for (std::size_t kind = 0; kind < this->plan.kinds.size(); ++kind) {
    ++this->active_fibers;
    this->loop.SpawnHere([this, kind] {
      this->GenerateCalls(kind);
      --this->active_fibers;
    });
  }
  while (this->active_fibers > 0 && this->loop.SleepFor(kFiberPollInterval)) {
  }
  for (const Entry& entry : this->entries) {
    entry.client->Close();
  }
  if (!this->plan.backends.empty()) {
    CheckKeys(this->loop, this->plan.backends, this->total);
  }
  return std::move(this->total);
}

// Sends the calls of one kind as a Poisson process: arrivals are random and do
// not wait for answers.
void LoadRun::GenerateCalls(std::size_t kind) {
  std::exponential_distribution<double> interarrival_s(
      this->plan.kinds[kind].calls_per_second);
  Instant next = Now();
  while (true) {
    next += std::chrono::duration_cast<Instant::duration>(
        std::chrono::duration<double>(interarrival_s(this->random)));
    if (next >= this->end) {
      return;
    }
    const Instant now = Now();
    if (next > now && !this->loop.SleepFor(next - now)) {
      return;
    }
    ++this->active_fibers;
    this->loop.SpawnHere([this, kind] {
      this->SendCall(kind);
      --this->active_fibers;
    });
  }
}

void LoadRun::SendCall(std::size_t kind_index) {
  const CallKind& kind = this->plan.kinds[kind_index];
  KindReport& report = this->total.kinds[kind_index];
  const std::string key = kind.keyed ? this->NewKey() : std::string();
  // Idempotency keys are scoped to a client account, so every resend must use
  // the same one.
  const std::string client_account =
      "customer-" + std::to_string(this->random() % this->plan.client_accounts);
  ++report.sent;
  if (kind.keyed) {
    report.sent_keys.push_back(key);
  }
  const int attempts = kind.keyed ? this->plan.max_resends + 1 : 1;
  for (int attempt = 1; attempt <= attempts; ++attempt) {
    const std::string outcome = this->SendAttempt(
        kind, report, key, client_account, attempt == attempts);
    if (outcome == ToText(Outcome::kNotRun) && kind.keyed) {
      auto& keys =
          attempt == 1 ? report.not_run_keys : report.later_not_run_keys;
      keys.push_back(key);
    }
    if (outcome != ToText(Outcome::kUnknown)) {
      return;
    }
    if (attempt < attempts) {
      ++report.resent;
    }
  }
}

// Sends a call once and returns the outcome as text. An unknown outcome is
// counted only on the last attempt.
std::string LoadRun::SendAttempt(const CallKind& kind,
                                 KindReport& report,
                                 const std::string& key,
                                 const std::string& client_account,
                                 bool is_last_attempt) {
  Entry& entry = this->entries[this->next_entry++ % this->entries.size()];
  HttpRequest request;
  request.method = kind.method;
  request.target = kind.path;
  request.headers.push_back(
      {std::string(kClientAccountHeader), client_account});
  if (!key.empty()) {
    request.headers.push_back({std::string(kKeyHeader), key});
    request.body = key;
  }
  const Instant start = Now();
  this->loop.SleepFor(this->plan.one_way_delay);
  const auto answer = entry.client->Send(request, this->plan.timeout);
  this->loop.SleepFor(this->plan.one_way_delay);
  const auto latency = std::chrono::duration_cast<microseconds>(Now() - start);
  std::string outcome(ToText(Outcome::kUnknown));
  std::string reason = "no-answer";
  if (answer) {
    outcome = answer->Header(kOutcomeHeader);
    reason = answer->Header(kReasonHeader);
    this->TrackRelease(entry, answer->Header(kReleaseHeader));
  } else if (!answer.error().may_have_arrived) {
    outcome = ToText(Outcome::kNotRun);
    reason = "entry-unreachable";
  }
  if (outcome == ToText(Outcome::kOk)) {
    const bool failed = answer->status >= kFirstServerErrorStatus;
    ++(failed ? report.failed : report.ok);
    report.latencies.push_back(latency);
    if (!key.empty()) {
      report.ok_keys.push_back(key);
    }
    return outcome;
  }
  if (outcome == ToText(Outcome::kNotRun)) {
    ++report.not_run;
    ++report.reasons[reason];
  } else if (is_last_attempt) {
    ++report.unknown;
    ++report.reasons[reason];
  }
  return outcome;
}

void LoadRun::TrackRelease(Entry& entry, std::string_view release) {
  const auto number =
      static_cast<std::uint64_t>(ParseNumberOr(release, 0, kMaxReleaseNumber));
  // Release 0 means that the node is not ready, so it is ignored.
  if (number != 0 && number < entry.newest_release) {
    ++this->total.releases_went_back;
  }
  entry.newest_release = std::max(entry.newest_release, number);
}

// Returns a UUID version 7 with the current time as its timestamp.
std::string LoadRun::NewKey() {
  const auto ms = std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  const std::uint64_t high = this->random();
  const std::uint64_t low = this->random();
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(),
                "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>(ms >> 16),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>(high & 0xfff),
                static_cast<unsigned long long>(0x8000 | (low >> 48 & 0x3fff)),
                static_cast<unsigned long long>(low & 0xffffffffffff));
  return text.data();
}

// Reports -------------------------------------------------------------------

namespace {

std::string FormatCheck(const std::string& what,
                        const LoadRunReport& report,
                        std::uint64_t KindReport::*count) {
  std::uint64_t sum = 0;
  for (const KindReport& kind : report.kinds) {
    sum += kind.*count;
  }
  return what + ": " + std::to_string(sum) + "\n";
}

}  // namespace

bool AllChecksPassed(const LoadRunReport& report) {
  const bool keys_passed =
      std::ranges::all_of(report.kinds, [&](const KindReport& kind) {
        const bool found =
            report.backends_unavailable > 0 || kind.keys_ok_but_not_found == 0;
        return kind.keys_run_twice == 0 && kind.keys_not_run_but_ran == 0 &&
               found;
      });
  return keys_passed && report.releases_went_back == 0;
}

std::string ToTable(const LoadRunReport& report, milliseconds duration) {
  std::string table;
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-14s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "calls", "sent",
                "ok", "failed", "not-run", "unknown", "resent", "ok/s",
                "p50 ms", "p99 ms");
  table += line.data();
  const double seconds = std::chrono::duration<double>(duration).count();
  for (const KindReport& kind : report.kinds) {
    std::snprintf(
        line.data(), line.size(),
        "%-14s %8llu %8llu %8llu %8llu %8llu %8llu %9.1f %9.2f %9.2f\n",
        kind.name.c_str(), static_cast<unsigned long long>(kind.sent),
        static_cast<unsigned long long>(kind.ok),
        static_cast<unsigned long long>(kind.failed),
        static_cast<unsigned long long>(kind.not_run),
        static_cast<unsigned long long>(kind.unknown),
        static_cast<unsigned long long>(kind.resent),
        static_cast<double>(kind.ok) / seconds,
        static_cast<double>(kind.Percentile(50).count()) / 1000,
        static_cast<double>(kind.Percentile(99).count()) / 1000);
    table += line.data();
    for (const auto& [reason, count] : kind.reasons) {
      std::snprintf(line.data(), line.size(), "  %-12s %8llu\n", reason.c_str(),
                    static_cast<unsigned long long>(count));
      table += line.data();
    }
  }
  table += "releases that went back at an entry: " +
           std::to_string(report.releases_went_back) + "\n";
  if (report.backends_queried > 0) {
    table += FormatCheck("keys run twice", report, &KindReport::keys_run_twice);
    table += FormatCheck("keys not-run but run", report,
                         &KindReport::keys_not_run_but_ran);
    if (report.backends_unavailable == 0) {
      table += FormatCheck("keys ok but not found", report,
                           &KindReport::keys_ok_but_not_found);
    }
  }
  return table;
}

nlohmann::json ToJson(const LoadRunReport& report) {
  nlohmann::json kinds = nlohmann::json::array();
  for (const KindReport& kind : report.kinds) {
    kinds.push_back({{"name", kind.name},
                     {"sent", kind.sent},
                     {"resent", kind.resent},
                     {"ok", kind.ok},
                     {"failed", kind.failed},
                     {"not_run", kind.not_run},
                     {"unknown", kind.unknown},
                     {"reasons", kind.reasons},
                     {"p50_us", kind.Percentile(50).count()},
                     {"p99_us", kind.Percentile(99).count()},
                     {"keys_run_twice", kind.keys_run_twice},
                     {"keys_not_run_but_ran", kind.keys_not_run_but_ran},
                     {"keys_ok_but_not_found", kind.keys_ok_but_not_found}});
  }
  return {{"kinds", std::move(kinds)},
          {"releases_went_back", report.releases_went_back}};
}

}  // namespace tanagerledge
