#include "src/admission/fair_queue.h"

#include <algorithm>

namespace tanagerledge {

void FairQueue::Push(const ClientAccount& client_account, CallList& from) {
  this->EvictIdle();
  ClientAccountShare& share = this->shares[client_account];
  if (share.calls.empty()) {
    share.served = std::max(share.served, this->virtual_time);
    this->waiting.push_back(&share);
  }
  from.front().client_account = &share;
  share.calls.splice(share.calls.end(), from, from.begin());
  ++this->queued;
}

ClientAccountShare& FairQueue::Next() const {
  return **std::ranges::min_element(this->waiting, {},
                                    &ClientAccountShare::served);
}

void FairQueue::Dequeue(ClientAccountShare& share,
                        CallList& to,
                        Seconds expected) {
  this->virtual_time = std::max(this->virtual_time, share.served);
  share.served += expected;
  ++share.running;
  share.calls.front().client_account_charge = expected;
  to.splice(to.end(), share.calls, share.calls.begin());
  --this->queued;
  this->DeactivateIfEmpty(share);
}

void FairQueue::Remove(CallList::iterator call, CallList& to) {
  ClientAccountShare& share = *call->client_account;
  to.splice(to.end(), share.calls, call);
  --this->queued;
  this->DeactivateIfEmpty(share);
}

void FairQueue::Finish(const Call& call, Seconds used) {
  call.client_account->served += used - call.client_account_charge;
  --call.client_account->running;
}

int FairQueue::TurnsUntilLastCall(const ClientAccountShare& share) const {
  const auto rounds = static_cast<int>(share.calls.size());
  return std::min(this->queued,
                  rounds * static_cast<int>(this->waiting.size()));
}

int FairQueue::TurnsUntilNewAccount() const {
  return std::min(this->queued, static_cast<int>(this->waiting.size())) + 1;
}

void FairQueue::DeactivateIfEmpty(ClientAccountShare& share) {
  if (share.calls.empty()) {
    std::erase(this->waiting, &share);
  }
}

void FairQueue::EvictIdle() {
  if (this->shares.size() < kMaxIdleShares + this->waiting.size()) {
    return;
  }
  const auto idle = [](const ClientAccountShare& share) {
    return share.calls.empty() && share.running == 0;
  };
  std::erase_if(this->shares, [&](const auto& entry) {
    return idle(entry.second) && entry.second.served <= this->virtual_time;
  });
  if (this->shares.size() >= kMaxIdleShares + this->waiting.size()) {
    std::erase_if(this->shares,
                  [&](const auto& entry) { return idle(entry.second); });
  }
}

}  // namespace tanagerledge
