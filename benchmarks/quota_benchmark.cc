// Measures what the quota of its account adds to a request, on the node that it
// arrives at and on the granting node.
//
// Bounds, as ratios:
//   - with 10,000 accounts, a request takes at most 6 times as long as with 80,
//     which is what the memory of so many accounts costs;
//   - a request with a token takes less than a hundredth, and a question at the
//     granting node less than a tenth, of the 1.1 ms that the users allow two
//     nodes to add to a call.

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "benchmarks/bounds.h"
#include "tanagerledge/quota_grantor.h"
#include "tanagerledge/quota_ledger.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Nanoseconds = std::chrono::duration<double, std::nano>;

constexpr Nanoseconds kMaxAddedLatency = microseconds(1'100);
constexpr QuotaTerms kTerms{milliseconds(5000), 0.1, 20};

// The minimum of several rounds, per call.
Nanoseconds Measure(const std::function<void(int)>& work) {
  constexpr int kRounds = 7;
  constexpr int kCalls = 100'000;
  Nanoseconds minimum = std::chrono::hours(1);
  int number = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = std::chrono::steady_clock::now();
    for (int call = 0; call < kCalls; ++call) {
      work(number++);
    }
    minimum = std::min(
        minimum,
        Nanoseconds(std::chrono::steady_clock::now() - start) / kCalls);
  }
  return minimum;
}

class QuotaModel {
 public:
  explicit QuotaModel(int accounts)
      : ledger(kTerms, Incarnation{1}), grantor(kTerms) {
    std::vector<ClientAccountConfig> configs;
    for (int number = 0; number < accounts; ++number) {
      ClientAccountConfig config;
      config.name = {"account-" + std::to_string(number)};
      config.rate = 100'000;
      config.burst = 100'000;
      configs.push_back(config);
      this->names.push_back(config.name);
    }
    const auto config = std::make_shared<MeshConfig>(
        1, std::vector<MeshRoute>{}, std::vector<MeshService>{}, ClientLimits{},
        std::move(configs));
    QuotaView view;
    view.self = {"10.0.0.1:7000"};
    view.live = view.reachable = {view.self};
    const QuotaOwners owners = OwnersIn(view);
    this->ledger.SetConfig(config);
    this->ledger.SetView(view, owners);
    this->grantor.SetConfig(config);
    this->grantor.SetView(view, owners, this->now);
    for (int tick = 0; tick < 100; ++tick) {
      this->now += milliseconds(100);
      this->grantor.OnTick(this->now);
    }
  }

  // One request each microsecond, so that most find a token.
  void Request(int number) {
    const ClientAccount& account = this->names[number % this->names.size()];
    this->now += microseconds(1);
    this->ledger.OnRequest(account, this->now);
    const auto verdict = this->ledger.Take(account, this->now).verdict;
    if (verdict == QuotaVerdict::kAsk ||
        this->ledger.NeedsRefill(account, this->now)) {
      this->Ask(account);
    }
    if (number % 100'000 == 0) {
      this->grantor.OnTick(this->now);
    }
  }

  // One question of one of 74 nodes.
  void Question(int number) {
    constexpr int kNodes = 74;
    this->now += microseconds(1);
    wire::QuotaNeed need;
    need.account = this->names[number % this->names.size()].value;
    need.session = 1;
    need.sequence = number + 1;
    need.used = number;
    this->grantor.OnNeed({"10.0.0." + std::to_string(number % kNodes)}, need,
                         true, this->now);
    if (number % 100'000 == 0) {
      this->grantor.OnTick(this->now);
    }
  }

 private:
  void Ask(const ClientAccount& account) {
    const auto need = this->ledger.StartQuestion(account, 1, this->now);
    this->ledger.OnGrant(
        need, this->grantor.OnNeed({"10.0.0.1:7000"}, need, true, this->now),
        this->now, this->now);
  }

  Instant now{std::chrono::hours(1)};
  std::vector<ClientAccount> names;
  QuotaLedger ledger;
  QuotaGrantor grantor;
};

int Run() {
  Bounds bounds;
  QuotaModel few(80);
  QuotaModel many(10'000);
  const Nanoseconds few_request =
      Measure([&](int number) { few.Request(number); });
  const Nanoseconds many_request =
      Measure([&](int number) { many.Request(number); });
  const Nanoseconds question =
      Measure([&](int number) { few.Question(number); });
  bounds.AtMost("quota of a request, 10,000 accounts against 80",
                many_request / few_request, 6);
  bounds.AtMost("quota of a request, share of the allowed latency",
                many_request / kMaxAddedLatency, 0.01);
  bounds.AtMost("question at the granting node, share of the allowed latency",
                question / kMaxAddedLatency, 0.1);
  return bounds.exit_code();
}

}  // namespace
}  // namespace tanagerledge

int main() {
  return tanagerledge::Run();
}
