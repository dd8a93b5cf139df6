#include "src/node/call_messages.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <utility>

#include "src/adapters/codec.h"
#include "src/node/call_headers.h"

namespace tanagerledge {
namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kServerErrorStatus = 500;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastFinalStatus = 999;

int StatusOf(Outcome outcome, Reason reason) {
  if (outcome == Outcome::kUnknown) {
    return kBadGatewayStatus;
  }
  switch (reason) {
    case Reason::kNoRoute:
      return kNotFoundStatus;
    case Reason::kBadRequest:
      return kBadRequestStatus;
    case Reason::kDuplicate:
      return kConflictStatus;
    default:
      return kUnavailableStatus;
  }
}

template <typename Enum>
Enum ToEnumOr(std::int32_t value, Enum last, Enum fallback) {
  const bool is_known = value >= 0 && value <= static_cast<std::int32_t>(last);
  return is_known ? static_cast<Enum>(value) : fallback;
}

}  // namespace

wire::CallReply MakeReply(Outcome outcome, Reason reason, std::string detail) {
  wire::CallReply reply;
  reply.outcome = static_cast<std::int32_t>(outcome);
  reply.reason = static_cast<std::int32_t>(reason);
  reply.detail = std::move(detail);
  reply.status = StatusOf(outcome, reason);
  return reply;
}

std::optional<wire::CallReply> DecodeReply(std::string_view bytes) {
  auto reply = Decode<wire::CallReply>(bytes);
  const bool is_valid = reply && (OutcomeOf(*reply) != Outcome::kOk ||
                                  (reply->status >= kFirstFinalStatus &&
                                   reply->status <= kLastFinalStatus));
  return is_valid ? std::optional(std::move(*reply)) : std::nullopt;
}

Outcome OutcomeOf(const wire::CallReply& reply) {
  return ToEnumOr(reply.outcome, Outcome::kUnknown, Outcome::kUnknown);
}

Reason ReasonOf(const wire::CallReply& reply) {
  return ToEnumOr(reply.reason, Reason::kConfigUnproven, Reason::kNone);
}

FinishKind FinishKindOf(const wire::CallReply& reply) {
  switch (OutcomeOf(reply)) {
    case Outcome::kOk:
      return reply.status >= kServerErrorStatus ? FinishKind::kFailed
                                                : FinishKind::kOk;
    case Outcome::kNotRun:
      return FinishKind::kShed;
    case Outcome::kUnknown:
      return FinishKind::kLost;
  }
  return FinishKind::kLost;
}

HttpResponse ToHttp(const wire::CallReply& reply,
                    const RankName& rank,
                    ReleaseNumber release) {
  HttpResponse response;
  response.status = reply.status;
  for (const wire::Header& header : reply.headers) {
    response.headers.push_back({header.name, header.value});
  }
  const auto add = [&response](std::string_view name, std::string_view value) {
    response.headers.push_back({std::string(name), std::string(value)});
  };
  add(kOutcomeHeader, ToText(OutcomeOf(reply)));
  add(kReasonHeader, ToText(ReasonOf(reply)));
  add(kReleaseHeader, std::to_string(release.value));
  if (!rank.value.empty()) {
    add(kRankHeader, rank.value);
  }
  if (reply.judged) {
    add(kJudgedHeader, "yes");
  }
  response.body =
      OutcomeOf(reply) == Outcome::kOk ? reply.body : reply.detail + "\n";
  return response;
}

void CountWaitingTime(wire::CallRequest& request,
                      std::chrono::microseconds waited) {
  static constexpr std::int64_t kMaxTimeUs = 600'000'000;
  const auto left = [waited](std::int64_t time_us) {
    return std::max<std::int64_t>(
        0, std::clamp<std::int64_t>(time_us, 0, kMaxTimeUs) - waited.count());
  };
  request.remaining_us = left(request.remaining_us);
  request.target_us = left(request.target_us);
}

namespace {

constexpr double kPermille = 1000;

}  // namespace

wire::LoadReport ToWire(const LoadReport& load) {
  wire::LoadReport report;
  report.limit = load.limit;
  report.running = load.running;
  report.queued = load.queued;
  report.admission_level = load.admission_level;
  report.service_time_us = load.service_time.count();
  report.failing_permille = load.failing_permille;
  report.relative_time_permille =
      static_cast<std::int32_t>(load.slowdown * kPermille);
  return report;
}

LoadReport FromWire(const wire::LoadReport& report) {
  // The bounds keep sums and products of these values in range.
  constexpr std::int32_t kMaxCalls = 1'000'000;
  constexpr std::int64_t kMaxServiceTimeUs = 3'600'000'000;
  LoadReport load;
  load.limit = std::clamp(report.limit, 0, kMaxCalls);
  load.running = std::clamp(report.running, 0, kMaxCalls);
  load.queued = std::clamp(report.queued, 0, kMaxCalls);
  load.admission_level = report.admission_level;
  load.service_time = std::chrono::microseconds(
      std::clamp<std::int64_t>(report.service_time_us, 0, kMaxServiceTimeUs));
  load.failing_permille = std::clamp(report.failing_permille, 0, 1000);
  if (report.relative_time_permille > 0) {
    constexpr double kMaxSlowdown = 100;
    load.slowdown = std::clamp(report.relative_time_permille / kPermille,
                               1 / kMaxSlowdown, kMaxSlowdown);
  }
  return load;
}

wire::KindTime ToWire(const KindTime& known) {
  wire::KindTime message;
  message.kind = known.kind.value;
  message.time_us = known.time.count();
  message.samples = known.samples;
  return message;
}

KindTime FromWire(const wire::KindTime& message) {
  constexpr std::int64_t kMaxTimeUs = 3'600'000'000;
  constexpr std::int32_t kMaxSamples = 1'000;
  return {{message.kind},
          std::chrono::microseconds(
              std::clamp<std::int64_t>(message.time_us, 0, kMaxTimeUs)),
          std::clamp(message.samples, 0, kMaxSamples)};
}

bool IsEndToEnd(std::string_view header_name) {
  constexpr std::array<std::string_view, 7> kHopByHopHeaders = {
      "connection", "content-length", "transfer-encoding",
      "keep-alive", "host",           "upgrade",
      "te"};
  const bool is_internal =
      boost::algorithm::istarts_with(header_name, kHeaderPrefix);
  return !is_internal &&
         std::ranges::none_of(kHopByHopHeaders, [&](std::string_view name) {
           return boost::algorithm::iequals(header_name, name);
         });
}

std::int64_t ParseNumberOr(std::string_view text,
                           std::int64_t fallback,
                           std::int64_t max_value) {
  std::int64_t number = 0;
  const char* const last = text.data() + text.size();
  const auto [end, code] = std::from_chars(text.data(), last, number);
  const bool is_valid = !text.empty() && code == std::errc() && end == last &&
                        number >= 0 && number <= max_value;
  return is_valid ? number : fallback;
}

}  // namespace tanagerledge
