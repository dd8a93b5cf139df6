// The waiting calls of one rank, fair between customers by slot time.
//
// Start-time fair queueing: each customer carries the slot time it was served,
// and the one served least goes first. A customer that comes back starts level
// with the others, so that nobody saves up a share.

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

struct CustomerShare;
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
  CustomerShare* customer = nullptr;  // Null for suspects.
  Seconds customer_charge{0};         // Slot time booked at the start.
  Seconds floor_charge{0};
};

using CallList = std::list<Call>;

struct CustomerShare {
  CallList calls;     // Waiting, oldest first.
  int running = 0;    // Calls that hold a slot.
  Seconds served{0};  // Slot time booked so far.
};

class FairQueue {
 public:
  bool empty() const { return this->waiting.empty(); }
  int size() const { return this->queued; }
  std::size_t customers() const { return this->shares.size(); }

  // Moves the call in front of `from` to the end of its customer's line.
  void Push(const Customer& customer, CallList& from);

  // Whose turn it is; the queue must not be empty.
  CustomerShare& Next() const;

  // Moves the first call of `share` to the end of `to`.
  void Take(CustomerShare& share, CallList& to, Seconds expected);

  // Moves one waiting call to the end of `to`; it will not run.
  void Remove(CallList::iterator call, CallList& to);

  // A call that was taken has ended after `used` slot time.
  void Finish(const Call& call, Seconds used);

  // Calls that are served before a new one of the same customer would be,
  // itself included: a customer with a long line waits for its own calls, the
  // others only for one round.
  int TurnsUntil(const CustomerShare& share) const;

  // The same for a customer without any waiting call.
  int TurnsUntilNewcomer() const;

  // The waiting calls for which `hopeless` holds move to `to`.
  template <typename Predicate>
  void RemoveIf(Predicate hopeless, CallList& to);

 private:
  static constexpr std::size_t kMaxIdleShares = 1'024;

  void LeaveIfEmpty(CustomerShare& share);
  void ForgetIdle();

  std::unordered_map<Customer, CustomerShare> shares;
  std::vector<CustomerShare*> waiting;  // Those with waiting calls.
  int queued = 0;
  Seconds level{0};  // `served` of the customer that was last taken.
};

template <typename Predicate>
void FairQueue::RemoveIf(Predicate hopeless, CallList& to) {
  const std::vector<CustomerShare*> before = this->waiting;
  for (CustomerShare* share : before) {
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
