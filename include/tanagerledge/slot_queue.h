// Which calls run in the slots of one backend server, in which order, and which
// are turned away. One queue stands in front of each backend server, at the
// node beside it; calls wait nowhere else.
//
// Load pattern: bursts of one kind of work at twice its usual rate, while calls
// made by running requests and more urgent kinds share the same slots. The
// queue admits what it predicts to end in time, puts work that can still meet
// its target before work that can't, and refuses the rest on arrival, with the
// time at which there will be room. The prediction counts what waits ahead and
// also what will still come in ahead: while calls that go first take all slots,
// a call that can only be late would wait until its deadline for nothing.
//
// Pure: each event returns the actions that follow from it.
//
//   for (const SlotAction& action : queue.Offer(call, now)) { ... }
//
// Each offered id gets exactly one StartCall or one RejectCall.

#ifndef TANAGERLEDGE_SLOT_QUEUE_H_
#define TANAGERLEDGE_SLOT_QUEUE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
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
  std::string work;        // Kind of work, for estimates: the route's name.
  int priority = 0;        // 0 is the most urgent.
  bool nested = false;     // Made by a request that holds a slot elsewhere.
  bool returning = false;  // Was turned away before and came back.
  Instant target{};        // Worth more when it ends by then.
  Instant deadline{};      // Worth nothing after it.
};

// The call holds a slot until OnFinished.
struct StartCall {
  std::uint64_t id = 0;
};

// The call has not run and will not.
struct RejectCall {
  std::uint64_t id = 0;
  Reason reason = Reason::kOverloaded;
  std::chrono::microseconds room_in{0};  // When to come back.
};

using SlotAction = std::variant<StartCall, RejectCall>;
using SlotActions = std::vector<SlotAction>;

// Queue ----------------------------------------------------------------------

class SlotQueue {
 public:
  // Slots that the backend server announced. Without any, nothing starts.
  SlotActions OnSlots(int count, Instant now);

  SlotActions Offer(const SlotRequest& request, Instant now);

  // A started call has ended, and whether the time that it took tells how long
  // such work takes.
  SlotActions OnFinished(std::uint64_t id, FinishKind kind, Instant now);

  // The caller has gone. Waiting: turned away. Running: stays until OnFinished.
  SlotActions OnCancel(std::uint64_t id);

  // Turns away all that waits: the backend server goes.
  SlotActions Flush(Reason reason);

  // Turns away what can't end by its deadline any more. Every 20 ms or so while
  // calls wait.
  SlotActions OnTick(Instant now);

  LoadReport Report() const;
  std::size_t waiting() const { return this->queue.size(); }
  std::size_t running() const { return this->started.size(); }

 private:
  // Calls of a smaller class all go first, also those that come later.
  struct OrderClass {
    bool not_nested = false;
    int priority = 0;
    bool late = false;  // Can't meet its target any more.

    auto operator<=>(const OrderClass&) const = default;
  };

  // Smaller goes first.
  struct Order {
    OrderClass order_class;
    bool newcomer = false;
    std::uint64_t arrival = 0;

    auto operator<=>(const Order&) const = default;
  };

  struct Running {
    std::string work;
    Instant since{};
  };

  // Work of one class that was taken in of late.
  struct Inflow {
    double slot_time = 0;  // Microseconds of a slot; fades.
    Instant at{};          // When it was last brought up to date.
  };

  // Expected ends of the slots, the earliest first.
  class SlotEnds;

  // What is known of such work, or else of any.
  const TimeEstimate& EstimateOf(const std::string& work) const;
  std::chrono::microseconds MeanOf(const std::string& work) const;
  bool IsInTime(const SlotRequest& request, Instant start, Instant now) const;
  void Learn(const std::string& work, std::chrono::microseconds took);
  void NoteInflow(const Order& order,
                  std::chrono::microseconds work,
                  Instant now);
  double ShareTakenAhead(const OrderClass& order_class, Instant now) const;
  SlotEnds EndsOfRunning(Instant now) const;
  Instant WithInflowAhead(Instant start,
                          const OrderClass& order_class,
                          Instant now) const;
  void Fill(Instant now, SlotActions& out);

  int slots = 0;
  std::uint64_t arrivals = 0;
  std::map<Order, SlotRequest> queue;
  std::unordered_map<std::uint64_t, Order> waiting_order;
  std::unordered_map<std::uint64_t, Running> started;
  std::unordered_map<std::string, TimeEstimate> estimates;
  TimeEstimate overall;  // Of any work.
  std::map<OrderClass, Inflow> inflows;
  double failing = 0;  // Share of recent calls that failed.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SLOT_QUEUE_H_
