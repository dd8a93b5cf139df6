// Randomized soak test of real node processes on loopback. Callers, backend
// servers and the store run in the process of the soak, which injects faults
// into the nodes from outside. What the callers and backend servers observe is
// checked against these rules:
//  - a request that is not idempotent runs at most once,
//  - a request that was refused as not run did not run,
//  - each answer belongs to its request,
//  - a node exits cleanly and in time after SIGTERM,
//  - the mesh serves requests again after the faults end.
//
// The same seed injects the same faults at the same times. Which calls they
// affect differs from run to run, because the nodes are real processes.

#ifndef TANAGERLEDGE_SOAK_SOAK_H_
#define TANAGERLEDGE_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace tanagerledge::soak {

struct SoakOptions {
  std::string node_program;  // Path of the node's executable.
  // Existing directory for the settings and log files of the nodes.
  std::string directory;
  std::uint64_t seed = 1;
  std::chrono::seconds fault_duration{10};
  int node_count = 6;
  // Restricts the faults to SIGTERM, SIGHUP and new configurations.
  bool planned_stops_only = false;
};

// Prints each violated rule and a summary. Returns true when there was no
// violation.
bool RunSoak(const SoakOptions& options);

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_SOAK_H_
