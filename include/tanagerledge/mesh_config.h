// The whole configuration of a mesh at one version: which requests go to which
// service, and how long and how often they may be tried.
//
// A configuration never changes once built; a newer one replaces it whole.

#ifndef TANAGERLEDGE_MESH_CONFIG_H_
#define TANAGERLEDGE_MESH_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagerledge/types.h"

namespace tanagerledge {

// One target of a route and its share of the route's requests.
struct WeightedService {
  ServiceName service;
  int weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct MeshRoute {
  RouteName name;
  std::string host;    // In lower case, without a port.
  std::string prefix;  // Begins and ends with a slash; the longest match wins.
  std::vector<WeightedService> services;  // Never empty.
  bool idempotent = false;                // May run more than once.
  int priority = 0;                       // 0 is the most urgent.
  int max_attempts = 1;  // Backend servers that one request may be sent to.
  std::chrono::milliseconds timeout{0};  // Longest time to keep a caller.
  std::chrono::milliseconds target{0};   // Answer time to aim for.

  bool operator==(const MeshRoute&) const = default;
};

struct MeshService {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;

  bool operator==(const MeshService&) const = default;
};

// What a client may send, and how long it may take or stay idle.
struct ClientLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  bool operator==(const ClientLimits&) const = default;
};

class MeshConfig {
 public:
  MeshConfig(std::uint64_t config_version,
             std::vector<MeshRoute> all_routes,
             std::vector<MeshService> all_services,
             ClientLimits client_limits);

  std::uint64_t version() const { return this->number; }
  const std::vector<MeshRoute>& routes() const { return this->all; }
  const ClientLimits& limits() const { return this->client; }

  // The route of `host` with the longest prefix of `path`, or null. The host
  // may carry a port and upper case, the path a query.
  const MeshRoute* Match(std::string_view host, std::string_view path) const;

  // The service, or null.
  const MeshService* Service(const ServiceName& name) const;

 private:
  std::uint64_t number;
  std::vector<MeshRoute> all;
  std::unordered_map<ServiceName, MeshService> services;
  ClientLimits client;
  // Host and prefix in one text, to the index of the route.
  std::unordered_map<std::string, std::size_t> by_prefix;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MESH_CONFIG_H_
