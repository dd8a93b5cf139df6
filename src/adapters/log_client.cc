#include "src/adapters/log_client.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "src/adapters/log_page.h"

namespace tanagerledge {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t> ParseHeader(const HttpResponse& response,
                                         std::string_view name) {
  return ParseNumber(response.Header(name));
}

bool IsStreamName(std::string_view name) {
  constexpr std::size_t kMaxNameBytes = 128;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::ranges::all_of(name, allowed);
}

LogError Refused(std::string text) {
  return {LogErrorKind::kRefused, std::move(text), {}};
}

// What a status other than 200 means for a request that got there.
LogErrorKind KindOfStatus(int status, LogErrorKind lost) {
  if (status == kHttpGone) {
    return LogErrorKind::kExpired;
  }
  if (status == kHttpTooManyRequests || status == kHttpUnavailable) {
    return LogErrorKind::kUnavailable;
  }
  return status >= kHttpServerError ? lost : LogErrorKind::kRefused;
}

LogError OfStatus(const HttpResponse& response, LogErrorKind lost) {
  constexpr std::size_t kMaxTextBytes = 200;
  LogError error;
  error.kind = KindOfStatus(response.status, lost);
  error.text = "the log answered " + std::to_string(response.status);
  if (!response.body.empty()) {
    error.text += ": " + response.body.substr(0, kMaxTextBytes);
  }
  const auto first_kept = ParseHeader(response, kLogFirstKeptHeader);
  error.first_kept = {first_kept.value_or(0)};
  return error;
}

std::optional<LogOffset> ParseOffset(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_unsigned()) {
    return std::nullopt;
  }
  return LogOffset{json["offset"].get<std::uint64_t>()};
}

}  // namespace

LogClient::LogClient(IoLoop& loop, boost::asio::ip::tcp::endpoint server)
    : client(loop, std::move(server), {.max_body_bytes = kMaxPageBytes}) {}

void LogClient::Close() {
  this->client.Close();
}

tl::expected<LogOffset, LogError> LogClient::Append(
    std::string_view stream,
    std::string_view record,
    std::chrono::milliseconds timeout) {
  if (!IsStreamName(stream)) {
    return tl::unexpected(Refused("not a stream name"));
  }
  if (record.size() > kMaxRecordBytes) {
    return tl::unexpected(Refused("the record is too large"));
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/streams/" + std::string(stream);
  request.body = record;
  const auto response = this->client.Send(request, timeout);
  if (!response) {
    const auto kind = response.error().may_have_arrived
                          ? LogErrorKind::kAmbiguous
                          : LogErrorKind::kUnavailable;
    return tl::unexpected(LogError{kind, response.error().text, {}});
  }
  if (response->status != kHttpOk) {
    return tl::unexpected(OfStatus(*response, LogErrorKind::kAmbiguous));
  }
  const auto offset = ParseOffset(response->body);
  if (!offset) {
    return tl::unexpected(LogError{
        LogErrorKind::kAmbiguous, "the log's answer cannot be read", {}});
  }
  return *offset;
}

tl::expected<LogPage, LogError> LogClient::Read(
    std::string_view stream,
    LogOffset from,
    std::size_t max_records,
    std::chrono::milliseconds wait,
    std::chrono::milliseconds timeout) {
  if (!IsStreamName(stream)) {
    return tl::unexpected(Refused("not a stream name"));
  }
  const auto hold = std::min(wait, timeout / 2);
  HttpRequest request;
  request.target = "/streams/" + std::string(stream) +
                   "?from=" + std::to_string(from.value) +
                   "&max=" + std::to_string(max_records) +
                   "&wait_ms=" + std::to_string(hold.count());
  const auto response = this->client.Send(request, timeout);
  if (!response) {
    return tl::unexpected(
        LogError{LogErrorKind::kUnavailable, response.error().text, {}});
  }
  if (response->status != kHttpOk) {
    return tl::unexpected(OfStatus(*response, LogErrorKind::kUnavailable));
  }
  auto records = ParsePage(response->body, from);
  const auto end = ParseHeader(*response, kLogEndHeader);
  if (!records || !end) {
    return tl::unexpected(
        LogError{LogErrorKind::kUnavailable,
                 records ? "the log's answer has no end" : records.error(),
                 {}});
  }
  return LogPage{std::move(*records), {*end}};
}

}  // namespace tanagerledge
