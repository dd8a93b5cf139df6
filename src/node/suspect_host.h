// Wires SuspectTable to the other nodes.
//
// The node beside a backend server asks before each send, and says how it
// ended:
//
//   SuspectVerdict verdict = suspects.Admit(fingerprint, deadline);
//   if (verdict == SuspectVerdict::kRefuse) { /* not-run, kQuarantined */ }
//   if (verdict == SuspectVerdict::kNoLease)   { /* not-run, kOverloaded  */ }
//   ... send ...
//   suspects.OnCallAnswered(fingerprint, verdict);
//
// When the backend server dies, call ReportBackendDeath with the calls that ran
// on it before answering their callers: it returns once the peers know, or
// after a limit, so that a caller that sends again at once meets nodes that
// know.

#ifndef TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_
#define TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/fiber_io.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/suspects.h"

namespace tanagerledge {

enum class SuspectVerdict {
  kRun,        // No suspect: the common case, one atomic load.
  kRunLeased,  // A suspect that holds the lease: call OnCallAnswered after it.
  kNoLease,    // A suspect whose turn it is not before the deadline.
  kRefuse,     // Quarantined.
};

class SuspectHost {
 public:
  SuspectHost(IoLoop& control, PeerPort& peers, NodeId self);

  // Control thread: starts the fiber that forgets what has expired.
  void Start();

  // Control thread. News go to the nodes that serve `service`, the one of the
  // backend server beside this node, since only they can run the same calls.
  void SetMembers(const std::vector<Member>& members,
                  const ServiceName& service);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);

  // Any fiber of any loop. Waits for a suspect's turn, up to the deadline.
  SuspectVerdict Admit(Fingerprint fingerprint, Instant deadline);

  // Any fiber: nobody waits for a suspect's turn any longer.
  void CancelWaits() { this->giving_up = true; }

  // Any fiber: a call admitted with kRunLeased was answered by the backend
  // server.
  void OnCallAnswered(Fingerprint fingerprint, SuspectVerdict verdict);

  // Any fiber: the backend server beside this node died while it ran these.
  void ReportBackendDeath(const std::vector<Fingerprint>& running);

 private:
  Standing Look(Fingerprint fingerprint);
  SuspectVerdict AwaitLease(Fingerprint fingerprint, Instant deadline);
  bool TryLease(Fingerprint fingerprint, Instant deadline);
  LeaseAnswer AskHome(Fingerprint fingerprint, Instant deadline);
  void Tell(std::vector<Suspicion> news);
  void NoteSize();

  IoLoop& control;
  PeerPort& peers;
  const NodeId self;
  std::vector<NodeId> fellows;  // Serve the same service, without this node.
  std::mutex mutex;             // Guards `table`; held for no wait.
  SuspectTable table;
  std::atomic<std::size_t> known{0};
  std::atomic<bool> giving_up{false};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_
