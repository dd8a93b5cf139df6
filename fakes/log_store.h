// Fake of the platform's log store. It keeps streams in memory and serves them
// over HTTP with the part of the platform's protocol that this project uses:
// plain, conditional and producer appends, long-polling raw reads, reads of the
// newest record of each key, and trimming. Faults can be injected while it
// runs.
//
//   LogStore store(loop);
//   const auto port = store.Listen(0);  // 0: an ephemeral port.
//   store.SetFaults({.lose_answers = 1});
//   ...
//   store.Close();  // Before the loop stops.
//
// Over HTTP:
//
//   POST /faults   Sets the members of LogFaults that are in the JSON body. The
//                  times are named `slow_ms` and `max_age_ms`. A member
//                  {"expire": {"stream": NAME, "before": OFFSET}} drops records
//                  at once.
//                  {"copy": true} and {"restore": true} call the methods of
//                  these names.
//   GET  /faults   Returns the current faults.
//   GET  /streams  Lists the streams.

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
  bool down = false;    // Answers requests with 503 without executing them.
  bool silent = false;  // Accepts requests, but neither executes nor answers.
  // Delay before a request is executed. An append takes effect even if its
  // client has timed out in the meantime.
  std::chrono::milliseconds slow{0};
  // This many of the next appends take effect but are not answered.
  int lose_answers = 0;
  int max_appends_per_second = 0;        // Answers 429 beyond it; 0: no limit.
  std::chrono::milliseconds max_age{0};  // Older records expire; 0: never.
};

struct LogCounts {
  std::uint64_t appends = 0;  // Appends that took effect.
  std::uint64_t reads = 0;    // Reads that were answered with a page.
};

// Streams -------------------------------------------------------------------

// An append-only stream whose oldest records can expire.
class LogStream {
 public:
  LogOffset Append(std::string record, Instant now);
  void ExpireBefore(LogOffset offset);
  void ExpireAppendedBefore(Instant instant);

  LogOffset first_kept() const { return {this->first}; }
  LogOffset end() const { return {this->first + this->records.size()}; }

  // Returns a page in the format of log_page.h with the records from `from` on,
  // which must not have expired. The page has about `max_bytes` at most, but
  // at least one record if there is one.
  std::string Page(LogOffset from, std::size_t max_bytes) const;

  // The newest record of each key, in a stream of keyed records. It never
  // expires.
  struct Newest {
    std::string value;
    LogOffset offset;
  };
  const std::map<std::string, Newest>& newest() const { return this->by_key; }
  void PutKeyed(std::string_view record, LogOffset offset);

  // State of a producer: its epoch, its last sequence number, and its recent
  // appends, by which repeated ones are recognized.
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

  // Starts to listen on loopback, before or while the loop runs. Returns the
  // port.
  tl::expected<std::uint16_t, std::string> Listen(std::uint16_t port);

  // Stops listening and closes all connections. Must be called on the loop's
  // thread.
  void Close();

  // These can be called from any thread.
  void SetFaults(const LogFaults& faults);
  LogFaults faults() const;
  LogCounts counts() const;
  void Expire(std::string_view stream, LogOffset before);
  // Keeps a copy of all streams as they are now.
  void Copy();
  // Comes back from the last copy: what was written since is gone, and the era
  // rises. Held reads end without an answer.
  void Restore();

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
  // Returns the rejection of a producer's append, or the first answer again for
  // a repeated append. Returns nothing when the append is to be executed.
  std::optional<Answer> CheckProducer(LogStream& stream,
                                      const HttpRequest& request);
  static Answer AppendAnswer(LogOffset offset, LogOffset end);
  Answer ReadPage(LogStream& stream, LogOffset from, std::size_t max_bytes);
  bool ExceedsAppendRate(Instant now);
  void Expire(LogStream& stream) const;
  void WaitWhileSilent();

  IoLoop& loop;
  HttpServer server;

  // Guards the members below, which are used from any thread.
  mutable boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  std::map<std::string, LogStream, std::less<>> streams;
  LogFaults active_faults;
  std::map<std::string, LogStream, std::less<>> copied_streams;
  std::uint64_t era = 0;
  bool closed = false;
  LogCounts totals;
  Instant second_start{};
  int appends_in_second = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_LOG_STORE_H_
