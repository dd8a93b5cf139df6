#include "src/execution/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace tanagerledge {
namespace {

struct Score {
  std::uint64_t value = 0;
  NodeId node;

  auto operator<=>(const Score&) const = default;
};

}  // namespace

std::vector<NodeId> BestNodesFor(std::uint64_t key,
                                 const std::vector<NodeId>& nodes,
                                 std::size_t count) {
  std::vector<Score> scores;
  scores.reserve(nodes.size());
  std::ranges::transform(
      nodes, std::back_inserter(scores), [key](const NodeId& node) {
        const std::string& text = node.value;
        return Score{XXH3_64bits_withSeed(text.data(), text.size(), key), node};
      });
  const std::size_t kept = std::min(count, scores.size());
  std::ranges::partial_sort(scores, scores.begin() + kept,
                            std::ranges::greater{});
  std::vector<NodeId> best;
  std::ranges::transform(scores.begin(), scores.begin() + kept,
                         std::back_inserter(best), &Score::node);
  return best;
}

}  // namespace tanagerledge
