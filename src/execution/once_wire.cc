#include "src/execution/once_wire.h"

#include <xxhash.h>

#include <cstring>

namespace tanagerledge {
namespace {

constexpr std::size_t kKeyIdBytes = 24;
constexpr int kLastOutcome = static_cast<int>(Outcome::kUnknown);

std::uint64_t ScopeOf(const OnceKey& key) {
  const std::string& customer = key.customer.value;
  const XXH64_hash_t seed = XXH3_64bits(customer.data(), customer.size());
  const std::string& service = key.service.value;
  return XXH3_64bits_withSeed(service.data(), service.size(), seed);
}

}  // namespace

OnceKeyId IdOf(const OnceKey& key) {
  const std::uint64_t scope = ScopeOf(key);
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.value.data(), key.value.size(), scope);
  return {scope, hash.high64, hash.low64};
}

std::string ToWire(const OnceKeyId& key) {
  std::string bytes(kKeyIdBytes, '\0');
  std::memcpy(bytes.data(), &key.scope, 8);
  std::memcpy(bytes.data() + 8, &key.high, 8);
  std::memcpy(bytes.data() + 16, &key.low, 8);
  return bytes;
}

std::optional<OnceKeyId> ToKeyId(std::string_view bytes) {
  if (bytes.size() != kKeyIdBytes) {
    return std::nullopt;
  }
  OnceKeyId key;
  std::memcpy(&key.scope, bytes.data(), 8);
  std::memcpy(&key.high, bytes.data() + 8, 8);
  std::memcpy(&key.low, bytes.data() + 16, 8);
  return key;
}

wire::OnceAttempt ToWire(const OnceAttempt& attempt) {
  wire::OnceAttempt message;
  message.node = attempt.node.value;
  message.incarnation = static_cast<std::int64_t>(attempt.incarnation.value);
  message.number = static_cast<std::int64_t>(attempt.number);
  return message;
}

OnceAttempt ToAttempt(const wire::OnceAttempt& attempt) {
  return {{attempt.node},
          {static_cast<std::uint64_t>(attempt.incarnation)},
          static_cast<std::uint64_t>(attempt.number)};
}

wire::OnceResult ToWire(const OnceResult& result) {
  wire::OnceResult message;
  message.outcome = static_cast<std::int32_t>(result.outcome);
  message.reason = static_cast<std::int32_t>(result.reason);
  const bool is_kept = result.reply.size() <= kMaxKeptReplyBytes;
  message.reply = is_kept ? result.reply : std::string();
  message.reply_dropped = result.reply_dropped || !is_kept;
  return message;
}

std::optional<OnceResult> ToResult(const wire::OnceResult& result) {
  const bool in_range = result.outcome >= 0 && result.outcome <= kLastOutcome &&
                        result.reason >= 0 &&
                        result.reply.size() <= kMaxKeptReplyBytes;
  if (!in_range) {
    return std::nullopt;
  }
  return OnceResult{static_cast<Outcome>(result.outcome),
                    static_cast<Reason>(result.reason), result.reply,
                    result.reply_dropped};
}

}  // namespace tanagerledge
