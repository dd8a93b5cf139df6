#include "fakes/log_store.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <charconv>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "platform/names.h"
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
constexpr int kHttpConflict = 409;
constexpr int kHttpPreconditionFailed = 412;
constexpr std::size_t kItemsPerPage = 500;

// Returns a query parameter, or nothing when it isn't a number.
std::optional<std::uint64_t> NumberParameter(const HttpRequest& request,
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

std::string ToBase64(const std::string& bytes) {
  using boost::archive::iterators::base64_from_binary;
  using boost::archive::iterators::transform_width;
  using Encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  constexpr std::size_t kGroup = 3;
  std::string text(Encoder(bytes.cbegin()), Encoder(bytes.cend()));
  text.append((kGroup - bytes.size() % kGroup) % kGroup, '=');
  return text;
}

json ToJson(const LogFaults& faults) {
  return {{"down", faults.down},
          {"silent", faults.silent},
          {"slow_ms", faults.slow.count()},
          {"lose_answers", faults.lose_answers},
          {"max_appends_per_second", faults.max_appends_per_second},
          {"max_age_ms", faults.max_age.count()}};
}

// Returns `current` with the members of `requested` replaced. Throws
// json::exception when a member has the wrong type.
LogFaults MergeFaults(const LogFaults& current, const json& requested) {
  LogFaults faults;
  faults.down = requested.value("down", current.down);
  faults.silent = requested.value("silent", current.silent);
  faults.slow = milliseconds(requested.value("slow_ms", current.slow.count()));
  faults.lose_answers = requested.value("lose_answers", current.lose_answers);
  faults.max_appends_per_second =
      requested.value("max_appends_per_second", current.max_appends_per_second);
  faults.max_age =
      milliseconds(requested.value("max_age_ms", current.max_age.count()));
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

void LogStream::ExpireAppendedBefore(Instant instant) {
  while (!this->records.empty() &&
         this->records.front().appended_at < instant) {
    this->records.pop_front();
    ++this->first;
  }
}

void LogStream::PutKeyed(std::string_view record, LogOffset offset) {
  const std::size_t key_bytes =
      record.empty() ? 0 : static_cast<unsigned char>(record.front());
  if (key_bytes == 0 || record.size() < 1 + key_bytes) {
    return;
  }
  const std::string key(record.substr(1, key_bytes));
  const std::string value(record.substr(1 + key_bytes));
  if (value.empty()) {
    this->by_key.erase(key);
  } else {
    this->by_key[key] = {value, offset};
  }
}

std::string LogStream::Page(LogOffset from, std::size_t max_bytes) const {
  std::string page;
  const std::uint64_t end = this->end().value;
  for (std::uint64_t next = from.value; next < end; ++next) {
    const std::string& record = this->records[next - this->first].bytes;
    if (!page.empty() && page.size() + record.size() > max_bytes) {
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
  bool drop_connection = false;  // Closes the connection without answering.
  std::optional<std::uint64_t> era{};  // In which it was made, if known.
};

LogStore::LogStore(IoLoop& io_loop)
    : loop(io_loop),
      server(
          io_loop,
          [this](const HttpRequest& request) { return this->Serve(request); },
          {.max_body_bytes = kMaxPageBytes}) {}

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
  if (answer.drop_connection) {
    return std::nullopt;
  }
  HttpResponse response = MakeResponse(
      answer.status, "application/octet-stream", std::move(answer.body));
  const std::scoped_lock lock(this->mutex);
  response.headers.push_back({std::string(platform::kStoreEraField),
                              std::to_string(answer.era.value_or(this->era))});
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
  using Handler = Answer (LogStore::*)(const HttpRequest&);
  const std::map<std::string_view, Handler> handlers = {
      {platform::kAppendPath, &LogStore::HandleAppend},
      {platform::kReadPath, &LogStore::HandleRead},
      {platform::kNewestPath, &LogStore::HandleNewest},
      {platform::kTrimPath, &LogStore::HandleTrim},
  };
  const auto handler = handlers.find(path);
  if (handler == handlers.end()) {
    return {kHttpNotFound, "no such path"};
  }
  const LogFaults now = this->faults();
  if (now.silent) {
    this->WaitWhileSilent();
    return {.drop_connection = true};
  }
  if (now.slow.count() > 0) {
    this->loop.SleepFor(now.slow);
  }
  if (this->faults().down) {
    return {kHttpUnavailable, "down"};
  }
  if (request.Query("topic").empty() || request.Query("part") != "0") {
    return {kHttpBadRequest, "a topic and its part 0 must be named"};
  }
  return (this->*handler->second)(request);
}

LogStore::Answer LogStore::HandleFaults(const HttpRequest& request) {
  if (request.method == "GET") {
    return {kHttpOk, ToJson(this->faults()).dump()};
  }
  try {
    const json requested = json::parse(request.body);
    this->SetFaults(MergeFaults(this->faults(), requested));
    if (requested.contains("expire")) {
      const json& expire = requested["expire"];
      this->Expire(expire.at("stream").get<std::string>(),
                   {expire.at("before").get<std::uint64_t>()});
    }
    if (requested.value("copy", false)) {
      this->Copy();
    }
    if (requested.value("restore", false)) {
      this->Restore();
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

// Appends ---------------------------------------------------------------------

LogStore::Answer LogStore::AppendAnswer(LogOffset offset, LogOffset end) {
  return {kHttpOk,
          json{{"offset", offset.value}, {"end_offset", end.value}}.dump()};
}

std::optional<LogStore::Answer> LogStore::CheckProducer(
    LogStream& stream,
    const HttpRequest& request) {
  const std::string name(request.Query("producer"));
  const auto epoch = NumberParameter(request, "epoch");
  const auto sequence = NumberParameter(request, "sequence");
  if (name.empty()) {
    return std::nullopt;
  }
  if (!epoch || !sequence) {
    return Answer{kHttpBadRequest, "a producer needs an epoch and a sequence"};
  }
  LogStream::Producer& producer = stream.producers[name];
  if (*epoch < producer.epoch) {
    return Answer{kHttpConflict, json{{"why", "fenced"}}.dump()};
  }
  if (*epoch > producer.epoch) {
    producer = {*epoch, std::nullopt, {}};
  }
  const auto repeat = std::ranges::find(
      producer.recent, *sequence, &std::pair<std::uint64_t, LogOffset>::first);
  if (repeat != producer.recent.end()) {
    return AppendAnswer(repeat->second, stream.end());
  }
  if (producer.sequence && *sequence != *producer.sequence + 1) {
    return Answer{
        kHttpConflict,
        json{{"why", "seq"}, {"expected", *producer.sequence + 1}}.dump()};
  }
  return std::nullopt;
}

LogStore::Answer LogStore::HandleAppend(const HttpRequest& request) {
  constexpr std::size_t kMaxRecentAppends = 5;
  const auto records = ParsePage(request.body, {0});
  if (!records) {
    return {kHttpBadRequest, records.error()};
  }
  const std::string name(request.Query("topic"));
  const Instant now = std::chrono::steady_clock::now();
  const std::scoped_lock lock(this->mutex);
  if (this->ExceedsAppendRate(now)) {
    return {kHttpTooManyRequests, "too many appends"};
  }
  LogStream& stream = this->streams[name];
  if (auto producer_answer = this->CheckProducer(stream, request)) {
    return *producer_answer;
  }
  const LogOffset offset = stream.end();
  if (const auto at = NumberParameter(request, "at");
      at && *at != offset.value) {
    return {kHttpPreconditionFailed, json{{"end_offset", offset.value}}.dump()};
  }
  std::ranges::for_each(*records, [&](const LogRecord& record) {
    const LogOffset each = stream.Append(record.bytes, now);
    if (name.starts_with(platform::kKeyedPrefix)) {
      stream.PutKeyed(record.bytes, each);
    }
  });
  if (const auto sequence = NumberParameter(request, "sequence")) {
    LogStream::Producer& producer =
        stream.producers[std::string(request.Query("producer"))];
    producer.sequence = *sequence;
    producer.recent.emplace_back(*sequence, offset);
    if (producer.recent.size() > kMaxRecentAppends) {
      producer.recent.pop_front();
    }
  }
  ++this->totals.appends;
  this->changed.notify_all();
  if (this->active_faults.lose_answers > 0) {
    --this->active_faults.lose_answers;
    return {.drop_connection = true};
  }
  return AppendAnswer(offset, stream.end());
}

LogStore::Answer LogStore::HandleTrim(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("before") ||
      !body["before"].is_number_unsigned()) {
    return {kHttpBadRequest, "before must be an offset"};
  }
  this->Expire(request.Query("topic"), {body["before"].get<std::uint64_t>()});
  return {kHttpOk, "{}"};
}

// Reads -----------------------------------------------------------------------

LogStore::Answer LogStore::HandleNewest(const HttpRequest& request) {
  const std::string after(request.Query("after"));
  const std::scoped_lock lock(this->mutex);
  const LogStream& stream = this->streams[std::string(request.Query("topic"))];
  json items = json::array();
  auto next = after.empty() ? stream.newest().begin()
                            : stream.newest().upper_bound(after);
  for (; next != stream.newest().end() && items.size() < kItemsPerPage;
       ++next) {
    items.push_back({{"key", next->first},
                     {"value", ToBase64(next->second.value)},
                     {"offset", next->second.offset.value}});
  }
  ++this->totals.reads;
  return {kHttpOk,
          json{{"items", std::move(items)},
               {"has_more", next != stream.newest().end()},
               {"end_offset", stream.end().value}}
              .dump(),
          false, this->era};
}

LogStore::Answer LogStore::HandleRead(const HttpRequest& request) {
  constexpr std::uint64_t kMaxWaitMs = 30'000;
  constexpr std::uint64_t kMaxReadKb = 1024;
  const auto from = NumberParameter(request, "from");
  if (!from) {
    return {kHttpBadRequest, "from must be an offset"};
  }
  const auto max_bytes =
      std::min(NumberParameter(request, "max_read_kb").value_or(kMaxReadKb),
               kMaxReadKb) *
      1024;
  const auto wait = milliseconds(
      std::min(NumberParameter(request, "wait_ms").value_or(0), kMaxWaitMs));
  const Instant deadline = std::chrono::steady_clock::now() + wait;
  const std::string name(request.Query("topic"));
  std::unique_lock lock(this->mutex);
  const std::uint64_t begun_in = this->era;
  this->changed.wait_until(lock, deadline, [&] {
    return this->closed || this->active_faults.down || this->era != begun_in ||
           this->streams[name].end().value != *from;
  });
  if (this->era != begun_in) {
    return {.drop_connection = true};
  }
  return this->ReadPage(this->streams[name], {*from}, max_bytes);
}

LogStore::Answer LogStore::ReadPage(LogStream& stream,
                                    LogOffset from,
                                    std::size_t max_bytes) {
  this->Expire(stream);
  Answer answer;
  if (this->active_faults.down) {
    answer.status = kHttpUnavailable;
  } else if (from < stream.first_kept() || from > stream.end()) {
    answer.status = kHttpGone;
    answer.body = json{{"first_offset", stream.first_kept().value}}.dump();
  } else {
    for (const LogOffset each : {stream.end(), stream.first_kept()}) {
      const auto big = boost::endian::native_to_big(each.value);
      answer.body.append(reinterpret_cast<const char*>(&big), sizeof(big));
    }
    answer.body += stream.Page(from, max_bytes);
    answer.era = this->era;
    ++this->totals.reads;
  }
  return answer;
}

bool LogStore::ExceedsAppendRate(Instant now) {
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
    stream.ExpireAppendedBefore(std::chrono::steady_clock::now() - max_age);
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

void LogStore::Copy() {
  const std::scoped_lock lock(this->mutex);
  this->copied_streams = this->streams;
}

void LogStore::Restore() {
  const std::scoped_lock lock(this->mutex);
  this->streams = this->copied_streams;
  ++this->era;
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
