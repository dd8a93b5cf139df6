#include "src/execution/once_wire.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace tanagerledge {
namespace {

constexpr std::size_t kKeyIdBytes = 24;
constexpr int kLastOutcome = static_cast<int>(Outcome::kUnknown);

std::uint64_t ScopeOf(const OnceKey& key) {
  const std::string& client_account = key.client_account.value;
  const XXH64_hash_t seed =
      XXH3_64bits(client_account.data(), client_account.size());
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

int PartitionOf(const OnceKeyId& key) {
  return static_cast<int>(key.high % kOncePartitions);
}

// The key consists of 8-4-4-4-12 hex digits: the first 12 are milliseconds, the
// 13th is the version.
std::optional<WallTime> MintTimeOf(std::string_view key) {
  constexpr std::size_t kTextSize = 36;
  constexpr std::array<std::size_t, 4> kDashes = {8, 13, 18, 23};
  constexpr std::size_t kVersionPosition = 14;
  const bool has_format =
      key.size() == kTextSize && key[kVersionPosition] == '7' &&
      std::ranges::all_of(kDashes,
                          [key](std::size_t at) { return key[at] == '-'; });
  if (!has_format) {
    return std::nullopt;
  }
  const std::string digits =
      std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return FromMillis(millis);
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

wire::OnceProcess ToWire(const OnceProcess& process) {
  wire::OnceProcess message;
  message.node = process.node.value;
  message.start = static_cast<std::int64_t>(process.start);
  return message;
}

wire::OnceAttempt ToWire(const OnceAttempt& attempt) {
  wire::OnceAttempt message;
  message.process = ToWire(attempt.process);
  message.number = static_cast<std::int64_t>(attempt.number);
  return message;
}

OnceProcess ToProcess(const wire::OnceProcess& process) {
  return {{process.node}, static_cast<std::uint64_t>(process.start)};
}

OnceAttempt ToAttempt(const wire::OnceAttempt& attempt) {
  return {ToProcess(attempt.process),
          static_cast<std::uint64_t>(attempt.number)};
}

std::int64_t ToMillis(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

WallTime FromMillis(std::int64_t millis) {
  return WallTime(std::chrono::milliseconds(millis));
}

wire::OnceResult ToWire(const OnceResult& result) {
  wire::OnceResult message;
  message.outcome = static_cast<std::int32_t>(result.outcome);
  message.reason = static_cast<std::int32_t>(result.reason);
  const bool is_kept = result.reply.size() <= kMaxStoredReplyBytes;
  message.reply = is_kept ? result.reply : std::string();
  message.reply_dropped = result.reply_dropped || !is_kept;
  return message;
}

std::optional<OnceResult> ToResult(const wire::OnceResult& result) {
  const bool in_range = result.outcome >= 0 && result.outcome <= kLastOutcome &&
                        result.reason >= 0 &&
                        result.reply.size() <= kMaxStoredReplyBytes;
  if (!in_range) {
    return std::nullopt;
  }
  return OnceResult{static_cast<Outcome>(result.outcome),
                    static_cast<Reason>(result.reason), result.reply,
                    result.reply_dropped};
}

}  // namespace tanagerledge
