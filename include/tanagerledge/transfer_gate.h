// Limits how many long bodies arrive at one node at the same time.
//
// Load pattern: uploads of 60 KB on average and up to 360 KB arrive over a link
// of 10 Mbit/s. If all of them are sent at once, their bytes queue up on the
// link for half a second or more, and short calls behind them, which take a few
// ms, miss their deadlines. A sender therefore asks the receiving node before
// it sends a long body. The gate grants transfers in the order of the requests
// and keeps the granted bytes within what the link carries in a short time. It
// refuses a transfer that would wait too long, so that the sender can choose
// another node.
//
// The class has no I/O and reads no clock. Each request gets exactly one
// GrantTransfer or RefuseTransfer, unless it is removed by OnEnded first.

#ifndef TANAGERLEDGE_TRANSFER_GATE_H_
#define TANAGERLEDGE_TRANSFER_GATE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Bodies up to this length are sent without a grant: they take 13 ms on a link
// of 10 Mbit/s.
inline constexpr std::size_t kMaxUngrantedBytes = 16 * 1024;

struct TransferGateConfig {
  // Rate of the node's link; 0: unknown, every transfer is granted at once.
  double link_bytes_per_second = 0;
  // Granted bytes may take this long on the link. One transfer is always
  // granted, whatever its length.
  std::chrono::milliseconds max_backlog{60};
};

// Identifies a transfer: the sending node and its number of the send.
using TransferId = std::string;

struct GrantTransfer {
  TransferId id;
};

struct RefuseTransfer {
  TransferId id;
  std::chrono::microseconds wait{0};  // Expected time until a grant.
};

using TransferAction = std::variant<GrantTransfer, RefuseTransfer>;
using TransferActions = std::vector<TransferAction>;

class TransferGate {
 public:
  explicit TransferGate(TransferGateConfig gate_config = {})
      : config(gate_config) {}

  // A node asks to send a body. It waits for `max_wait` at most.
  TransferActions OnRequest(const TransferId& id,
                            std::size_t bytes,
                            std::chrono::microseconds max_wait,
                            Instant now);

  // The body has arrived, or its sender has given up.
  TransferActions OnEnded(const TransferId& id, Instant now);

  // Refuses requests that have waited too long, and ends granted transfers that
  // never arrive. Must be called about every 20 ms.
  TransferActions OnTick(Instant now);

  std::size_t granted_bytes() const { return this->bytes_granted; }
  std::size_t waiting() const { return this->queue.size(); }

 private:
  struct Waiting {
    TransferId id;
    std::size_t bytes = 0;
    Instant refuse_at{};
  };
  struct Granted {
    std::size_t bytes = 0;
    Instant expires_at{};
  };

  std::chrono::microseconds TimeOnLink(std::size_t bytes) const;
  bool HasRoomFor(std::size_t bytes) const;
  void Grant(const TransferId& id, std::size_t bytes, Instant now);
  void GrantWaiting(Instant now, TransferActions& out);

  TransferGateConfig config;
  std::deque<Waiting> queue;
  std::unordered_map<TransferId, Granted> granted;
  std::size_t bytes_granted = 0;
  std::size_t bytes_waiting = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TRANSFER_GATE_H_
