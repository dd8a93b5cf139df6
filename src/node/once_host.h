// Runs calls with an idempotency key at most once. Runs the state machines of
// at-most-once execution (see tanagerledge/once.h) on the control thread and
// connects them to the log and the other nodes.
//
// The node of the backend server wraps the send of a non-idempotent call with a
// key:
//
//   OnceVerdict verdict = once.Begin(key, fingerprint, deadline);
//   if (auto* ticket = std::get_if<OnceTicket>(&verdict)) {
//     // Send once, with ticket->run_by as the backend server's deadline.
//     once.Finish(*ticket, result);
//   }
//
// A repeat may arrive at any node and go to any backend server, so calls need
// not be routed by key. Calls without a key don't use this class: they are sent
// once, and are not retried after an attempt that may have run.

#ifndef TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_
#define TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_

#include <atomic>
#include <boost/fiber/future.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "src/execution/once_gate.h"
#include "src/execution/once_partition.h"
#include "tanagerledge/member.h"
#include "tanagerledge/once.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

struct OnceConfig {
  NodeId self;
  Zone zone;
  // Must grow with each start of the node, also after a crash. The wall-clock
  // time of the start in milliseconds is sufficient.
  Incarnation incarnation;
  OnceTiming timing{};
};

// At-most-once execution on one node.
class OnceHost {
 public:
  OnceHost(IoLoop& control, PeerPort& peers, LogPort& log, OnceConfig config);

  // Starts the host's fibers, which end when `control` stops. Called on the
  // control thread.
  void Start();

  // Called on the control thread. Nodes only exchange one-way messages on
  // Channel::kOnce; a request gets an empty reply.
  void SetMembers(std::vector<Member> members);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);
  void OnPeerMessage(const NodeId& from, std::string_view message);

  // Claims the key for one attempt to run the call. Called from any fiber of
  // any loop. Suspends the fiber until the verdict, which comes by the deadline
  // or shortly after it.
  OnceVerdict Begin(const OnceKey& key,
                    Fingerprint fingerprint,
                    Instant deadline);

  // Reports how the attempt ended. Must be called for each ticket, even if the
  // call did not run: Outcome::kNotRun makes the key available again. Called
  // from any thread; does not wait.
  void Finish(const OnceTicket& ticket, OnceResult result);

  // For metrics and `explain`. Called on the control thread.
  const OncePartition& partition(int number) const {
    return this->partitions[static_cast<std::size_t>(number)];
  }

 private:
  // One call of Begin, shared by the waiting fiber and the control thread. The
  // control thread sets `is_settled` when it delivers the verdict, the fiber
  // when it times out. Only the one that sets it first takes effect.
  struct Pending {
    boost::fibers::promise<OnceVerdict> verdict;
    std::atomic<bool> is_settled{false};
  };

  void Tick();
  void ReadStream(int number);
  void ReadPage(int number);
  void Append(int number, const OnceAppend& append);
  void SendMessage(const OnceSend& send);
  void HandleMessage(const NodeId& from, const wire::OnceMessage& message);
  void RunActions();
  void DeliverVerdict(const AttemptVerdict& decided);

  IoLoop& control;
  PeerPort& peers;
  LogPort& log;
  const OnceConfig config;
  const OnceProcess process;
  OnceGate gate;
  std::deque<OncePartition> partitions;
  std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> pending;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_
