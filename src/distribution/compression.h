// Compresses data that nodes send to each other as a whole (zstd).

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

std::string Pack(std::string_view bytes);

// Fails when `packed` was not made by Pack or would decompress to more than
// `max_bytes`.
tl::expected<std::string, UnpackError> Unpack(std::string_view packed,
                                              std::size_t max_bytes);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_DISTRIBUTION_COMPRESSION_H_
