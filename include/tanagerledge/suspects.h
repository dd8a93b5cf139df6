// Detects calls that crash the backend server that runs them.
//
// When a backend server dies, every call that was running on it becomes a
// suspect. A call is identified by its fingerprint. A suspect runs only under a
// lease from its home node: one lease at a time in the fleet, and one suspect
// at a time on each backend server. If the backend server dies again, the
// suspect is quarantined: it is rejected as not run. If the backend server
// survives, the call is cleared. A call that was already a suspect and ran
// beside the one with the lease is not counted again: it started before the
// first death was known, and the other one is the likely cause.
//
// The class does no I/O: it receives events with their time and returns
// suspicions to send. src/node/suspect_host.h connects it to the other nodes.

#ifndef TANAGERLEDGE_SUSPECTS_H_
#define TANAGERLEDGE_SUSPECTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Fingerprint ---------------------------------------------------------------

// Identifies the content of a call. It is the same for each repeat of the call.
using Fingerprint = Number<struct FingerprintTag>;

Fingerprint FingerprintOf(const ClientAccount& client_account,
                          std::string_view method,
                          std::string_view target,
                          std::string_view body);

// The fingerprint as 16 hexadecimal digits, for logs.
std::string ToText(Fingerprint fingerprint);

// A backend server stops work at the deadline that it was given. This covers
// one that does so late, or fails while it does.
inline constexpr std::chrono::milliseconds kMaxRunPastDeadline{2000};

// Table ---------------------------------------------------------------------

enum class SuspectState { kClear = 0, kSuspect = 1, kQuarantined = 2 };

// What one node knows about a fingerprint, sent to the other nodes.
struct Suspicion {
  Fingerprint fingerprint;
  // Number of backend servers that died while they ran the call: those of
  // `node` or, if `cleared`, all that the sender knew of.
  int deaths = 0;
  // The call ran under a lease and the backend server survived.
  bool cleared = false;
  NodeId node;  // The node whose backend server died.
  // How long the sender keeps a quarantine; 0: as long as a new one.
  std::chrono::milliseconds ttl{0};
  // Number of further deaths, counted alike, that are not held against the
  // call, because another one was the likely cause.
  int excused = 0;

  bool operator==(const Suspicion&) const = default;
};

// The response of a home node to a request for a lease.
enum class LeaseAnswer { kGranted = 0, kBusy = 1, kRefused = 2 };

struct SuspectConfig {
  // Number of deaths after which a fingerprint is quarantined.
  int quarantine_deaths = 2;
  // A suspect expires this long after its last reported death.
  std::chrono::seconds suspect_ttl{60};
  std::chrono::seconds quarantine_ttl{600};
  // Maximum number of entries. When the table is full, the entry that expires
  // first is evicted.
  std::size_t max_entries = 4096;
  // A death is not held against a call that was answered at most twice this
  // long ago, if one beside it was not, and has been in flight at as many
  // deaths. Repeats of one call run at the same time.
  std::chrono::seconds harmless_ttl{10};
  std::size_t max_harmless = 4096;
};

// The suspects known to one node, and the leases of the fingerprints for which
// it is the home node.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectConfig config = {});

  // Returns how to treat a call with this fingerprint.
  SuspectState GetState(Fingerprint fingerprint, Instant now) const;

  // Handles the death of the backend server of `self`, this node, while it ran
  // these calls. `backend_start` names this start of the backend server. The
  // loss of some of its calls may be noticed later than that of others, so one
  // death may be reported several times; it counts once for each call. The
  // result must be sent to every node that may run the same calls.
  std::vector<Suspicion> OnBackendDied(const NodeId& self,
                                       std::string_view backend_start,
                                       const std::vector<Fingerprint>& running,
                                       Instant now);

  // Handles the completion of a call without a death. The result, if any, must
  // be sent to the other nodes: the call was a suspect and is cleared.
  std::optional<Suspicion> OnRanSafely(Fingerprint fingerprint, Instant now);

  // Applies a suspicion received from another node. Outdated and repeated ones
  // have no effect.
  void OnSuspicion(const Suspicion& suspicion, Instant now);

  // Handles a lease request to this node as the home node. If granted, `holder`
  // may run the call until `now + length`.
  LeaseAnswer OnLeaseRequest(Fingerprint fingerprint,
                             const NodeId& holder,
                             std::chrono::microseconds length,
                             Instant now);

  // Ends the lease of a holder whose call did not run.
  void OnLeaseReturned(Fingerprint fingerprint, const NodeId& holder);

  // The quarantined fingerprints with their remaining time. A node that missed
  // the suspicions, or started later, learns them from these.
  std::vector<Suspicion> Quarantined(Instant now) const;
  // Those under which a backend server of `self` died.
  std::vector<Suspicion> QuarantinedBy(const NodeId& self, Instant now) const;
  // The same for equal sets of quarantined fingerprints; 0 if there are none.
  std::uint64_t QuarantineDigest(Instant now) const;

  // Acquire and release the only slot for a suspect on this node's backend
  // server. The slot is released at `until` at the latest. Releasing the slot
  // of another suspect has no effect.
  bool TryAcquireLocalSlot(Fingerprint suspect, Instant now, Instant until);
  void ReleaseLocalSlot(Fingerprint suspect);

  // Removes expired entries. Call it about once a second.
  void Expire(Instant now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Lease {
    NodeId holder;
    Instant until{};
  };

  // Deaths are counted per node, so that simultaneous deaths at two nodes add
  // up.
  struct DeathsAt {
    NodeId node;
    int count = 0;
    int excused = 0;
  };

  struct Entry {
    std::vector<DeathsAt> deaths_at;
    int Deaths() const;
    int DeathsWithExcused() const;
    DeathsAt& DeathsOf(const NodeId& node);

    // Known only from a request for its lease.
    bool suspected_elsewhere = false;
    Instant expires{};
    std::optional<Lease> lease;
  };

  // A death that was reported, with all calls reported to have run there.
  struct ReportedDeath {
    std::string backend_start;
    // With the number of earlier deaths that each was in flight at.
    std::unordered_map<Fingerprint, int> calls;
    std::optional<Fingerprint> leased;  // The suspect that held the local slot.
  };
  struct LocalSlot {
    Fingerprint suspect;
    Instant until{};
  };

  bool IsQuarantined(const Entry& entry, Instant now) const {
    return entry.expires > now &&
           entry.Deaths() >= this->config.quarantine_deaths;
  }
  template <typename Filter>
  std::vector<Suspicion> ListQuarantined(Instant now, Filter filter) const;
  bool IsHarmless(Fingerprint fingerprint) const {
    return this->harmless.contains(fingerprint) ||
           this->former_harmless.contains(fingerprint);
  }
  void RecordHarmless(Fingerprint fingerprint, Instant now);
  int DeathsBefore(Fingerprint fingerprint, Instant now) const;
  bool IsExcused(const ReportedDeath& death, Fingerprint fingerprint) const;
  void Clear(Fingerprint fingerprint, int deaths);
  Entry& FindOrCreate(Fingerprint fingerprint, Instant now);
  std::chrono::seconds TtlOf(const Entry& entry) const;
  void EvictIfFull();
  ReportedDeath& FindOrAddDeath(std::string_view backend_start);

  const SuspectConfig config;
  std::unordered_map<Fingerprint, Entry> entries;
  std::optional<LocalSlot> local_slot;
  std::deque<ReportedDeath> reported_deaths;  // The newest first.
  // Calls answered lately, in two generations.
  std::unordered_set<Fingerprint> harmless;
  std::unordered_set<Fingerprint> former_harmless;
  Instant harmless_since{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SUSPECTS_H_
