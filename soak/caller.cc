#include "soak/caller.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::milliseconds;

// A caller waits so long beyond its deadline.
constexpr milliseconds kPatience{1000};
constexpr int kOk = 200;

HttpClientOptions OptionsOf(bool keeps_connections) {
  HttpClientOptions options;
  if (!keeps_connections) {
    options.max_idle_connections = 0;
  }
  return options;
}

}  // namespace

Caller::Caller(IoLoop& loop,
               Ledger& run_ledger,
               CallerPlace caller_place,
               bool keeps_connections)
    : ledger(run_ledger),
      place(std::move(caller_place)),
      client(loop,
             ParseAddress(this->place.front).value(),
             OptionsOf(keeps_connections)) {}

bool Caller::Call(const CallPlan& plan) {
  const milliseconds limit =
      std::min(plan.deadline, plan.long_route ? kLongTimeout : kShortTimeout);
  HttpRequest request;
  request.method = "POST";
  request.target = (plan.long_route ? "/long/" : "/x/") + plan.id;
  request.body = plan.id;
  request.headers = {
      {"Host", plan.repeatable ? "archive.example" : "claims.example"},
      {"X-Attempt-Id", plan.id},
      {"X-Deadline-Ms", std::to_string(plan.deadline.count())}};
  this->ledger.Asked(plan.id, plan.repeatable, this->place.service);
  // A request fits into one packet: its last byte goes out with the first.
  ExchangeOptions exchange;
  exchange.may_send = [this, &plan, limit] {
    this->ledger.Sent(plan.id, *this->place.node, limit);
    return true;
  };
  const Instant gives_up = Now() + limit + kPatience;
  const auto answer = this->client.Send(request, limit + kPatience, exchange);
  if (!answer) {
    this->ledger.Unanswered(plan.id, Now() >= gives_up, answer.error().text);
    return false;
  }
  this->ledger.Answered(plan.id, *answer);
  return answer->status == kOk;
}

}  // namespace tanagerledge::soak
