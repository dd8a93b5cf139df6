// Generates the release notes and endpoints of a synthetic fleet of any size.
// The output depends only on the arguments, so that runs are comparable.

#ifndef TANAGERLEDGE_BENCHMARKS_FLEET_GENERATOR_H_
#define TANAGERLEDGE_BENCHMARKS_FLEET_GENERATOR_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tanagerledge/snapshot.h"

namespace tanagerledge {

struct FleetSize {
  std::size_t endpoints = 9500;
  std::size_t services = 610;
  std::size_t routes_per_service = 3;
  std::size_t ranks = 4;
  std::size_t zones = 18;
};

// Returns the default fleet with its endpoints and services scaled by
// numerator / denominator.
FleetSize ScaledFleet(std::size_t numerator, std::size_t denominator);

// Returns a note that adds all ranks, services and routes to the empty state.
std::string MakeFullNote(const FleetSize& size);

// Returns a note that changes the first route of `service` in that state.
// `base` is the release that the note is based on.
std::string MakeOneChangeNote(std::size_t service, ReleaseNumber base);

// Returns a request path that matches a route of that state. Successive call
// numbers visit all services.
std::string MakePath(const FleetSize& size, std::size_t call_number);

std::vector<Endpoint> MakeEndpoints(const FleetSize& size);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BENCHMARKS_FLEET_GENERATOR_H_
