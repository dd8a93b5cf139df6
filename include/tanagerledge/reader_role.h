// Decides whether this node follows the configuration in the store.
//
// Load pattern: every call of the store costs, and a change of the
// configuration concerns every node. If all nodes read it, the calls grow with
// the fleet times the changes. A few nodes of each availability zone read it
// and the others get it from them.
//
// The readers of a zone are the first of its live members by rendezvous hash,
// so all nodes name the same ones without a message. Two views of the members
// name a reader too many or too few for a while: the former costs calls, and
// the latter is covered by the readers of the other zones. A node that reaches
// no other one reads for itself.
//
// The class performs no I/O and reads no clock.

#ifndef TANAGERLEDGE_READER_ROLE_H_
#define TANAGERLEDGE_READER_ROLE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "tanagerledge/member.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

struct ReaderRoleConfig {
  // The store may serve only a part of the nodes, and a reader does not notice
  // at once that its read gets no answer. With 9 readers and a third of the
  // nodes not served, one time in 10,000 no reader is served.
  std::size_t min_readers = 9;
  std::size_t min_readers_per_zone = 2;
  // A node begins to read when it has been chosen for start_delay and the
  // number of live nodes has not grown meanwhile, since a node that has just
  // started knows few members, or when it has been chosen for max_start_delay.
  // An isolated node begins at once.
  std::chrono::milliseconds start_delay{1000};
  std::chrono::milliseconds max_start_delay{3000};
  // How long it goes on when it is no longer chosen.
  std::chrono::milliseconds stop_delay{3000};
};

// The readers of all zones, as every node with these members names them.
std::vector<NodeId> FindReaders(const std::vector<Member>& members,
                                const ReaderRoleConfig& config = {});

class ReaderRole {
 public:
  explicit ReaderRole(ReaderRoleConfig role_config = {})
      : config(role_config) {}

  // `members` includes this node. `isolated`: no other node responds.
  void OnMembers(const std::vector<Member>& members,
                 const NodeId& self,
                 const Zone& zone,
                 bool isolated,
                 Instant now);

  bool IsReader(Instant now);

  std::size_t live_nodes() const { return this->live; }

 private:
  ReaderRoleConfig config;
  std::size_t live = 1;
  bool chosen = false;
  std::optional<Instant> chosen_since;  // Or not chosen since.
  Instant last_growth{};                // Of the number of live nodes.
  bool reads = false;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_READER_ROLE_H_
