#include "benchmarks/fleet_generator.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace tanagerledge {
namespace {

constexpr std::array<std::string_view, 3> kVerbs = {"read", "write", "list"};
constexpr int kSlots = 13;
constexpr int kFirstPort = 7001;
constexpr std::size_t kAddressesPerByte = 250;

std::string Numbered(std::string_view prefix, std::size_t number) {
  return std::string(prefix) + std::to_string(number);
}

ServiceName ServiceOf(std::size_t index) {
  return {Numbered("service-", index)};
}

std::string RouteText(std::string_view verb,
                      std::size_t service,
                      std::size_t route,
                      std::size_t ranks,
                      int deadline_ms) {
  const std::string name = Numbered("r", service) + Numbered("-", route);
  const std::string_view path = kVerbs[route % kVerbs.size()];
  return "[" + std::string(verb) + " route " + name + "]\nprefix = /" +
         ServiceOf(service).value + "/" + std::string(path) +
         Numbered("-", route) + "\nservice = " + ServiceOf(service).value +
         "\nrank = " + Numbered("rank-", (service + route) % ranks) +
         "\nidempotent = " + (route % 2 == 0 ? "yes" : "no") +
         "\ndeadline_ms = " + std::to_string(deadline_ms) + "\n\n";
}

NodeId NodeOf(std::size_t index) {
  return {Numbered("10.", index / (kAddressesPerByte * kAddressesPerByte)) +
          Numbered(".", index / kAddressesPerByte % kAddressesPerByte) +
          Numbered(".", index % kAddressesPerByte) + Numbered(":", kFirstPort)};
}

template <typename Make>
auto MakeMany(std::size_t count, Make make) {
  std::vector<decltype(make(std::size_t{0}))> items;
  items.reserve(count);
  std::generate_n(std::back_inserter(items), count,
                  [&] { return make(items.size()); });
  return items;
}

}  // namespace

FleetSize ScaledFleet(std::size_t part, std::size_t whole) {
  FleetSize size;
  size.endpoints = size.endpoints * part / whole;
  size.services = size.services * part / whole;
  return size;
}

std::string MakeFullNote(const FleetSize& size) {
  constexpr int kDeadlineMs = 2000;
  std::string text = "[note]\nbase = 0\ntitle = whole fleet\n\n";
  for (std::size_t rank = 0; rank < size.ranks; ++rank) {
    text += "[add rank " + Numbered("rank-", rank) +
            "]\ntarget_ms = 100\nworth = " + std::to_string(rank + 1) +
            "\nfloor_percent = 5\n\n";
  }
  for (std::size_t service = 0; service < size.services; ++service) {
    text += "[add service " + ServiceOf(service).value + "]\n\n";
    for (std::size_t route = 0; route < size.routes_per_service; ++route) {
      text += RouteText("add", service, route, size.ranks, kDeadlineMs);
    }
  }
  return text;
}

std::string MakeSmallNote(std::size_t service, ReleaseNumber base) {
  constexpr int kDeadlineMs = 1500;
  const FleetSize size;
  return "[note]\nbase = " + std::to_string(base.value) + "\n\n" +
         RouteText("change", service, 0, size.ranks, kDeadlineMs);
}

std::string MakePath(const FleetSize& size, std::size_t call) {
  constexpr std::size_t kStride = 7919;  // A prime, to visit all services.
  const std::size_t service = call * kStride % size.services;
  const std::size_t route = call % size.routes_per_service;
  return "/" + ServiceOf(service).value + "/" +
         std::string(kVerbs[route % kVerbs.size()]) + Numbered("-", route) +
         "/part/12345";
}

std::vector<Endpoint> MakeEndpoints(const FleetSize& size) {
  return MakeMany(size.endpoints, [&](std::size_t index) {
    Endpoint endpoint;
    endpoint.node = NodeOf(index);
    endpoint.service = ServiceOf(index % size.services);
    endpoint.zone = {Numbered("zone-", index % size.zones)};
    endpoint.slots = kSlots;
    return endpoint;
  });
}

}  // namespace tanagerledge
