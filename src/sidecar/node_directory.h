// Reads and writes the node list in the store, through which nodes discover one
// another. A restarted node learns from it about the fleet and about its own
// backend server.
//
// Failure pattern: many or all nodes lose power at once. Gossip takes a second
// or two to fill an empty member table; the list takes one read. Each node
// reads it at its start. Of the nodes that start at once none may see another
// one, so the readers of the configuration, which every group of nodes has,
// read it again some seconds later. Its content is only a hint: the node next
// to a backend server decides whether to run a call, and a wrong hint costs one
// hop.

#ifndef TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_
#define TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_

#include <peer_types.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/sidecar/node_record_schedule.h"
#include "src/sidecar/store_calls.h"
#include "tanagerledge/backend_life.h"
#include "tanagerledge/ports.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class NodeDirectory {
 public:
  using Records = std::map<NodeId, wire::NodeRecord>;
  // Receives the list after each read, including the record that this node
  // wrote before its restart.
  using Sink = std::function<void(const Records&)>;

  NodeDirectory(IoLoop& loop,
                KeyedLogPort& store,
                EventLog& events,
                StoreCalls& calls,
                std::string_view stream,
                NodeId self,
                Zone zone,
                Sink sink);

  // Starts the fiber that reads the list and writes this node's record, and
  // retries each until it succeeds.
  void Start();
  // Reads the list once more.
  void RequestRead() { this->read_requested = true; }
  // Makes sure that this node is listed, and reads the list after that: of two
  // nodes that do so at once, at least one sees the other.
  void RequestListing();

  // Another node reports this era of the store. This node's record is written
  // again; the response shows the era.
  void OnReportedEra(StoreEra reported);

  // Sets the state of the local backend server, which NodeRecordSchedule
  // decides when to write.
  void SetBackend(const Heartbeat& backend, EndpointState state);
  // Sets the calls under which backend servers beside this node died. Written
  // when the set of calls changes.
  void SetQuarantined(std::vector<wire::QuarantineRecord> quarantined);

 private:
  void Run();
  bool ReadList();
  void WriteOwn();
  void UpdateEra();

  IoLoop& loop;
  KeyedLogPort& store;
  EventLog& events;
  StoreCalls& calls;
  const std::string stream;
  const NodeId self;
  const Sink sink;
  wire::NodeRecord own_record;
  NodeRecordSchedule schedule;
  bool list_read = false;       // At least once.
  bool own_record_set = false;  // SetBackend was called.
  bool read_requested = false;
  StoreEra era;  // In which the record was last read or written.
  StoreEra reported_era;
  int writes_for_report =
      0;  // Since the report, without a response of its era.
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_NODE_DIRECTORY_H_
