// Quotas of client accounts on one node: hands the node's tokens to requests,
// asks the granting nodes for more, and grants the tokens of the accounts that
// this node owns.
//
// Everything runs on the node's loop; Acquire may block the fiber of a request.

#ifndef TANAGERLEDGE_SRC_SIDECAR_QUOTA_HOST_H_
#define TANAGERLEDGE_SRC_SIDECAR_QUOTA_HOST_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/adapters/event_log.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/peer_transport.h"
#include "tanagerledge/member.h"
#include "tanagerledge/mesh_config.h"
#include "tanagerledge/quota_grantor.h"
#include "tanagerledge/quota_ledger.h"
#include "tanagerledge/quota_limits.h"
#include "tanagerledge/quota_view.h"

namespace tanagerledge {

class QuotaHost {
 public:
  struct Counts {
    std::int64_t granted = 0;
    std::int64_t refused = 0;
    std::int64_t fallback = 0;
    std::int64_t questions = 0;
  };

  QuotaHost(IoLoop& io_loop,
            PeerTransport& peer_transport,
            EventLog& event_log,
            NodeId self,
            Incarnation incarnation,
            QuotaTerms terms);

  void SetConfig(std::shared_ptr<const MeshConfig> next);
  void SetMembers(const std::vector<Member>& members);
  // The number of nodes in the store's list, which counts shortly after the
  // start, when few members are known.
  void SetListedNodes(std::size_t count) { this->listed = count; }
  void OnTick();

  // Requests ----------------------------------------------------------------

  // Takes a token for a request of the account. Asks the granting node if there
  // is none, and waits at most 50 ms for the answer.
  QuotaDecision Acquire(const ClientAccount& account);
  // The request provably did not run.
  void Return(const ClientAccount& account, const QuotaDecision& taken);
  // The account's share of a backend server that is short of slots; 0 without
  // accounts. An account without a limit has the mean of the others.
  std::int32_t FairWeightOf(const ClientAccount& account) const;

  // Messages of peers ---------------------------------------------------------

  std::string OnPeerQuestion(const NodeId& from, std::string_view bytes);
  void OnPeerMessage(const NodeId& from, std::string_view bytes);

  const Counts& counts() const { return this->total; }
  std::size_t buckets() const { return this->grantor.buckets(); }

 private:
  // Requests of one account that wait for an answer.
  struct Waiting {
    int requests = 0;
    boost::fibers::condition_variable answered;
  };

  bool HasQuotas() const {
    return this->config && this->config->has_accounts();
  }
  void UpdateView();
  void SendAll(const std::map<NodeId, wire::QuotaQuestion>& messages);
  QuotaDecision AwaitToken(const ClientAccount& account);
  void Ask(const ClientAccount& account);
  void Count(const ClientAccount& account, const QuotaDecision& decision);
  void LogCounts();

  IoLoop& loop;
  PeerTransport& peers;
  EventLog& events;
  const NodeId self;
  const Instant started;
  QuotaLedger ledger;
  QuotaGrantor grantor;
  std::shared_ptr<const MeshConfig> config;
  std::int32_t mean_weight = 1;
  std::vector<NodeId> live;
  std::size_t dead = 0;
  std::size_t listed = 0;
  QuotaView view;
  boost::fibers::mutex mutex;  // Only for the condition variables.
  std::unordered_map<ClientAccount, Waiting> waiting;
  Counts total;
  Counts logged;
  std::map<ClientAccount, std::int64_t> refused_since_log;
  int ticks = 0;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_SIDECAR_QUOTA_HOST_H_
