// Generates malformed inputs: random bytes, and mutations of valid inputs.
// Seeds are fixed, so that runs are reproducible.

#ifndef TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_
#define TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace tanagerledge {

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random(seed) {}

  std::string RandomBytes(std::size_t max_size) {
    std::string bytes(this->Below(max_size + 1), '\0');
    std::ranges::generate(bytes, [this] { return this->RandomByte(); });
    return bytes;
  }

  // Applies one to four mutations to a valid input.
  std::string Mutate(std::string bytes) {
    constexpr std::size_t kMaxMutations = 4;
    for (std::size_t left = 1 + this->Below(kMaxMutations); left > 0; --left) {
      this->MutateOnce(bytes);
    }
    return bytes;
  }

 private:
  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }

  char RandomByte() { return static_cast<char>(this->Below(256)); }

  void MutateOnce(std::string& bytes) {
    constexpr std::size_t kMutationKinds = 5;
    constexpr std::size_t kMaxRunBytes = 16;
    const std::size_t at = this->Below(bytes.size() + 1);
    const std::size_t run = 1 + this->Below(kMaxRunBytes);
    switch (this->Below(kMutationKinds)) {
      case 0:  // Truncate.
        bytes.resize(at);
        break;
      case 1:  // Change a byte.
        if (at < bytes.size()) {
          bytes[at] = this->RandomByte();
        }
        break;
      case 2:  // Remove bytes.
        bytes.erase(at, run);
        break;
      case 3:  // Insert bytes.
        bytes.insert(at, run, this->RandomByte());
        break;
      default:  // Duplicate a part.
        bytes.insert(at, bytes.substr(at, run));
        break;
    }
  }

  std::mt19937_64 random;
};

// Runs `parse` on random bytes and on mutations of each valid input.
inline void Fuzz(const std::vector<std::string>& valid_inputs,
                 const std::function<void(const std::string&)>& parse,
                 int rounds = 2000) {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr std::size_t kMaxRandomBytes = 300;
  Mutator mutator(kSeed);
  for (int round = 0; round < rounds; ++round) {
    parse(mutator.RandomBytes(kMaxRandomBytes));
    std::ranges::for_each(valid_inputs, [&](const std::string& input) {
      parse(mutator.Mutate(input));
    });
  }
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_
