// Grants the tokens of client accounts to the nodes that ask this one.
//
// Each account has a bucket that fills at its rate. Tokens that nodes hold and
// have not reported as used count as if they were still in the bucket, so the
// tokens that exist never exceed the burst and a part of the room for errors.
//
// A bucket fills only at the share of the rate for the nodes that this one
// serves. The owner of a group serves the members that it has a connection to
// and that have not told it that they ask another node.
// A node that has just become the owner, or that is asked because the owner
// can't be reached, serves those that have asked it lately: the former granting
// node may serve the others.
//
// The class does no I/O and reads no clock.

#ifndef TANAGERLEDGE_QUOTA_GRANTOR_H_
#define TANAGERLEDGE_QUOTA_GRANTOR_H_

#include <quota_types.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "tanagerledge/mesh_config.h"
#include "tanagerledge/quota_limits.h"
#include "tanagerledge/quota_view.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

class QuotaGrantor {
 public:
  explicit QuotaGrantor(QuotaTerms quota_terms) : terms(quota_terms) {}

  // A changed limit counts from the next question on.
  void SetConfig(std::shared_ptr<const MeshConfig> next) {
    this->config = std::move(next);
  }
  // The buckets of a group whose owner changes to or from this node are empty.
  void SetView(const QuotaView& next, const QuotaOwners& owners, Instant now);
  // To be called at least every 100 ms. A node that was frozen may have been
  // replaced as the owner meanwhile, so all its buckets are then empty.
  void OnTick(Instant now);

  // Grants what the node needs, or less. With `may_grant` false, only takes
  // note of the counters.
  wire::QuotaGrant OnNeed(const NodeId& from,
                          const wire::QuotaNeed& need,
                          bool may_grant,
                          Instant now);

  // The node asks this one, or another one, about the group from now on.
  void OnJoined(const NodeId& node, std::size_t group, Instant now);
  void OnLeft(const NodeId& node, std::size_t group, Instant now);

  std::size_t buckets() const { return this->accounts.size(); }

 private:
  // What one node has of an account.
  struct Holder {
    std::int64_t session = 0;
    std::int64_t sequence = 0;
    std::int64_t granted = 0;
    std::int64_t used = 0;  // As far as the node has reported.
    std::int64_t returned = 0;
    Instant until{};        // The node drops its tokens earlier.
    Instant short_until{};  // It was told to wait until then.

    std::int64_t outstanding() const {
      return std::max<std::int64_t>(
          0, this->granted - this->used - this->returned);
    }
  };

  struct Bucket {
    std::size_t group = 0;
    double level = 0;
    double credit_used = 0;  // The group's credit at the last change of level.
    QuotaLimit limit;
    std::int64_t outstanding = 0;  // Over all holders.
    std::unordered_map<NodeId, Holder> holders;
    Instant lapsed_checked{};
  };

  struct Group {
    bool owned = false;
    Instant since{};  // When this node became the owner, or ceased to be.
    std::unordered_map<NodeId, Instant> askers;    // And when each asked last.
    std::unordered_map<NodeId, Instant> departed;  // And when.
    // Time since then, weighted by the share of the nodes that this one served.
    double credit = 0;           // In seconds.
    double credit_at_start = 0;  // Of accounts that nobody has asked about.
    Instant credited_at{};
  };

  void DetectFreeze(Instant now);
  static void Restart(Group& group, Instant now);
  void Credit(Group& group, Instant now) const;
  double ShareOf(const Group& group, Instant now) const;
  // Null for an account without a quota.
  Bucket* BucketOf(const ClientAccount& account);
  void Fill(Bucket& bucket) const;
  static void DropLapsed(Bucket& bucket, Instant now);
  std::chrono::microseconds WaitFor(const Bucket& bucket, Instant now) const;

  QuotaTerms terms;
  std::shared_ptr<const MeshConfig> config;
  QuotaView view;
  std::array<Group, kQuotaGroups> groups;
  std::unordered_map<ClientAccount, Bucket> accounts;
  Instant last_tick{};
  Instant last_cleanup{};
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_QUOTA_GRANTOR_H_
