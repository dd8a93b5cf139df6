#include "src/distribution/compression.h"

#include <zstd.h>

namespace tanagerledge {
namespace {

constexpr int kCompressionLevel = 3;

}  // namespace

std::string Pack(std::string_view bytes) {
  std::string packed(ZSTD_compressBound(bytes.size()), '\0');
  packed.resize(ZSTD_compress(packed.data(), packed.size(), bytes.data(),
                              bytes.size(), kCompressionLevel));
  return packed;
}

tl::expected<std::string, UnpackError> Unpack(std::string_view packed,
                                              std::size_t max_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  // zstd's codes for an unknown or invalid size are above any limit too.
  if (size > max_bytes) {
    return tl::unexpected(
        UnpackError{"the decompressed size is unknown or too large"});
  }
  std::string bytes(size, '\0');
  const std::size_t written =
      ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
  if (ZSTD_isError(written) != 0 || written != bytes.size()) {
    return tl::unexpected(UnpackError{"the data cannot be decompressed"});
  }
  return bytes;
}

}  // namespace tanagerledge
