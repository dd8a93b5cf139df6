// Counts the memory that a test program allocates, to check that malformed
// input can't make a parser allocate much more than the size of the input.

#ifndef TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_
#define TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_

#include <cstddef>

namespace tanagerledge {

// Total size of the allocations by operator new on this thread since the
// program started.
std::size_t AllocatedBytes();

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_
