// Waiting between fibers, on one thread or across threads.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_FIBER_SYNC_H_
#define TANAGERLEDGE_SRC_ADAPTERS_FIBER_SYNC_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "src/adapters/fiber_io.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// A value that one fiber waits for and another one gives, once. Both may run on
// different threads. The giver must not outlive the object: share it if it may.
// The first value stays: an answer is not replaced by a loss that comes later.
template <typename Value>
class FiberPromise {
 public:
  void SetValue(Value value_given) {
    const std::scoped_lock lock(this->mutex);
    if (this->given) {
      return;
    }
    this->given = true;
    this->value = std::move(value_given);
    this->signal.notify_one();
  }

  // Empty when the time passed first.
  std::optional<Value> WaitUntil(Instant deadline) {
    std::unique_lock lock(this->mutex);
    this->signal.wait_until(lock, deadline,
                            [this] { return this->value.has_value(); });
    return std::exchange(this->value, std::nullopt);
  }

 private:
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable signal;
  std::optional<Value> value;
  bool given = false;
};

// Runs `work` in a fiber of another loop and waits for its value; empty when
// the time passed first (the work still runs then).
template <typename Work>
auto RunOn(IoLoop& loop, Instant deadline, Work work)
    -> std::optional<decltype(work())> {
  using Value = decltype(work());
  auto slot = std::make_shared<FiberPromise<Value>>();
  loop.Spawn(
      [slot, run = std::move(work)]() mutable { slot->SetValue(run()); });
  return slot->WaitUntil(deadline);
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_FIBER_SYNC_H_
