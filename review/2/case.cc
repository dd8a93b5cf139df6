// A heartbeat of another writer lacks `born`. Then the endpoint leaves as
// planned.

#include <cstdlib>
#include <iostream>

#include "../stand_in/stand_in.h"

namespace {

using namespace review;

constexpr std::int64_t kDrainMs = 2000;

const char* kConfig = R"({"version":7,"routes":{
"r-invoice":{"host":"billing.example","path_prefix":"/invoice/",
  "kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":300,
  "priority":0,"service":"billing","max_attempts":2}},
"services":{"billing":{"health_path":"/health","max_connections":130,
  "protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  Fleet fleet({"billing", "billing", "billing"});
  if (!fleet.Start(kConfig)) {
    return kCouldNotRun;
  }
  for (Machine& machine : fleet.machines) {
    machine.endpoint->work_ms = 200;
  }
  SleepMs(5000);
  std::atomic<bool> done{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 12; ++i) {
    clients.emplace_back([&, i] {
      while (!done) {
        Request request;
        request.method = "POST";
        request.host = "billing.example";
        request.target = "/invoice/" + NewId();
        request.body = "amount=1";
        const Outcome outcome =
            CallOnce(fleet.machines[i % 3].node->front(), request);
        ++(outcome.status == 200 ? served : failed);
        SleepMs(50);
      }
    });
  }
  SleepMs(3000);
  const int before = served;
  Endpoint& leaving = *fleet.machines[0].endpoint;
  if (Trouble()) {
    const int status =
        leaving.ForeignBeat(leaving.id, leaving.BeatBody(/*with_born=*/false));
    Record("heartbeat without born for " + leaving.id + ": " +
           std::to_string(status));
  }
  SleepMs(300);
  const bool acknowledged = leaving.Drain();
  const std::int64_t acknowledged_at = NowMs();
  Record("draining of " + leaving.id +
         " acknowledged: " + std::to_string(acknowledged));
  // It goes on serving for drain_ms and a little longer.
  SleepMs(kDrainMs + 1500);
  leaving.End();
  Record("end of " + leaving.id);
  SleepMs(1000);
  done = true;
  for (auto& client : clients) {
    client.join();
  }
  int late = 0;
  std::int64_t latest = 0;
  for (const Run& run : leaving.Runs()) {
    const auto after = run.at_ms - acknowledged_at;
    latest = std::max(latest, after);
    late += after > kDrainMs ? 1 : 0;
  }
  const std::string result =
      "served before " + std::to_string(before) + " in all " +
      std::to_string(served) + ", not served " + std::to_string(failed) +
      "; draining acknowledged " + std::to_string(acknowledged) +
      "; requests that reached the endpoint later than drain_ms: " +
      std::to_string(late) + ", the last " + std::to_string(latest) +
      " ms after the acknowledgement";
  Record(result);
  std::cout << result << "\n";
  if (before == 0 || !acknowledged) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}
