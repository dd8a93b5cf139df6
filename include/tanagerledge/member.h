// One node as the others know it.

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
  // What the node says of the backend server beside it, once one announced
  // itself.
  std::optional<Endpoint> endpoint;
  // The newest release that the node said it has in force.
  ReleaseNumber release;
};

// Whether the member counts as living: a suspect does until it is judged.
inline bool IsLive(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_MEMBER_H_
