// Admission queue for the slots of one backend server. It decides which calls
// run, in which order, and which are rejected. The node of each backend server
// keeps one such queue; calls wait nowhere else.
//
// Load pattern: bursts of one kind of work at twice its usual rate, while
// nested calls and more urgent kinds of work share the same slots. The queue
// admits calls that it predicts to end before their deadline and orders calls
// that can still meet their target before calls that can't. It rejects all
// others on arrival, with the time after which a slot is expected to be free.
// The prediction counts the calls that wait ahead and also the calls that are
// expected to arrive and go first. Without the latter, a late call would wait
// until its deadline in vain while calls that go first take all slots.
//
// Within one class of the order, client accounts get fair shares of the slot
// time (start-time fair queueing): each call of an account is placed where its
// account has used up its share of the time so far. An account with few calls
// goes before the line of one with many; capacity that nobody else uses is the
// latter's. Calls without an account are placed by their arrival.
//
// The class has no I/O and reads no clock: each event returns the actions that
// the owner has to carry out.
//
//   for (const SlotAction& action : queue.Offer(call, now)) { ... }
//
// Each offered id gets exactly one StartCall or one RejectCall, from Offer or
// from a later event.

#ifndef TANAGERLEDGE_SLOT_QUEUE_H_
#define TANAGERLEDGE_SLOT_QUEUE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/outcome.h"
#include "tanagerledge/time_estimate.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Events and actions ---------------------------------------------------------

struct SlotRequest {
  std::uint64_t id = 0;    // Unique.
  std::string work;        // Kind of work for time estimates: the route's name.
  int priority = 0;        // 0 is the most urgent.
  bool nested = false;     // Made by a request that holds a slot elsewhere.
  bool returning = false;  // A retry of a call that was rejected before.
  std::string client_account;  // Empty if it belongs to none.
  double weight = 1;           // Of the account's share; greater than 0.
  Instant target{};            // The answer is worth most until then.
  Instant deadline{};          // The answer is worth nothing after it.
};

// Start the call. It holds a slot until OnFinished.
struct StartCall {
  std::uint64_t id = 0;
};

// Reject the call. It has not run and will not run.
struct RejectCall {
  std::uint64_t id = 0;
  Reason reason = Reason::kOverloaded;
  std::chrono::microseconds room_in{0};  // Delay before a retry.
};

using SlotAction = std::variant<StartCall, RejectCall>;
using SlotActions = std::vector<SlotAction>;

// Queue ----------------------------------------------------------------------

class SlotQueue {
 public:
  // Sets the number of slots that the backend server announced. With 0, waiting
  // and new calls are rejected at once; running calls go on.
  SlotActions OnSlots(int count, Instant now);

  // A call arrived. It starts, waits, or is rejected at once.
  SlotActions Offer(const SlotRequest& request, Instant now);

  // A started call has ended. Its duration counts for the time estimates only
  // when `kind` is kOk.
  SlotActions OnFinished(std::uint64_t id, FinishKind kind, Instant now);

  // The caller has left. A waiting call is rejected; a running call keeps its
  // slot until OnFinished.
  SlotActions OnCancel(std::uint64_t id);

  // Rejects all waiting calls, for a backend server that leaves.
  SlotActions Flush(Reason reason);

  // Rejects waiting calls that can no longer end by their deadlines. The owner
  // calls it about every 20 ms while calls wait.
  SlotActions OnTick(Instant now);

  LoadReport Report() const;
  std::size_t waiting() const { return this->queue.size(); }
  std::size_t running() const { return this->started.size(); }

 private:
  // Calls of a smaller class go first, even if they arrive later.
  struct OrderClass {
    bool not_nested = false;
    int priority = 0;
    bool late = false;  // Can no longer meet its target.

    auto operator<=>(const OrderClass&) const = default;
  };

  // Position of a call in the queue; smaller goes first.
  struct Order {
    OrderClass order_class;
    double start_tag = 0;  // Virtual time at which its account's turn comes.
    bool first_attempt = false;
    std::uint64_t arrival = 0;

    auto operator<=>(const Order&) const = default;
  };

  // What a running call's client account has been charged.
  struct Charged {
    std::string client_account;
    double weight = 1;
    OrderClass order_class;
    std::chrono::microseconds expected{0};
  };

  struct Running {
    std::string work;
    Instant since{};
    Instant deadline{};
    std::unique_ptr<Charged> charged;  // Null without an account.
  };

  // Recently admitted work of one class.
  struct Inflow {
    double slot_time = 0;  // In microseconds; decays exponentially.
    // The part of it whose account had no calls waiting, which goes before the
    // lines of other accounts.
    double without_line = 0;
    Instant at{};  // Time of the last update.
  };

  // The client accounts of one class. Virtual time is slot time in microseconds
  // for an account of weight 1.
  struct Shares {
    double virtual_time = 0;  // Start tag of the call that started last.
    // The start tag of the next call, for accounts that are ahead.
    std::unordered_map<std::string, double> next_tags;
    std::size_t sweep_at = 64;  // Size at which the others are removed.
  };

  // The times at which the slots are expected to become free.
  class SlotEnds;

  // The estimate for this kind of work, or for all work if it has none yet.
  const TimeEstimate& EstimateOf(const std::string& work) const;
  std::chrono::microseconds MeanTimeOf(const std::string& work) const;
  bool IsInTime(const SlotRequest& request, Instant start, Instant now) const;
  void AddSample(const std::string& work, std::chrono::microseconds duration);
  void RecordInflow(const Order& order,
                    std::chrono::microseconds expected,
                    Instant now);
  double ShareGoingFirst(const Order& order, Instant now) const;
  SlotEnds ExpectedSlotEnds(Instant now) const;
  Instant DelayByInflow(Instant start, const Order& order, Instant now) const;
  double StartTagOf(const SlotRequest& request,
                    const OrderClass& order_class) const;
  // Whether calls of other accounts that arrive later go first.
  bool IsInLine(const Order& order) const;
  bool PassesLine(const Order& order) const;
  void Charge(const SlotRequest& request,
              const Order& order,
              std::chrono::microseconds expected);
  // The call will not run.
  void Refund(const SlotRequest& request, const OrderClass& order_class);
  // Changes what the account has been charged.
  void Correct(const std::string& client_account,
               double weight,
               const OrderClass& order_class,
               std::chrono::microseconds difference);
  void FillSlots(Instant now, SlotActions& out);
  SlotActions RejectAll(Reason reason, std::chrono::microseconds room_in);

  int slots = 0;
  std::uint64_t arrivals = 0;
  std::map<Order, SlotRequest> queue;
  std::unordered_map<std::uint64_t, Order> waiting_order;
  std::unordered_map<std::uint64_t, Running> started;
  std::unordered_map<std::string, TimeEstimate> estimates;
  TimeEstimate overall_estimate;  // Over all kinds of work.
  std::map<OrderClass, Inflow> inflows;
  std::map<OrderClass, Shares> shares;  // Empty without client accounts.
  double failure_rate = 0;  // Share of recent calls that did not succeed.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SLOT_QUEUE_H_
