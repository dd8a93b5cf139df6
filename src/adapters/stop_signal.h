// Waits for SIGTERM, SIGINT or SIGHUP. Construct it before any thread starts:
// it blocks these signals in all threads, so that no signal handler interrupts
// other code. It also ignores SIGPIPE.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_STOP_SIGNAL_H_
#define TANAGERLEDGE_SRC_ADAPTERS_STOP_SIGNAL_H_

#include <signal.h>

#include <chrono>
#include <optional>

namespace tanagerledge {

enum class SignalKind { kStop, kReload };

class StopSignal {
 public:
  StopSignal();

  // Blocks the calling thread until one of the signals arrives.
  SignalKind Wait() const;

  // The same for at most `timeout`; nullopt when no signal arrived.
  std::optional<SignalKind> WaitFor(std::chrono::milliseconds timeout) const;

 private:
  sigset_t signals{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_STOP_SIGNAL_H_
