#include "fakes/log_store.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "src/adapters/log_client.h"
#include "src/adapters/log_page.h"

namespace tanagerledge {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr std::string_view kStreamsPath = "/streams/";

// A value of the query, when it is a number.
std::optional<std::uint64_t> Parameter(const HttpRequest& request,
                                       std::string_view name) {
  const std::string_view value = request.Query(name);
  std::uint64_t number = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

json ToJson(const LogFaults& faults) {
  return {{"down", faults.down},
          {"silent", faults.silent},
          {"slow_ms", faults.slow.count()},
          {"lose_answers", faults.lose_answers},
          {"max_appends_per_second", faults.max_appends_per_second},
          {"max_age_ms", faults.max_age.count()}};
}

// Throws when a member has the wrong type.
LogFaults Merge(const LogFaults& old, const json& wanted) {
  LogFaults faults;
  faults.down = wanted.value("down", old.down);
  faults.silent = wanted.value("silent", old.silent);
  faults.slow = milliseconds(wanted.value("slow_ms", old.slow.count()));
  faults.lose_answers = wanted.value("lose_answers", old.lose_answers);
  faults.max_appends_per_second =
      wanted.value("max_appends_per_second", old.max_appends_per_second);
  faults.max_age =
      milliseconds(wanted.value("max_age_ms", old.max_age.count()));
  return faults;
}

}  // namespace

// Streams -------------------------------------------------------------------

LogOffset LogStream::Append(std::string record, Instant now) {
  this->records.push_back({std::move(record), now});
  return {this->end().value - 1};
}

void LogStream::ExpireBefore(LogOffset offset) {
  while (!this->records.empty() && this->first < offset.value) {
    this->records.pop_front();
    ++this->first;
  }
}

void LogStream::ExpireOlder(Instant instant) {
  while (!this->records.empty() &&
         this->records.front().appended_at < instant) {
    this->records.pop_front();
    ++this->first;
  }
}

std::string LogStream::Page(LogOffset from, std::size_t max_records) const {
  constexpr std::size_t kPageBytes = kMaxPageBytes / 2;
  std::string page;
  const std::uint64_t end = this->end().value;
  for (std::uint64_t next = from.value; next < end && max_records > 0;
       ++next, --max_records) {
    const std::string& record = this->records[next - this->first].bytes;
    if (!page.empty() && page.size() + record.size() > kPageBytes) {
      break;
    }
    AppendToPage(page, record);
  }
  return page;
}

// Server --------------------------------------------------------------------

struct LogStore::Answer {
  int status = kHttpOk;
  std::string body{};
  bool lost = false;  // Closes the connection in place of answering.
  std::optional<LogOffset> end{};
  std::optional<LogOffset> first_kept{};
};

LogStore::LogStore(IoLoop& io_loop)
    : loop(io_loop),
      server(
          io_loop,
          [this](const HttpRequest& request) { return this->Serve(request); },
          {.max_body_bytes = kMaxRecordBytes}) {}

tl::expected<std::uint16_t, std::string> LogStore::Listen(std::uint16_t port) {
  const auto bound =
      this->server.Accept({boost::asio::ip::address_v4::loopback(), port});
  if (!bound) {
    return tl::unexpected(bound.error().text);
  }
  return bound->port();
}

void LogStore::Close() {
  this->server.Close();
  const std::scoped_lock lock(this->mutex);
  this->closed = true;
  this->changed.notify_all();
}

std::optional<HttpResponse> LogStore::Serve(const HttpRequest& request) {
  Answer answer = this->Handle(request);
  if (answer.lost) {
    return std::nullopt;
  }
  HttpResponse response = MakeResponse(
      answer.status, "application/octet-stream", std::move(answer.body));
  if (answer.end) {
    response.headers.push_back(
        {std::string(kLogEndHeader), std::to_string(answer.end->value)});
  }
  if (answer.first_kept) {
    response.headers.push_back({std::string(kLogFirstKeptHeader),
                                std::to_string(answer.first_kept->value)});
  }
  return response;
}

// Requests ------------------------------------------------------------------

LogStore::Answer LogStore::Handle(const HttpRequest& request) {
  const std::string path(request.Path());
  if (path == "/faults") {
    return this->HandleFaults(request);
  }
  if (path == "/streams") {
    return this->HandleStreams();
  }
  if (!path.starts_with(kStreamsPath)) {
    return {kHttpNotFound, "no such path"};
  }
  const LogFaults now = this->faults();
  if (now.silent) {
    this->WaitWhileSilent();
    return {.lost = true};
  }
  if (now.slow.count() > 0) {
    this->loop.SleepFor(now.slow);
  }
  if (this->faults().down) {
    return {kHttpUnavailable, "down"};
  }
  const std::string stream = path.substr(kStreamsPath.size());
  if (request.method == "POST") {
    return this->HandleAppend(stream, request.body);
  }
  return this->HandleRead(stream, request);
}

LogStore::Answer LogStore::HandleFaults(const HttpRequest& request) {
  if (request.method == "GET") {
    return {kHttpOk, ToJson(this->faults()).dump()};
  }
  try {
    const json wanted = json::parse(request.body);
    this->SetFaults(Merge(this->faults(), wanted));
    if (wanted.contains("expire")) {
      const json& expire = wanted["expire"];
      this->Expire(expire.at("stream").get<std::string>(),
                   {expire.at("before").get<std::uint64_t>()});
    }
  } catch (const json::exception& error) {
    return {kHttpBadRequest, error.what()};
  }
  return {kHttpOk, ToJson(this->faults()).dump()};
}

LogStore::Answer LogStore::HandleStreams() {
  const std::scoped_lock lock(this->mutex);
  json list = json::object();
  for (const auto& [name, stream] : this->streams) {
    list[name] = {{"first_kept", stream.first_kept().value},
                  {"end", stream.end().value}};
  }
  return {kHttpOk, list.dump()};
}

LogStore::Answer LogStore::HandleAppend(const std::string& name,
                                        std::string record) {
  const Instant now = std::chrono::steady_clock::now();
  const std::scoped_lock lock(this->mutex);
  if (this->OverCap(now)) {
    return {kHttpTooManyRequests, "too many appends"};
  }
  const LogOffset offset = this->streams[name].Append(std::move(record), now);
  ++this->totals.appends;
  this->changed.notify_all();
  if (this->active_faults.lose_answers > 0) {
    --this->active_faults.lose_answers;
    return {.lost = true};
  }
  return {kHttpOk, json{{"offset", offset.value}}.dump()};
}

LogStore::Answer LogStore::HandleRead(const std::string& name,
                                      const HttpRequest& request) {
  constexpr std::uint64_t kMaxWaitMs = 60'000;
  const auto from = Parameter(request, "from");
  const auto max_records = Parameter(request, "max");
  if (!from || !max_records || *max_records == 0) {
    return {kHttpBadRequest, "from and max must be numbers"};
  }
  const auto wait = milliseconds(
      std::min(Parameter(request, "wait_ms").value_or(0), kMaxWaitMs));
  const Instant deadline = std::chrono::steady_clock::now() + wait;
  std::unique_lock lock(this->mutex);
  LogStream& stream = this->streams[name];
  this->changed.wait_until(lock, deadline, [&] {
    return this->closed || this->active_faults.down ||
           stream.end().value > *from;
  });
  return this->PageOf(stream, {*from}, *max_records);
}

LogStore::Answer LogStore::PageOf(LogStream& stream,
                                  LogOffset from,
                                  std::size_t max_records) {
  this->Expire(stream);
  Answer answer;
  answer.end = stream.end();
  answer.first_kept = stream.first_kept();
  if (this->active_faults.down) {
    answer.status = kHttpUnavailable;
  } else if (from < stream.first_kept()) {
    answer.status = kHttpGone;
  } else {
    answer.body = stream.Page(from, max_records);
    ++this->totals.reads;
  }
  return answer;
}

bool LogStore::OverCap(Instant now) {
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->appends_in_second = 0;
  }
  const int cap = this->active_faults.max_appends_per_second;
  if (cap > 0 && this->appends_in_second >= cap) {
    return true;
  }
  ++this->appends_in_second;
  return false;
}

void LogStore::Expire(LogStream& stream) const {
  const milliseconds max_age = this->active_faults.max_age;
  if (max_age.count() > 0) {
    stream.ExpireOlder(std::chrono::steady_clock::now() - max_age);
  }
}

// Faults --------------------------------------------------------------------

void LogStore::WaitWhileSilent() {
  std::unique_lock lock(this->mutex);
  this->changed.wait(
      lock, [this] { return this->closed || !this->active_faults.silent; });
}

void LogStore::SetFaults(const LogFaults& faults) {
  const std::scoped_lock lock(this->mutex);
  this->active_faults = faults;
  this->changed.notify_all();
}

LogFaults LogStore::faults() const {
  const std::scoped_lock lock(this->mutex);
  return this->active_faults;
}

LogCounts LogStore::counts() const {
  const std::scoped_lock lock(this->mutex);
  return this->totals;
}

void LogStore::Expire(std::string_view name, LogOffset before) {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->streams.find(name);
  if (found != this->streams.end()) {
    found->second.ExpireBefore(before);
  }
}

}  // namespace tanagerledge
