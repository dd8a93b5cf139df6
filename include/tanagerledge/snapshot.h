// The routing state of one node at one moment: a release and the known
// endpoints.
//
// A snapshot is immutable. Each call keeps the snapshot with which it started;
// a newer snapshot replaces it as a whole (see SnapshotCell in src/node).

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

// Scheduling policy of one rank.
struct RankPolicy {
  RankName name;
  std::chrono::milliseconds target{0};  // Desired answer time.
  int worth = 0;                        // Greater is more urgent.
  int floor_percent = 0;  // Share of capacity guaranteed under overload.

  bool operator==(const RankPolicy&) const = default;
};

// Maps calls to a service and a rank.
struct Route {
  RouteName name;
  std::string prefix;  // Prefix of the request path; the longest match wins.
  ServiceName service;
  RankName rank;
  bool idempotent = false;
  std::chrono::milliseconds deadline{0};

  bool operator==(const Route&) const = default;
};

// 16 bytes that identify a release and all releases before it.
using Digest = std::array<std::uint8_t, 16>;

// The state that a release activates. Nodes with equal digests have equal
// states.
struct FleetState {
  ReleaseNumber release;
  Digest digest{};
  std::vector<ServiceName> services;  // Sorted.
  std::map<RankName, RankPolicy> ranks;
  std::map<RouteName, Route> routes;
};

// Endpoints -----------------------------------------------------------------

enum class EndpointState { kWarming = 0, kReady = 1, kDraining = 2, kGone = 3 };

// A backend server and its node.
struct Endpoint {
  NodeId node;
  ServiceName service;
  Zone zone;
  EndpointState state = EndpointState::kReady;
  int slots = 0;
  // When this node first saw the current state. Warm-up starts then.
  Instant since{};
  // Version of the backend server's software; announced only where roll-outs
  // are limited, empty elsewhere.
  std::string version{};
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

  // The route with the longest matching prefix of `path`, or null.
  const Route* Match(std::string_view path) const;

  // The policy of a rank, or null if it is unknown.
  const RankPolicy* Rank(const RankName& rank) const;

  // The endpoints of a service, or none if the release does not contain it.
  const std::vector<Endpoint>& EndpointsOf(const ServiceName& service) const;

 private:
  // An entry of the routing table.
  struct PrefixEntry {
    std::string_view prefix;
    const Route* route = nullptr;
    // Index of the longest other entry whose prefix this prefix starts with, or
    // -1.
    std::ptrdiff_t shorter_index = -1;
  };

  void BuildPrefixes();

  std::shared_ptr<const FleetState> fleet_state;
  std::vector<PrefixEntry> by_prefix;  // Sorted by prefix, without duplicates.
  std::unordered_map<ServiceName, std::vector<Endpoint>> by_service;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SNAPSHOT_H_
