// The platform's append-only log over HTTP.
//
//   POST /streams/NAME                               body: the record
//     200 {"offset": N}
//   GET  /streams/NAME?from=N&max=M&wait_ms=W        body: see log_page.h
//     200 with Log-End: one past the last record of the stream
//     410 with Log-First-Kept: older records have expired
//
// 429 and 503 are the log's word that nothing was written.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_LOG_CLIENT_H_
#define TANAGERLEDGE_SRC_ADAPTERS_LOG_CLIENT_H_

#include "src/adapters/http_client.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

inline constexpr std::string_view kLogEndHeader = "Log-End";
inline constexpr std::string_view kLogFirstKeptHeader = "Log-First-Kept";

class LogClient : public LogPort {
 public:
  LogClient(IoLoop& loop, boost::asio::ip::tcp::endpoint server);

  tl::expected<LogOffset, LogError> Append(
      std::string_view stream,
      std::string_view record,
      std::chrono::milliseconds timeout) override;

  // Holds at most half of `timeout`, so that the answer still has time to come.
  tl::expected<LogPage, LogError> Read(
      std::string_view stream,
      LogOffset from,
      std::size_t max_records,
      std::chrono::milliseconds wait,
      std::chrono::milliseconds timeout) override;

  // Ends calls in flight; every later one is kUnavailable.
  void Close();

 private:
  HttpClient client;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_LOG_CLIENT_H_
