// Records the state of each request attempt that was sent to the backend server
// of this node, until the deadline of the attempt has passed.
//
// The ledger handles this failure: the connection between two nodes breaks
// while a call is in flight. The calling node reconnects and asks for the state
// of its attempt. An attempt that the ledger does not know is marked as
// cancelled. The answer `not run` then stays true even if the original message
// still arrives later.
//
// The class does no I/O and does not block. The caller waits for attempts that
// are still running.

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
  kNew,      // Unknown until now; the attempt may be started.
  kRunning,  // Queued for a slot or executing on the backend server.
  kDone,     // Finished; the reply is stored.
  // Cancelled, or reported as not run, before its message was handled. It must
  // never be started.
  kCancelled,
};

// The encoded reply of an attempt. It is shared and immutable.
using CachedReply = std::shared_ptr<const std::string>;

class AttemptLedger {
 public:
  // Handles a request to run the attempt. kNew means that the attempt is now
  // recorded as running and the caller has to start it. After any other result
  // the caller must not start it.
  AttemptState OnRun(const std::string& attempt, Instant deadline);

  // Records the end of the attempt and its reply.
  void OnDone(const std::string& attempt, CachedReply reply);

  // Handles a query for the state of the attempt. kNew means that the attempt
  // was unknown. It is then recorded as cancelled, so the answer `not run` is
  // correct.
  AttemptState OnStatusRequest(const std::string& attempt, Instant deadline);

  // Handles a cancellation: an attempt that is still unknown must not be
  // started later.
  void OnCancel(const std::string& attempt, Instant deadline) {
    this->OnStatusRequest(attempt, deadline);
  }

  // Returns the reply of a finished attempt, or null.
  CachedReply ReplyOf(const std::string& attempt) const;

  // Removes finished and cancelled attempts some time after their deadline.
  // Call it regularly.
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
