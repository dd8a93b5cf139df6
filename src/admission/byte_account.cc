#include "tanagerledge/byte_account.h"

namespace tanagerledge {

// The rest of the memory is for the program, its tables and what sockets hold.
ByteLimits BodyLimitsFor(std::size_t memory_bytes) {
  ByteLimits limits;
  limits.all = memory_bytes / 8 * 5;
  limits.long_bodies = memory_bytes / 2;
  return limits;
}

ByteReservation::~ByteReservation() {
  if (this->account != nullptr) {
    this->account->held_bytes -= this->reserved;
  }
}

bool ByteReservation::GrowTo(std::size_t total) {
  if (this->account == nullptr || total <= this->reserved) {
    return true;
  }
  const ByteLimits& limits = this->account->limits;
  const std::size_t limit =
      total > kLongBodyBytes ? limits.long_bodies : limits.all;
  const std::size_t others = this->account->held_bytes - this->reserved;
  if (total > limit || others > limit - total) {
    ++this->account->refusals;
    return false;
  }
  this->HoldAtLeast(total);
  return true;
}

void ByteReservation::HoldAtLeast(std::size_t total) {
  if (this->account != nullptr && total > this->reserved) {
    this->account->held_bytes += total - this->reserved;
    this->reserved = total;
  }
}

}  // namespace tanagerledge
