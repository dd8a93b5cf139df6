// Runs keyed calls at most once: the machines of tanagerledge/once.h, on the
// control thread, with the log and the other nodes.
//
// The node beside the backend server wraps the send of a non-idempotent keyed
// call:
//
//   OnceVerdict verdict = once.Begin(key, fingerprint, deadline);
//   if (auto* ticket = std::get_if<OnceTicket>(&verdict)) {
//     /* send once, with ticket->run_by as the backend server's deadline */
//     once.Finish(*ticket, result);
//   }
//
// A repeat may come to any node and name any backend server: no routing by key
// is needed. A call without a key never comes here: it is sent once, and never
// again after it may have run.

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
  // Must be greater at each start of a node, also after a crash: milliseconds
  // of calendar time at the start will do.
  Incarnation incarnation;
  OnceTiming timing{};
};

class OnceHost {
 public:
  OnceHost(IoLoop& control, PeerPort& peers, LogPort& log, OnceConfig config);

  // Control thread: starts the host's fibers. They end when `control` stops.
  void Start();

  // Control thread. Messages of Channel::kOnce; requests are not used.
  void SetMembers(std::vector<Member> members);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);
  void OnPeerMessage(const NodeId& from, std::string_view message);

  // Any fiber of any loop: suspends it until there is a verdict, which comes by
  // the deadline.
  OnceVerdict Begin(const OnceKey& key,
                    Fingerprint fingerprint,
                    Instant deadline);

  // Any thread; does not wait. Owed for each ticket, also when the call did not
  // run: Outcome::kNotRun opens the key again.
  void Finish(const OnceTicket& ticket, OnceResult result);

  // Control thread: for metrics and `explain`.
  const OncePartition& partition(int number) const {
    return this->partitions[static_cast<std::size_t>(number)];
  }

 private:
  // One Begin, between the fiber that waits and the control thread. Whoever
  // sets `is_taken` first decides whether the verdict counts.
  struct Pending {
    boost::fibers::promise<OnceVerdict> verdict;
    std::atomic<bool> is_taken{false};
  };

  void Tick();
  void ReadStream(int number);
  void ReadOnce(int number);
  void Append(int number, const OnceAppend& append);
  void Deliver(const OnceSend& send);
  void Take(const NodeId& from, const wire::OnceMessage& message);
  void Pump();
  void Tell(const AttemptVerdict& decided);

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
