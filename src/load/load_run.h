// Sends a plan's calls to the entries, open loop, and counts what comes back.

#ifndef TANAGERLEDGE_SRC_LOAD_LOAD_RUN_H_
#define TANAGERLEDGE_SRC_LOAD_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/adapters/http_client.h"
#include "src/load/load_plan.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// What became of one kind of calls.
struct KindReport {
  std::string name;
  std::uint64_t sent = 0;  // Calls, not counting resends.
  std::uint64_t resent = 0;
  std::uint64_t ok = 0;
  std::uint64_t failed =
      0;  // Answered by a backend server with status 500 or more.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;  // Also when the entry gave no answer.
  std::map<std::string, std::uint64_t> reasons;  // Of those not ok.
  std::vector<std::chrono::microseconds> times;  // Of those ok.
  std::vector<std::string> sent_keys;
  std::vector<std::string> ok_keys;
  std::vector<std::string> not_run_keys;        // By the first and only answer.
  std::vector<std::string> later_not_run_keys;  // After an unknown outcome.

  // Filled when the plan names backend servers: see key_check.h.
  std::uint64_t keys_run_twice = 0;
  std::uint64_t keys_not_run_but_ran = 0;
  std::uint64_t keys_ok_but_not_found = 0;

  std::chrono::microseconds Percentile(double percent) const;
};

struct LoadReportTotal {
  std::vector<KindReport> kinds;
  // Answers of one entry with an older release than an earlier one had.
  std::uint64_t releases_went_back = 0;
  int backends_asked = 0;
  int backends_silent = 0;  // They died, or could not be asked.
};

// Whether every promise that a caller can check from outside has held.
bool AllHeld(const LoadReportTotal& report);

class LoadRun {
 public:
  LoadRun(IoLoop& io_loop, LoadPlan load_plan);

  // Runs the plan in fibers of the loop; returns when the last answer is in or
  // its time is up. In a fiber of the loop.
  LoadReportTotal Run();

 private:
  struct Front {
    std::unique_ptr<HttpClient> client;
    std::uint64_t newest_release = 0;
  };

  void SendKind(std::size_t kind);
  void SendCall(std::size_t kind);
  std::string SendOnce(const CallKind& kind,
                       KindReport& report,
                       const std::string& key,
                       const std::string& client_account,
                       bool last);
  void NoteRelease(Front& front, std::string_view release);
  std::string NewKey();

  IoLoop& loop;
  LoadPlan plan;
  std::vector<Front> fronts;
  std::size_t next_front = 0;
  std::mt19937_64 random;
  LoadReportTotal total;
  int open_fibers = 0;
  Instant end{};
};

// Readable table, or JSON for scripts.
std::string ToTable(const LoadReportTotal& report,
                    std::chrono::milliseconds duration);
nlohmann::json ToJson(const LoadReportTotal& report);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_LOAD_RUN_H_
