// Proves that this node's configuration is the newest, so that requests with
// withdrawn keys are refused in time on nodes that are cut off, too.
//
// Connects ConfigProof, which decides, to the store and to the other nodes. It
// is active only where the bounds demand it and the configuration has accounts.

#ifndef TANAGERLEDGE_SRC_SIDECAR_PROOF_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_PROOF_HOST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/peer_transport.h"
#include "src/adapters/settings.h"
#include "src/sidecar/config_host.h"
#include "src/sidecar/platform_port.h"
#include "src/sidecar/store_calls.h"
#include "tanagerledge/config_proof.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/ports.h"

namespace tanagerledge {

class ProofHost {
 public:
  ProofHost(IoLoop& loop,
            PeerTransport& peers,
            KeyedLogPort& store,
            const PlatformPort& platform,
            EventLog& events,
            StoreCalls& calls,
            ConfigHost& configs,
            const Settings& settings,
            std::uint64_t seed);

  // Must be called about every 20 ms.
  void OnTick();
  void SetMembers(const std::vector<Member>& members);
  void SetConfig(const MeshConfig& config);

  // Whether requests with keys must be refused. Reads the clock, since the
  // process may have been frozen a moment ago.
  bool IsUnproven() const;
  // The age of the proof in seconds; -1 without a proof.
  double AgeInSeconds() const;

 private:
  void Execute(const ReadStoreForProof& action);
  void Execute(const AskPeerForProof& action);
  void LogChange(BootInstant now);

  IoLoop& loop;
  PeerTransport& peers;
  KeyedLogPort& store;
  const PlatformPort& platform;
  EventLog& events;
  StoreCalls& calls;
  ConfigHost& configs;
  const bool demanded;  // By the bounds.
  bool needed = false;
  ConfigProof proof;
  // Since when the proof has been too old, as logged.
  std::optional<BootInstant> unproven_since;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_PROOF_HOST_H_
