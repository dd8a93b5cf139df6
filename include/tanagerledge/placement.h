// Load balancer: chooses the node for each call by the time at which the call
// is expected to end there.
//
// Load pattern: the backend servers of a service differ in speed by a factor of
// up to 3. Some become slow, are cold after a start or fail part of their
// calls, and many nodes choose at the same time by outdated load reports. Each
// reply carries the load of the node that sent it, and each call the load of
// the node that it comes from. Until the next report of a node, its calls in
// flight from here are added, and the weight of the report decays towards what
// the node usually reports.
//
// A node draws a few random candidates, with weights in proportion to their
// speed and slots, and takes the best of them. In a fleet of sixty, each node
// gets a report from a given backend server only every few seconds. If all
// nodes took the best one that they know, they would all choose the same few. A
// call to another availability zone has an extra cost, so that calls leave
// their own zone only when it is busy.
//
// The class has no I/O and reads no clock. It is not thread safe.

#ifndef TANAGERLEDGE_PLACEMENT_H_
#define TANAGERLEDGE_PLACEMENT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagerledge/load.h"
#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// A call to be placed.
struct PlacementRequest {
  ServiceName service;
  std::span<const NodeId> tried;        // Excluded: the call was sent there.
  std::chrono::microseconds target{0};  // Time left to the target; may be 0.
  // The kind of work, and its mean time at a backend server, which is used
  // until the servers have reported theirs; 0 if it is not known yet.
  RouteName kind;
  std::chrono::microseconds work{0};
  // Mean time for which this kind of work waits for its nested calls. It does
  // not depend on the speed of the backend server.
  std::chrono::microseconds nested_wait{0};
  std::size_t bytes = 0;  // Expected size of the request and its answer.
  // Time that the request takes on the link of this node, unless it is sent to
  // the backend server beside it.
  std::chrono::microseconds upload_time{0};
  // Restrict the candidates by the version of their backend server. A backend
  // server without a version matches no `only_version` and any `not_version`.
  std::optional<std::string_view> only_version;
  std::optional<std::string_view> not_version;
};

class Placement {
 public:
  // `seed` differs between nodes, so that they draw different candidates.
  Placement(Zone own_zone, std::uint64_t seed, NodeId own_node = {});
  Placement(Placement&&) = default;
  Placement& operator=(Placement&&) = default;

  // Sets the known endpoints of all services. Endpoints that are gone or
  // draining are never chosen.
  void SetEndpoints(const std::vector<Endpoint>& endpoints);

  // Sets whether a connection to the node is open. Nodes count as connected
  // until the first call of this method.
  void SetConnected(const NodeId& node, bool connected);

  // The node to send to, or nothing if no endpoint of the service is left.
  std::optional<NodeId> Choose(const PlacementRequest& request, Instant now);

  // A call was sent to the node. Exactly one of OnReply, OnUnreachable and
  // OnCancel follows.
  void OnSent(const NodeId& node);
  void OnReply(const NodeId& node,
               const ServiceName& service,
               const LoadReport& load,
               Instant now);
  void OnUnreachable(const NodeId& node, Instant now);
  // Another node reported its load without being asked.
  void OnLoad(const NodeId& node, const LoadReport& load, Instant now);
  // A node reported how long a kind of work usually takes at its backend
  // server.
  void OnKindTime(const NodeId& node, const KindTime& reported);
  // The caller has left, or the call was answered elsewhere, so the result of
  // this send is unknown.
  void OnCancel(const NodeId& node);

  // Mean of running and waiting calls for each slot of the service; 0 before
  // the first reply.
  double LoadPerSlot(const ServiceName& service) const;

 private:
  // Statistics of another node. They are kept while its endpoint is absent.
  struct NodeStats {
    LoadReport load;
    Instant reported{};
    int in_flight = 0;            // Calls of this node that are there now.
    int in_flight_at_report = 0;  // The same when the report arrived.
    double usual_calls = 0;       // Of other nodes, by the reports so far.
    ServiceName service;          // Of its endpoint.
    std::vector<KindTime> kind_times;
    // Usual work time over the mean of the service for the same kinds of work;
    // 0 before the first report.
    double relative_time = 0;
    Instant avoided_until{};  // It was unreachable or had no slots.
    bool connected = true;
  };
  struct Candidate {
    NodeId node;
    int slots = 0;
    std::string version;
    const NodeStats* stats = nullptr;  // Owned by `stats_by_node`.
    bool is_local = false;             // Beside this node.
  };
  // The candidates of one service in the own zone or in the other zones, with
  // the weights with which they are drawn.
  struct CandidateGroup {
    std::vector<Candidate> candidates;
    std::vector<double> weight_sums;  // Of the candidates up to each one.
    Instant weighted_at{};
  };
  struct ServiceCandidates {
    CandidateGroup in_own_zone;
    CandidateGroup in_other_zones;
    std::optional<std::size_t> local_index;  // In `in_own_zone`.
  };
  // Mean load of a service over the replies of all its backend servers.
  struct ServiceLoad {
    double load_per_slot = 0;  // Running and waiting calls for each slot.
    std::chrono::microseconds work_time{0};
  };
  // Sum over the backend servers of the usual times of a kind of work.
  struct KindSum {
    double us = 0;
    int servers = 0;
    double mean_us() const { return this->us / std::max(1, this->servers); }
  };
  using KindSums = std::unordered_map<RouteName, KindSum>;
  // The inputs of one choice.
  struct Choice {
    const PlacementRequest& request;
    ServiceLoad service_load;
    // Time of this kind of work at a backend server of average speed.
    std::chrono::microseconds work{0};
    Instant now{};
  };
  struct ExpectedTime {
    std::chrono::microseconds wait{0};  // For a slot.
    std::chrono::microseconds total{0};
  };
  // The best candidate found so far.
  struct BestCandidate {
    const Candidate* candidate = nullptr;
    double cost = 0;
    std::chrono::microseconds wait{0};
  };

  // Whether the request may be sent to the candidate.
  static bool IsAllowed(const Candidate& candidate,
                        const PlacementRequest& request);
  // Considers a random sample of the candidates, or all if there are few.
  // `extra_cost` is added to the cost of each of them.
  void ConsiderSample(CandidateGroup& group,
                      double extra_cost,
                      const Choice& choice,
                      BestCandidate& best);
  static std::vector<double> SumWeights(const CandidateGroup& group,
                                        const Choice& choice,
                                        bool only_allowed);
  static void Consider(const Candidate& candidate,
                       double extra_cost,
                       const Choice& choice,
                       BestCandidate& best);
  static double RelativeTimeOf(const NodeStats& stats, const Choice& choice);
  static ExpectedTime ExpectedTimeAt(const Candidate& candidate,
                                     const Choice& choice);
  static double CrossingCost(const BestCandidate& at_home,
                             const Choice& choice);
  // Forgets what is known of the work times at the node.
  void ForgetKindTimes(NodeStats& stats);
  std::chrono::microseconds WorkOf(const Choice& choice) const;
  void UpdateRelativeTime(NodeStats& stats) const;
  static void UpdateStats(NodeStats& stats,
                          const LoadReport& load,
                          Instant now);

  Zone zone;
  NodeId self;
  std::minstd_rand random;
  std::unordered_map<ServiceName, ServiceCandidates> candidates_by_service;
  std::unordered_map<ServiceName, ServiceLoad> load_by_service;
  std::unordered_map<ServiceName, KindSums> kinds_by_service;
  // Candidates point to the values.
  std::unordered_map<NodeId, NodeStats> stats_by_node;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_PLACEMENT_H_
