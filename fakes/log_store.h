// Stand-in for the platform's store: logs in memory, served over HTTP by the
// platform's protocol as far as the project uses it (appends, also conditional
// and by producer, raw reads that wait, the newest of each key, trimming), with
// faults that can be set while it runs.
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

  // Records from `from` on, which is kept: a page as of log_page.h of about so
  // many bytes.
  std::string Page(LogOffset from, std::size_t max_bytes) const;

  // The newest record of each key, in a stream of keyed records. Kept for good.
  struct Newest {
    std::string value;
    LogOffset offset;
  };
  const std::map<std::string, Newest>& newest() const { return this->by_key; }
  void PutKeyed(std::string_view record, LogOffset offset);

  // What a producer sent: its epoch and, for repeats, the last appends.
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> sequence;
    std::deque<std::pair<std::uint64_t, LogOffset>> recent;
  };
  std::map<std::string, Producer> producers;

 private:
  struct Stored {
    std::string bytes;
    Instant appended_at;
  };

  std::deque<Stored> records;
  std::uint64_t first = 0;
  std::map<std::string, Newest> by_key;
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
  Answer HandleAppend(const HttpRequest& request);
  Answer HandleRead(const HttpRequest& request);
  Answer HandleNewest(const HttpRequest& request);
  Answer HandleTrim(const HttpRequest& request);
  // Why a producer's append is not taken, or its first answer again.
  std::optional<Answer> JudgeProducer(LogStream& stream,
                                      const HttpRequest& request);
  static Answer Appended(LogOffset offset, LogOffset end);
  Answer PageOf(LogStream& stream, LogOffset from, std::size_t max_bytes);
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
