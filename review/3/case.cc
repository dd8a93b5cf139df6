// After a final fault, one heartbeat of another writer arrives at each node. It
// names a service that the configuration doesn't know.

#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "../stand_in/stand_in.h"

namespace {

using namespace review;

constexpr std::int64_t kRecoveryMs = 15'000;

const char* kConfig = R"({"version":7,"routes":{
"r-invoice":{"host":"billing.example","path_prefix":"/invoice/",
  "kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":300,
  "priority":0,"service":"billing","max_attempts":2}},
"services":{"billing":{"health_path":"/health","max_connections":130,
  "protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Count {
  int sent = 0;
  int served = 0;
};

Count SendFor(Fleet& fleet, std::int64_t ms) {
  Count count;
  const std::int64_t until = NowMs() + ms;
  for (std::size_t i = 0; NowMs() < until; ++i) {
    Request request;
    request.method = "POST";
    request.host = "billing.example";
    request.target = "/invoice/" + NewId();
    request.body = "amount=1";
    const Outcome outcome = CallOnce(
        fleet.machines[i % fleet.machines.size()].node->front(), request);
    ++count.sent;
    count.served += outcome.status == 200 ? 1 : 0;
    SleepMs(20);
  }
  return count;
}

std::string ToText(const Count& count) {
  return std::to_string(count.served) + " of " + std::to_string(count.sent);
}

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  Fleet fleet({"billing", "billing", "billing"});
  if (!fleet.Start(kConfig)) {
    return kCouldNotRun;
  }
  SleepMs(5000);
  const Count before = SendFor(fleet, 3000);
  Record("final fault: all processes are killed");
  for (Machine& machine : fleet.machines) {
    machine.node->Signal(SIGKILL);
  }
  for (Machine& machine : fleet.machines) {
    machine.node->AwaitEnd(2000);
  }
  SleepMs(1000);
  for (Machine& machine : fleet.machines) {
    machine.node->Start();
  }
  if (!fleet.AwaitReady(10'000)) {
    return kCouldNotRun;
  }
  const std::int64_t back = NowMs();
  SleepMs(5000);
  if (Trouble()) {
    for (Machine& machine : fleet.machines) {
      const int status = machine.endpoint->ForeignBeat(
          "i-other",
          "{\"service\":\"not-named-here\",\"address\":\"" +
              machine.endpoint->address +
              "\",\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":" +
              std::to_string(UnixMs()) + "}");
      Record("heartbeat of another writer: " + std::to_string(status));
    }
  }
  SleepMs(std::max<std::int64_t>(0, back + kRecoveryMs - NowMs()));
  const Count after = SendFor(fleet, 10'000);
  const std::string result = "served before the final fault " + ToText(before) +
                             ", later than recovery_s after it " +
                             ToText(after);
  Record(result);
  std::cout << result << "\n";
  if (before.served * 4 < before.sent || before.sent == 0) {
    return kCouldNotRun;
  }
  return after.served * 4 < after.sent ? kBroken : kHeld;
}
