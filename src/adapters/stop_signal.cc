#include "src/adapters/stop_signal.h"

#include <pthread.h>

#include <ctime>

namespace tanagerledge {
namespace {

SignalKind KindOf(int number) {
  return number == SIGHUP ? SignalKind::kReload : SignalKind::kStop;
}

}  // namespace

StopSignal::StopSignal() {
  sigemptyset(&this->signals);
  sigaddset(&this->signals, SIGTERM);
  sigaddset(&this->signals, SIGINT);
  sigaddset(&this->signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

SignalKind StopSignal::Wait() const {
  int number = 0;
  sigwait(&this->signals, &number);
  return KindOf(number);
}

std::optional<SignalKind> StopSignal::WaitFor(
    std::chrono::milliseconds timeout) const {
  const auto whole = std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec time{};
  time.tv_sec = whole.count();
  time.tv_nsec = std::chrono::nanoseconds(timeout - whole).count();
  const int number = sigtimedwait(&this->signals, nullptr, &time);
  return number > 0 ? std::optional(KindOf(number)) : std::nullopt;
}

}  // namespace tanagerledge
