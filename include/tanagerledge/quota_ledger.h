// The tokens of one node: each request of a client account with a quota takes
// one before it is sent.
//
// A node holds a few tokens of the accounts that send many requests through it,
// so that most requests need no message. For the others it asks the granting
// node when a request arrives. Tokens expire kQuotaLease after the question
// that got them was sent, unless a later question was answered.
//
//   QuotaDecision decision = ledger.Take(account, now);
//   if (decision.verdict == QuotaVerdict::kAsk) {
//     auto need = ledger.StartQuestion(account, now);
//     ...                                     // Ask ledger.GrantorOf(account).
//     ledger.OnGrant(*grant, now);            // Or OnNoAnswer.
//     decision = ledger.Take(account, now);
//   }
//
// The class does no I/O and reads no clock. Counters are cumulative within a
// session, so lost, repeated and late messages never create tokens.

#ifndef TANAGERLEDGE_QUOTA_LEDGER_H_
#define TANAGERLEDGE_QUOTA_LEDGER_H_

#include <quota_types.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "tanagerledge/mesh_config.h"
#include "tanagerledge/quota_limits.h"
#include "tanagerledge/quota_view.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

enum class QuotaVerdict {
  kUnlimited,  // The account has no quota.
  kTaken,      // The request has a token.
  kFallback,   // The same, without a granting node.
  kRefused,
  kAsk,  // The granting node has to be asked first.
};

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kUnlimited;
  std::int64_t session = 0;               // Of a token that was taken.
  std::chrono::microseconds retry_in{0};  // After a refusal.

  bool admitted() const {
    return this->verdict != QuotaVerdict::kRefused &&
           this->verdict != QuotaVerdict::kAsk;
  }
};

// The group is asked about at another node from now on; both have to be told.
struct QuotaMove {
  std::size_t group = 0;
  NodeId former;  // Empty at the start.
  NodeId next;
};

class QuotaLedger {
 public:
  // Sessions of this start of the node are greater than those of earlier ones.
  QuotaLedger(QuotaTerms quota_terms, Incarnation incarnation);

  void SetConfig(std::shared_ptr<const MeshConfig> next) {
    this->config = std::move(next);
  }
  // Tokens of groups that are asked for elsewhere from now on are dropped.
  std::vector<QuotaMove> SetView(const QuotaView& next,
                                 const QuotaOwners& owners);

  // Requests -------------------------------------------------------------

  // Counts a request for the estimate of the demand. To be called once for each
  // request, before Take.
  void OnRequest(const ClientAccount& account, Instant now);
  QuotaDecision Take(const ClientAccount& account, Instant now);
  // The last word for a request that got no answer in time: a token, one of the
  // node's own share, or a refusal.
  QuotaDecision TakeAtLast(const ClientAccount& account, Instant now);
  // The request provably did not run. A token of an earlier session is void.
  void Return(const ClientAccount& account,
              const QuotaDecision& taken,
              Instant now);

  // Questions ------------------------------------------------------------

  const NodeId& GrantorOf(const ClientAccount& account) const;
  // Whether a question about the account is under way.
  bool IsAsking(const ClientAccount& account) const;
  // Whether a question in advance is due.
  bool NeedsRefill(const ClientAccount& account, Instant now);
  // `waiting` requests wait for the answer.
  wire::QuotaNeed StartQuestion(const ClientAccount& account,
                                int waiting,
                                Instant now);
  // `need` is the question that was answered, sent at `sent_at`.
  void OnGrant(const wire::QuotaNeed& need,
               const wire::QuotaGrant& grant,
               Instant sent_at,
               Instant now);
  void OnNoAnswer(const wire::QuotaNeed& need, Instant now);

  // Tokens that were not used for a while, as messages for their granting
  // nodes. Also forgets accounts without requests. To be called about every
  // 100 ms.
  std::vector<wire::QuotaNeed> GiveBackIdle(Instant now);

  std::size_t accounts() const { return this->holdings.size(); }
  // Tokens held for later requests.
  std::int64_t Held(const ClientAccount& account, Instant now) const;

 private:
  struct Holding {
    std::size_t group = 0;
    std::uint64_t term = 0;  // Of the group's granting node.
    std::int64_t session = 0;
    std::int64_t sequence = 0;
    std::int64_t granted = 0;
    std::int64_t used = 0;
    std::int64_t returned = 0;
    Instant valid_until{};
    bool asking = false;
    int unanswered = 0;  // Questions in a row.
    Instant ask_again_at{};
    Instant refused_until{};
    Instant refill_after{};
    Instant last_request{};
    double demand = 0;      // Requests per second; decays exponentially.
    double own_share = -1;  // Tokens for requests without a granting node.
    Instant own_share_at{};

    std::int64_t available() const {
      return this->granted - this->used - this->returned;
    }
  };

  const ClientAccountConfig* LimitOf(const ClientAccount& account) const;
  Holding& HoldingOf(const ClientAccount& account, Instant now);
  void StartSession(Holding& holding);
  QuotaDecision TakeOwnShare(const ClientAccountConfig& limit,
                             Holding& holding,
                             Instant now);

  QuotaTerms terms;
  std::shared_ptr<const MeshConfig> config;
  QuotaView view;
  std::array<NodeId, kQuotaGroups> grantors;
  std::array<std::uint64_t, kQuotaGroups> group_terms{};
  std::int64_t last_session;
  std::unordered_map<ClientAccount, Holding> holdings;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_QUOTA_LEDGER_H_
