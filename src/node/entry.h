// The entry point of callers into the mesh. Matches each call to a route,
// chooses an endpoint, sends the call there, retries it at other endpoints when
// that is safe, and answers with an outcome and a reason.

#ifndef TANAGERLEDGE_SRC_NODE_ENTRY_H_
#define TANAGERLEDGE_SRC_NODE_ENTRY_H_

#include <peer_types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/adapters/http_message.h"
#include "src/adapters/peer_transport.h"
#include "src/node/backend_link.h"
#include "src/node/call_metrics.h"
#include "src/node/executor.h"
#include "src/node/snapshot_cell.h"
#include "tanagerledge/endpoint_chooser.h"
#include "tanagerledge/retry.h"
#include "tanagerledge/session.h"

namespace tanagerledge {

// State of one worker thread. No other thread accesses it.
struct Worker {
  Worker(IoLoop& io_loop, const SnapshotCell& cell, std::uint64_t seed)
      : loop(io_loop), backend(io_loop), snapshots(cell), rng(seed) {}

  IoLoop& loop;
  BackendLink backend;
  SnapshotReader snapshots;
  Rng rng;
  PeerPort* peers = nullptr;
  std::unordered_map<std::string, std::unique_ptr<RetryBudget>> budgets;
};

// Handles the calls of callers. One object serves all worker threads.
class Entry {
 public:
  // Returns why calls are refused now, or an empty text when the node may
  // serve.
  using NotReady = std::function<std::string()>;

  Entry(NodeId own_node,
        Zone own_zone,
        Executor& own_executor,
        EndpointChooser& endpoint_chooser,
        CallMetrics& call_metrics,
        DecisionLog& decision_log);

  // Handles one call and returns its answer. Runs in a fiber of the worker's
  // loop.
  HttpResponse Handle(Worker& worker, const HttpRequest& request);

  // Calls are refused as not run while `ready` is false or `shutting_down` is
  // true. The control thread sets `ready`.
  std::atomic<bool> ready{false};
  std::atomic<bool> shutting_down{false};

 private:
  struct Call;

  std::optional<wire::CallReply> Prepare(Worker& worker, Call& call);
  std::optional<wire::CallReply> AwaitRelease(Worker& worker, Call& call);
  wire::CallReply SendWithRetries(Worker& worker, Call& call);
  std::optional<NodeId> Choose(Worker& worker, Call& call);
  wire::CallReply SendTo(Worker& worker, Call& call, const NodeId& node);
  wire::CallReply Forward(Worker& worker, Call& call, const NodeId& node);
  static wire::CallRequest MakeRequest(const Call& call);
  static RetryBudget& RetryBudgetOf(Worker& worker, const Call& call);

  const NodeId self;
  const Zone zone;
  Executor& executor;
  EndpointChooser& chooser;
  CallMetrics& metrics;
  DecisionLog& decisions;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_ENTRY_H_
