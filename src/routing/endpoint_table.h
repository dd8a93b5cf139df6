// What this node has learned of each endpoint, shared by its worker threads.
//
// The table only grows: an entry is published once by an atomic pointer and
// stays where it is, so that readers need neither locks nor reference counts.
// It is bounded; an endpoint that does not fit goes without an entry.

#ifndef TANAGERLEDGE_SRC_ROUTING_ENDPOINT_TABLE_H_
#define TANAGERLEDGE_SRC_ROUTING_ENDPOINT_TABLE_H_

#include <array>
#include <atomic>
#include <cstddef>

#include "tanagerledge/types.h"

namespace tanagerledge {

struct EndpointEntry {
  explicit EndpointEntry(const NodeId& id) : node(id) {}

  const NodeId node;
  EndpointEntry* next = nullptr;  // Set before the entry is published.

  std::atomic<int> in_flight{0};
};

class EndpointTable {
 public:
  static constexpr std::size_t kMaxEntries = 32'768;

  EndpointTable() = default;
  ~EndpointTable();
  EndpointTable(const EndpointTable&) = delete;
  EndpointTable& operator=(const EndpointTable&) = delete;

  // The entry of `node`, or null.
  EndpointEntry* Find(const NodeId& node) const;

  // The entry of `node`, made if there is none; null when the table is full.
  EndpointEntry* FindOrAdd(const NodeId& node);

 private:
  static constexpr std::size_t kBuckets = 4'096;

  std::array<std::atomic<EndpointEntry*>, kBuckets> buckets{};
  std::atomic<std::size_t> size{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROUTING_ENDPOINT_TABLE_H_
