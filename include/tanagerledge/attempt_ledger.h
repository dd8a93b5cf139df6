// What became of each request attempt that reached a node's backend server,
// until the attempt's deadline has passed.
//
// Failure pattern: the connection between two nodes dies while a call is in
// flight. The asking node comes back on a new connection and asks. An attempt
// that the ledger never saw is marked as void, so that `not run` stays true
// even if the first message is still on its way.
//
// Pure. Waiting for an attempt that still runs is up to the host.

#ifndef TANAGERLEDGE_ATTEMPT_LEDGER_H_
#define TANAGERLEDGE_ATTEMPT_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "tanagerledge/types.h"

namespace tanagerledge {

enum class AttemptState {
  kNew,        // Not seen before: it may be started.
  kRunning,    // Waits for a slot or is at the backend server.
  kDone,       // Ended; its reply is kept.
  kCancelled,  // Declared not run before it came: never start it.
};

// The encoded reply of an attempt, shared and never changed.
using CachedReply = std::shared_ptr<const std::string>;

class AttemptLedger {
 public:
  // A message asks to run the attempt. kNew: it now counts as running; any
  // other state: do not start it.
  AttemptState OnRun(const std::string& attempt, Instant deadline);

  // The attempt ended with this reply.
  void OnDone(const std::string& attempt, CachedReply reply);

  // A node asks what became of the attempt. kNew: it was not seen and is void
  // from now on, so the answer `not run` is true.
  AttemptState OnStatusRequest(const std::string& attempt, Instant deadline);

  // The reply of an attempt that is done; null otherwise.
  CachedReply ReplyOf(const std::string& attempt) const;

  // Forgets what ended well before `now`. Often.
  void Expire(Instant now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    AttemptState state = AttemptState::kRunning;
    CachedReply reply;
  };

  void Add(const std::string& attempt, AttemptState state, Instant deadline);

  std::unordered_map<std::string, Entry> entries;
  std::multimap<Instant, std::string> by_expiry;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ATTEMPT_LEDGER_H_
