#include "src/sidecar/quota_host.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <mutex>
#include <numeric>
#include <utility>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

// A caller's request waits at most this long for a token.
constexpr milliseconds kMaxWait{50};
// The host is called every 20 ms.
constexpr int kTicksPerUpdate = 5;
constexpr int kTicksPerLog = 500;
// Accounts named in the log each time.
constexpr std::size_t kLoggedAccounts = 5;
constexpr std::size_t kCountedAccounts = 64;
// A node that has just started presumes this many nodes until it has read the
// list of nodes, so that it grants itself next to nothing.
constexpr std::size_t kPresumedNodes = 1000;
constexpr milliseconds kUnlistedTime{3000};
// Membership knows all nodes this long after the start.
constexpr milliseconds kListedTime{5000};

std::int32_t WeightOf(double rate) {
  constexpr double kMaxWeight = 1'000'000;
  return static_cast<std::int32_t>(std::clamp(rate, 1.0, kMaxWeight));
}

}  // namespace

QuotaHost::QuotaHost(IoLoop& io_loop,
                     PeerTransport& peer_transport,
                     EventLog& event_log,
                     NodeId self_node,
                     Incarnation incarnation,
                     QuotaTerms terms)
    : loop(io_loop),
      peers(peer_transport),
      events(event_log),
      self(std::move(self_node)),
      started(Now()),
      ledger(terms, incarnation),
      grantor(terms),
      live{this->self} {}

// View ------------------------------------------------------------------------

void QuotaHost::SetConfig(std::shared_ptr<const MeshConfig> next) {
  this->config = std::move(next);
  this->ledger.SetConfig(this->config);
  this->grantor.SetConfig(this->config);
  double sum = 0;
  double limited = 0;
  std::ranges::for_each(this->config->accounts(), [&](const auto& account) {
    sum += account.rate;
    limited += account.rate > 0 ? 1 : 0;
  });
  this->mean_weight = limited > 0 ? WeightOf(sum / limited) : 1;
  this->UpdateView();
}

void QuotaHost::SetMembers(const std::vector<Member>& members) {
  this->live = {this->self};
  std::ranges::for_each(members, [this](const Member& member) {
    if (IsLive(member) && member.node != this->self) {
      this->live.push_back(member.node);
    }
  });
  std::ranges::sort(this->live);
  this->dead = static_cast<std::size_t>(
      std::ranges::count(members, MemberState::kDead, &Member::state));
}

void QuotaHost::UpdateView() {
  if (!this->HasQuotas()) {
    return;
  }
  QuotaView next;
  next.self = this->self;
  next.live = this->live;
  std::ranges::copy_if(this->live, std::back_inserter(next.reachable),
                       [this](const NodeId& node) {
                         return node == this->self ||
                                this->peers.IsConnected(node);
                       });
  next.dead = this->dead;
  const auto up = Now() - this->started;
  if (this->listed == 0 && up < kUnlistedTime) {
    next.presumed = kPresumedNodes;
  } else if (up < kListedTime) {
    next.presumed = this->listed;
  }
  if (next != this->view) {
    this->view = std::move(next);
    const QuotaOwners owners = OwnersIn(this->view);
    const auto moves = this->ledger.SetView(this->view, owners);
    this->grantor.SetView(this->view, owners, Now());
    std::map<NodeId, wire::QuotaQuestion> messages;
    std::ranges::for_each(moves, [&](const QuotaMove& move) {
      const auto group = static_cast<std::int32_t>(move.group);
      messages[move.former].left_groups.push_back(group);
      messages[move.next].joined_groups.push_back(group);
    });
    this->SendAll(messages);
  }
}

void QuotaHost::SendAll(const std::map<NodeId, wire::QuotaQuestion>& messages) {
  std::ranges::for_each(messages, [this](const auto& entry) {
    const std::string bytes = Encode(entry.second);
    if (entry.first == this->self) {
      this->OnPeerMessage(this->self, bytes);
    } else if (this->peers.IsConnected(entry.first)) {
      this->peers.Send(entry.first, Channel::kQuota, bytes);
    }
  });
}

void QuotaHost::OnTick() {
  ++this->ticks;
  if (!this->HasQuotas() || this->ticks % kTicksPerUpdate != 0) {
    return;
  }
  const Instant now = Now();
  this->UpdateView();
  this->grantor.OnTick(now);
  std::map<NodeId, wire::QuotaQuestion> unused;
  std::ranges::for_each(
      this->ledger.GiveBackIdle(now), [&](const wire::QuotaNeed& need) {
        unused[this->ledger.GrantorOf({need.account})].needs.push_back(need);
      });
  this->SendAll(unused);
  if (this->ticks % kTicksPerLog == 0) {
    this->LogCounts();
  }
}

// Requests --------------------------------------------------------------------

QuotaDecision QuotaHost::Acquire(const ClientAccount& account) {
  const Instant now = Now();
  this->ledger.OnRequest(account, now);
  QuotaDecision decision = this->ledger.Take(account, now);
  if (decision.verdict == QuotaVerdict::kUnlimited) {
    return decision;
  }
  if (decision.verdict == QuotaVerdict::kAsk) {
    decision = this->AwaitToken(account);
  }
  this->Count(account, decision);
  if (this->ledger.NeedsRefill(account, Now())) {
    this->loop.SpawnHere([this, account] { this->Ask(account); });
  }
  return decision;
}

QuotaDecision QuotaHost::AwaitToken(const ClientAccount& account) {
  const Instant give_up = Now() + kMaxWait;
  Waiting& others = this->waiting[account];
  ++others.requests;
  QuotaDecision decision{QuotaVerdict::kAsk, 0, {}};
  while (decision.verdict == QuotaVerdict::kAsk) {
    if (!this->ledger.IsAsking(account)) {
      this->Ask(account);
    } else {
      std::unique_lock lock(this->mutex);
      others.answered.wait_until(lock, give_up);
    }
    const Instant now = Now();
    decision = now < give_up ? this->ledger.Take(account, now)
                             : this->ledger.TakeAtLast(account, now);
  }
  if (--others.requests == 0) {
    this->waiting.erase(account);
  }
  return decision;
}

// Asks the granting node and waits for its answer.
void QuotaHost::Ask(const ClientAccount& account) {
  if (this->ledger.IsAsking(account)) {
    return;
  }
  const Instant asked = Now();
  const auto found = this->waiting.find(account);
  wire::QuotaQuestion question;
  question.needs.push_back(this->ledger.StartQuestion(
      account, found == this->waiting.end() ? 0 : found->second.requests,
      asked));
  const wire::QuotaNeed& need = question.needs.front();
  const NodeId node = this->ledger.GrantorOf(account);
  if (node == this->self) {
    this->ledger.OnGrant(need,
                         this->grantor.OnNeed(this->self, need, true, asked),
                         asked, asked);
  } else {
    ++this->total.questions;
    const auto bytes =
        this->peers.Request(node, Channel::kQuota, Encode(question), kMaxWait);
    const auto answer = bytes ? Decode<wire::QuotaAnswer>(*bytes)
                              : tl::unexpected(DecodeError{bytes.error().text});
    if (answer && answer->grants.size() == 1) {
      this->ledger.OnGrant(need, answer->grants.front(), asked, Now());
    } else {
      this->ledger.OnNoAnswer(need, Now());
    }
  }
  if (const auto waiters = this->waiting.find(account);
      waiters != this->waiting.end()) {
    waiters->second.answered.notify_all();
  }
}

void QuotaHost::Return(const ClientAccount& account,
                       const QuotaDecision& taken) {
  this->ledger.Return(account, taken, Now());
}

std::int32_t QuotaHost::FairWeightOf(const ClientAccount& account) const {
  const ClientAccountConfig* known =
      this->config ? this->config->Account(account) : nullptr;
  if (known == nullptr) {
    return 0;
  }
  return known->rate > 0 ? WeightOf(known->rate) : this->mean_weight;
}

// Messages of peers -----------------------------------------------------------

std::string QuotaHost::OnPeerQuestion(const NodeId& from,
                                      std::string_view bytes) {
  const auto question = Decode<wire::QuotaQuestion>(bytes);
  wire::QuotaAnswer answer;
  if (question) {
    std::ranges::for_each(question->needs, [&](const wire::QuotaNeed& need) {
      // An account that only a newer configuration has gets no answer, so that
      // the other node uses its own share.
      const ClientAccountConfig* limit =
          this->config ? this->config->Account({need.account}) : nullptr;
      if (limit != nullptr && limit->rate > 0) {
        answer.grants.push_back(this->grantor.OnNeed(from, need, true, Now()));
      }
    });
  }
  return Encode(answer);
}

void QuotaHost::OnPeerMessage(const NodeId& from, std::string_view bytes) {
  if (const auto message = Decode<wire::QuotaQuestion>(bytes)) {
    std::ranges::for_each(message->needs, [&](const wire::QuotaNeed& need) {
      this->grantor.OnNeed(from, need, false, Now());
    });
    std::ranges::for_each(message->joined_groups, [&](std::int32_t group) {
      this->grantor.OnJoined(from, static_cast<std::size_t>(group), Now());
    });
    std::ranges::for_each(message->left_groups, [&](std::int32_t group) {
      this->grantor.OnLeft(from, static_cast<std::size_t>(group), Now());
    });
  }
}

// Log -------------------------------------------------------------------------

void QuotaHost::Count(const ClientAccount& account,
                      const QuotaDecision& decision) {
  switch (decision.verdict) {
    case QuotaVerdict::kTaken:
      ++this->total.granted;
      break;
    case QuotaVerdict::kFallback:
      ++this->total.fallback;
      break;
    default:
      ++this->total.refused;
      if (this->refused_since_log.size() < kCountedAccounts ||
          this->refused_since_log.contains(account)) {
        ++this->refused_since_log[account];
      }
  }
}

void QuotaHost::LogCounts() {
  if (this->total.refused != this->logged.refused ||
      this->total.fallback != this->logged.fallback) {
    this->events.Write(
        "quotas", {{"granted", this->total.granted},
                   {"refused", this->total.refused},
                   {"fallback", this->total.fallback},
                   {"questions", this->total.questions},
                   {"buckets", static_cast<std::int64_t>(this->buckets())}});
  }
  std::vector<std::pair<std::int64_t, ClientAccount>> most;
  std::ranges::transform(
      this->refused_since_log, std::back_inserter(most),
      [](const auto& entry) { return std::pair(entry.second, entry.first); });
  std::ranges::sort(most, std::ranges::greater{});
  most.resize(std::min(most.size(), kLoggedAccounts));
  std::ranges::for_each(most, [this](const auto& entry) {
    this->events.Write("quota exceeded", {{"account", entry.second.value},
                                          {"refused", entry.first}});
  });
  this->refused_since_log.clear();
  this->logged = this->total;
}

}  // namespace tanagerledge
