// A randomized soak of real nodes on loopback: callers, backend servers and the
// store are in this process, faults come from outside the nodes. Checks from
// what callers and backend servers see that nothing runs twice that must not,
// that a refusal is true, that answers belong to their requests, that a node
// ends in order and in time, and that the mesh serves again once the faults
// end.
//
// The same seed draws the same faults at the same times; which calls they meet
// differs from run to run, as real processes do.

#ifndef TANAGERLEDGE_SOAK_SOAK_H_
#define TANAGERLEDGE_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace tanagerledge::soak {

struct SoakOptions {
  std::string program;    // The node's.
  std::string directory;  // Exists; settings and logs of the nodes go there.
  std::uint64_t seed = 1;
  std::chrono::seconds length{10};  // Of the faults.
  int nodes = 6;
  // Nothing but SIGTERM, SIGHUP and new configurations.
  bool stops_only = false;
};

// Prints each broken promise and a summary; true when all were kept.
bool RunSoak(const SoakOptions& options);

}  // namespace tanagerledge::soak

#endif  // TANAGERLEDGE_SOAK_SOAK_H_
