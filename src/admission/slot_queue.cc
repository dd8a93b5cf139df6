#include "tanagerledge/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <queue>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kFailingWeight = 1.0 / 32;
// A call that has run longer than its estimate is expected to take this part of
// the estimate more: work times have a long tail.
constexpr double kOverrunShare = 0.25;
// A call counts as in time when it would be even if it takes this many mean
// deviations, some two standard ones, more than the mean. Replayed at twice the
// slots: 0.638 of the worth, against 0.620 with one and 0.621 with none.
constexpr double kSafeDeviations = 2.5;
// The margin takes at most this part of the time that a call can wait. Replayed
// with work of 180 ms for a target of 300: 0.62 of the worth, 0.52 with 0.6 and
// 0.17 with 0.75.
constexpr double kMostMargin = 0.4;
// How long work that was taken in counts for the share of the slots that its
// class takes. Replayed: with 600 ms 4 of 600 refusals come late, with 400 ms
// 8, with 200 ms 47.
constexpr milliseconds kInflowFade{600};
// Calls that go first leave others at least this share of the slots, as far as
// predictions go: their work is never known to the last percent.
constexpr double kLeastShareLeft = 0.02;
// No estimate is below this, so that a promised return is never immediate.
constexpr microseconds kLeastWait{10'000};

// What is left of a quantity that fades over time.
double Faded(Instant::duration age, microseconds fade) {
  const double ratio =
      std::chrono::duration<double>(age) / std::chrono::duration<double>(fade);
  return std::exp(-std::max(0.0, ratio));
}

}  // namespace

// Expected ends of slots ------------------------------------------------------

class SlotQueue::SlotEnds {
 public:
  SlotEnds(std::vector<Instant> ends, std::size_t slot_count, Instant now) {
    ends.resize(std::max(ends.size(), slot_count), now);
    this->heap = Heap(std::greater<>(), std::move(ends));
    // More calls than slots run after the backend server announced fewer slots:
    // the extra ends free nothing.
    while (this->heap.size() > std::max<std::size_t>(1, slot_count)) {
      this->heap.pop();
    }
  }

  Instant Earliest() const { return this->heap.top(); }

  // Takes the earliest slot for a call; when the call will end.
  Instant Take(microseconds work) {
    const Instant end = this->heap.top() + work;
    this->heap.pop();
    this->heap.push(end);
    return end;
  }

 private:
  using Heap =
      std::priority_queue<Instant, std::vector<Instant>, std::greater<>>;
  Heap heap;
};

SlotQueue::SlotEnds SlotQueue::EndsOfRunning(Instant now) const {
  std::vector<Instant> ends;
  ends.reserve(this->started.size());
  std::ranges::transform(
      this->started, std::back_inserter(ends), [&](const auto& entry) {
        const Running& call = entry.second;
        const microseconds work = this->MeanOf(call.work);
        return std::max(call.since + work, now + Scaled(work, kOverrunShare));
      });
  return {std::move(ends), static_cast<std::size_t>(this->slots), now};
}

// While calls that go first come in for a share of the slots, only the rest of
// them works off what waits.
Instant SlotQueue::WithInflowAhead(Instant start,
                                   const OrderClass& order_class,
                                   Instant now) const {
  if (start <= now) {
    return now;
  }
  const double left =
      std::max(kLeastShareLeft, 1.0 - this->ShareTakenAhead(order_class, now));
  return now + Scaled(std::chrono::duration_cast<microseconds>(start - now),
                      1.0 / left);
}

// Inflow ----------------------------------------------------------------------

void SlotQueue::NoteInflow(const Order& order, microseconds work, Instant now) {
  Inflow& inflow = this->inflows[order.order_class];
  inflow.slot_time = inflow.slot_time * Faded(now - inflow.at, kInflowFade) +
                     static_cast<double>(work.count());
  inflow.at = now;
}

double SlotQueue::ShareTakenAhead(const OrderClass& order_class,
                                  Instant now) const {
  const double taken = std::accumulate(
      this->inflows.begin(), this->inflows.lower_bound(order_class), 0.0,
      [now](double sum, const auto& entry) {
        const Inflow& inflow = entry.second;
        return sum + inflow.slot_time * Faded(now - inflow.at, kInflowFade);
      });
  const double offered = static_cast<double>(this->slots) *
                         static_cast<double>(microseconds(kInflowFade).count());
  return offered > 0 ? taken / offered : 1.0;
}

// Estimates -------------------------------------------------------------------

const TimeEstimate& SlotQueue::EstimateOf(const std::string& work) const {
  const auto found = this->estimates.find(work);
  return found == this->estimates.end() ? this->overall : found->second;
}

microseconds SlotQueue::MeanOf(const std::string& work) const {
  return std::chrono::duration_cast<microseconds>(
      this->EstimateOf(work).mean());
}

// Whether a call that starts then is likely to meet its target. The margin
// never takes all the time that the call can wait: where even a call that
// starts at once misses its target now and then, waiting still makes the
// difference.
bool SlotQueue::IsInTime(const SlotRequest& request,
                         Instant start,
                         Instant now) const {
  const TimeEstimate& estimate = this->EstimateOf(request.work);
  const Seconds room = request.target - now - estimate.mean();
  const Seconds margin =
      std::min(kSafeDeviations * estimate.deviation(), kMostMargin * room);
  return start - now <= room - margin;
}

void SlotQueue::Learn(const std::string& work, microseconds took) {
  this->estimates[work].Add(took);
  this->overall.Add(took);
}

// Events ----------------------------------------------------------------------

SlotActions SlotQueue::OnSlots(int count, Instant now) {
  this->slots = count;
  SlotActions out;
  this->Fill(now, out);
  return out;
}

SlotActions SlotQueue::Offer(const SlotRequest& request, Instant now) {
  Order order;
  order.order_class = {!request.nested, request.priority, false};
  order.newcomer = !request.returning;
  order.arrival = ++this->arrivals;
  const microseconds work = this->MeanOf(request.work);
  // Walks once over what waits ahead: a late call stands behind the place that
  // it would have had in time.
  SlotEnds ends = this->EndsOfRunning(now);
  auto ahead = this->queue.begin();
  const auto room_behind_those_before = [&] {
    const auto place = this->queue.lower_bound(order);
    std::for_each(ahead, place, [&](const auto& entry) {
      ends.Take(this->MeanOf(entry.second.work));
    });
    ahead = place;
    return ends.Earliest();
  };
  Instant room = room_behind_those_before();
  Instant start = this->WithInflowAhead(room, order.order_class, now);
  if (!this->IsInTime(request, start, now)) {
    order.order_class.late = true;
    room = room_behind_those_before();
    start = this->WithInflowAhead(room, order.order_class, now);
  }
  if (this->slots == 0 || start + work > request.deadline) {
    // Who comes back may find the newcomers of that time gone elsewhere: what
    // waits here now is all that it is told to wait for.
    const auto wait = std::chrono::duration_cast<microseconds>(room - now);
    return {RejectCall{request.id, Reason::kOverloaded,
                       std::max(kLeastWait, wait)}};
  }
  this->NoteInflow(order, work, now);
  this->queue.emplace(order, request);
  this->waiting_order.emplace(request.id, order);
  SlotActions out;
  this->Fill(now, out);
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
  if (kind == FinishKind::kOk) {
    this->Learn(found->second.work, std::chrono::duration_cast<microseconds>(
                                        now - found->second.since));
  }
  const double failed = kind == FinishKind::kOk ? 0.0 : 1.0;
  this->failing += (failed - this->failing) * kFailingWeight;
  this->started.erase(found);
  this->Fill(now, out);
  return out;
}

SlotActions SlotQueue::OnCancel(std::uint64_t id) {
  const auto found = this->waiting_order.find(id);
  if (found == this->waiting_order.end()) {
    return {};
  }
  this->queue.erase(found->second);
  this->waiting_order.erase(found);
  return {RejectCall{id, Reason::kDeadline, microseconds{0}}};
}

SlotActions SlotQueue::Flush(Reason reason) {
  SlotActions out;
  std::ranges::transform(
      this->queue, std::back_inserter(out), [reason](const auto& entry) {
        return RejectCall{entry.second.id, reason, kLeastWait};
      });
  this->queue.clear();
  this->waiting_order.clear();
  return out;
}

SlotActions SlotQueue::OnTick(Instant now) {
  SlotActions out;
  if (this->queue.empty()) {
    return out;
  }
  // One walk in the order in which the calls will start. What has become late
  // moves behind and is judged there by a later tick.
  SlotEnds ends = this->EndsOfRunning(now);
  std::vector<std::pair<Order, SlotRequest>> moved;
  std::erase_if(this->queue, [&](const auto& entry) {
    const auto& [order, request] = entry;
    const microseconds work = this->MeanOf(request.work);
    const Instant end =
        this->WithInflowAhead(ends.Earliest(), order.order_class, now) + work;
    if (end > request.deadline) {
      this->waiting_order.erase(request.id);
      out.push_back(RejectCall{request.id, Reason::kOverloaded, kLeastWait});
      return true;
    }
    if (!order.order_class.late && end > request.target) {
      moved.emplace_back(order, request);
      return true;
    }
    ends.Take(work);
    return false;
  });
  std::ranges::for_each(moved, [this](auto& entry) {
    entry.first.order_class.late = true;
    this->waiting_order[entry.second.id] = entry.first;
    this->queue.emplace(entry.first, std::move(entry.second));
  });
  return out;
}

void SlotQueue::Fill(Instant now, SlotActions& out) {
  while (!this->queue.empty() &&
         this->started.size() < static_cast<std::size_t>(this->slots)) {
    const auto first = this->queue.begin();
    const SlotRequest& request = first->second;
    this->waiting_order.erase(request.id);
    if (now >= request.deadline) {
      out.push_back(RejectCall{request.id, Reason::kDeadline, kLeastWait});
    } else {
      this->started.emplace(request.id, Running{request.work, now});
      out.push_back(StartCall{request.id});
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
      std::chrono::duration_cast<microseconds>(this->overall.mean());
  report.failing_permille = static_cast<int>(this->failing * 1000);
  return report;
}

}  // namespace tanagerledge
