#include "tanagerledge/mesh_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace tanagerledge {
namespace {

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

}  // namespace

MeshConfig::MeshConfig(std::uint64_t config_version,
                       std::vector<MeshRoute> all_routes,
                       std::vector<MeshService> all_services,
                       ClientLimits client_limits)
    : number(config_version),
      all(std::move(all_routes)),
      client(client_limits) {
  this->by_prefix.reserve(this->all.size());
  for (std::size_t i = 0; i < this->all.size(); ++i) {
    this->by_prefix[this->all[i].host + this->all[i].prefix] = i;
  }
  std::ranges::for_each(all_services, [this](MeshService& service) {
    this->services.emplace(service.name, std::move(service));
  });
}

const MeshRoute* MeshConfig::Match(std::string_view host,
                                   std::string_view path) const {
  std::string key = LowerHost(host);
  const std::size_t host_bytes = key.size();
  key += path.substr(0, path.find('?'));
  // Every prefix ends with a slash: cut the path back slash by slash.
  std::size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= host_bytes) {
    key.resize(slash + 1);
    if (const auto found = this->by_prefix.find(key);
        found != this->by_prefix.end()) {
      return &this->all[found->second];
    }
    if (slash == host_bytes) {
      break;
    }
    slash = key.rfind('/', slash - 1);
  }
  return nullptr;
}

const MeshService* MeshConfig::Service(const ServiceName& name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

}  // namespace tanagerledge
