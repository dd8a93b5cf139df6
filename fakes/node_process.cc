#include "fakes/node_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace tanagerledge {

NodeProcess::NodeProcess(std::string program_path, std::string settings_path)
    : program(std::move(program_path)), settings(std::move(settings_path)) {}

NodeProcess::~NodeProcess() {
  if (this->running()) {
    this->Signal(SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

bool NodeProcess::Start() {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr mode_t kLogFileMode = 0644;
  const std::string log = this->settings + ".log";
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // The node must not inherit sockets of its parent: a socket that the node
  // holds open would stay open after the parent closes it.
  constexpr int kFirstUnusedFd = STDERR_FILENO + 1;
  posix_spawn_file_actions_addclosefrom_np(&files, kFirstUnusedFd);
  // The node starts without blocked signals, although its parent may block
  // some.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::array<char*, 3> arguments = {const_cast<char*>(this->program.c_str()),
                                    const_cast<char*>(this->settings.c_str()),
                                    nullptr};
  const int error = posix_spawn(&this->pid, this->program.c_str(), &files,
                                &attributes, arguments.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
  this->ended.reset();
  if (error != 0) {
    this->pid = 0;
  }
  return error == 0;
}

void NodeProcess::Signal(int number) const {
  if (this->running()) {
    kill(this->pid, number);
  }
}

std::optional<int> NodeProcess::Reap() {
  int status = 0;
  if (this->running() && waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->pid = 0;
    this->ended = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return this->ended;
}

}  // namespace tanagerledge
