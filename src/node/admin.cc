#include "src/node/admin.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "src/adapters/clock.h"
#include "src/node/call_messages.h"
#include "src/node/node.h"

namespace tanagerledge {
namespace {

using nlohmann::json;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kText = "text/plain; version=0.0.4";
constexpr std::int64_t kMaxRelease = std::int64_t{1} << 62;

constexpr std::array<std::string_view, kChannelCount> kChannelNames = {
    "hello", "call", "membership", "release", "once", "suspects", "reach"};
constexpr std::array<std::string_view, 4> kMemberStates = {"alive", "suspect",
                                                           "dead", "left"};
constexpr std::array<std::string_view, 4> kEndpointStates = {
    "warming", "ready", "draining", "gone"};
constexpr std::array<std::string_view, 3> kLagReasons = {"behind", "silent",
                                                         "suspect"};

HttpResponse JsonPage(int status, const json& content) {
  return MakeResponse(status, kJson, content.dump(2) + "\n");
}

HttpResponse ErrorPage(int status, const std::string& text) {
  return JsonPage(status, {{"error", text}});
}

std::int64_t Milliseconds(WallTime at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

std::string Hex(const Digest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : digest) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

json ToJson(const Verdict& verdict) {
  json entry = {{"at_ms", Milliseconds(verdict.published_at)},
                {"offset", verdict.offset.value},
                {"operator", verdict.operator_name},
                {"title", verdict.title},
                {"publish_id", verdict.publish_id}};
  if (const auto* accepted = std::get_if<Accepted>(&verdict.result)) {
    entry["verdict"] = "accepted";
    entry["release"] = accepted->release.value;
  } else if (std::holds_alternative<Rejected>(verdict.result)) {
    entry["verdict"] = "rejected";
  } else if (std::holds_alternative<Conflict>(verdict.result)) {
    entry["verdict"] = "conflict";
  } else if (std::holds_alternative<Repeat>(verdict.result)) {
    entry["verdict"] = "repeat";
  } else {
    entry["verdict"] = "skipped";
  }
  return entry;
}

json ToJson(const Decision& decision) {
  return {{"at_ms", Milliseconds(decision.at)},
          {"part", std::string(PrefixOf(decision.part))},
          {"what", decision.what},
          {"reason", decision.reason}};
}

json ToJson(const std::vector<Decision>& decisions) {
  json list = json::array();
  for (const Decision& decision : decisions) {
    list.push_back(ToJson(decision));
  }
  return list;
}

// A sample of a metric whose value is kept outside the Prometheus registry.
prometheus::ClientMetric Sample(
    std::vector<prometheus::ClientMetric::Label> labels,
    double value,
    prometheus::MetricType type) {
  prometheus::ClientMetric metric;
  metric.label = std::move(labels);
  if (type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  return metric;
}

}  // namespace

// Pages ---------------------------------------------------------------------

struct Admin::Page {
  std::string_view method;
  std::string_view path;
  HttpResponse (Admin::*handler)(const HttpRequest&);
};

const Admin::Page Admin::kPages[] = {
    {"POST", "/announce", &Admin::Announce},
    {"POST", "/drain", &Admin::Drain},
    {"GET", "/status", &Admin::Status},
    {"GET", "/members", &Admin::Members},
    {"GET", "/reach", &Admin::Reach},
    {"GET", "/explain", &Admin::Explain},
    {"GET", "/history", &Admin::History},
    {"GET", "/metrics", &Admin::Metrics},
};

HttpResponse Admin::Handle(const HttpRequest& request) {
  const auto page = std::ranges::find_if(kPages, [&](const Page& candidate) {
    return candidate.method == request.method &&
           candidate.path == request.Path();
  });
  if (page == std::end(kPages)) {
    return ErrorPage(404, "no such page: " + request.method + " " +
                              std::string(request.Path()));
  }
  return (this->*page->handler)(request);
}

// The backend server ----------------------------------------------------------

HttpResponse Admin::Announce(const HttpRequest& request) {
  const auto announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    return ErrorPage(400, announcement.error());
  }
  this->node.OnAnnounced(*announcement);
  return JsonPage(200, {{"taken", true}});
}

HttpResponse Admin::Drain(const HttpRequest& /*request*/) {
  this->node.OnBackendDrain();
  return JsonPage(200, {{"draining", true},
                        {"running", this->node.executor.calls_in_progress()}});
}

// Operators -----------------------------------------------------------------

HttpResponse Admin::Status(const HttpRequest& /*request*/) {
  const ReleaseStatus status = this->node.releases->Status();
  const LoadReport load = this->node.executor.Report();
  const auto backend = this->node.backend.Current(Now());
  json page = {{"node", this->node.settings.address.value},
               {"fleet", this->node.settings.fleet},
               {"zone", this->node.settings.zone.value},
               {"ready", this->node.entry.ready.load()},
               {"not_ready_reason", this->node.releases->NotReadyReason()},
               {"reads_log", status.reads_log},
               {"release", status.release.value},
               {"digest", Hex(status.digest)},
               {"next_offset", status.next_offset.value},
               {"isolated", this->node.membership->isolated()},
               {"members", this->node.members.size()},
               {"calls_in_progress", this->node.executor.calls_in_progress()}};
  if (backend) {
    page["back_end"] = {
        {"service", backend->service.value},
        {"address", backend->backend.value},
        {"state", kEndpointStates[static_cast<std::size_t>(backend->state)]},
        {"slots", backend->slots},
        {"limit", load.limit},
        {"running", load.running},
        {"queued", load.queued}};
  }
  return JsonPage(200, page);
}

HttpResponse Admin::Members(const HttpRequest& /*request*/) {
  json list = json::array();
  for (const Member& member : this->node.members) {
    json entry = {
        {"node", member.node.value},
        {"zone", member.zone.value},
        {"state", kMemberStates[static_cast<std::size_t>(member.state)]},
        {"release", member.release.value}};
    if (member.endpoint) {
      entry["service"] = member.endpoint->service.value;
      entry["slots"] = member.endpoint->slots;
      entry["endpoint"] =
          kEndpointStates[static_cast<std::size_t>(member.endpoint->state)];
    }
    list.push_back(std::move(entry));
  }
  return JsonPage(200, {{"members", std::move(list)}});
}

HttpResponse Admin::Reach(const HttpRequest& request) {
  const std::int64_t release_number = ParseNumberOr(
      request.Query("release"),
      static_cast<std::int64_t>(this->node.releases->Status().release.value),
      kMaxRelease);
  const ReachReport report = this->node.membership->Reach(
      ReleaseNumber{static_cast<std::uint64_t>(release_number)});
  json zones = json::array();
  json laggards = json::array();
  for (const ZoneReach& zone : report.zones) {
    zones.push_back({{"zone", zone.zone.value},
                     {"members", zone.members},
                     {"in_force", zone.in_force},
                     {"answered", zone.answered}});
    for (const Laggard& laggard : zone.laggards) {
      laggards.push_back(
          {{"node", laggard.node.value},
           {"release", laggard.release.value},
           {"reason", kLagReasons[static_cast<std::size_t>(laggard.reason)]}});
    }
  }
  return JsonPage(200, {{"release", release_number},
                        {"zones", std::move(zones)},
                        {"laggards", std::move(laggards)}});
}

HttpResponse Admin::Explain(const HttpRequest& /*request*/) {
  return JsonPage(200, {{"node", this->node.settings.address.value},
                        {"decisions", ToJson(this->node.decisions.Entries())}});
}

HttpResponse Admin::History(const HttpRequest& /*request*/) {
  json verdicts = json::array();
  for (const Verdict& verdict : this->node.releases->History()) {
    verdicts.push_back(ToJson(verdict));
  }
  return JsonPage(200, {{"node", this->node.settings.address.value},
                        {"verdicts", std::move(verdicts)},
                        {"audit", ToJson(this->node.audit.Entries())}});
}

// Metrics -------------------------------------------------------------------

HttpResponse Admin::Metrics(const HttpRequest& /*request*/) {
  using prometheus::MetricType;
  std::vector<prometheus::MetricFamily> families =
      this->node.registry->Collect();
  const auto add = [&](const char* name, const char* help, MetricType type,
                       std::vector<prometheus::ClientMetric> samples) {
    families.push_back({name, help, type, std::move(samples)});
  };
  std::vector<prometheus::ClientMetric> bytes;
  for (std::size_t channel = 0; channel < kChannelCount; ++channel) {
    const auto sent = this->node.peer_counters.bytes_sent[channel].load();
    bytes.push_back(Sample({{"channel", std::string(kChannelNames[channel])}},
                           static_cast<double>(sent), MetricType::Counter));
  }
  add("tanagerledge_peer_sent_bytes_total", "Bytes sent to peers over TCP.",
      MetricType::Counter, std::move(bytes));
  constexpr std::array<std::string_view, kMembershipPurposeCount> kPurposes = {
      "probe", "gossip", "digest", "sync", "reach"};
  std::vector<prometheus::ClientMetric> datagrams;
  for (std::size_t purpose = 0; purpose < kMembershipPurposeCount; ++purpose) {
    const auto sent =
        this->node.membership->counters().by_purpose[purpose].sent_bytes;
    datagrams.push_back(Sample({{"purpose", std::string(kPurposes[purpose])}},
                               static_cast<double>(sent), MetricType::Counter));
  }
  add("tanagerledge_membership_sent_bytes_total",
      "Bytes sent for membership, by purpose.", MetricType::Counter,
      std::move(datagrams));
  const ReleaseStatus status = this->node.releases->Status();
  add("tanagerledge_release", "Number of the release in force.",
      MetricType::Gauge,
      {Sample({}, static_cast<double>(status.release.value),
              MetricType::Gauge)});
  add("tanagerledge_ready", "1 while the node serves calls.", MetricType::Gauge,
      {Sample({}, this->node.entry.ready.load() ? 1 : 0, MetricType::Gauge)});
  add("tanagerledge_log_reads_total", "Reads of the platform's log.",
      MetricType::Counter,
      {Sample({}, static_cast<double>(status.counters.log_reads),
              MetricType::Counter)});
  const LoadReport load = this->node.executor.Report();
  add("tanagerledge_back_end_running", "Calls that run at the back end.",
      MetricType::Gauge, {Sample({}, load.running, MetricType::Gauge)});
  add("tanagerledge_back_end_queued", "Calls that wait for a slot.",
      MetricType::Gauge, {Sample({}, load.queued, MetricType::Gauge)});
  add("tanagerledge_back_end_limit", "Calls that may run at once.",
      MetricType::Gauge, {Sample({}, load.limit, MetricType::Gauge)});
  return MakeResponse(200, kText,
                      prometheus::TextSerializer().Serialize(families));
}

}  // namespace tanagerledge
