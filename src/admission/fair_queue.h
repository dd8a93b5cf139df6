// The waiting calls of one rank, fair between client accounts by slot time.
//
// Start-time fair queueing: each client account carries the slot time it was
// served, and the one served least goes first. A client account that comes back
// starts level with the others, so that nobody saves up a share.

#ifndef TANAGERLEDGE_SRC_ADMISSION_FAIR_QUEUE_H_
#define TANAGERLEDGE_SRC_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "tanagerledge/time_estimate.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct ClientAccountShare;
struct RankState;

// One call from Offer to its end.
struct Call {
  std::uint64_t id = 0;
  Instant arrived{};
  Instant deadline{};
  Instant started{};
  bool suspect = false;
  bool running = false;
  int beside = 0;  // Calls that ran when it started, itself included.
  RankState* rank = nullptr;
  ClientAccountShare* client_account = nullptr;  // Null for suspects.
  Seconds client_account_charge{0};  // Slot time booked at the start.
  Seconds floor_charge{0};
};

using CallList = std::list<Call>;

struct ClientAccountShare {
  CallList calls;     // Waiting, oldest first.
  int running = 0;    // Calls that hold a slot.
  Seconds served{0};  // Slot time booked so far.
};

class FairQueue {
 public:
  bool empty() const { return this->waiting.empty(); }
  int size() const { return this->queued; }
  std::size_t client_accounts() const { return this->shares.size(); }

  // Moves the call in front of `from` to the end of its client account's line.
  void Push(const ClientAccount& client_account, CallList& from);

  // Whose turn it is; the queue must not be empty.
  ClientAccountShare& Next() const;

  // Moves the first call of `share` to the end of `to`.
  void Take(ClientAccountShare& share, CallList& to, Seconds expected);

  // Moves one waiting call to the end of `to`; it will not run.
  void Remove(CallList::iterator call, CallList& to);

  // A call that was taken has ended after `used` slot time.
  void Finish(const Call& call, Seconds used);

  // Calls that are served before a new one of the same client account would be,
  // itself included: a client account with a long line waits for its own calls,
  // the others only for one round.
  int TurnsUntil(const ClientAccountShare& share) const;

  // The same for a client account without any waiting call.
  int TurnsUntilNewcomer() const;

  // The waiting calls for which `hopeless` holds move to `to`.
  template <typename Predicate>
  void RemoveIf(Predicate hopeless, CallList& to);

 private:
  static constexpr std::size_t kMaxIdleShares = 1'024;

  void LeaveIfEmpty(ClientAccountShare& share);
  void ForgetIdle();

  std::unordered_map<ClientAccount, ClientAccountShare> shares;
  std::vector<ClientAccountShare*> waiting;  // Those with waiting calls.
  int queued = 0;
  Seconds level{0};  // `served` of the client account that was last taken.
};

template <typename Predicate>
void FairQueue::RemoveIf(Predicate hopeless, CallList& to) {
  const std::vector<ClientAccountShare*> before = this->waiting;
  for (ClientAccountShare* share : before) {
    for (auto call = share->calls.begin(); call != share->calls.end();) {
      const auto current = call++;
      if (hopeless(*current)) {
        this->Remove(current, to);
      }
    }
  }
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_FAIR_QUEUE_H_
