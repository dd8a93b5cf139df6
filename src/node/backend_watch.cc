#include "src/node/backend_watch.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kMaxNameBytes = 64;

struct StateName {
  std::string_view name;
  EndpointState state;
};

constexpr std::array<StateName, 3> kStateNames = {{
    {"warming", EndpointState::kWarming},
    {"ready", EndpointState::kReady},
    {"draining", EndpointState::kDraining},
}};

// Text of a member; empty when it is absent or no text.
std::string TextOf(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// Whole number of a member; 0 when it is absent or none.
int CountOf(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number_integer()
             ? static_cast<int>(std::clamp<std::int64_t>(
                   found->get<std::int64_t>(), 0, 1'000'000))
             : 0;
}

}  // namespace

tl::expected<Announcement, std::string> ParseAnnouncement(
    std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return tl::unexpected(std::string("the body is no JSON object"));
  }
  Announcement announcement;
  announcement.service.value = TextOf(json, "service");
  announcement.backend.value = TextOf(json, "address");
  announcement.instance = TextOf(json, "instance");
  announcement.slots = CountOf(json, "slots");
  announcement.connections = CountOf(json, "connections");
  const std::string& service = announcement.service.value;
  if (service.empty() || service.size() > kMaxNameBytes ||
      announcement.instance.size() > kMaxNameBytes) {
    return tl::unexpected(
        std::string("'service' must be a name of 1 to 64 bytes"));
  }
  if (!ParseAddress(announcement.backend.value)) {
    return tl::unexpected(std::string("'address' must be ip:port"));
  }
  if (announcement.slots < 1 || announcement.slots > kMaxSlots) {
    return tl::unexpected(
        std::string("'slots' must be a whole number from 1 to 4096"));
  }
  const std::string state = TextOf(json, "state");
  const auto named = std::ranges::find(kStateNames, state, &StateName::name);
  if (named == kStateNames.end()) {
    return tl::unexpected(
        std::string("'state' must be warming, ready or draining"));
  }
  announcement.state = named->state;
  return announcement;
}

bool BackendWatch::OnAnnounced(const Announcement& announcement, Instant now) {
  const std::scoped_lock lock(this->mutex);
  const bool fresh = this->known && now - this->heard <= kAnnouncementLife;
  const bool same_start = fresh &&
                          this->known->instance == announcement.instance &&
                          this->known->backend == announcement.backend;
  Announcement next = announcement;
  if (std::exchange(this->next_is_leaving, false)) {
    next.state = EndpointState::kDraining;
  }
  // Draining never turns back within one start of the backend server.
  const bool told_apart = !announcement.instance.empty() || same_start;
  if (told_apart && this->leaving_instance == announcement.instance) {
    next.state = EndpointState::kDraining;
  }
  if (next.state == EndpointState::kDraining) {
    this->leaving_instance = next.instance;
  }
  const bool changed = !same_start || this->known->state != next.state ||
                       this->known->slots != next.slots ||
                       this->known->service != next.service;
  this->last_instance = next.instance;
  this->known = std::move(next);
  this->heard = now;
  return changed;
}

void BackendWatch::OnDrain() {
  const std::scoped_lock lock(this->mutex);
  this->leaving_instance = this->last_instance;
  this->next_is_leaving = !this->last_instance;
  if (this->known) {
    this->known->state = EndpointState::kDraining;
  }
}

void BackendWatch::OnDied() {
  const std::scoped_lock lock(this->mutex);
  this->known.reset();
}

std::optional<Announcement> BackendWatch::Current(Instant now) const {
  const std::scoped_lock lock(this->mutex);
  if (!this->known || now - this->heard > kAnnouncementLife) {
    return std::nullopt;
  }
  return this->known;
}

}  // namespace tanagerledge
