// Learns how long each kind of work takes at one backend server, and whether
// the server is slower now than it usually is.
//
// Load pattern: the servers of a service differ in speed by a factor of up to
// 3, some become 4 to 12 times slower for a while, and all are slower for some
// seconds after a start. Work times have a long tail, several kinds of work
// share the slots, and a call holds its slot while it waits for its nested
// calls.
//
// Only the time at work counts, neither the wait for a slot nor the wait for
// nested calls. The usual time of a kind of work takes many calls to change.
// The slowdown covers about a second: it is the time at work, in units of the
// usual time, over the number of calls that ended in it. Calls in progress
// count with their time so far, so that a slow server is noticed before they
// end.
//
// The class has no I/O and reads no clock. It is not thread safe.

#ifndef TANAGERLEDGE_WORK_TIMES_H_
#define TANAGERLEDGE_WORK_TIMES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class WorkTimes {
 public:
  // A call of this kind of work starts.
  void OnStart(std::uint64_t id, const std::string& kind, Instant now);
  // The call began or ended a nested call. Several may be active at once.
  void OnNestedStart(std::uint64_t id, Instant now);
  void OnNestedEnd(std::uint64_t id, Instant now);
  // The call has ended. Returns its time at work. `kind` is kOk if the server
  // completed the work.
  std::chrono::microseconds OnEnd(std::uint64_t id,
                                  FinishKind kind,
                                  Instant now);
  // Another start of the backend server takes the calls, and is cold.
  void OnServerStart(Instant now);

  // Recent work time over the usual one; 1 if nothing else is known.
  double Slowdown(Instant now);
  // The usual time of a kind of work, or nothing if too few calls have ended.
  std::optional<KindTime> UsualTimeOf(const std::string& kind) const;
  // The usual time of the next kind of work in turn.
  std::optional<KindTime> NextUsualTime();
  // The number of calls that wait for their nested calls.
  int waiting() const { return this->waiting_calls; }

 private:
  struct Kind {
    std::string name;
    double usual_us = 0;
    int samples = 0;
    bool learned_cold = false;
  };
  struct Call {
    std::size_t kind = 0;  // Index in `kinds`, or its size if not learned.
    std::chrono::microseconds worked{0};
    double units = 0;  // Time at work in units of the usual time.
    int nested = 0;    // Active nested calls.
  };

  std::size_t IndexOf(const std::string& kind);
  // Counts the time at work of all calls until now.
  void Advance(Instant now);
  double RawSlowdown() const;
  bool IsInEpisode(double units, Instant now);
  void Learn(const Call& call, Instant now);

  std::vector<Kind> kinds;
  std::unordered_map<std::string, std::size_t> kind_indexes;
  std::size_t next_kind = 0;
  std::unordered_map<std::uint64_t, Call> calls;
  int waiting_calls = 0;
  Instant advanced_to{};
  // Decaying sums over the last second: the time at work, in units, and the
  // calls that ended.
  double recent_units = 0;
  double recent_ends = 0;
  std::optional<Instant> cold_until;
  std::optional<Instant> episode_since;
  double episode_units = 0;  // Mean over the last calls of the episode.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_WORK_TIMES_H_
