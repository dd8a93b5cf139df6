// Measures the memory of processes, for tests that bound it.

#ifndef TANAGERLEDGE_FAKES_RESIDENT_MEMORY_H_
#define TANAGERLEDGE_FAKES_RESIDENT_MEMORY_H_

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <string>
#include <thread>

namespace tanagerledge {

// Bytes of memory that the process has in RAM; 0 if the system doesn't tell.
inline std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// The most bytes of memory that a running process has had in RAM; 0 if the
// system doesn't tell.
inline std::size_t PeakResidentBytes(pid_t process) {
  constexpr std::size_t kBytesPerKibibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word && word != "VmHWM:") {
  }
  std::size_t kibibytes = 0;
  status >> kibibytes;
  return kibibytes * kBytesPerKibibyte;
}

// Samples the resident memory each millisecond while it exists.
class MemoryGrowth {
 public:
  MemoryGrowth() : sampler([this] { this->Sample(); }) {}
  ~MemoryGrowth() {
    this->done = true;
    this->sampler.join();
  }
  MemoryGrowth(const MemoryGrowth&) = delete;
  MemoryGrowth& operator=(const MemoryGrowth&) = delete;

  // The greatest growth since the start, in bytes.
  std::size_t peak() const { return this->most; }

 private:
  void Sample() {
    while (!this->done) {
      const std::size_t now = ResidentBytes();
      this->most = std::max<std::size_t>(
          this->most, now > this->before ? now - this->before : 0);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  const std::size_t before = ResidentBytes();
  std::atomic<std::size_t> most{0};
  std::atomic<bool> done{false};
  std::thread sampler;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_RESIDENT_MEMORY_H_
