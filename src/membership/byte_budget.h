// A token bucket that limits the bytes sent per second and allows bursts.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_BYTE_BUDGET_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_BYTE_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "tanagerledge/types.h"

namespace tanagerledge {

class ByteBudget {
 public:
  ByteBudget(std::size_t bytes_per_second, std::size_t burst_bytes, Instant now)
      : rate(static_cast<double>(bytes_per_second)),
        burst(static_cast<double>(burst_bytes)),
        left(this->burst),
        refilled(now) {}

  void Refill(Instant now) {
    const std::chrono::duration<double> passed = now - this->refilled;
    this->left =
        std::min(this->burst, this->left + this->rate * passed.count());
    this->refilled = now;
  }

  // The balance may become negative: later senders then wait longer.
  void Spend(std::size_t bytes) { this->left -= static_cast<double>(bytes); }

  // Whether a message may be sent when the balance may go down to
  // -`debt_bytes`.
  bool Allows(std::size_t debt_bytes = 0) const {
    return this->left + static_cast<double>(debt_bytes) > 0;
  }

 private:
  double rate;
  double burst;
  double left;
  Instant refilled;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_BYTE_BUDGET_H_
