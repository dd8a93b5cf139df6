// Asks for and grants the transfer of long bodies between nodes.
//
// Connects TransferGate, which decides when a body may be sent to this node, to
// the other nodes. Everything runs on the node's loop; Await blocks the calling
// fiber.

#ifndef TANAGERLEDGE_SRC_SIDECAR_BODY_TRANSFERS_H_
#define TANAGERLEDGE_SRC_SIDECAR_BODY_TRANSFERS_H_

#include <peer_types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>

#include "src/adapters/fiber_sync.h"
#include "src/adapters/peer_transport.h"
#include "tanagerledge/transfer_gate.h"

namespace tanagerledge {

class BodyTransfers {
 public:
  BodyTransfers(PeerTransport& peers, TransferGateConfig config);

  // Whether a body of this length needs a grant of the receiving node.
  bool NeedsGrant(std::size_t bytes) const {
    return this->enabled && bytes > kMaxUngrantedBytes;
  }

  // Asks `node` for a grant to send a body and waits for it, at most for
  // `max_wait`. The error is the time after which to try again.
  tl::expected<void, std::chrono::microseconds> Await(
      const NodeId& node,
      std::int64_t send_id,
      std::size_t bytes,
      std::chrono::microseconds max_wait);

  // Answers another node that wants to send a body to this one.
  std::string OnRequest(const NodeId& from, std::string_view request);
  // A call of another node has arrived, or its sender has given it up.
  void OnEnded(const NodeId& from, std::int64_t send_id);

  // Must be called about every 20 ms.
  void OnTick();

  std::size_t waiting() const { return this->gate.waiting(); }
  std::int64_t refused() const { return this->refused_count; }

 private:
  struct Decision {
    bool granted = false;
    std::chrono::microseconds wait{0};
  };
  using Waiter = std::shared_ptr<FiberPromise<Decision>>;

  void Apply(const TransferActions& actions);

  PeerTransport& peers;
  bool enabled;
  TransferGate gate;
  std::unordered_map<TransferId, Waiter> waiters;
  std::int64_t refused_count = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_BODY_TRANSFERS_H_
