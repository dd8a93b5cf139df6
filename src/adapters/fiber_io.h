// Boost.Fiber on Boost.Asio: one io_context and one fiber scheduler per thread.
//
//   IoLoop loop;
//   loop.Start();
//   loop.Spawn([&] { /* a fiber: may call Await, SleepFor, ... */ });
//   loop.Stop();
//   loop.Join();
//
// Inside a fiber, Await waits for an asynchronous operation without blocking
// the thread:
//
//   auto done = Await<std::size_t>([&](auto handler) {
//     boost::asio::async_write(socket, buffer, std::move(handler));
//   });

#ifndef TANAGERLEDGE_SRC_ADAPTERS_FIBER_IO_H_
#define TANAGERLEDGE_SRC_ADAPTERS_FIBER_IO_H_

#include <utility>  // Asio 1.74 needs it first under C++20.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <thread>

namespace tanagerledge {

// IoLoop --------------------------------------------------------------------

class IoLoop {
 public:
  IoLoop();
  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  boost::asio::io_context& context() { return this->io; }

  // Starts the loop's thread. The loop needs a thread of its own, which ends
  // before the loop is destroyed: a thread keeps its fiber scheduler, which
  // refers to the loop, until it ends.
  void Start();

  // Waits for Stop and then until every spawned fiber has ended. Fibers that
  // wait on a socket end only when its owner closes the socket.
  void Join();

  // Calls Start, then Join.
  void Run();

  // Starts a fiber on the loop's thread. May be called from any thread.
  void Spawn(std::function<void()> work);

  // Like Spawn, but only from the loop's thread; skips the handler queue.
  void SpawnHere(std::function<void()> work);

  // Runs a short function on the loop's thread, outside any fiber, so that it
  // must not wait. May be called from any thread.
  void Post(std::function<void()> work);

  // Makes SleepFor return early, and Join return once all fibers have ended.
  // May be called from any thread.
  void Stop();
  bool stopping() const { return this->stopped.load(); }

  // Suspends the calling fiber, which must run on this loop. Returns false when
  // the loop is stopping.
  bool SleepFor(std::chrono::nanoseconds time);

 private:
  void RunThread();
  void FiberEnded();

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  // Stacks are pooled, so that the fiber of each call doesn't map new memory.
  boost::fibers::pooled_fixedsize_stack stacks;
  std::atomic<bool> stopped{false};
  int live_fibers = 0;  // Accessed only on the loop's thread.
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable stop_signal;
  std::thread thread;
};

// Await ---------------------------------------------------------------------

// Result of an asynchronous operation.
template <typename Value>
struct IoResult {
  boost::system::error_code error;
  Value value{};

  explicit operator bool() const { return !this->error; }
};

// Starts an asynchronous operation on this thread's loop and suspends the fiber
// until the completion handler has run. Doesn't allocate.
template <typename Value, typename Start>
IoResult<Value> Await(Start&& start) {
  IoResult<Value> result;
  bool done = false;
  boost::fibers::context* const waiting = boost::fibers::context::active();
  start([&result, &done, waiting](boost::system::error_code error,
                                  Value value = {}) {
    result.error = error;
    result.value = std::move(value);
    done = true;
    boost::fibers::context::active()->schedule(waiting);
  });
  while (!done) {
    waiting->suspend();
  }
  return result;
}

// Await for operations whose handler takes only an error code.
template <typename Start>
boost::system::error_code AwaitError(Start&& start) {
  boost::system::error_code result;
  bool done = false;
  boost::fibers::context* const waiting = boost::fibers::context::active();
  start([&result, &done, waiting](boost::system::error_code error) {
    result = error;
    done = true;
    boost::fibers::context::active()->schedule(waiting);
  });
  while (!done) {
    waiting->suspend();
  }
  return result;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_FIBER_IO_H_
