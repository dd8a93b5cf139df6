// Which node a call goes to, by when it is expected to end there.
//
// Load pattern: backend servers of one service differ in speed, some turn slow,
// cold or grey, and many nodes place calls at once on what they last heard.
// Each reply brings the load of the node that sent it; between replies a node
// adds its own calls in flight, and an old report gives way to the mean load of
// the service. A few places are drawn and the best of them is taken: in a fleet
// of sixty each node hears of a backend server every few seconds, and if all
// took the best one that they know of they would all go to the same few.
// Another zone costs extra, so work crosses zones only where the own zone is
// busy.
//
// Pure: not thread safe, time and members come in as arguments.

#ifndef TANAGERLEDGE_PLACEMENT_H_
#define TANAGERLEDGE_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// What is asked of a place.
struct PlacementRequest {
  ServiceName service;
  std::span<const NodeId> tried;        // Not these again.
  std::chrono::microseconds target{0};  // Time left to the target; may be 0.
  // Mean time of such work at a backend server of mean speed; 0 when not known
  // yet.
  std::chrono::microseconds work{0};
  std::size_t bytes = 0;  // Expected of the request and its answer.
};

class Placement {
 public:
  // `seed` differs between nodes, so that they draw different places.
  Placement(Zone own_zone, std::uint64_t seed);

  // Every endpoint known, of all services; those gone or draining are left out.
  void SetEndpoints(const std::vector<Endpoint>& endpoints);

  // Whether a call to the node would leave at once. Taken as so until told.
  void SetConnected(const NodeId& node, bool connected);

  // The node to send to, or nothing when no endpoint of the service is left.
  std::optional<NodeId> Choose(const PlacementRequest& ask, Instant now);

  // A call went to the node; exactly one of the other three follows.
  void OnSent(const NodeId& node);
  void OnReply(const NodeId& node,
               const ServiceName& service,
               const LoadReport& load,
               Instant now);
  void OnUnreachable(const NodeId& node, Instant now);
  void OnCancel(const NodeId& node);  // The caller left: nothing is learned.

 private:
  struct Place {
    NodeId node;
    int slots = 0;
  };
  using Places = std::vector<Place>;
  // The places of one service.
  struct ServicePlaces {
    Places near;  // In the own zone.
    Places far;
  };
  // What the replies of all backend servers of a service say together.
  struct ServiceLoad {
    double busy = 0;  // Calls there, running or waiting, for each slot.
    std::chrono::microseconds work{0};
  };
  // One choice: what is asked, and how loaded the service is as a whole.
  struct Choice {
    const PlacementRequest& ask;
    ServiceLoad usual;
    Instant now{};
  };
  // The best place found so far.
  struct Best {
    const Place* place = nullptr;
    double cost = 0;
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

  // `extra` is what every one of the places costs more.
  void Draw(const Places& places,
            double extra,
            const Choice& choice,
            Best& best);
  void Consider(const Place& place,
                double extra,
                const Choice& choice,
                Best& best) const;
  double Cost(const Place& place, const Choice& choice) const;
  static std::chrono::microseconds ExpectedTime(const Place& place,
                                                const Evidence& evidence,
                                                const Choice& choice);

  Zone zone;
  std::minstd_rand random;
  std::unordered_map<ServiceName, ServicePlaces> by_service;
  std::unordered_map<ServiceName, ServiceLoad> loads;
  std::unordered_map<NodeId, Evidence> seen;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_PLACEMENT_H_
