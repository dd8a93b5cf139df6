#include "src/sidecar/hedge_host.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

#include "src/adapters/clock.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kFirst = 0;
constexpr std::size_t kSecond = 1;

bool IsGood(const wire::CallReply& reply) {
  return FinishKindOf(reply) == FinishKind::kOk;
}

// How much a failed reply says of what has become of the request. One that may
// have run must not be hidden by one that has not.
int WeightOf(const wire::CallReply& reply) {
  switch (OutcomeOf(reply)) {
    case Outcome::kOk:
      return 2;
    case Outcome::kUnknown:
      return 1;
    case Outcome::kNotRun:
      return 0;
  }
  return 0;
}

// The two sends of one request. Their fibers share it.
struct Race {
  std::array<std::optional<wire::CallReply>, 2> replies;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable signal;

  bool HasGood(std::size_t send) const {
    return this->replies[send] && IsGood(*this->replies[send]);
  }

  bool IsDecided() const {
    return this->HasGood(kFirst) || this->HasGood(kSecond) ||
           (this->replies[kFirst] && this->replies[kSecond]);
  }
};

void Start(IoLoop& loop,
           const std::shared_ptr<Race>& race,
           std::size_t send,
           std::function<wire::CallReply()> run) {
  loop.SpawnHere([race, send, run = std::move(run)] {
    wire::CallReply reply = run();
    const std::scoped_lock lock(race->mutex);
    race->replies[send] = std::move(reply);
    race->signal.notify_one();
  });
}

struct VerdictName {
  HedgeVerdict verdict;
  std::string_view name;
  const char* metric;
};

constexpr std::array<VerdictName, kHedgeVerdicts - 1> kDenials = {{
    {HedgeVerdict::kNoTime, "no time",
     "tanagerledge_hedges_denied_no_time_total"},
    {HedgeVerdict::kAttemptsUsed, "attempts used",
     "tanagerledge_hedges_denied_attempts_used_total"},
    {HedgeVerdict::kNoOtherNode, "no other node",
     "tanagerledge_hedges_denied_no_other_node_total"},
    {HedgeVerdict::kShortOfSlots, "short of slots",
     "tanagerledge_hedges_denied_short_of_slots_total"},
    {HedgeVerdict::kShareUsed, "share used",
     "tanagerledge_hedges_denied_share_used_total"},
    {HedgeVerdict::kBudgetUsed, "budget used",
     "tanagerledge_hedges_denied_budget_used_total"},
}};

}  // namespace

HedgeHost::HedgeHost(IoLoop& io_loop,
                     HedgeConfig config,
                     FleetRetryBudget& budget,
                     EventLog& event_log)
    : loop(io_loop), retries(budget), events(event_log), hedge_policy(config) {}

HedgeVerdict HedgeHost::Decide(const HedgedRequest& request) {
  const HedgeQuestion question = request.describe();
  const HedgeVerdict verdict =
      this->hedge_policy.Decide(question, this->retries, Now());
  ++this->verdicts[static_cast<std::size_t>(verdict)];
  const auto denial =
      std::ranges::find(kDenials, verdict, &VerdictName::verdict);
  this->events.Write(
      verdict == HedgeVerdict::kSend ? "hedged" : "not hedged",
      {{"id", request.id},
       {"route", request.route.value},
       {"after_ms", duration_cast<milliseconds>(request.delay).count()},
       {"reason", denial == kDenials.end() ? "late" : denial->name}});
  return verdict;
}

wire::CallReply HedgeHost::Run(const HedgedRequest& request) {
  const auto race = std::make_shared<Race>();
  const Instant began = Now();
  Start(this->loop, race, kFirst, request.first.run);
  std::unique_lock lock(race->mutex);
  const auto has_first = [&race] { return race->replies[kFirst].has_value(); };
  const bool is_late =
      !race->signal.wait_until(lock, began + request.delay, has_first);
  if (!is_late || this->Decide(request) != HedgeVerdict::kSend) {
    race->signal.wait(lock, has_first);
    if (race->HasGood(kFirst)) {
      this->hedge_policy.OnAnswer(
          request.route, duration_cast<microseconds>(Now() - began), Now());
    }
    return std::move(*race->replies[kFirst]);
  }
  const HedgedSend second = request.begin_second();
  Start(this->loop, race, kSecond, second.run);
  race->signal.wait(lock, [&race] { return race->IsDecided(); });
  lock.unlock();
  const auto took = duration_cast<microseconds>(Now() - began);
  if (race->HasGood(kFirst) || race->HasGood(kSecond)) {
    this->hedge_policy.OnAnswer(request.route, took, Now());
  }
  if (race->HasGood(kFirst)) {
    if (!race->replies[kSecond]) {
      second.cancel();
    }
    return std::move(*race->replies[kFirst]);
  }
  if (race->HasGood(kSecond)) {
    if (!race->replies[kFirst]) {
      request.first.cancel();
    }
    ++this->wins;
    this->events.Write(
        "hedge won", {{"id", request.id},
                      {"route", request.route.value},
                      {"took_ms", duration_cast<milliseconds>(took).count()}});
    return std::move(*race->replies[kSecond]);
  }
  const bool first_says_more =
      WeightOf(*race->replies[kFirst]) >= WeightOf(*race->replies[kSecond]);
  return std::move(*race->replies[first_says_more ? kFirst : kSecond]);
}

void HedgeHost::AddMetrics(SidecarMetrics& metrics) const {
  metrics.AddGauge("tanagerledge_hedges_sent_total",
                   "Late requests that were sent a second time.",
                   [this] { return static_cast<double>(this->sent()); });
  metrics.AddGauge("tanagerledge_hedges_won_total",
                   "Second sends that were answered first.",
                   [this] { return static_cast<double>(this->won()); });
  std::ranges::for_each(kDenials, [&](const VerdictName& denial) {
    metrics.AddGauge(denial.metric,
                     "Late requests that were not sent a second time: " +
                         std::string(denial.name) + ".",
                     [this, verdict = denial.verdict] {
                       return static_cast<double>(this->CountOf(verdict));
                     });
  });
}

}  // namespace tanagerledge
