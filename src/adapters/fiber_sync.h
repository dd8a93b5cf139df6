// Passes values between fibers, on one thread or across threads.

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

// A value that one fiber sets once and another fiber waits for. They may run on
// different threads. SetValue must not be called after the object is destroyed;
// use a shared_ptr when the setter may live longer. Only the first value
// counts, so that an error that comes later doesn't replace a reply.
template <typename Value>
class FiberPromise {
 public:
  void SetValue(Value new_value) {
    const std::scoped_lock lock(this->mutex);
    if (this->is_set) {
      return;
    }
    this->is_set = true;
    this->value = std::move(new_value);
    this->signal.notify_one();
  }

  // Waits for the value and takes it; empty when the deadline passes first.
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
  bool is_set = false;
};

// Runs `work` in a fiber of another loop and waits for its result. Returns an
// empty value when the deadline passes first; `work` still runs to its end.
template <typename Work>
auto RunOn(IoLoop& loop, Instant deadline, Work work)
    -> std::optional<decltype(work())> {
  using Value = decltype(work());
  auto promise = std::make_shared<FiberPromise<Value>>();
  loop.Spawn(
      [promise, run = std::move(work)]() mutable { promise->SetValue(run()); });
  return promise->WaitUntil(deadline);
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_FIBER_SYNC_H_
