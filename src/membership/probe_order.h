// Selects the next member to probe: each member once per round, in a random
// order that is shuffled each round. This bounds the time until this node
// probes a dead member.

#ifndef TANAGERLEDGE_SRC_MEMBERSHIP_PROBE_ORDER_H_
#define TANAGERLEDGE_SRC_MEMBERSHIP_PROBE_ORDER_H_

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "src/membership/member_table.h"

namespace tanagerledge {

class ProbeOrder {
 public:
  // Inserts a new member at a random position in the rest of the round.
  void Add(Slot slot, std::mt19937_64& random);

  // The next member that passes the filter; none if no member passes it in a
  // whole round.
  std::optional<Slot> Next(const MemberTable& table,
                           std::mt19937_64& random,
                           const MemberTable::Filter& filter);

 private:
  std::optional<Slot> NextInRound(const MemberTable& table,
                                  const MemberTable::Filter& filter);
  void StartRound(const MemberTable& table, std::mt19937_64& random);

  std::vector<Slot> order;
  std::size_t next = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_MEMBERSHIP_PROBE_ORDER_H_
