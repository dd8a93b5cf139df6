#include "src/load/key_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "src/adapters/http_client.h"
#include "src/adapters/net.h"
#include "src/load/load_run.h"

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kStatsTimeout{2000};
constexpr std::size_t kMaxStatsBytes = 16 * 1024 * 1024;

// How many times each key ran.
using RunsByKey = std::unordered_map<std::string, int>;

// Adds the runs of each key at one backend server. Returns false if it did not
// answer.
bool AddBackendRuns(IoLoop& loop, const std::string& backend, RunsByKey& runs) {
  const auto address = ParseAddress(backend);
  if (!address) {
    return false;
  }
  HttpClientOptions options;
  options.max_body_bytes = kMaxStatsBytes;
  HttpClient client(loop, *address, options);
  HttpRequest request;
  request.target = "/stats";
  const auto answer = client.Send(request, kStatsTimeout);
  client.Close();
  if (!answer) {
    return false;
  }
  const auto stats = nlohmann::json::parse(answer->body, nullptr, false);
  if (!stats.is_object()) {
    return false;
  }
  const auto counts = stats.value("runs_of_key", nlohmann::json::object());
  for (const auto& [key, count] : counts.items()) {
    runs[key] += count.get<int>();
  }
  return true;
}

// Counts the keys whose number of runs satisfies `matches`.
std::uint64_t CountKeys(const std::vector<std::string>& keys,
                        const RunsByKey& runs,
                        bool (*matches)(int)) {
  return static_cast<std::uint64_t>(
      std::ranges::count_if(keys, [&](const std::string& key) {
        const auto found = runs.find(key);
        return matches(found == runs.end() ? 0 : found->second);
      }));
}

}  // namespace

void CheckKeys(IoLoop& loop,
               const std::vector<std::string>& backends,
               LoadRunReport& report) {
  RunsByKey runs;
  for (const std::string& backend : backends) {
    ++report.backends_queried;
    if (!AddBackendRuns(loop, backend, runs)) {
      ++report.backends_unavailable;
    }
  }
  for (KindReport& kind : report.kinds) {
    kind.keys_run_twice =
        CountKeys(kind.sent_keys, runs, [](int count) { return count > 1; });
    kind.keys_not_run_but_ran =
        CountKeys(kind.not_run_keys, runs, [](int count) { return count > 0; });
    kind.keys_ok_but_not_found =
        CountKeys(kind.ok_keys, runs, [](int count) { return count == 0; });
  }
}

}  // namespace tanagerledge
