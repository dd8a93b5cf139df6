#include "tanagerledge/transfer_gate.h"

#include <algorithm>
#include <iterator>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A granted transfer that has not arrived after this many times its time on the
// link, and this grace period, has been lost with its sender.
constexpr int kExpiryFactor = 4;
constexpr milliseconds kExpiryGracePeriod{500};

}  // namespace

microseconds TransferGate::TimeOnLink(std::size_t bytes) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return microseconds(static_cast<microseconds::rep>(
      static_cast<double>(bytes) / this->config.link_bytes_per_second *
      kMicrosecondsPerSecond));
}

bool TransferGate::HasRoomFor(std::size_t bytes) const {
  return this->granted.empty() ||
         this->TimeOnLink(this->bytes_granted + bytes) <=
             this->config.max_backlog;
}

void TransferGate::Grant(const TransferId& id, std::size_t bytes, Instant now) {
  this->granted[id] = {bytes, now + this->TimeOnLink(bytes) * kExpiryFactor +
                                  kExpiryGracePeriod};
  this->bytes_granted += bytes;
}

TransferActions TransferGate::OnRequest(const TransferId& id,
                                        std::size_t bytes,
                                        microseconds max_wait,
                                        Instant now) {
  if (this->config.link_bytes_per_second <= 0) {
    return {GrantTransfer{id}};
  }
  if (this->granted.contains(id)) {
    return {RefuseTransfer{id, microseconds{0}}};  // A repeated request.
  }
  if (this->queue.empty() && this->HasRoomFor(bytes)) {
    this->Grant(id, bytes, now);
    return {GrantTransfer{id}};
  }
  const microseconds wait =
      this->TimeOnLink(this->bytes_granted + this->bytes_waiting);
  if (wait > max_wait) {
    return {RefuseTransfer{id, wait}};
  }
  this->queue.push_back({id, bytes, now + max_wait});
  this->bytes_waiting += bytes;
  return {};
}

void TransferGate::GrantWaiting(Instant now, TransferActions& out) {
  while (!this->queue.empty() && this->HasRoomFor(this->queue.front().bytes)) {
    const Waiting next = this->queue.front();
    this->queue.pop_front();
    this->bytes_waiting -= next.bytes;
    this->Grant(next.id, next.bytes, now);
    out.emplace_back(GrantTransfer{next.id});
  }
}

TransferActions TransferGate::OnEnded(const TransferId& id, Instant now) {
  TransferActions out;
  if (const auto found = this->granted.find(id); found != this->granted.end()) {
    this->bytes_granted -= found->second.bytes;
    this->granted.erase(found);
  } else if (const auto waiting =
                 std::ranges::find(this->queue, id, &Waiting::id);
             waiting != this->queue.end()) {
    this->bytes_waiting -= waiting->bytes;
    this->queue.erase(waiting);
  }
  this->GrantWaiting(now, out);
  return out;
}

TransferActions TransferGate::OnTick(Instant now) {
  TransferActions out;
  std::erase_if(this->granted, [&](const auto& entry) {
    const bool expired = now >= entry.second.expires_at;
    this->bytes_granted -= expired ? entry.second.bytes : 0;
    return expired;
  });
  std::erase_if(this->queue, [&](const Waiting& waiting) {
    const bool late = now >= waiting.refuse_at;
    if (late) {
      this->bytes_waiting -= waiting.bytes;
      out.emplace_back(RefuseTransfer{
          waiting.id,
          this->TimeOnLink(this->bytes_granted + this->bytes_waiting)});
    }
    return late;
  });
  this->GrantWaiting(now, out);
  return out;
}

}  // namespace tanagerledge
