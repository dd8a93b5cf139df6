#include "benchmarks/fleet_generator.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace tanagerledge {
namespace {

constexpr std::array<std::string_view, 3> kPathVerbs = {"read", "write",
                                                        "list"};
constexpr int kSlotsPerEndpoint = 13;
constexpr int kFirstPort = 7001;
constexpr std::size_t kHostsPerOctet = 250;

std::string AppendNumber(std::string_view prefix, std::size_t number) {
  return std::string(prefix) + std::to_string(number);
}

ServiceName ServiceNameAt(std::size_t index) {
  return {AppendNumber("service-", index)};
}

std::string RouteText(std::string_view verb,
                      std::size_t service,
                      std::size_t route,
                      std::size_t ranks,
                      int deadline_ms) {
  const std::string name =
      AppendNumber("r", service) + AppendNumber("-", route);
  const std::string_view path = kPathVerbs[route % kPathVerbs.size()];
  return "[" + std::string(verb) + " route " + name + "]\nprefix = /" +
         ServiceNameAt(service).value + "/" + std::string(path) +
         AppendNumber("-", route) +
         "\nservice = " + ServiceNameAt(service).value +
         "\nrank = " + AppendNumber("rank-", (service + route) % ranks) +
         "\nidempotent = " + (route % 2 == 0 ? "yes" : "no") +
         "\ndeadline_ms = " + std::to_string(deadline_ms) + "\n\n";
}

NodeId NodeIdAt(std::size_t index) {
  return {AppendNumber("10.", index / (kHostsPerOctet * kHostsPerOctet)) +
          AppendNumber(".", index / kHostsPerOctet % kHostsPerOctet) +
          AppendNumber(".", index % kHostsPerOctet) +
          AppendNumber(":", kFirstPort)};
}

template <typename MakeItem>
auto GenerateItems(std::size_t count, MakeItem make_item) {
  std::vector<decltype(make_item(std::size_t{0}))> items;
  items.reserve(count);
  std::generate_n(std::back_inserter(items), count,
                  [&] { return make_item(items.size()); });
  return items;
}

}  // namespace

FleetSize ScaledFleet(std::size_t numerator, std::size_t denominator) {
  FleetSize size;
  size.endpoints = size.endpoints * numerator / denominator;
  size.services = size.services * numerator / denominator;
  return size;
}

std::string MakeFullNote(const FleetSize& size) {
  constexpr int kDeadlineMs = 2000;
  std::string text = "[note]\nbase = 0\ntitle = whole fleet\n\n";
  for (std::size_t rank = 0; rank < size.ranks; ++rank) {
    text += "[add rank " + AppendNumber("rank-", rank) +
            "]\ntarget_ms = 100\nworth = " + std::to_string(rank + 1) +
            "\nfloor_percent = 5\n\n";
  }
  for (std::size_t service = 0; service < size.services; ++service) {
    text += "[add service " + ServiceNameAt(service).value + "]\n\n";
    for (std::size_t route = 0; route < size.routes_per_service; ++route) {
      text += RouteText("add", service, route, size.ranks, kDeadlineMs);
    }
  }
  return text;
}

std::string MakeOneChangeNote(std::size_t service, ReleaseNumber base) {
  constexpr int kDeadlineMs = 1500;
  const FleetSize size;
  return "[note]\nbase = " + std::to_string(base.value) + "\n\n" +
         RouteText("change", service, 0, size.ranks, kDeadlineMs);
}

std::string MakePath(const FleetSize& size, std::size_t call_number) {
  // A prime number, so that all services are visited.
  constexpr std::size_t kStride = 7919;
  const std::size_t service = call_number * kStride % size.services;
  const std::size_t route = call_number % size.routes_per_service;
  return "/" + ServiceNameAt(service).value + "/" +
         std::string(kPathVerbs[route % kPathVerbs.size()]) +
         AppendNumber("-", route) + "/part/12345";
}

std::vector<Endpoint> MakeEndpoints(const FleetSize& size) {
  return GenerateItems(size.endpoints, [&](std::size_t index) {
    Endpoint endpoint;
    endpoint.node = NodeIdAt(index);
    endpoint.service = ServiceNameAt(index % size.services);
    endpoint.zone = {AppendNumber("zone-", index % size.zones)};
    endpoint.slots = kSlotsPerEndpoint;
    return endpoint;
  });
}

}  // namespace tanagerledge
