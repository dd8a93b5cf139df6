// The waiting calls of one rank, scheduled fairly between client accounts.
//
// This is start-time fair queueing. Each client account has a counter of the
// slot time that it was served, and the account with the smallest counter goes
// first. When an idle account returns, its counter is raised to the virtual
// time of the queue, so that no account can save up unused slot time.

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

// A call, from Offer until it ends or is refused.
struct Call {
  std::uint64_t id = 0;
  Instant arrived{};
  Instant deadline{};
  Instant started{};
  bool suspect = false;
  bool running = false;
  // Number of running calls when this call started, including itself.
  int running_at_start = 0;
  RankState* rank = nullptr;
  ClientAccountShare* client_account = nullptr;  // Null for suspects.
  // Slot time charged at the start to the client account and to the floor.
  Seconds client_account_charge{0};
  Seconds floor_charge{0};
};

using CallList = std::list<Call>;

struct ClientAccountShare {
  CallList calls;     // Waiting, oldest first.
  int running = 0;    // Calls that hold a slot.
  Seconds served{0};  // Slot time charged so far.
};

class FairQueue {
 public:
  bool empty() const { return this->waiting.empty(); }
  int size() const { return this->queued; }
  std::size_t client_accounts() const { return this->shares.size(); }

  // Moves the first call of `from` to the end of its client account's queue.
  void Push(const ClientAccount& client_account, CallList& from);

  // The client account to serve next. The queue must not be empty.
  ClientAccountShare& Next() const;

  // Moves the first call of `share` to the end of `to` and charges its client
  // account for the `expected` slot time.
  void Dequeue(ClientAccountShare& share, CallList& to, Seconds expected);

  // Moves a waiting call that will not run to the end of `to`.
  void Remove(CallList::iterator call, CallList& to);

  // A dequeued call has ended after it used this slot time.
  void Finish(const Call& call, Seconds used);

  // Number of calls to serve until the last waiting call of `share` is served,
  // including that call. A client account with many waiting calls waits for its
  // own calls; the others wait only for one round.
  int TurnsUntilLastCall(const ClientAccountShare& share) const;

  // The same for the first call of a client account without waiting calls.
  int TurnsUntilNewAccount() const;

  // Moves all waiting calls for which `predicate` holds to the end of `to`.
  template <typename Predicate>
  void RemoveIf(Predicate predicate, CallList& to);

 private:
  static constexpr std::size_t kMaxIdleShares = 1'024;

  void DeactivateIfEmpty(ClientAccountShare& share);
  void EvictIdle();

  std::unordered_map<ClientAccount, ClientAccountShare> shares;
  std::vector<ClientAccountShare*> waiting;  // Accounts with waiting calls.
  int queued = 0;
  Seconds virtual_time{0};  // `served` of the account that was served last.
};

template <typename Predicate>
void FairQueue::RemoveIf(Predicate predicate, CallList& to) {
  const std::vector<ClientAccountShare*> before = this->waiting;
  for (ClientAccountShare* share : before) {
    for (auto call = share->calls.begin(); call != share->calls.end();) {
      const auto current = call++;
      if (predicate(*current)) {
        this->Remove(current, to);
      }
    }
  }
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADMISSION_FAIR_QUEUE_H_
