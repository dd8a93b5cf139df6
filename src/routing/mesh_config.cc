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
                       ClientLimits client_limits,
                       std::vector<ClientAccountConfig> all_accounts)
    : version_number(config_version),
      route_list(std::move(all_routes)),
      client(client_limits),
      account_list(std::move(all_accounts)) {
  this->by_prefix.reserve(this->route_list.size());
  for (std::size_t i = 0; i < this->route_list.size(); ++i) {
    this->by_prefix[this->route_list[i].host + this->route_list[i].prefix] = i;
  }
  std::ranges::for_each(all_services, [this](MeshService& service) {
    this->services.emplace(service.name, std::move(service));
  });
  for (std::size_t i = 0; i < this->account_list.size(); ++i) {
    this->account_by_name[this->account_list[i].name] = i;
    std::ranges::for_each(
        this->account_list[i].keys,
        [this, i](const std::string& key) { this->account_by_key[key] = i; });
  }
}

const MeshRoute* MeshConfig::Match(std::string_view host,
                                   std::string_view path) const {
  std::string key = LowerHost(host);
  const std::size_t host_bytes = key.size();
  key += path.substr(0, path.find('?'));
  // Every prefix ends with a slash, so the path is shortened from slash to
  // slash.
  std::size_t slash_position = key.rfind('/');
  while (slash_position != std::string::npos && slash_position >= host_bytes) {
    key.resize(slash_position + 1);
    if (const auto found = this->by_prefix.find(key);
        found != this->by_prefix.end()) {
      return &this->route_list[found->second];
    }
    if (slash_position == host_bytes) {
      break;
    }
    slash_position = key.rfind('/', slash_position - 1);
  }
  return nullptr;
}

const MeshService* MeshConfig::Service(const ServiceName& name) const {
  const auto found = this->services.find(name);
  return found == this->services.end() ? nullptr : &found->second;
}

const ClientAccountConfig* MeshConfig::AccountWithKey(
    const std::string& key) const {
  const auto found = this->account_by_key.find(key);
  return found == this->account_by_key.end()
             ? nullptr
             : &this->account_list[found->second];
}

const ClientAccountConfig* MeshConfig::Account(
    const ClientAccount& name) const {
  const auto found = this->account_by_name.find(name);
  return found == this->account_by_name.end()
             ? nullptr
             : &this->account_list[found->second];
}

}  // namespace tanagerledge
