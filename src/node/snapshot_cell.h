// The snapshot in force, for many readers and one writer: read, copy, update.
//
// The writer puts a whole new snapshot in place. Each worker thread reads
// through a SnapshotReader of its own: one atomic load when nothing changed.

#ifndef TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_
#define TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

#include "tanagerledge/snapshot.h"

namespace tanagerledge {

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

  // Grows with each Store.
  std::uint64_t version() const {
    return this->stored_version.load(std::memory_order_acquire);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const Snapshot> newest;
  std::atomic<std::uint64_t> stored_version{0};
};

// One thread's view of the cell.
class SnapshotReader {
 public:
  explicit SnapshotReader(const SnapshotCell& source) : cell(source) {}

  // A call keeps what it got here until it ends.
  const std::shared_ptr<const Snapshot>& Read() {
    const std::uint64_t version = this->cell.version();
    if (version != this->seen) {
      this->seen = version;
      this->held = this->cell.Load();
    }
    return this->held;
  }

 private:
  const SnapshotCell& cell;
  std::uint64_t seen = 0;
  std::shared_ptr<const Snapshot> held;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_SNAPSHOT_CELL_H_
