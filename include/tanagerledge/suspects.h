// Calls that may crash the backend server that runs them.
//
// When a backend server dies, every call that ran on it is a suspect, known by
// its fingerprint. A suspect runs only under a lease of its home node, one at a
// time in the fleet and one at a time on each backend server. If its backend
// server dies again it is quarantined: refused as not run. If it lives the call
// is clear.
//
// Pure: times come in, news and verdicts go out. src/node/suspect_host.h wires
// it to the other nodes.

#ifndef TANAGERLEDGE_SUSPECTS_H_
#define TANAGERLEDGE_SUSPECTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Fingerprint ---------------------------------------------------------------

// Names what a call does: equal for a call that is sent again.
using Fingerprint = Number<struct FingerprintTag>;

Fingerprint FingerprintOf(const ClientAccount& client_account,
                          std::string_view method,
                          std::string_view target,
                          std::string_view body);

// Table ---------------------------------------------------------------------

enum class SuspectState { kClear = 0, kSuspect = 1, kQuarantined = 2 };

// What one node learned of a fingerprint, for the others.
struct Suspicion {
  Fingerprint fingerprint;
  // Backend servers that died while they ran it: those at `node`, or, with
  // `cleared`, all that the node knew of.
  int deaths = 0;
  bool cleared = false;  // It ran under a lease and the backend server lived.
  NodeId node;           // Beside the backend servers that died.

  bool operator==(const Suspicion&) const = default;
};

// A home node's answer to a node that wants to run a suspect.
enum class LeaseAnswer { kGranted = 0, kBusy = 1, kRefused = 2 };

struct SuspectConfig {
  // Deaths at which a fingerprint is quarantined.
  int most_deaths = 2;
  // A suspect that is not sent again is forgotten after this.
  std::chrono::seconds suspect_life{60};
  std::chrono::seconds quarantine_life{600};
  // Entries kept; beyond it the one that expires first goes.
  std::size_t most_entries = 4096;
};

// One node's knowledge, and the leases of the fingerprints it is home of.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectConfig config = {});

  // How a call with this fingerprint is to be treated now.
  SuspectState GetState(Fingerprint fingerprint, Instant now) const;

  // The backend server beside `self`, this node, died while it ran these calls.
  // The news are for every node that may run them.
  std::vector<Suspicion> OnBackendDied(const NodeId& self,
                                       const std::vector<Fingerprint>& running,
                                       Instant now);

  // A suspect ran under a lease and its backend server lives.
  std::optional<Suspicion> OnRanSafely(Fingerprint fingerprint, Instant now);

  // Another node's news. Old and repeated news change nothing.
  void OnSuspicion(const Suspicion& news, Instant now);

  // This node is home: may `holder` run it now, until `now + length`?
  LeaseAnswer OnLeaseRequest(Fingerprint fingerprint,
                             const NodeId& holder,
                             std::chrono::microseconds length,
                             Instant now);

  // Takes and gives back the one place for a suspect on this node's backend
  // server.
  bool TryAcquireLocalSlot(Instant now, Instant until);
  void ReleaseLocalSlot();

  // Drops what has expired. Call it every second or so.
  void Expire(Instant now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Lease {
    NodeId holder;
    Instant until{};
  };

  // Counted by node, so that deaths at two nodes at once add up.
  struct DeathsAt {
    NodeId node;
    int count = 0;
  };

  struct Entry {
    std::vector<DeathsAt> deaths_at;  // At most `most_deaths` nodes.
    int Deaths() const;
    int& At(const NodeId& node);

    Instant expires{};
    std::optional<Lease> lease;
  };

  void Clear(Fingerprint fingerprint, int deaths);
  Entry& Touch(Fingerprint fingerprint, Instant now);
  std::chrono::seconds LifeOf(const Entry& entry) const;
  void MakeRoom();

  const SuspectConfig config;
  std::unordered_map<Fingerprint, Entry> entries;
  std::optional<Instant> running_until;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SUSPECTS_H_
