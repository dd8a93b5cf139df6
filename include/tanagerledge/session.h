// Read your writes: the opaque token that a caller carries between calls.
//
//   SessionToken token = ParseSessionToken(header).value_or(SessionToken());
//   // From the backend server's answer.
//   token.RecordWrite(service, mark, node);
//   header = ToText(token);
//
// Tokens join by maximum, so that late and crossed answers never lower one.
// A token is a caller's claim: whoever waits for it bounds the wait, and no
// node takes a floor of its own from it.

#ifndef TANAGERLEDGE_SESSION_H_
#define TANAGERLEDGE_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tanagerledge/types.h"

namespace tanagerledge {

// Services whose writes a token remembers; beyond it, the oldest writes go.
inline constexpr std::size_t kMaxSessionServices = 24;
// Text of a token, in bytes.
inline constexpr std::size_t kMaxSessionTokenBytes = 8192;
// A write of a longer service or node name is not remembered, in bytes.
inline constexpr std::size_t kMaxSessionNameBytes = 64;

// The last write of a session to a service, and the node where it was.
struct SessionWrite {
  WriteMark mark;
  NodeId node;
  std::uint64_t sequence = 0;  // Grows with each write of the session.

  bool operator==(const SessionWrite&) const = default;
};

class SessionToken {
 public:
  // The session saw this release: it must never be shown an older one.
  void RecordRelease(ReleaseNumber release);

  // The session wrote to a service: its reads must see the mark.
  void RecordWrite(const ServiceName& service, WriteMark mark, NodeId node);

  // Takes one remembered write, as a join does.
  void Raise(const ServiceName& service, const SessionWrite& write);

  // Takes the greater of both, in each part.
  void Join(const SessionToken& other);

  ReleaseNumber release_floor() const { return this->floor; }
  const std::map<ServiceName, SessionWrite>& writes() const {
    return this->last_writes;
  }

  // The last write to a service, or null.
  const SessionWrite* LastWriteTo(const ServiceName& service) const;

  bool operator==(const SessionToken&) const = default;

 private:
  void DropOldest();

  ReleaseNumber floor;
  std::map<ServiceName, SessionWrite> last_writes;
};

enum class SessionTokenError {
  kTooLarge,
  kNotHex,
  kBadChecksum,  // Cut short, or changed on its way.
  kBadContent,
};

std::string ToText(const SessionToken& token);

// Total: any bytes give a token or an error.
tl::expected<SessionToken, SessionTokenError> ParseSessionToken(
    std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SESSION_H_
