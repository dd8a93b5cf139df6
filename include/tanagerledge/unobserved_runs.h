// Remembers the calls that may still be running at the local backend server
// although their connections are closed, so nobody sees how they end. A node
// closes a connection when the caller has left, at the deadline, or when the
// answer can't be read; the backend server may go on, and such a call may be
// the one that crashes it.
//
// A call is remembered until the backend server is known to live later than it
// may run. If the backend server dies before, the call was running there. A
// backend server that has sent its leave message exits on its own, so its end
// says nothing about its calls.
//
// The class does no I/O: it receives events with their time.

#ifndef TANAGERLEDGE_UNOBSERVED_RUNS_H_
#define TANAGERLEDGE_UNOBSERVED_RUNS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tanagerledge/suspects.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct UnobservedRunsConfig {
  // How long a call may run past its deadline.
  std::chrono::milliseconds overrun = kMaxRunPastDeadline;
  // Maximum age of the last sign of life while calls are remembered.
  std::chrono::milliseconds check_interval{250};
  // Number of calls that are remembered for one start. When it is reached, the
  // call that ends first is forgotten.
  std::size_t max_runs = 1024;
};

class UnobservedRuns {
 public:
  explicit UnobservedRuns(UnobservedRunsConfig config = {});

  // Events -------------------------------------------------------------------

  // The connection of a call ended without an answer.
  void Add(const BackendStart& start,
           Fingerprint fingerprint,
           Instant deadline,
           Instant now);
  // The backend server has answered a call or accepted a connection. Forgets
  // the calls that it can no longer be running.
  void OnAlive(const BackendStart& start, Instant now);
  // The backend server has sent its leave message.
  void OnLeave(const BackendStart& start);
  // The backend server is dead. Returns the calls that may have been running,
  // and forgets them.
  std::vector<Fingerprint> OnDied(const BackendStart& start);

  // Queries ------------------------------------------------------------------

  // A start with calls that is not the current one, if any.
  std::optional<BackendStart> FindOther(const BackendStart& current) const;
  // Whether calls are remembered and the last sign of life is too old, so that
  // the caller should check whether the backend server still lives.
  bool NeedsCheck(const BackendStart& start, Instant now) const;
  bool HasLeft(const BackendStart& start) const;
  std::size_t size() const;

 private:
  struct Runs {
    BackendStart start;
    Instant last_alive{};
    bool has_left = false;
    // The time by which each call has ended.
    std::unordered_map<Fingerprint, Instant> ends;
  };

  const Runs* Find(const BackendStart& start) const;
  Runs& FindOrAdd(const BackendStart& start);

  const UnobservedRunsConfig config;
  std::deque<Runs> starts;  // The newest first.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_UNOBSERVED_RUNS_H_
