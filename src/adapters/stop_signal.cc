#include "src/adapters/stop_signal.h"

#include <pthread.h>

namespace tanagerledge {

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
  return number == SIGHUP ? SignalKind::kReload : SignalKind::kStop;
}

}  // namespace tanagerledge
