#include "src/routing/endpoint_table.h"

#include <functional>
#include <memory>

namespace tanagerledge {
namespace {

EndpointEntry* FindInChain(EndpointEntry* head, const NodeId& node) {
  for (EndpointEntry* entry = head; entry != nullptr; entry = entry->next) {
    if (entry->node == node) {
      return entry;
    }
  }
  return nullptr;
}

}  // namespace

EndpointTable::~EndpointTable() {
  for (std::atomic<EndpointEntry*>& bucket : this->buckets) {
    std::unique_ptr<EndpointEntry> entry(bucket.load());
    while (entry) {
      entry.reset(entry->next);
    }
  }
}

EndpointEntry* EndpointTable::Find(const NodeId& node) const {
  const std::size_t index = std::hash<NodeId>()(node) % kBuckets;
  return FindInChain(this->buckets[index].load(std::memory_order_acquire),
                     node);
}

EndpointEntry* EndpointTable::FindOrAdd(const NodeId& node) {
  std::atomic<EndpointEntry*>& bucket =
      this->buckets[std::hash<NodeId>()(node) % kBuckets];
  EndpointEntry* head = bucket.load(std::memory_order_acquire);
  if (EndpointEntry* found = FindInChain(head, node)) {
    return found;
  }
  if (this->size.load(std::memory_order_relaxed) >= kMaxEntries) {
    return nullptr;
  }
  auto added = std::make_unique<EndpointEntry>(node);
  while (true) {
    added->next = head;
    if (bucket.compare_exchange_weak(head, added.get(),
                                     std::memory_order_acq_rel,
                                     std::memory_order_acquire)) {
      this->size.fetch_add(1, std::memory_order_relaxed);
      return added.release();
    }
    if (EndpointEntry* found = FindInChain(head, node)) {
      return found;
    }
  }
}

}  // namespace tanagerledge
