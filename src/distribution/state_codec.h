// Encodes the whole state for a node that is far behind: a checkpoint,
// compressed, with a hash.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_STATE_CODEC_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_STATE_CODEC_H_

#include <release_types.h>

#include <cstddef>
#include <string>
#include <tl/expected.hpp>

#include "src/distribution/compression.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxStateBytes = 16 * 1024 * 1024;

struct PackedState {
  std::string packed;  // Compressed with zstd.
  std::string hash;    // XXH3, 128 bits, of the encoded checkpoint.
};

PackedState PackState(const wire::Checkpoint& checkpoint);

tl::expected<wire::Checkpoint, UnpackError> UnpackState(
    const std::string& packed,
    const std::string& hash);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_STATE_CODEC_H_
