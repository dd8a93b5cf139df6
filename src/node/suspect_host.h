// Shares the suspects of SuspectTable with the other nodes: broadcasts deaths
// of backend servers and requests leases to run a suspect.
//
// The node of a backend server calls Admit before each send, and OnCallAnswered
// after the answer:
//
//   SuspectVerdict verdict = suspects.Admit(fingerprint, deadline);
//   if (verdict == SuspectVerdict::kRefuse)  { /* not-run, kQuarantined */ }
//   if (verdict == SuspectVerdict::kNoLease) { /* not-run, kOverloaded  */ }
//   ... wait for a slot ...
//   verdict = suspects.Recheck(fingerprint, verdict, deadline);  // As above.
//   ... send ...
//   suspects.OnCallAnswered(fingerprint, verdict);  // It ran to its end, or
//   suspects.OnCallUnproven(fingerprint, verdict);
//
// When the backend server dies, call ReportBackendDeath with the calls that ran
// on it, and only then answer their callers. It returns when the peers have
// replied or a timeout has expired, so that a caller that retries at once
// reaches nodes that already know the suspects. A node that missed a
// quarantine, since it was cut off or started later, finds that the digest in a
// probe of membership differs from its own and asks the sender for its
// quarantines.

#ifndef TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_
#define TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "tanagerledge/member.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/suspects.h"

namespace tanagerledge {

enum class SuspectVerdict {
  // Not a suspect. While no suspects are known, this costs one atomic load.
  kRun,
  // A suspect that got a lease. Call OnCallAnswered after the answer.
  kRunLeased,
  // A suspect that got no lease before the deadline.
  kNoLease,
  // Quarantined.
  kRefuse,
};

// The suspects that one node knows, and its leases to run them.
class SuspectHost {
 public:
  SuspectHost(IoLoop& control, PeerPort& peers, NodeId self);

  // Sets the function that logs what this node suspects, clears and could not
  // tell a peer. It is called from any thread. Set it before Start.
  using EventSink = std::function<void(std::string_view event,
                                       std::initializer_list<EventField>)>;
  void SetEventSink(EventSink event_sink);

  // Starts the fiber that removes expired entries. Called on the control
  // thread.
  void Start();

  // Sets the peers that grant leases and get every broadcast: the live nodes
  // that serve `service`, the service of this node's own backend server. They
  // run the same calls. A route may lead to other services as well, whose nodes
  // learn of quarantines. Called on the control thread.
  void SetMembers(const std::vector<Member>& members,
                  const ServiceName& service);
  std::string OnPeerRequest(const NodeId& from, std::string_view request);

  // Decides whether a call may run. A suspect waits for its lease, up to the
  // deadline, and holds it until its run is over, kMaxRunPastDeadline after the
  // deadline at the latest. Called from any fiber of any loop.
  SuspectVerdict Admit(Fingerprint fingerprint, Instant deadline);

  // Ends all waits for leases, also later ones, with kNoLease. Called from any
  // fiber.
  void CancelWaits() { this->waits_canceled = true; }

  // The verdict of Admit may be obsolete when the call gets its slot. Returns
  // the current one; waits only briefly for a lease. Called from any fiber.
  SuspectVerdict Recheck(Fingerprint fingerprint,
                         SuspectVerdict verdict,
                         Instant deadline);

  // Reports that the backend server ran a call to its end, which clears it.
  // Called from any fiber.
  void OnCallAnswered(Fingerprint fingerprint, SuspectVerdict verdict);
  // Reports that a call has ended in another way, which proves nothing: it did
  // not run, its answer was lost, or the backend server answered with an error,
  // perhaps because its deadline or a call of its own ended the run early.
  // Gives its lease back. Called from any fiber, but not for a call that the
  // backend server may still run: its lease ends by itself.
  void OnCallUnproven(Fingerprint fingerprint, SuspectVerdict verdict);

  // Reports that this node's backend server died while it ran these calls, and
  // broadcasts them as suspects. `backend_start` names this start of the
  // backend server: a death may be reported several times. Called from any
  // fiber.
  void ReportBackendDeath(std::string_view backend_start,
                          const std::vector<Fingerprint>& running);

  // Reconciliation. Called on the control thread.
  std::int64_t QuarantineDigest();
  // Another node has the digest in a probe.
  void OnPeerDigest(const NodeId& peer, std::int64_t digest);
  // Quarantines that are recorded elsewhere, and those to record: a backend
  // server beside this node died under them.
  void OnRecorded(const std::vector<Suspicion>& quarantined);
  std::vector<Suspicion> OwnQuarantines();

 private:
  SuspectState StateOf(Fingerprint fingerprint);
  SuspectVerdict AdmitWithin(Fingerprint fingerprint,
                             Instant wait_until,
                             Instant lease_end);
  SuspectVerdict AwaitLease(Fingerprint fingerprint,
                            Instant wait_until,
                            Instant lease_end);
  bool TryAcquireLease(Fingerprint fingerprint, Instant lease_end);
  LeaseAnswer RequestLease(Fingerprint fingerprint, Instant lease_end);
  NodeId HomeOf(Fingerprint fingerprint) const;
  void ReturnLease(Fingerprint fingerprint);
  void Broadcast(std::vector<Suspicion> suspicions);
  void LogDeath(std::string_view backend_start,
                const std::vector<Fingerprint>& running,
                const std::vector<Suspicion>& suspicions) const;
  void UpdateSuspectCount();

  IoLoop& control;
  PeerPort& peers;
  const NodeId self;
  EventSink log = [](auto, auto) {};
  // The nodes that serve the same service, without this node.
  std::vector<NodeId> service_peers;
  bool asking_for_quarantines = false;
  std::mutex mutex;  // Guards `table`. Never held while a fiber waits.
  SuspectTable table;
  std::atomic<std::size_t> suspect_count{0};  // Entries of `table`.
  std::atomic<bool> waits_canceled{false};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_SUSPECT_HOST_H_
