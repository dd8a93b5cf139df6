// What the requests of one route cost, as one entry node learns it from the
// replies: the time at a backend server, the part of it for which nested calls
// are awaited, and the bytes on the wire.
//
// The class has no I/O and reads no clock. It is not thread safe.

#ifndef TANAGERLEDGE_ROUTE_COST_H_
#define TANAGERLEDGE_ROUTE_COST_H_

#include <chrono>
#include <cstddef>

namespace tanagerledge {

// One answered request of a route.
struct RouteSample {
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 0;
  std::chrono::microseconds backend_time{0};  // Holding a slot.
  // The part of it at work, without nested calls; 0 if it is not known.
  std::chrono::microseconds work{0};
};

class RouteCost {
 public:
  void Add(const RouteSample& sample);

  // Mean time at a backend server, or 0 before the first sample.
  std::chrono::microseconds backend_time() const;
  // Mean part of it for which nested calls are awaited.
  std::chrono::microseconds nested_wait() const;
  // Bytes of a request with a body of this size, and of its answer.
  std::size_t BytesWith(std::size_t request_bytes) const;

 private:
  int samples = 0;
  double backend_time_us = 0;
  double nested_wait_us = 0;
  double answer_bytes = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_ROUTE_COST_H_
