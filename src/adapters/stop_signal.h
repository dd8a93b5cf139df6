// Waits for SIGTERM, SIGINT or SIGHUP. Make it before any thread starts: the
// signals stay blocked in all threads, so no handler runs amid other code.

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

  // Blocks the calling thread until one of the signals has come.
  SignalKind Wait() const;

  // The same for at most `longest`; nothing when no signal came.
  std::optional<SignalKind> WaitFor(std::chrono::milliseconds longest) const;

 private:
  sigset_t signals{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_STOP_SIGNAL_H_
