// Stand-in for the platform's log: streams in memory, served over HTTP as
// src/adapters/log_client.h says, with faults that can be set while it runs.
//
//   LogStore store(loop);
//   const auto port = store.Listen(0);  // 0: an ephemeral port.
//   store.SetFaults({.lose_answers = 1});
//   ...
//   store.Close();  // Before the loop stops.
//
// Over HTTP, `POST /faults` sets the members of LogFaults by name, those that
// are left out stay as they are (times in `slow_ms` and `max_age_ms`), and
// {"expire": {"stream": NAME, "before": OFFSET}} drops records at once.
// `GET /faults` shows them and `GET /streams` lists the streams.

#ifndef TANAGERLEDGE_FAKES_LOG_STORE_H_
#define TANAGERLEDGE_FAKES_LOG_STORE_H_

#include "src/adapters/http_server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tanagerledge/ports.h"

namespace tanagerledge {

// Faults --------------------------------------------------------------------

struct LogFaults {
  bool down = false;    // Answers 503 and does nothing.
  bool silent = false;  // Takes requests, does nothing and never answers.
  // Waits before doing what was asked: a client that gave up may find its
  // append in the stream later.
  std::chrono::milliseconds slow{0};
  int lose_answers = 0;  // So many next appends take effect unanswered.
  int max_appends_per_second = 0;        // Answers 429 beyond it; 0: no cap.
  std::chrono::milliseconds max_age{0};  // Older records expire; 0: never.
};

struct LogCounts {
  std::uint64_t appends = 0;  // That took effect.
  std::uint64_t reads = 0;    // That were answered with a page.
};

// Streams -------------------------------------------------------------------

// One append-only stream that may forget its oldest records.
class LogStream {
 public:
  LogOffset Append(std::string record, Instant now);
  void ExpireBefore(LogOffset offset);
  void ExpireOlder(Instant instant);

  LogOffset first_kept() const { return {this->first}; }
  LogOffset end() const { return {this->first + this->records.size()}; }

  // Records from `from` on, which is kept: a page as of log_page.h.
  std::string Page(LogOffset from, std::size_t max_records) const;

 private:
  struct Stored {
    std::string bytes;
    Instant appended_at;
  };

  std::deque<Stored> records;
  std::uint64_t first = 0;
};

// Server --------------------------------------------------------------------

class LogStore {
 public:
  explicit LogStore(IoLoop& loop);
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Listens on loopback, before or while the loop runs; the port it got.
  tl::expected<std::uint16_t, std::string> Listen(std::uint16_t port);

  // Ends listening and every connection. On the loop's thread.
  void Close();

  // From any thread.
  void SetFaults(const LogFaults& faults);
  LogFaults faults() const;
  LogCounts counts() const;
  void Expire(std::string_view stream, LogOffset before);

 private:
  struct Answer;

  std::optional<HttpResponse> Serve(const HttpRequest& request);
  Answer Handle(const HttpRequest& request);
  Answer HandleFaults(const HttpRequest& request);
  Answer HandleStreams();
  Answer HandleAppend(const std::string& stream, std::string record);
  Answer HandleRead(const std::string& stream, const HttpRequest& request);
  Answer PageOf(LogStream& stream, LogOffset from, std::size_t max_records);
  bool OverCap(Instant now);
  void Expire(LogStream& stream) const;
  void WaitWhileSilent();

  IoLoop& loop;
  HttpServer server;

  // Guards what follows, from any thread.
  mutable boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  std::map<std::string, LogStream, std::less<>> streams;
  LogFaults active_faults;
  bool closed = false;
  LogCounts totals;
  Instant second_start{};
  int appends_in_second = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_LOG_STORE_H_
