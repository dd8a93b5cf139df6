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
                                              std::size_t most_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size > most_bytes) {  // Unknown sizes are greater too.
    return tl::unexpected(UnpackError{"it has no size in range"});
  }
  std::string bytes(size, '\0');
  const std::size_t got =
      ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
  if (ZSTD_isError(got) != 0 || got != bytes.size()) {
    return tl::unexpected(UnpackError{"it cannot be unpacked"});
  }
  return bytes;
}

}  // namespace tanagerledge
