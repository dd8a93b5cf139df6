#include "src/admission/fair_queue.h"

#include <algorithm>

namespace tanagerledge {

void FairQueue::Push(const Customer& customer, CallList& from) {
  this->ForgetIdle();
  CustomerShare& share = this->shares[customer];
  if (share.calls.empty()) {
    share.served = std::max(share.served, this->level);
    this->waiting.push_back(&share);
  }
  from.front().customer = &share;
  share.calls.splice(share.calls.end(), from, from.begin());
  ++this->queued;
}

CustomerShare& FairQueue::Next() const {
  return **std::ranges::min_element(this->waiting, {}, &CustomerShare::served);
}

void FairQueue::Take(CustomerShare& share, CallList& to, Seconds expected) {
  this->level = std::max(this->level, share.served);
  share.served += expected;
  ++share.running;
  share.calls.front().customer_charge = expected;
  to.splice(to.end(), share.calls, share.calls.begin());
  --this->queued;
  this->LeaveIfEmpty(share);
}

void FairQueue::Remove(CallList::iterator call, CallList& to) {
  CustomerShare& share = *call->customer;
  to.splice(to.end(), share.calls, call);
  --this->queued;
  this->LeaveIfEmpty(share);
}

void FairQueue::Finish(const Call& call, Seconds used) {
  call.customer->served += used - call.customer_charge;
  --call.customer->running;
}

int FairQueue::TurnsUntil(const CustomerShare& share) const {
  const auto rounds = static_cast<int>(share.calls.size());
  return std::min(this->queued,
                  rounds * static_cast<int>(this->waiting.size()));
}

int FairQueue::TurnsUntilNewcomer() const {
  return std::min(this->queued, static_cast<int>(this->waiting.size())) + 1;
}

void FairQueue::LeaveIfEmpty(CustomerShare& share) {
  if (share.calls.empty()) {
    std::erase(this->waiting, &share);
  }
}

void FairQueue::ForgetIdle() {
  if (this->shares.size() < kMaxIdleShares + this->waiting.size()) {
    return;
  }
  const auto idle = [](const CustomerShare& share) {
    return share.calls.empty() && share.running == 0;
  };
  std::erase_if(this->shares, [&](const auto& entry) {
    return idle(entry.second) && entry.second.served <= this->level;
  });
  if (this->shares.size() >= kMaxIdleShares + this->waiting.size()) {
    std::erase_if(this->shares,
                  [&](const auto& entry) { return idle(entry.second); });
  }
}

}  // namespace tanagerledge
