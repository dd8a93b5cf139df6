// The complete configuration of a mesh at one version: which requests go to
// which service, with their timeouts and numbers of attempts.
//
// A configuration is immutable; a newer version replaces it as a whole.

#ifndef TANAGERLEDGE_MESH_CONFIG_H_
#define TANAGERLEDGE_MESH_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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
  std::string prefix;  // Starts and ends with a slash; the longest match wins.
  std::vector<WeightedService> services;  // Never empty.
  bool idempotent = false;                // Safe to run more than once.
  int priority = 0;                       // 0 is the most urgent.
  // Maximum number of backend servers that one request is sent to.
  int max_attempts = 1;
  std::chrono::milliseconds timeout{0};  // Maximum time until the answer.
  std::chrono::milliseconds target{0};   // Desired answer time.
  bool is_public = false;  // Requests need no key of a client account.

  bool operator==(const MeshRoute&) const = default;
};

struct MeshService {
  ServiceName name;
  std::string health_path;
  int max_connections = 0;

  bool operator==(const MeshService&) const = default;
};

// A client account: the keys with which its requests are sent, its priority and
// its quota over all nodes of the fleet.
struct ClientAccountConfig {
  ClientAccount name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // Overrides the priority of routes.
  double rate = 0;              // Requests per second; 0: unlimited.
  double burst = 0;             // Requests beyond the rate at one moment.

  bool operator==(const ClientAccountConfig&) const = default;
};

// Limits for what a client sends, how long it takes and how long it stays idle.
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
             ClientLimits client_limits,
             std::vector<ClientAccountConfig> all_accounts = {});

  std::uint64_t version() const { return this->version_number; }
  const std::vector<MeshRoute>& routes() const { return this->route_list; }
  const ClientLimits& limits() const { return this->client; }

  // The route of `host` with the longest matching prefix of `path`, or null.
  // `host` may have a port and upper-case letters, and `path` may have a query.
  const MeshRoute* Match(std::string_view host, std::string_view path) const;

  // The service, or null if it is unknown.
  const MeshService* Service(const ServiceName& name) const;

  // Whether requests carry keys of client accounts.
  bool has_accounts() const { return !this->account_list.empty(); }
  const std::vector<ClientAccountConfig>& accounts() const {
    return this->account_list;
  }
  // The account that holds the key, or null. The lookup takes constant time.
  const ClientAccountConfig* AccountWithKey(const std::string& key) const;
  // The account, or null if it is unknown.
  const ClientAccountConfig* Account(const ClientAccount& name) const;

 private:
  std::uint64_t version_number;
  std::vector<MeshRoute> route_list;
  std::unordered_map<ServiceName, MeshService> services;
  ClientLimits client;
  // Maps a host followed by a prefix to the index of the route.
  std::unordered_map<std::string, std::size_t> by_prefix;
  std::vector<ClientAccountConfig> account_list;
  std::unordered_map<std::string, std::size_t> account_by_key;
  std::unordered_map<ClientAccount, std::size_t> account_by_name;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MESH_CONFIG_H_
