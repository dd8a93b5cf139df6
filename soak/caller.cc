#include "soak/caller.h"

#include <algorithm>
#include <utility>

#include "src/adapters/clock.h"

namespace tanagerledge::soak {
namespace {

using std::chrono::milliseconds;

// How long a caller waits for an answer after its deadline.
constexpr milliseconds kExtraWait{1000};
constexpr int kOk = 200;

HttpClientOptions ClientOptions(bool keeps_connections) {
  HttpClientOptions options;
  if (!keeps_connections) {
    options.max_idle_connections = 0;
  }
  return options;
}

}  // namespace

Caller::Caller(IoLoop& loop,
               Ledger& run_ledger,
               CallerIdentity caller_identity,
               bool keeps_connections)
    : ledger(run_ledger),
      identity(std::move(caller_identity)),
      client(loop,
             ParseAddress(this->identity.front).value(),
             ClientOptions(keeps_connections)) {}

bool Caller::Call(const CallOptions& call) {
  const milliseconds limit =
      std::min(call.deadline, call.long_route ? kLongTimeout : kShortTimeout);
  HttpRequest request;
  request.method = "POST";
  request.target = (call.long_route ? "/long/" : "/x/") + call.id;
  request.body = call.id;
  request.headers = {
      {"Host", call.idempotent ? "archive.example" : "claims.example"},
      {"X-Attempt-Id", call.id},
      {"X-Deadline-Ms", std::to_string(call.deadline.count())}};
  this->ledger.RecordRequest(call.id, call.idempotent, this->identity.service);
  // The request fits into one packet, so that it is completely sent once its
  // first byte is.
  ExchangeOptions exchange;
  exchange.may_send = [this, &call, limit] {
    this->ledger.RecordSend(call.id, *this->identity.node, limit);
    return true;
  };
  const Instant give_up_at = Now() + limit + kExtraWait;
  const auto answer = this->client.Send(request, limit + kExtraWait, exchange);
  if (!answer) {
    this->ledger.RecordNoAnswer(call.id, Now() >= give_up_at,
                                answer.error().text);
    return false;
  }
  this->ledger.RecordAnswer(call.id, *answer);
  return answer->status == kOk;
}

}  // namespace tanagerledge::soak
