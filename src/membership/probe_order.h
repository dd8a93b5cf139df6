// Whom to probe next: each member once a round, in an order shuffled anew, so
// that the time until a dead member is probed by this node is bounded.

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
  // Puts a new member at a random place among those still to come.
  void Add(Slot slot, std::mt19937_64& random);

  // The next member that passes; none if nobody passes in a whole round.
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
