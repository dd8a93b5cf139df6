// Publishes the current snapshot from one writer to many reader threads by
// read-copy-update.
//
// The writer stores each new snapshot as a whole. Each worker thread reads
// through its own SnapshotReader, which costs one atomic load when nothing has
// changed.

#ifndef TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_
#define TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

#include "tanagerledge/snapshot.h"

namespace tanagerledge {

// Holds the current snapshot. Thread-safe.
class SnapshotCell {
 public:
  void Store(std::shared_ptr<const Snapshot> snapshot) {
    const std::scoped_lock lock(this->mutex);
    this->newest = std::move(snapshot);
    this->stored_version.fetch_add(1, std::memory_order_release);
  }

  // Null before the first Store.
  std::shared_ptr<const Snapshot> Load() const {
    const std::scoped_lock lock(this->mutex);
    return this->newest;
  }

  // Increases with each Store.
  std::uint64_t version() const {
    return this->stored_version.load(std::memory_order_acquire);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const Snapshot> newest;
  std::atomic<std::uint64_t> stored_version{0};
};

// Caches the current snapshot of a cell for one thread.
class SnapshotReader {
 public:
  explicit SnapshotReader(const SnapshotCell& source) : cell(source) {}

  // Returns the current snapshot, or null before the first Store. A call copies
  // the pointer, so that it uses the same snapshot until it ends.
  const std::shared_ptr<const Snapshot>& Read() {
    const std::uint64_t version = this->cell.version();
    if (version != this->seen_version) {
      this->seen_version = version;
      this->cached = this->cell.Load();
    }
    return this->cached;
  }

 private:
  const SnapshotCell& cell;
  std::uint64_t seen_version = 0;
  std::shared_ptr<const Snapshot> cached;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_
