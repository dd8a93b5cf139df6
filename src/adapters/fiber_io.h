// Fibers on Asio: one io_context and one fiber scheduler for each thread.
//
//   IoLoop loop;
//   loop.Start();
//   loop.Spawn([&] { /* a fiber: may call Await, SleepFor, ... */ });
//   loop.Stop();
//   loop.Join();
//
// Inside a fiber, an asynchronous call is awaited without blocking the thread:
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

  // Starts the loop's own thread. It must be a thread that ends before the
  // loop does: a thread keeps its fiber scheduler until it ends.
  void Start();

  // Waits for Stop, and then until every spawned fiber has ended: whoever holds
  // sockets closes them on stopping.
  void Join();

  // Start, then Join.
  void Run();

  // Starts a fiber on the loop's thread. From any thread.
  void Spawn(std::function<void()> work);

  // The same from the loop's own thread, without the detour by a queue.
  void SpawnHere(std::function<void()> work);

  // Runs a short function on the loop's thread, outside any fiber: it must not
  // wait. From any thread.
  void Post(std::function<void()> work);

  // Ends Run. From any thread.
  void Stop();
  bool stopping() const { return this->stopped.load(); }

  // Suspends the calling fiber, which runs on this loop; false once stopping.
  bool SleepFor(std::chrono::nanoseconds time);

 private:
  void RunThread();
  void FiberEnded();

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  // Stacks are reused: a fiber per call must not map memory per call.
  boost::fibers::pooled_fixedsize_stack stacks;
  std::atomic<bool> stopped{false};
  int live_fibers = 0;  // Only touched on the loop's thread.
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable stop_signal;
  std::thread thread;
};

// Await ---------------------------------------------------------------------

// How an asynchronous call ended.
template <typename Value>
struct IoResult {
  boost::system::error_code error;
  Value value{};

  explicit operator bool() const { return !this->error; }
};

// Starts an asynchronous call on this thread's loop and suspends the fiber
// until its handler has run. No allocation of its own.
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

// For calls whose handler takes only an error code.
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
