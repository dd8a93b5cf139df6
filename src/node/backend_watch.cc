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

// The string under `key`, or an empty one when it is absent or not a string.
std::string StringField(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// The whole number under `key`, or 0 when it is absent or not a whole number.
int IntField(const nlohmann::json& object, const char* key) {
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
    return tl::unexpected(std::string("the body is not a JSON object"));
  }
  Announcement announcement;
  announcement.service.value = StringField(json, "service");
  announcement.backend.value = StringField(json, "address");
  announcement.instance = StringField(json, "instance");
  announcement.slots = IntField(json, "slots");
  announcement.connections = IntField(json, "connections");
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
  const std::string state = StringField(json, "state");
  const auto found_state =
      std::ranges::find(kStateNames, state, &StateName::name);
  if (found_state == kStateNames.end()) {
    return tl::unexpected(
        std::string("'state' must be warming, ready or draining"));
  }
  announcement.state = found_state->state;
  return announcement;
}

bool BackendWatch::OnAnnounced(const Announcement& announcement, Instant now) {
  const std::scoped_lock lock(this->mutex);
  const bool fresh =
      this->current && now - this->last_announced <= kAnnouncementTimeout;
  const bool same_instance = fresh &&
                             this->current->instance == announcement.instance &&
                             this->current->backend == announcement.backend;
  Announcement next = announcement;
  if (std::exchange(this->next_is_draining, false)) {
    next.state = EndpointState::kDraining;
  }
  // An instance that drains stays draining until it ends.
  const bool is_identified = !announcement.instance.empty() || same_instance;
  if (is_identified && this->draining_instance == announcement.instance) {
    next.state = EndpointState::kDraining;
  }
  if (next.state == EndpointState::kDraining) {
    this->draining_instance = next.instance;
  }
  const bool changed = !same_instance || this->current->state != next.state ||
                       this->current->slots != next.slots ||
                       this->current->service != next.service;
  this->last_instance = next.instance;
  this->current = std::move(next);
  this->last_announced = now;
  return changed;
}

void BackendWatch::OnDrain() {
  const std::scoped_lock lock(this->mutex);
  this->draining_instance = this->last_instance;
  this->next_is_draining = !this->last_instance;
  if (this->current) {
    this->current->state = EndpointState::kDraining;
  }
}

bool BackendWatch::OnDied() {
  const std::scoped_lock lock(this->mutex);
  const bool known = this->current.has_value();
  this->current.reset();
  return known;
}

std::optional<Announcement> BackendWatch::Current(Instant now) const {
  const std::scoped_lock lock(this->mutex);
  if (!this->current || now - this->last_announced > kAnnouncementTimeout) {
    return std::nullopt;
  }
  return this->current;
}

}  // namespace tanagerledge
