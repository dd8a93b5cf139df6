// Read-your-writes consistency, implemented by an opaque token that a caller
// sends with each call.
//
//   SessionToken token = ParseSessionToken(header).value_or(SessionToken());
//   token.RecordWrite(service, mark, node);  // From the backend's response.
//   header = ToText(token);
//
// Tokens are merged by taking the maximum, so delayed or reordered responses
// never lower a mark. The content of a token is not trusted: a node that waits
// for a mark limits its wait, and no node raises its own release floor because
// of a token.

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

// Maximum number of services in a token. When it is exceeded, the oldest writes
// are dropped.
inline constexpr std::size_t kMaxSessionServices = 24;
// Maximum size of the text of a token, in bytes.
inline constexpr std::size_t kMaxSessionTokenBytes = 8192;
// Maximum size of service and node names, in bytes. Writes with longer names
// are not stored.
inline constexpr std::size_t kMaxSessionNameBytes = 64;

// The last write of a session to a service, and the node that accepted it.
struct SessionWrite {
  WriteMark mark;
  NodeId node;
  std::uint64_t sequence = 0;  // Increases with each write of the session.

  bool operator==(const SessionWrite&) const = default;
};

class SessionToken {
 public:
  // Records that the session has seen this release. It must never see an older
  // one.
  void RecordRelease(ReleaseNumber release);

  // Records a write of the session to a service. Later reads of the session
  // must see the mark.
  void RecordWrite(const ServiceName& service, WriteMark mark, NodeId node);

  // Merges a single write, in the same way as Merge.
  void MergeWrite(const ServiceName& service, const SessionWrite& write);

  // Merges another token by taking the maximum of each part.
  void Merge(const SessionToken& other);

  ReleaseNumber release_floor() const { return this->floor; }
  const std::map<ServiceName, SessionWrite>& writes() const {
    return this->last_writes;
  }

  // Returns the last write to a service, or null.
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
  kBadChecksum,  // The text was truncated or modified.
  kBadContent,
};

std::string ToText(const SessionToken& token);

// Parses arbitrary bytes: returns a token or an error.
tl::expected<SessionToken, SessionTokenError> ParseSessionToken(
    std::string_view text);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SESSION_H_
