// Sends late requests a second time, as HedgePolicy decides.
//
// The first good answer counts, and the other send is cancelled. Its reply is
// awaited by its own fiber, so that a node which never replies holds nobody up.
//
// Everything runs on the node's loop.

#ifndef TANAGERLEDGE_SRC_SIDECAR_HEDGE_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_HEDGE_HOST_H_

#include <peer_types.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/sidecar/sidecar_metrics.h"
#include "tanagerledge/hedge_policy.h"

namespace tanagerledge {

// One send of a request to a node.
struct HedgedSend {
  // Blocks the fiber until the reply. It may still run after HedgeHost::Run has
  // returned, and must own what it uses.
  std::function<wire::CallReply()> run;
  std::function<void()> cancel;
};

struct HedgedRequest {
  std::string id;
  RouteName route;
  std::chrono::microseconds delay{0};
  HedgedSend first;
  // Both are called once the delay has passed: what the policy has to know of
  // the request then, and the second send, once it is allowed.
  std::function<HedgeQuestion()> describe;
  std::function<HedgedSend()> begin_second;
};

class HedgeHost {
 public:
  HedgeHost(IoLoop& loop,
            HedgeConfig config,
            FleetRetryBudget& budget,
            EventLog& events);

  HedgePolicy& policy() { return this->hedge_policy; }

  // Returns the first good reply; if there is none, the one that says most of
  // what has become of the request.
  wire::CallReply Run(const HedgedRequest& request);

  void AddMetrics(SidecarMetrics& metrics) const;

  std::int64_t sent() const { return this->CountOf(HedgeVerdict::kSend); }
  std::int64_t won() const { return this->wins; }
  std::int64_t CountOf(HedgeVerdict verdict) const {
    return this->verdicts[static_cast<std::size_t>(verdict)];
  }

 private:
  HedgeVerdict Decide(const HedgedRequest& request);

  IoLoop& loop;
  FleetRetryBudget& retries;
  EventLog& events;
  HedgePolicy hedge_policy;
  std::array<std::int64_t, kHedgeVerdicts> verdicts{};
  std::int64_t wins = 0;  // Second sends whose answer was returned.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_HEDGE_HOST_H_
