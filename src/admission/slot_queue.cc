#include "tanagerledge/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <memory>
#include <numeric>
#include <queue>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kFailureRateWeight = 1.0 / 32;
// Work times have a long tail: a call that has run longer than its estimate is
// expected to run for this share of the estimate from now on.
constexpr double kOverrunShare = 0.25;
// A call counts as in time if it meets its target even when it takes this many
// mean deviations (about two standard deviations) longer than the mean. In the
// replay at twice the capacity, this margin earns 0.638 of the worth, one mean
// deviation earns 0.620 and no margin earns 0.621.
constexpr double kMarginDeviations = 2.5;
// The margin is at most this share of the time that a call can wait. In the
// replay with work of 180 ms and a target of 300 ms, this value earns 0.62 of
// the worth, 0.6 earns 0.52 and 0.75 earns 0.17.
constexpr double kMaxMarginShare = 0.4;
// Time constant with which admitted work decays in the share of the slots that
// its class takes. In the replay, 4 of 600 rejections come late with 600 ms, 8
// with 400 ms and 47 with 200 ms.
constexpr milliseconds kInflowTimeConstant{600};
// Predictions assume that calls that go first leave at least this share of the
// slots to the others, because their work is not known to the last percent.
constexpr double kMinRemainingShare = 0.02;
// With client accounts, the calls that go before late ones count this much. The
// line of an account with excessive load grows and shrinks as others go first,
// so that the recent inflow understates what its late calls wait for. In the
// replay with one account at 6 times its rate, 25 of its rejections come late
// without the factor and 12 with it; 1.4 gives 12 as well.
constexpr double kLateInflowFactor = 1.2;
// Minimum retry delay of rejected calls, so that no caller retries at once.
constexpr microseconds kMinRetryDelay{10'000};
// The backend server announces new slots with its next heartbeat, which is sent
// within 1.5 s.
constexpr microseconds kNoSlotsRetryDelay{500'000};

// The share of an exponentially decaying quantity that remains after `age`.
double DecayFactor(Instant::duration age, microseconds time_constant) {
  const double ratio = std::chrono::duration<double>(age) /
                       std::chrono::duration<double>(time_constant);
  return std::exp(-std::max(0.0, ratio));
}

}  // namespace

// Expected ends of slots ------------------------------------------------------

class SlotQueue::SlotEnds {
 public:
  // There must be at least one slot.
  SlotEnds(std::vector<Instant> ends, std::size_t slot_count, Instant now) {
    ends.resize(std::max(ends.size(), slot_count), now);
    this->heap = Heap(std::greater<>(), std::move(ends));
    // More calls than slots can run after the backend server has reduced its
    // slots: the ends of the excess calls free no slot.
    while (this->heap.size() > slot_count) {
      this->heap.pop();
    }
  }

  Instant Earliest() const { return this->heap.top(); }

  // Assigns a call to the earliest slot and returns when the call will end.
  Instant Take(microseconds expected) {
    const Instant end = this->heap.top() + expected;
    this->heap.pop();
    this->heap.push(end);
    return end;
  }

 private:
  using Heap =
      std::priority_queue<Instant, std::vector<Instant>, std::greater<>>;
  Heap heap;
};

SlotQueue::SlotEnds SlotQueue::ExpectedSlotEnds(Instant now) const {
  std::vector<Instant> ends;
  ends.reserve(this->started.size());
  std::ranges::transform(
      this->started, std::back_inserter(ends), [&](const auto& entry) {
        const Running& call = entry.second;
        const microseconds expected = this->MeanTimeOf(call.work);
        return std::max(call.since + expected,
                        now + Scaled(expected, kOverrunShare));
      });
  return {std::move(ends), static_cast<std::size_t>(this->slots), now};
}

// Calls that arrive later but go first take a share of the slots, and only the
// remaining share serves the waiting calls. The time until `start` grows by
// this ratio.
Instant SlotQueue::DelayByInflow(Instant start,
                                 const Order& order,
                                 Instant now) const {
  if (start <= now) {
    return now;
  }
  const double remaining =
      std::max(kMinRemainingShare, 1.0 - this->ShareGoingFirst(order, now));
  return now + Scaled(std::chrono::duration_cast<microseconds>(start - now),
                      1.0 / remaining);
}

// Inflow ----------------------------------------------------------------------

void SlotQueue::RecordInflow(const Order& order,
                             microseconds expected,
                             Instant now) {
  Inflow& inflow = this->inflows[order.order_class];
  const double decay = DecayFactor(now - inflow.at, kInflowTimeConstant);
  const auto added = static_cast<double>(expected.count());
  inflow.slot_time = inflow.slot_time * decay + added;
  inflow.without_line =
      inflow.without_line * decay + (this->PassesLine(order) ? added : 0);
  inflow.at = now;
}

// The share of the slots that calls take which arrive later but go before this
// one.
double SlotQueue::ShareGoingFirst(const Order& order, Instant now) const {
  const auto own_class = this->inflows.lower_bound(order.order_class);
  double taken = std::accumulate(
      this->inflows.begin(), own_class, 0.0,
      [now](double sum, const auto& entry) {
        const Inflow& inflow = entry.second;
        return sum + inflow.slot_time *
                         DecayFactor(now - inflow.at, kInflowTimeConstant);
      });
  if (own_class != this->inflows.end() &&
      own_class->first == order.order_class && this->IsInLine(order)) {
    const Inflow& inflow = own_class->second;
    taken +=
        inflow.without_line * DecayFactor(now - inflow.at, kInflowTimeConstant);
  }
  if (order.order_class.late && !this->shares.empty()) {
    taken *= kLateInflowFactor;
  }
  const double offered =
      static_cast<double>(this->slots) *
      static_cast<double>(microseconds(kInflowTimeConstant).count());
  return offered > 0 ? taken / offered : 1.0;
}

// Shares of client accounts ---------------------------------------------------

double SlotQueue::StartTagOf(const SlotRequest& request,
                             const OrderClass& order_class) const {
  const auto found = this->shares.find(order_class);
  if (found == this->shares.end()) {
    return 0;
  }
  const Shares& accounts = found->second;
  const auto next = request.client_account.empty()
                        ? accounts.next_tags.end()
                        : accounts.next_tags.find(request.client_account);
  return next == accounts.next_tags.end()
             ? accounts.virtual_time
             : std::max(accounts.virtual_time, next->second);
}

bool SlotQueue::IsInLine(const Order& order) const {
  const auto found = this->shares.find(order.order_class);
  return found != this->shares.end() &&
         order.start_tag > found->second.virtual_time;
}

// Whether a call goes before most calls that wait in its class. The calls of
// accounts without a line do, also when they come in pairs.
bool SlotQueue::PassesLine(const Order& order) const {
  if (!this->IsInLine(order)) {
    return true;
  }
  Order end = order;
  end.start_tag = std::numeric_limits<double>::infinity();
  const auto behind = this->queue.upper_bound(end);
  if (behind == this->queue.begin() ||
      std::prev(behind)->first.order_class != order.order_class) {
    return true;  // There is no line.
  }
  const double virtual_time =
      this->shares.find(order.order_class)->second.virtual_time;
  const double longest = std::prev(behind)->first.start_tag;
  return order.start_tag - virtual_time < (longest - virtual_time) / 2;
}

void SlotQueue::Charge(const SlotRequest& request,
                       const Order& order,
                       microseconds expected) {
  if (request.client_account.empty()) {
    return;
  }
  Shares& accounts = this->shares[order.order_class];
  accounts.next_tags[request.client_account] =
      order.start_tag + static_cast<double>(expected.count()) / request.weight;
  if (accounts.next_tags.size() >= accounts.sweep_at) {
    std::erase_if(accounts.next_tags, [&accounts](const auto& entry) {
      return entry.second <= accounts.virtual_time;
    });
    accounts.sweep_at = 64 + 2 * accounts.next_tags.size();
  }
}

void SlotQueue::Refund(const SlotRequest& request,
                       const OrderClass& order_class) {
  if (!request.client_account.empty()) {
    this->Correct(request.client_account, request.weight, order_class,
                  -this->MeanTimeOf(request.work));
  }
}

void SlotQueue::Correct(const std::string& client_account,
                        double weight,
                        const OrderClass& order_class,
                        microseconds difference) {
  const auto found = this->shares.find(order_class);
  if (found == this->shares.end()) {
    return;
  }
  const auto next = found->second.next_tags.find(client_account);
  if (next != found->second.next_tags.end()) {
    next->second += static_cast<double>(difference.count()) / weight;
  }
}

// Estimates -------------------------------------------------------------------

const TimeEstimate& SlotQueue::EstimateOf(const std::string& work) const {
  const auto found = this->estimates.find(work);
  return found == this->estimates.end() ? this->overall_estimate
                                        : found->second;
}

microseconds SlotQueue::MeanTimeOf(const std::string& work) const {
  return std::chrono::duration_cast<microseconds>(
      this->EstimateOf(work).mean());
}

// Whether a call that starts at `start` is likely to meet its target. The
// margin never takes all the time that the call can wait: even if a call that
// starts at once sometimes misses its target, a shorter wait still makes it
// more likely to meet it.
bool SlotQueue::IsInTime(const SlotRequest& request,
                         Instant start,
                         Instant now) const {
  const TimeEstimate& estimate = this->EstimateOf(request.work);
  const Seconds slack = request.target - now - estimate.mean();
  const Seconds margin = std::min(kMarginDeviations * estimate.deviation(),
                                  kMaxMarginShare * slack);
  return start - now <= slack - margin;
}

void SlotQueue::AddSample(const std::string& work, microseconds duration) {
  this->estimates[work].Add(duration);
  this->overall_estimate.Add(duration);
}

// Events ----------------------------------------------------------------------

SlotActions SlotQueue::OnSlots(int count, Instant now) {
  this->slots = std::max(0, count);
  // Without slots, no waiting call can start before the next heartbeat.
  if (this->slots == 0) {
    return this->RejectAll(Reason::kOverloaded, kNoSlotsRetryDelay);
  }
  SlotActions out;
  this->FillSlots(now, out);
  return out;
}

SlotActions SlotQueue::Offer(const SlotRequest& request, Instant now) {
  if (this->slots == 0) {
    return {RejectCall{request.id, Reason::kOverloaded, kNoSlotsRetryDelay}};
  }
  Order order;
  order.order_class = {!request.nested, request.priority, false};
  order.start_tag = this->StartTagOf(request, order.order_class);
  order.first_attempt = !request.returning;
  order.arrival = ++this->arrivals;
  const microseconds expected = this->MeanTimeOf(request.work);
  // One pass over the calls ahead serves both predictions, because a late call
  // is queued behind the position that it would have if it were in time.
  SlotEnds ends = this->ExpectedSlotEnds(now);
  auto ahead = this->queue.begin();
  const auto next_free_slot = [&] {
    const auto position = this->queue.lower_bound(order);
    std::for_each(ahead, position, [&](const auto& entry) {
      ends.Take(this->MeanTimeOf(entry.second.work));
    });
    ahead = position;
    return ends.Earliest();
  };
  Instant slot_free_at = next_free_slot();
  Instant start = this->DelayByInflow(slot_free_at, order, now);
  if (!this->IsInTime(request, start, now)) {
    order.order_class.late = true;
    order.start_tag = this->StartTagOf(request, order.order_class);
    slot_free_at = next_free_slot();
    start = this->DelayByInflow(slot_free_at, order, now);
  }
  if (start + expected > request.deadline) {
    // The retry delay counts only the calls that wait here now. Calls that
    // arrive until then may go to other nodes.
    const auto wait =
        std::chrono::duration_cast<microseconds>(slot_free_at - now);
    return {RejectCall{request.id, Reason::kOverloaded,
                       std::max(kMinRetryDelay, wait)}};
  }
  this->RecordInflow(order, expected, now);
  this->Charge(request, order, expected);
  this->queue.emplace(order, request);
  this->waiting_order.emplace(request.id, order);
  SlotActions out;
  this->FillSlots(now, out);
  return out;
}

SlotActions SlotQueue::OnFinished(std::uint64_t id,
                                  FinishKind kind,
                                  Instant now) {
  SlotActions out;
  const auto found = this->started.find(id);
  if (found == this->started.end()) {
    return out;
  }
  const Running& call = found->second;
  const auto took = std::chrono::duration_cast<microseconds>(now - call.since);
  if (call.charged) {
    const Charged& charged = *call.charged;
    this->Correct(charged.client_account, charged.weight, charged.order_class,
                  took - charged.expected);
  }
  if (kind == FinishKind::kOk) {
    this->AddSample(call.work, took);
  }
  // A call that was cut off at its deadline shows a slow server, not a failing
  // one. The rate changes only with calls, so a server that was slow would be
  // avoided long after it has recovered.
  if (kind == FinishKind::kOk || now < call.deadline) {
    const double failed = kind == FinishKind::kOk ? 0.0 : 1.0;
    this->failure_rate += (failed - this->failure_rate) * kFailureRateWeight;
  }
  this->started.erase(found);
  this->FillSlots(now, out);
  return out;
}

SlotActions SlotQueue::OnCancel(std::uint64_t id) {
  const auto found = this->waiting_order.find(id);
  if (found == this->waiting_order.end()) {
    return {};
  }
  const auto waiting = this->queue.find(found->second);
  this->Refund(waiting->second, found->second.order_class);
  this->queue.erase(waiting);
  this->waiting_order.erase(found);
  return {RejectCall{id, Reason::kDeadline, microseconds{0}}};
}

SlotActions SlotQueue::Flush(Reason reason) {
  return this->RejectAll(reason, kMinRetryDelay);
}

SlotActions SlotQueue::RejectAll(Reason reason, microseconds room_in) {
  SlotActions out;
  std::ranges::transform(this->queue, std::back_inserter(out),
                         [&](const auto& entry) {
                           return RejectCall{entry.second.id, reason, room_in};
                         });
  this->queue.clear();
  this->waiting_order.clear();
  this->shares.clear();
  return out;
}

SlotActions SlotQueue::OnTick(Instant now) {
  SlotActions out;
  if (this->queue.empty()) {
    return out;
  }
  // One pass in the order in which the calls will start. A call that has become
  // late moves back in the queue, where a later tick checks it again.
  SlotEnds ends = this->ExpectedSlotEnds(now);
  std::vector<std::pair<Order, SlotRequest>> became_late;
  std::erase_if(this->queue, [&](const auto& entry) {
    const auto& [order, request] = entry;
    const microseconds expected = this->MeanTimeOf(request.work);
    const Instant end =
        this->DelayByInflow(ends.Earliest(), order, now) + expected;
    if (end > request.deadline) {
      this->Refund(request, order.order_class);
      this->waiting_order.erase(request.id);
      out.push_back(
          RejectCall{request.id, Reason::kOverloaded, kMinRetryDelay});
      return true;
    }
    if (!order.order_class.late && end > request.target) {
      this->Refund(request, order.order_class);
      became_late.emplace_back(order, request);
      return true;
    }
    ends.Take(expected);
    return false;
  });
  std::ranges::for_each(became_late, [this](auto& entry) {
    auto& [order, request] = entry;
    order.order_class.late = true;
    order.start_tag = this->StartTagOf(request, order.order_class);
    this->Charge(request, order, this->MeanTimeOf(request.work));
    this->waiting_order[entry.second.id] = entry.first;
    this->queue.emplace(entry.first, std::move(entry.second));
  });
  return out;
}

void SlotQueue::FillSlots(Instant now, SlotActions& out) {
  while (!this->queue.empty() &&
         this->started.size() < static_cast<std::size_t>(this->slots)) {
    const auto first = this->queue.begin();
    const Order& order = first->first;
    SlotRequest& request = first->second;
    this->waiting_order.erase(request.id);
    if (now >= request.deadline) {
      this->Refund(request, order.order_class);
      out.push_back(RejectCall{request.id, Reason::kDeadline, kMinRetryDelay});
    } else {
      const std::uint64_t id = request.id;
      Running call{std::move(request.work), now, request.deadline, {}};
      if (!request.client_account.empty()) {
        double& virtual_time = this->shares[order.order_class].virtual_time;
        virtual_time = std::max(virtual_time, order.start_tag);
        call.charged = std::make_unique<Charged>(
            Charged{std::move(request.client_account), request.weight,
                    order.order_class, this->MeanTimeOf(call.work)});
      }
      this->started.emplace(id, std::move(call));
      out.push_back(StartCall{id});
    }
    this->queue.erase(first);
  }
}

LoadReport SlotQueue::Report() const {
  LoadReport report;
  report.limit = this->slots;
  report.running = static_cast<int>(this->started.size());
  report.queued = static_cast<int>(this->queue.size());
  report.service_time =
      std::chrono::duration_cast<microseconds>(this->overall_estimate.mean());
  report.failing_permille = static_cast<int>(this->failure_rate * 1000);
  return report;
}

}  // namespace tanagerledge
