// Bytes that nobody should send: random ones, and good ones spoiled. Seeds are
// fixed, so that a run can be repeated.

#ifndef TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_
#define TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace tanagerledge {

class Mutation {
 public:
  explicit Mutation(std::uint64_t seed) : random(seed) {}

  std::string RandomBytes(std::size_t max_size) {
    std::string bytes(this->Below(max_size + 1), '\0');
    std::ranges::generate(bytes, [this] { return this->RandomByte(); });
    return bytes;
  }

  // One to four spoilings of a good input.
  std::string Spoil(std::string bytes) {
    constexpr std::size_t kMostSpoilings = 4;
    for (std::size_t left = 1 + this->Below(kMostSpoilings); left > 0; --left) {
      this->SpoilOnce(bytes);
    }
    return bytes;
  }

 private:
  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }

  char RandomByte() { return static_cast<char>(this->Below(256)); }

  void SpoilOnce(std::string& bytes) {
    constexpr std::size_t kWays = 5;
    constexpr std::size_t kMaxRun = 16;
    const std::size_t at = this->Below(bytes.size() + 1);
    const std::size_t run = 1 + this->Below(kMaxRun);
    switch (this->Below(kWays)) {
      case 0:  // Cut short.
        bytes.resize(at);
        break;
      case 1:  // Another byte.
        if (at < bytes.size()) {
          bytes[at] = this->RandomByte();
        }
        break;
      case 2:  // Bytes left out.
        bytes.erase(at, run);
        break;
      case 3:  // Bytes put in.
        bytes.insert(at, run, this->RandomByte());
        break;
      default:  // A part given twice.
        bytes.insert(at, bytes.substr(at, run));
        break;
    }
  }

  std::mt19937_64 random;
};

// Runs `parse` on random bytes and on spoiled forms of each good input.
inline void Fuzz(const std::vector<std::string>& good,
                 const std::function<void(const std::string&)>& parse,
                 int rounds = 2000) {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr std::size_t kMaxRandomBytes = 300;
  Mutation mutation(kSeed);
  for (int round = 0; round < rounds; ++round) {
    parse(mutation.RandomBytes(kMaxRandomBytes));
    std::ranges::for_each(
        good, [&](const std::string& input) { parse(mutation.Spoil(input)); });
  }
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_TESTS_FUZZ_MUTATION_H_
