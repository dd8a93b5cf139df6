#include "src/distribution/state_codec.h"

#include <xxhash.h>

#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

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
  return {Pack(bytes), HashOf(bytes)};
}

tl::expected<wire::Checkpoint, UnpackError> UnpackState(
    const std::string& packed,
    const std::string& hash) {
  const auto bytes = Unpack(packed, kMaxStateBytes);
  if (!bytes) {
    return tl::unexpected(UnpackError{"the state: " + bytes.error().text});
  }
  if (HashOf(*bytes) != hash) {
    return tl::unexpected(UnpackError{"the state's hash is wrong"});
  }
  auto checkpoint = Decode<wire::Checkpoint>(*bytes);
  if (!checkpoint) {
    return tl::unexpected(UnpackError{checkpoint.error().text});
  }
  return std::move(*checkpoint);
}

}  // namespace tanagerledge
