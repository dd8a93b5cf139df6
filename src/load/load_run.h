// Open-loop load generator: sends the calls of a plan to the entries of the
// mesh and counts their outcomes.

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

// Outcome counts of one kind of call.
struct KindReport {
  std::string name;
  std::uint64_t sent = 0;  // Calls, without resends.
  std::uint64_t resent = 0;
  std::uint64_t ok = 0;
  // Answered by a backend server with a status of 500 or higher.
  std::uint64_t failed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;  // Includes calls without an answer.
  std::map<std::string, std::uint64_t> reasons;  // Of calls that are not ok.
  std::vector<std::chrono::microseconds> latencies;  // Of ok and failed calls.
  std::vector<std::string> sent_keys;
  std::vector<std::string> ok_keys;
  // Keys whose first attempt was reported as not-run.
  std::vector<std::string> not_run_keys;
  // Keys with an unknown outcome whose resend was reported as not-run. The
  // first attempt may have run.
  std::vector<std::string> later_not_run_keys;

  // Filled in by CheckKeys() if the plan names backend servers.
  std::uint64_t keys_run_twice = 0;
  std::uint64_t keys_not_run_but_ran = 0;
  std::uint64_t keys_ok_but_not_found = 0;

  std::chrono::microseconds Percentile(double percent) const;
};

struct LoadRunReport {
  std::vector<KindReport> kinds;
  // Number of answers with an older release than an earlier answer of the same
  // entry had.
  std::uint64_t releases_went_back = 0;
  int backends_queried = 0;
  int backends_unavailable = 0;  // Did not answer the query.
};

// True if no check failed: no key ran twice, no key ran that was reported as
// not-run, each key reported as ok ran (checked only if all backend servers
// answered), and no entry went back to an older release.
bool AllChecksPassed(const LoadRunReport& report);

class LoadRun {
 public:
  LoadRun(IoLoop& io_loop, LoadPlan load_plan);

  // Runs the plan in fibers of the loop. Returns once every call has its answer
  // or has timed out. Must be called in a fiber of the loop.
  LoadRunReport Run();

 private:
  struct Entry {
    std::unique_ptr<HttpClient> client;
    std::uint64_t newest_release = 0;
  };

  void GenerateCalls(std::size_t kind);
  void SendCall(std::size_t kind);
  std::string SendAttempt(const CallKind& kind,
                          KindReport& report,
                          const std::string& key,
                          const std::string& client_account,
                          bool is_last_attempt);
  void TrackRelease(Entry& entry, std::string_view release);
  std::string NewKey();

  IoLoop& loop;
  LoadPlan plan;
  std::vector<Entry> entries;
  std::size_t next_entry = 0;
  std::mt19937_64 random;
  LoadRunReport total;
  int active_fibers = 0;
  Instant end{};
};

// The report as a table for people, or as JSON for scripts.
std::string ToTable(const LoadRunReport& report,
                    std::chrono::milliseconds duration);
nlohmann::json ToJson(const LoadRunReport& report);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_LOAD_LOAD_RUN_H_
