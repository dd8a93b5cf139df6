// The list of nodes in the store: how nodes find one another, and what a node
// that starts with nothing knows of the fleet and of its own backend server.
//
// Failure pattern: many or all nodes lose power at once. Gossip takes a second
// or two to fill an empty table; the list gives it in one read. What it says is
// a hint: the owner of a backend server decides, and a wrong hint costs a hop.

#ifndef TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_
#define TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_

#include <peer_types.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "tanagerledge/backend_life.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class NodeDirectory {
 public:
  using Records = std::map<NodeId, wire::NodeRecord>;
  // Gets the list after each read, this node's record from before its start
  // included.
  using Sink = std::function<void(const Records&)>;

  NodeDirectory(IoLoop& loop,
                KeyedLogPort& store,
                EventLog& events,
                std::string_view stream,
                NodeId self,
                Zone zone,
                Sink sink);

  // Starts the fiber that reads the list and writes this node down, and goes on
  // until both have worked.
  void Start();

  // The backend server beside this node has changed: written down soon.
  void Tell(const Heartbeat& backend, EndpointState state);

 private:
  void Run();
  bool ReadList();
  bool WriteOwn();

  IoLoop& loop;
  KeyedLogPort& store;
  EventLog& events;
  const std::string stream;
  const NodeId self;
  const Sink sink;
  wire::NodeRecord own;
  bool own_known = false;    // Something of this start is to be written.
  bool own_changed = false;  // Since the last write.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_
