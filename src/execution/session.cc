#include "tanagerledge/session.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>
#include <utility>

#include "execution_types.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

constexpr std::size_t kChecksumBytes = 8;
constexpr std::uint64_t kMaxSequence = std::numeric_limits<std::int64_t>::max();
constexpr std::string_view kHexDigits = "0123456789abcdef";

// Hex -----------------------------------------------------------------------

std::string ToHex(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kHexDigits[value >> 4]);
    text.push_back(kHexDigits[value & 15]);
  }
  return text;
}

// Decodes hex. Returns an empty string if `text` is not valid hex.
std::string FromHex(std::string_view text) {
  const bool is_hex =
      text.size() % 2 == 0 && std::ranges::all_of(text, [](char digit) {
        return kHexDigits.find(digit) != std::string_view::npos;
      });
  if (!is_hex) {
    return {};
  }
  std::string bytes(text.size() / 2, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::size_t high = kHexDigits.find(text[2 * i]);
    const std::size_t low = kHexDigits.find(text[2 * i + 1]);
    bytes[i] = static_cast<char>(high << 4 | low);
  }
  return bytes;
}

// Detects accidental damage. It does not prevent forgery, which is harmless
// because the content of a token is not trusted.
std::string Checksum(std::string_view bytes) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH3_64bits(bytes.data(), bytes.size()));
  return {reinterpret_cast<const char*>(canonical.digest), kChecksumBytes};
}

// Content -------------------------------------------------------------------

bool IsValid(const wire::SessionMark& mark) {
  return !mark.service_name.empty() &&
         mark.service_name.size() <= kMaxSessionNameBytes &&
         mark.node.size() <= kMaxSessionNameBytes && mark.write_mark >= 0 &&
         mark.sequence >= 0;
}

bool IsValid(const wire::Session& session) {
  return session.release_floor >= 0 &&
         session.marks.size() <= kMaxSessionServices &&
         std::ranges::all_of(session.marks, [](const wire::SessionMark& mark) {
           return IsValid(mark);
         });
}

SessionToken ToToken(const wire::Session& session) {
  SessionToken token;
  token.RecordRelease({static_cast<std::uint64_t>(session.release_floor)});
  for (const wire::SessionMark& mark : session.marks) {
    token.MergeWrite({mark.service_name},
                     {{static_cast<std::uint64_t>(mark.write_mark)},
                      {mark.node},
                      static_cast<std::uint64_t>(mark.sequence)});
  }
  return token;
}

}  // namespace

// Token ---------------------------------------------------------------------

void SessionToken::RecordRelease(ReleaseNumber release) {
  this->floor = std::max(this->floor, release);
}

void SessionToken::RecordWrite(const ServiceName& service,
                               WriteMark mark,
                               NodeId node) {
  std::uint64_t newest = 0;
  for (const auto& [name, write] : this->last_writes) {
    newest = std::max(newest, write.sequence);
  }
  const std::uint64_t next = std::min(newest + 1, kMaxSequence);
  this->MergeWrite(service, {mark, std::move(node), next});
}

void SessionToken::Merge(const SessionToken& other) {
  this->RecordRelease(other.floor);
  for (const auto& [service, write] : other.last_writes) {
    this->MergeWrite(service, write);
  }
}

const SessionWrite* SessionToken::LastWriteTo(
    const ServiceName& service) const {
  const auto found = this->last_writes.find(service);
  return found == this->last_writes.end() ? nullptr : &found->second;
}

void SessionToken::MergeWrite(const ServiceName& service,
                              const SessionWrite& write) {
  if (service.value.size() > kMaxSessionNameBytes ||
      write.node.value.size() > kMaxSessionNameBytes) {
    return;
  }
  SessionWrite& kept = this->last_writes[service];
  const std::uint64_t sequence = std::max(kept.sequence, write.sequence);
  if (std::tie(write.mark, write.node) > std::tie(kept.mark, kept.node)) {
    kept = write;
  }
  kept.sequence = sequence;
  this->DropOldest();
}

void SessionToken::DropOldest() {
  const auto is_older = [](const auto& a, const auto& b) {
    return std::tie(a.second.sequence, a.first) <
           std::tie(b.second.sequence, b.first);
  };
  while (this->last_writes.size() > kMaxSessionServices) {
    this->last_writes.erase(
        std::ranges::min_element(this->last_writes, is_older));
  }
}

// Text ----------------------------------------------------------------------

std::string ToText(const SessionToken& token) {
  wire::Session session;
  session.release_floor =
      static_cast<std::int64_t>(token.release_floor().value);
  for (const auto& [service, write] : token.writes()) {
    wire::SessionMark mark;
    mark.service_name = service.value;
    mark.write_mark = static_cast<std::int64_t>(write.mark.value);
    mark.node = write.node.value;
    mark.sequence = static_cast<std::int64_t>(write.sequence);
    session.marks.push_back(std::move(mark));
  }
  const std::string content = Encode(session);
  return ToHex(Checksum(content) + content);
}

tl::expected<SessionToken, SessionTokenError> ParseSessionToken(
    std::string_view text) {
  if (text.size() > kMaxSessionTokenBytes) {
    return tl::unexpected(SessionTokenError::kTooLarge);
  }
  const std::string bytes = FromHex(text);
  if (bytes.empty()) {
    return tl::unexpected(SessionTokenError::kNotHex);
  }
  const std::string_view all = bytes;
  if (all.size() < kChecksumBytes ||
      Checksum(all.substr(kChecksumBytes)) != all.substr(0, kChecksumBytes)) {
    return tl::unexpected(SessionTokenError::kBadChecksum);
  }
  const auto session = Decode<wire::Session>(all.substr(kChecksumBytes));
  if (!session || !IsValid(*session)) {
    return tl::unexpected(SessionTokenError::kBadContent);
  }
  return ToToken(*session);
}

}  // namespace tanagerledge
