// A node of the fleet as known to the other nodes.

#ifndef TANAGERLEDGE_MEMBER_H_
#define TANAGERLEDGE_MEMBER_H_

#include <optional>

#include "tanagerledge/snapshot.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

enum class MemberState { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

struct Member {
  NodeId node;
  Zone zone;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  // The state of the node's backend server; unset until one was announced.
  std::optional<Endpoint> endpoint;
  // The newest release that the node reported as in force.
  ReleaseNumber release;
};

// Whether the member counts as live. A suspect does until it is declared dead.
inline bool IsLive(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MEMBER_H_
