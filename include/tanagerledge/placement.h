// Which node a call goes to, by when it is expected to end there.
//
// Load pattern: back ends of one service differ in speed, some turn slow, cold
// or grey, and many nodes place calls at once on what they last heard. Each
// reply brings the load of the node that sent it; between replies a node adds
// its own calls in flight, and old reports lose their say. Another zone costs
// extra, so work crosses zones only where the own zone is busy.
//
// Pure: not thread safe, time and members come in as arguments.

#ifndef TANAGERLEDGE_PLACEMENT_H_
#define TANAGERLEDGE_PLACEMENT_H_

#include <chrono>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// What is asked of a place.
struct PlacementAsk {
  ServiceName service;
  std::span<const NodeId> tried;        // Not these again.
  std::chrono::microseconds target{0};  // Time left to the target; may be 0.
  std::size_t bytes = 0;  // Expected of the request and its answer.
};

class Placement {
 public:
  Placement(NodeId self, Zone own_zone);

  // Every endpoint known, of all services; those gone or draining are left out.
  void SetEndpoints(const std::vector<Endpoint>& endpoints);

  // Whether a call to the node would leave at once. Taken as so until told.
  void SetConnected(const NodeId& node, bool connected);

  // The node to send to, or nothing when no endpoint of the service is left.
  std::optional<NodeId> Choose(const PlacementAsk& ask, Instant now) const;

  // A call went to the node; exactly one of the other three follows.
  void OnSent(const NodeId& node);
  void OnReply(const NodeId& node, const LoadReport& load, Instant now);
  void OnUnreachable(const NodeId& node, Instant now);
  void OnGivenUp(const NodeId& node);  // The caller left: nothing is learned.

 private:
  struct Place {
    NodeId node;
    Zone zone;
    int slots = 0;
  };
  // What this node saw of another, kept while endpoints come and go.
  struct Evidence {
    LoadReport load;
    Instant reported{};
    int in_flight = 0;            // Own calls there now.
    int in_flight_at_report = 0;  // Of these, when the report was made.
    Instant unreachable_until{};
    bool connected = true;
  };

  double Cost(const Place& place, const PlacementAsk& ask, Instant now) const;
  static std::chrono::microseconds ExpectedTime(const Place& place,
                                                const Evidence& evidence,
                                                Instant now);

  NodeId self;
  Zone zone;
  std::unordered_map<ServiceName, std::vector<Place>> by_service;
  std::unordered_map<NodeId, Evidence> seen;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_PLACEMENT_H_
