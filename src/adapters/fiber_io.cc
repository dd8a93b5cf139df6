#include "src/adapters/fiber_io.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <memory>
#include <mutex>
#include <utility>

namespace tanagerledge {
namespace {

// How long fibers run before the sockets are looked at again. A fiber that
// begins to run knows what had arrived by then, such as the close of its
// caller's connection, however many fibers were ready before it.
constexpr std::chrono::milliseconds kMaxTimeWithoutPoll{5};

// Fiber scheduler that runs ready fibers in FIFO order and waits in the
// io_context when none is ready. I/O handlers run only in the dispatcher's
// context: a handler that wakes the fiber which is being switched out at that
// moment would corrupt it.
class IoAlgorithm : public boost::fibers::algo::algorithm {
 public:
  explicit IoAlgorithm(boost::asio::io_context& io_context) : io(io_context) {}

  // The dispatcher is kept apart from the other fibers: in their queue, it
  // would look at the sockets only once for each round of all ready fibers.
  void awakened(boost::fibers::context* context) noexcept override {
    if (context->is_context(boost::fibers::type::dispatcher_context)) {
      this->dispatcher = context;
    } else {
      context->ready_link(this->ready);
    }
  }

  boost::fibers::context* pick_next() noexcept override {
    const bool in_dispatcher = boost::fibers::context::active()->is_context(
        boost::fibers::type::dispatcher_context);
    if (!this->ready.empty() && this->IsPollDue()) {
      if (in_dispatcher) {
        this->Poll();
      } else if (this->dispatcher != nullptr) {
        return std::exchange(this->dispatcher, nullptr);
      }
    }
    if (this->ready.empty()) {
      return std::exchange(this->dispatcher, nullptr);
    }
    boost::fibers::context* const next = &this->ready.front();
    this->ready.pop_front();
    return next;
  }

  bool has_ready_fibers() const noexcept override {
    return !this->ready.empty();
  }

  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override {
    if (until == std::chrono::steady_clock::time_point::max()) {
      this->io.run_one();
    } else {
      this->io.run_one_until(until);
    }
    this->Poll();
  }

  void notify() noexcept override {
    boost::asio::post(this->io, [] {});
  }

 private:
  bool IsPollDue() const {
    return std::chrono::steady_clock::now() - this->last_poll >=
           kMaxTimeWithoutPoll;
  }

  void Poll() noexcept {
    this->io.poll();
    this->last_poll = std::chrono::steady_clock::now();
  }

  boost::asio::io_context& io;
  boost::fibers::scheduler::ready_queue_type ready;
  boost::fibers::context* dispatcher = nullptr;  // Set while it is ready.
  std::chrono::steady_clock::time_point last_poll{};
};

}  // namespace

constexpr std::size_t kFiberStackBytes = 128 * 1024;

IoLoop::IoLoop()
    : io(1),
      work(boost::asio::make_work_guard(this->io)),
      stacks(kFiberStackBytes) {}

void IoLoop::Start() {
  this->thread = std::thread([this] { this->RunThread(); });
}

void IoLoop::Join() {
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void IoLoop::Run() {
  this->Start();
  this->Join();
}

void IoLoop::RunThread() {
  boost::fibers::use_scheduling_algorithm<IoAlgorithm>(this->io);
  std::unique_lock lock(this->mutex);
  this->stop_signal.wait(
      lock, [this] { return this->stopped.load() && this->live_fibers == 0; });
}

void IoLoop::Spawn(std::function<void()> work_function) {
  boost::asio::post(this->io, [this, run = std::move(work_function)]() mutable {
    this->SpawnHere(std::move(run));
  });
}

void IoLoop::SpawnHere(std::function<void()> work_function) {
  ++this->live_fibers;
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       this->stacks,
                       [this, run = std::move(work_function)] {
                         run();
                         this->FiberEnded();
                       })
      .detach();
}

void IoLoop::FiberEnded() {
  const std::scoped_lock lock(this->mutex);
  --this->live_fibers;
  if (this->live_fibers == 0 && this->stopped.load()) {
    this->stop_signal.notify_all();
  }
}

void IoLoop::Post(std::function<void()> work_function) {
  boost::asio::post(this->io, std::move(work_function));
}

void IoLoop::Stop() {
  this->stopped.store(true);
  this->Spawn([this] {
    const std::scoped_lock lock(this->mutex);
    this->stop_signal.notify_all();
  });
}

bool IoLoop::SleepFor(std::chrono::nanoseconds time) {
  std::unique_lock lock(this->mutex);
  this->stop_signal.wait_for(lock, time,
                             [this] { return this->stopped.load(); });
  return !this->stopped.load();
}

}  // namespace tanagerledge
