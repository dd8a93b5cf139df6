// Counts what a test program allocates, so that a parser cannot be talked into
// more than its input is worth.

#ifndef TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_
#define TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_

#include <cstddef>

namespace tanagerledge {

// Bytes asked for by operator new on this thread since the program's start.
std::size_t AllocatedBytes();

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_FUZZ_MEMORY_H_
