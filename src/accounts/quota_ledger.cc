#include "tanagerledge/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using FloatSeconds = std::chrono::duration<double>;

// Sessions of one start: one for each account, lapse and granting node.
constexpr int kSessionBits = 20;
// Time constant of the estimate of the demand.
constexpr FloatSeconds kDemandTime{1.0};
// Tokens that a node holds in advance cover this much of its demand. It is
// shorter than a lease, so that few tokens lapse.
constexpr FloatSeconds kHeldTime{0.8};
// A node holds no tokens of accounts with less demand: most of them would
// lapse. One question per request is cheap there.
constexpr double kMinHeld = 2;
constexpr double kMaxHeld = 1000;
// New tokens are asked for when this share of the wanted ones is left.
constexpr double kRefillShare = 0.25;
constexpr milliseconds kIdleTime{500};
// Accounts without requests are forgotten after this time, which is longer than
// the time in which the node's own share fills again.
constexpr milliseconds kForgetTime{20'000};
// A granting node that left this many questions unanswered is only asked again
// after a pause, and requests no longer wait for it.
constexpr int kMaxUnanswered = 2;
constexpr milliseconds kAskAgainDelay{200};
constexpr microseconds kMaxWait{1'000'000};
// A retry delay when the granting node can't be reached, which the others
// notice within some seconds.
constexpr milliseconds kUnreachableRetryDelay{500};

}  // namespace

QuotaLedger::QuotaLedger(QuotaTerms quota_terms, Incarnation incarnation)
    : terms(quota_terms),
      last_session(static_cast<std::int64_t>(
          (incarnation.value & ((1ULL << (62 - kSessionBits)) - 1))
          << kSessionBits)) {}

std::vector<QuotaMove> QuotaLedger::SetView(const QuotaView& next,
                                            const QuotaOwners& owners) {
  std::vector<QuotaMove> moves;
  this->view = next;
  for (std::size_t group = 0; group < kQuotaGroups; ++group) {
    NodeId& grantor = this->grantors[group];
    if (grantor != owners.asked[group]) {
      moves.push_back({group, grantor, owners.asked[group]});
      grantor = owners.asked[group];
      ++this->group_terms[group];
    }
  }
  return moves;
}

// Holdings --------------------------------------------------------------------

const ClientAccountConfig* QuotaLedger::LimitOf(
    const ClientAccount& account) const {
  const ClientAccountConfig* limit =
      this->config ? this->config->Account(account) : nullptr;
  return limit != nullptr && limit->rate > 0 ? limit : nullptr;
}

void QuotaLedger::StartSession(Holding& holding) {
  holding.session = ++this->last_session;
  holding.sequence = 0;
  holding.granted = 0;
  holding.used = 0;
  holding.returned = 0;
}

QuotaLedger::Holding& QuotaLedger::HoldingOf(const ClientAccount& account,
                                             Instant now) {
  auto [found, added] = this->holdings.try_emplace(account);
  Holding& holding = found->second;
  if (added) {
    holding.group = QuotaGroupOf(account.value);
    holding.last_request = now;
  }
  const std::uint64_t term = this->group_terms[holding.group];
  if (holding.term != term) {
    holding.term = term;
    holding.unanswered = 0;
    holding.refused_until = {};
    this->StartSession(holding);
  } else if (added || (now >= holding.valid_until && holding.granted > 0)) {
    this->StartSession(holding);
  }
  return holding;
}

std::int64_t QuotaLedger::Held(const ClientAccount& account,
                               Instant now) const {
  const auto found = this->holdings.find(account);
  return found == this->holdings.end() || now >= found->second.valid_until
             ? 0
             : std::max<std::int64_t>(0, found->second.available());
}

// Requests --------------------------------------------------------------------

void QuotaLedger::OnRequest(const ClientAccount& account, Instant now) {
  if (this->LimitOf(account) == nullptr) {
    return;
  }
  Holding& holding = this->HoldingOf(account, now);
  const double age = FloatSeconds(now - holding.last_request) / kDemandTime;
  holding.demand = holding.demand * std::exp(-std::max(0.0, age)) +
                   1.0 / kDemandTime.count();
  holding.last_request = now;
}

QuotaDecision QuotaLedger::Take(const ClientAccount& account, Instant now) {
  const ClientAccountConfig* limit = this->LimitOf(account);
  if (limit == nullptr) {
    return {QuotaVerdict::kUnlimited, 0, {}};
  }
  Holding& holding = this->HoldingOf(account, now);
  if (holding.available() > 0) {
    ++holding.used;
    return {QuotaVerdict::kTaken, holding.session, {}};
  }
  if (now < holding.refused_until) {
    return {QuotaVerdict::kRefused, 0,
            std::chrono::ceil<microseconds>(holding.refused_until - now)};
  }
  const bool unreachable =
      holding.unanswered >= kMaxUnanswered && now < holding.ask_again_at;
  return unreachable ? this->TakeOwnShare(*limit, holding, now)
                     : QuotaDecision{QuotaVerdict::kAsk, 0, {}};
}

QuotaDecision QuotaLedger::TakeAtLast(const ClientAccount& account,
                                      Instant now) {
  const QuotaDecision decision = this->Take(account, now);
  if (decision.verdict != QuotaVerdict::kAsk) {
    return decision;
  }
  return this->TakeOwnShare(*this->LimitOf(account),
                            this->HoldingOf(account, now), now);
}

// The shares of all nodes together stay within a part of the room for errors,
// because the granting node may grant the whole rate to the others. An account
// with less room than nodes has a share at a few of them only.
QuotaDecision QuotaLedger::TakeOwnShare(const ClientAccountConfig& limit,
                                        Holding& holding,
                                        Instant now) {
  const QuotaDecision refused{QuotaVerdict::kRefused, 0,
                              kUnreachableRetryDelay};
  const double room =
      kQuotaFallbackPart * QuotaRoom({limit.rate, limit.burst}, this->terms);
  // Half of it may be used at one moment, and the other half comes in within a
  // window.
  const auto nodes =
      static_cast<double>(std::max<std::size_t>(1, this->view.known()));
  const double sharers = std::min(nodes, std::floor(room / 2));
  if (sharers < 1) {
    return refused;
  }
  const double most = room / 2 / sharers;
  const double rate = most / FloatSeconds(this->terms.window).count();
  holding.own_share =
      holding.own_share < 0
          ? most
          : std::min(
                most,
                holding.own_share +
                    rate * FloatSeconds(now - holding.own_share_at).count());
  holding.own_share_at = now;
  if (holding.own_share < 1 ||
      (sharers < nodes && !IsAmongFirst(this->view, holding.group,
                                        static_cast<std::size_t>(sharers)))) {
    return refused;
  }
  holding.own_share -= 1;
  return {QuotaVerdict::kFallback, holding.session, {}};
}

void QuotaLedger::Return(const ClientAccount& account,
                         const QuotaDecision& taken,
                         Instant now) {
  const auto found = this->holdings.find(account);
  if (found == this->holdings.end()) {
    return;
  }
  Holding& holding = found->second;
  if (taken.verdict == QuotaVerdict::kFallback) {
    holding.own_share += 1;
  } else if (taken.verdict == QuotaVerdict::kTaken &&
             taken.session == holding.session && now < holding.valid_until &&
             holding.used > 0) {
    --holding.used;
  }
}

// Questions -------------------------------------------------------------------

const NodeId& QuotaLedger::GrantorOf(const ClientAccount& account) const {
  return this->grantors[QuotaGroupOf(account.value)];
}

bool QuotaLedger::IsAsking(const ClientAccount& account) const {
  const auto found = this->holdings.find(account);
  return found != this->holdings.end() && found->second.asking;
}

bool QuotaLedger::NeedsRefill(const ClientAccount& account, Instant now) {
  const auto found = this->holdings.find(account);
  if (found == this->holdings.end()) {
    return false;
  }
  const Holding& holding = found->second;
  const double wanted = holding.demand * kHeldTime.count();
  return !holding.asking && wanted >= kMinHeld &&
         now >= std::max(holding.refill_after, holding.ask_again_at) &&
         static_cast<double>(holding.available()) <= wanted * kRefillShare;
}

wire::QuotaNeed QuotaLedger::StartQuestion(const ClientAccount& account,
                                           int waiting,
                                           Instant now) {
  Holding& holding = this->HoldingOf(account, now);
  holding.asking = true;
  wire::QuotaNeed need;
  need.account = account.value;
  need.session = holding.session;
  need.sequence = ++holding.sequence;
  need.granted = holding.granted;
  need.used = holding.used + waiting;
  need.returned = holding.returned;
  const double wanted = std::min(kMaxHeld, holding.demand * kHeldTime.count());
  need.want = wanted < kMinHeld ? 0 : static_cast<std::int64_t>(wanted);
  return need;
}

void QuotaLedger::OnGrant(const wire::QuotaNeed& need,
                          const wire::QuotaGrant& grant,
                          Instant sent_at,
                          Instant now) {
  const auto found = this->holdings.find({need.account});
  if (found == this->holdings.end()) {
    return;
  }
  Holding& holding = found->second;
  holding.asking = false;
  if (grant.session != holding.session) {
    return;
  }
  holding.unanswered = 0;
  // With too few tokens for the requests that wait, later ones are refused
  // without a question. With fewer than wanted, only refills have to wait.
  const microseconds wait(
      std::clamp<std::int64_t>(grant.wait_us, 0, kMaxWait.count()));
  if (grant.granted < need.used + need.returned) {
    holding.refused_until = now + wait;
  }
  holding.refill_after = now + wait;
  // A token of an answer that comes after its lease could be used twice.
  if (now < sent_at + kQuotaLease) {
    holding.granted = std::max(holding.granted, grant.granted);
    holding.valid_until = std::max(holding.valid_until, sent_at + kQuotaLease);
  }
}

void QuotaLedger::OnNoAnswer(const wire::QuotaNeed& need, Instant now) {
  const auto found = this->holdings.find({need.account});
  if (found != this->holdings.end()) {
    found->second.asking = false;
    if (need.session == found->second.session) {
      ++found->second.unanswered;
      found->second.ask_again_at = now + kAskAgainDelay;
    }
  }
}

std::vector<wire::QuotaNeed> QuotaLedger::GiveBackIdle(Instant now) {
  std::vector<wire::QuotaNeed> idle;
  std::ranges::for_each(this->holdings, [&](auto& entry) {
    Holding& holding = entry.second;
    const bool valid = now < holding.valid_until &&
                       holding.term == this->group_terms[holding.group];
    if (now - holding.last_request >= kIdleTime && valid && !holding.asking &&
        holding.available() > 0) {
      holding.returned += holding.available();
      wire::QuotaNeed& need = idle.emplace_back();
      need.account = entry.first.value;
      need.session = holding.session;
      need.sequence = ++holding.sequence;
      need.granted = holding.granted;
      need.used = holding.used;
      need.returned = holding.returned;
    }
  });
  std::erase_if(this->holdings, [now](const auto& entry) {
    const Holding& holding = entry.second;
    return now - holding.last_request >= kForgetTime && !holding.asking;
  });
  return idle;
}

}  // namespace tanagerledge
