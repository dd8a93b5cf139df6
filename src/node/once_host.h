// Runs keyed calls at most once: the machines of tanagerledge/once.h, on the
// control thread, with the log and the other nodes.
//
// The node beside the back end wraps the send of a non-idempotent keyed call:
//
//   OnceVerdict verdict = once.Begin(key, fingerprint, deadline);
//   if (auto* ticket = std::get_if<OnceTicket>(&verdict)) {
//     /* send once, with ticket->run_by as the back end's deadline */
//     once.Finish(*ticket, result);
//   }
//
// A repeat may come to any node and name any back end: no routing by key is
// needed. A call without a key never comes here: it is sent once, and never
// again after it may have run.

#ifndef TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_
#define TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "tanagerledge/member.h"
#include "tanagerledge/once.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

struct OnceConfig {
  NodeId self;
  Zone zone;
  Incarnation incarnation;  // Must differ between starts of a node.
};

class OnceHost {
 public:
  OnceHost(IoLoop& control, PeerPort& peers, LogPort& log, OnceConfig config);

  // Control thread: starts the host's fibers. They end when `control` stops.
  void Start();

  // Control thread.
  void SetMembers(std::vector<Member> members);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);
  void OnPeerMessage(const NodeId& from, std::string_view message);

  // Any fiber of any loop: suspends it until there is a verdict.
  OnceVerdict Begin(const OnceKey& key,
                    Fingerprint fingerprint,
                    Instant deadline);

  // Any thread; does not wait. Owed for each ticket, also when the call did not
  // run: Outcome::kNotRun opens the key again.
  void Finish(const OnceTicket& ticket, OnceResult result);

 private:
  struct KnownKey {
    OnceAttempt attempt;
    Fingerprint fingerprint;
    bool ended = false;
    OnceResult result;
  };

  OnceVerdict Decide(OnceKeyId key, Fingerprint fingerprint, Instant deadline);
  bool CatchUp(LogOffset through, Instant deadline);
  void Fold(std::string_view record);
  void AppendOutcome(const OnceTicket& ticket, const OnceResult& result);

  IoLoop& control;
  LogPort& log;
  const OnceConfig config;
  std::uint64_t attempts = 0;
  LogOffset folded;
  std::unordered_map<OnceKeyId, KnownKey> keys;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_ONCE_HOST_H_
