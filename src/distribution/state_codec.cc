#include "src/distribution/state_codec.h"

#include <xxhash.h>
#include <zstd.h>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr int kCompressionLevel = 3;

std::string HashOf(const std::string& bytes) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical,
                           XXH3_128bits(bytes.data(), bytes.size()));
  return {reinterpret_cast<const char*>(canonical.digest),
          sizeof canonical.digest};
}

}  // namespace

PackedState PackState(const wire::Checkpoint& checkpoint) {
  const std::string bytes = Encode(checkpoint);
  std::string packed(ZSTD_compressBound(bytes.size()), '\0');
  packed.resize(ZSTD_compress(packed.data(), packed.size(), bytes.data(),
                              bytes.size(), kCompressionLevel));
  return {std::move(packed), HashOf(bytes)};
}

tl::expected<wire::Checkpoint, UnpackError> UnpackState(
    const std::string& packed,
    const std::string& hash) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size > kMaxStateBytes) {  // Unknown sizes are greater too.
    return tl::unexpected(UnpackError{"the state has no size in range"});
  }
  std::string bytes(size, '\0');
  const std::size_t got =
      ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
  if (ZSTD_isError(got) != 0 || got != bytes.size()) {
    return tl::unexpected(UnpackError{"the state cannot be unpacked"});
  }
  if (HashOf(bytes) != hash) {
    return tl::unexpected(UnpackError{"the state's hash is wrong"});
  }
  auto checkpoint = Decode<wire::Checkpoint>(bytes);
  if (!checkpoint) {
    return tl::unexpected(UnpackError{checkpoint.error().text});
  }
  return std::move(*checkpoint);
}

}  // namespace tanagerledge
