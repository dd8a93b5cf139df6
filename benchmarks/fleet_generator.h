// Notes and endpoints of a fleet of any size, the same each time.

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

// The same fleet with a share of the endpoints and services.
FleetSize ScaledFleet(std::size_t part, std::size_t whole);

// A note that adds all ranks, services and routes to the empty state.
std::string MakeFullNote(const FleetSize& size);

// A note that changes one route of that state; `base` as in the note.
std::string MakeSmallNote(std::size_t service, ReleaseNumber base);

// The path of a call that some route of the state takes.
std::string MakePath(const FleetSize& size, std::size_t call);

std::vector<Endpoint> MakeEndpoints(const FleetSize& size);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_BENCHMARKS_FLEET_GENERATOR_H_
