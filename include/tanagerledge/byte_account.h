// Counts the bytes of request and answer bodies that a process holds, so that
// long bodies can't exceed its memory.
//
// A body reserves its room before its bytes are read. If there is none, the
// request is rejected at once; nothing waits while it holds memory. Long bodies
// may use only a share of the limit, so that they leave room for short ones.
//
// Everything runs on one thread.

#ifndef TANAGERLEDGE_BYTE_ACCOUNT_H_
#define TANAGERLEDGE_BYTE_ACCOUNT_H_

#include <cstddef>
#include <cstdint>

namespace tanagerledge {

// A body of more bytes than this counts as long.
inline constexpr std::size_t kLongBodyBytes = 64 * 1024;

struct ByteLimits {
  std::size_t all = 0;          // For all bodies together.
  std::size_t long_bodies = 0;  // A long body must fit below this.
};

// The limits for a process that may use `memory_bytes` in all.
ByteLimits BodyLimitsFor(std::size_t memory_bytes);

class ByteAccount {
 public:
  explicit ByteAccount(ByteLimits byte_limits) : limits(byte_limits) {}

  std::size_t held() const { return this->held_bytes; }
  // How many reservations were refused.
  std::int64_t refused() const { return this->refusals; }

 private:
  friend class ByteReservation;

  ByteLimits limits;
  std::size_t held_bytes = 0;
  std::int64_t refusals = 0;
};

// The room of one body, which is given back on destruction. One without an
// account has no limit. The account must outlive it.
class ByteReservation {
 public:
  explicit ByteReservation(ByteAccount* byte_account) : account(byte_account) {}
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;
  ~ByteReservation();

  // Makes room for `total` bytes; false if there is none. Never shrinks.
  bool GrowTo(std::size_t total);
  // Counts bytes that are in memory already. It can't fail.
  void HoldAtLeast(std::size_t total);

  std::size_t bytes() const { return this->reserved; }

 private:
  ByteAccount* account;
  std::size_t reserved = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BYTE_ACCOUNT_H_
