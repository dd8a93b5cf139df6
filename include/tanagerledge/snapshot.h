// What one node serves at one moment: a release and the endpoints known.
//
// A snapshot never changes once built. Calls hold the one they started with;
// a newer one replaces it whole (see SnapshotCell in src/node).

#ifndef TANAGERLEDGE_SNAPSHOT_H_
#define TANAGERLEDGE_SNAPSHOT_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Release -------------------------------------------------------------------

// How one rank of work is treated.
struct RankPolicy {
  RankName name;
  std::chrono::milliseconds target{0};  // Answer time to aim for.
  int worth = 0;                        // Greater is more urgent.
  int floor_percent = 0;  // Share of capacity kept while others flood.

  bool operator==(const RankPolicy&) const = default;
};

// Which calls go to which service, and how.
struct Route {
  RouteName name;
  std::string prefix;  // Of the request path; the longest match wins.
  ServiceName service;
  RankName rank;
  bool idempotent = false;
  std::chrono::milliseconds deadline{0};

  bool operator==(const Route&) const = default;
};

// 16 bytes that name a release and everything before it.
using Digest = std::array<std::uint8_t, 16>;

// The state that a release puts in force: equal on every node by its digest.
struct FleetState {
  ReleaseNumber release;
  Digest digest{};
  std::vector<ServiceName> services;  // Sorted.
  std::map<RankName, RankPolicy> ranks;
  std::map<RouteName, Route> routes;
};

// Endpoints -----------------------------------------------------------------

enum class EndpointState { kWarming = 0, kReady = 1, kDraining = 2, kGone = 3 };

// One backend server with the node beside it.
struct Endpoint {
  NodeId node;
  ServiceName service;
  Zone zone;
  EndpointState state = EndpointState::kReady;
  int slots = 0;
  Instant since{};  // When this node first saw the state: start of warm-up.
};

// Snapshot ------------------------------------------------------------------

class Snapshot {
 public:
  Snapshot(std::shared_ptr<const FleetState> fleet_state,
           std::vector<Endpoint> endpoints);

  const FleetState& fleet() const { return *this->fleet_state; }
  std::shared_ptr<const FleetState> SharedFleet() const {
    return this->fleet_state;
  }

  // The route with the longest prefix of `path`, or null.
  const Route* Match(std::string_view path) const;

  // The policy of a rank, or null.
  const RankPolicy* Rank(const RankName& rank) const;

  // Endpoints of a service that is in the release; empty for any other.
  const std::vector<Endpoint>& EndpointsOf(const ServiceName& service) const;

 private:
  // A prefix of the routing table.
  struct PrefixEntry {
    std::string_view prefix;
    const Route* route = nullptr;
    // Index of the longest other prefix that this one starts with, or -1.
    std::ptrdiff_t shorter = -1;
  };

  void BuildPrefixes();

  std::shared_ptr<const FleetState> fleet_state;
  std::vector<PrefixEntry> by_prefix;  // Sorted by prefix, each one once.
  std::unordered_map<ServiceName, std::vector<Endpoint>> by_service;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SNAPSHOT_H_
