// Lock-free hash table that many threads can read and extend.
//
// Entries are never removed. Each entry is published by an atomic pointer and
// keeps its address until the table is destroyed, so that readers need neither
// locks nor reference counts. The number of entries is bounded; when the table
// is full, new keys get no entry.

#ifndef TANAGERLEDGE_SRC_ROUTING_GROWING_TABLE_H_
#define TANAGERLEDGE_SRC_ROUTING_GROWING_TABLE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace tanagerledge {

// `Value` is default constructed and must be safe to share between threads.
template <typename Key,
          typename Value,
          std::size_t kBuckets,
          std::size_t kMaxEntries>
class GrowingTable {
 public:
  GrowingTable() = default;
  GrowingTable(const GrowingTable&) = delete;
  GrowingTable& operator=(const GrowingTable&) = delete;

  ~GrowingTable() {
    for (std::atomic<Entry*>& bucket : this->buckets) {
      std::unique_ptr<Entry> entry(bucket.load());
      while (entry) {
        entry.reset(entry->next);
      }
    }
  }

  // The value of `key`, or null if there is none.
  Value* Find(const Key& key) const {
    const std::size_t index = std::hash<Key>()(key) % kBuckets;
    Entry* head = this->buckets[index].load(std::memory_order_acquire);
    return FindInChain(head, key);
  }

  // The value of `key`, added if there is none, or null if the table is full.
  Value* FindOrAdd(const Key& key) {
    std::atomic<Entry*>& bucket =
        this->buckets[std::hash<Key>()(key) % kBuckets];
    Entry* head = bucket.load(std::memory_order_acquire);
    if (Value* found = FindInChain(head, key)) {
      return found;
    }
    if (this->size.fetch_add(1, std::memory_order_relaxed) >= kMaxEntries) {
      this->size.fetch_sub(1, std::memory_order_relaxed);
      return nullptr;
    }
    auto added = std::make_unique<Entry>(key);
    added->next = head;
    while (!bucket.compare_exchange_weak(added->next, added.get(),
                                         std::memory_order_acq_rel,
                                         std::memory_order_acquire)) {
      if (Value* found = FindInChain(added->next, key)) {
        this->size.fetch_sub(1, std::memory_order_relaxed);
        return found;
      }
    }
    return &added.release()->value;
  }

 private:
  struct Entry {
    explicit Entry(const Key& own_key) : key(own_key) {}

    const Key key;
    Entry* next = nullptr;  // Set before the entry is published.
    Value value;
  };

  static Value* FindInChain(Entry* head, const Key& key) {
    for (Entry* entry = head; entry != nullptr; entry = entry->next) {
      if (entry->key == key) {
        return &entry->value;
      }
    }
    return nullptr;
  }

  std::array<std::atomic<Entry*>, kBuckets> buckets{};
  std::atomic<std::size_t> size{0};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ROUTING_GROWING_TABLE_H_
