// Bytes that travel between nodes in one piece, compressed.

#ifndef TANAGERLEDGE_SRC_DISTRIBUTION_COMPRESSION_H_
#define TANAGERLEDGE_SRC_DISTRIBUTION_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerledge {

struct UnpackError {
  std::string text;
};

std::string Pack(std::string_view bytes);  // zstd.

// An error when the bytes are not what Pack made, or unpack to more than
// `most_bytes`.
tl::expected<std::string, UnpackError> Unpack(std::string_view packed,
                                              std::size_t most_bytes);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_COMPRESSION_H_
