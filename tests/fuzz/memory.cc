#include "tests/fuzz/memory.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocated_bytes = 0;

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  allocated_bytes += size;
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace tanagerledge {

std::size_t AllocatedBytes() {
  return allocated_bytes;
}

}  // namespace tanagerledge
