// A request crashes each endpoint that begins to run it, and its clients leave
// before it does. Counts how often it reaches endpoints later than contact_ms
// after it has crashed the third.
//
//   left_crash NODE_PROGRAM ENDPOINT_PROGRAM FOLDER RECORD TROUBLE

#include <signal.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "mesh.h"

namespace {

// As of the page: the bounds, and the figures of `rating-lookup`.
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kLeavesAfterMs = 125;  // Half the objective.
constexpr std::int64_t kCrashMs = 200;
constexpr std::int64_t kBackAfterMs = 2000;
constexpr int kMaxRetries = 3;

constexpr const char* kConfig =
    "{\"version\":7,\"routes\":{"
    "\"r-1\":{\"host\":\"jepu9.example\",\"path_prefix\":\"/lepu270/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":250,"
    "\"priority\":1,\"service\":\"catalogue\",\"max_attempts\":2},"
    "\"r-2\":{\"host\":\"hulo84.example\",\"path_prefix\":\"/xapu221/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1000,"
    "\"target_latency_ms\":600,\"priority\":2,\"service\":\"catalogue\","
    "\"max_attempts\":2}},\"services\":{"
    "\"catalogue\":{\"health_path\":\"/health\",\"max_connections\":130},"
    "\"claims\":{\"health_path\":\"/health\",\"max_connections\":130}},"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

struct Machine {
  mesh::NodeAddresses node;
  std::string service, zone;
  pid_t endpoint = 0;
};

struct Line {
  std::int64_t at = 0;
  std::string what, endpoint, attempt, target;
};

std::vector<Line> Lines(const std::string& path) {
  std::ifstream file(path);
  std::vector<Line> lines;
  for (std::string text; std::getline(file, text);) {
    std::istringstream words(text);
    Line line;
    words >> line.at >> line.what >> line.endpoint >> line.attempt >>
        line.target;
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

int main(int count, char** words) {
  if (count != 6) {
    return 2;
  }
  const std::string node_program = words[1];
  const std::string endpoint_program = words[2];
  const std::string folder = words[3];
  const std::string record_path = words[4];
  const bool trouble = std::string(words[5]) != "0";
  const std::string runs = folder + "/runs.txt";

  mesh::Store store;
  const std::string store_address = mesh::FreeAddress("127.0.0.1");
  store.Start(store_address);
  store.Put("keyed.op", "config", kConfig);

  // Five endpoints of `catalogue`, as on the sheet, and one of `claims`.
  std::vector<Machine> machines;
  for (int i = 0; i < 6; ++i) {
    Machine machine;
    machine.node = mesh::Reserve(i);
    machine.service = i < 5 ? "catalogue" : "claims";
    machine.zone = std::string("cymru-") + static_cast<char>('a' + i % 3);
    machines.push_back(machine);
  }
  const auto start_endpoint = [&](Machine& machine) {
    machine.endpoint = mesh::Start(
        {endpoint_program, machine.node.app, machine.node.admin,
         machine.service, machine.zone, "13", std::to_string(kCrashMs), runs},
        {}, folder + "/endpoints.log");
  };
  for (Machine& machine : machines) {
    mesh::StartNode(node_program,
                    mesh::WriteSettings(folder, machine.node, machine.zone,
                                        machine.service, store_address),
                    folder + "/node-" + machine.node.ip + ".log");
    start_endpoint(machine);
  }
  for (const Machine& machine : machines) {
    if (!mesh::AwaitReady(machine.node.readiness, 15'000)) {
      std::fprintf(stderr, "a node isn't ready\n");
      mesh::EndAll();
      return 2;
    }
  }
  mesh::SleepMs(8000);  // Traffic starts 8 s after the machines do.

  std::ofstream record(record_path);
  std::mutex record_mutex;
  const auto send = [&](const Machine& from, mesh::Attempt attempt) {
    attempt.id = mesh::NewId();
    const std::int64_t sent = mesh::NowMs();
    const int status = mesh::Send(from.node.front, attempt);
    const std::scoped_lock lock(record_mutex);
    record << sent << " sent " << attempt.id << " " << attempt.path << " at "
           << from.node.ip << ", ended after " << mesh::NowMs() - sent
           << " ms: "
           << (status > 0    ? std::to_string(status)
               : status == 0 ? "no answer"
                             : "client left")
           << "\n";
    return status;
  };

  // Clients of the sheet beside it, which stay. They are 30 to each that
  // leaves.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> all{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 30; ++i) {
    clients.emplace_back([&, i] {
      for (int number = 0; !stop; ++number) {
        mesh::Attempt attempt;
        const bool reads = (i + number) % 3 != 0;
        const std::string name =
            std::to_string(i) + "-" + std::to_string(number);
        attempt.method = reads ? "GET" : "POST";
        attempt.host = reads ? "jepu9.example" : "hulo84.example";
        attempt.path = (reads ? "/lepu270/w78/" : "/xapu221/w100/") + name;
        attempt.body = reads ? "" : "body " + name;
        attempt.deadline_ms = reads ? kDeadlineMs : 2000;
        ++all;
        served += send(machines[i % 6], attempt) == 200 ? 1 : 0;
        mesh::SleepMs(100);
      }
    });
  }
  mesh::SleepMs(2000);
  // Ends and starts endpoints; the first three crash by the request.
  std::vector<std::thread> crashing;
  const auto send_crashing = [&] {
    crashing.emplace_back([&] {
      mesh::Attempt attempt;
      attempt.host = "jepu9.example";
      attempt.path = "/lepu270/crash/7";
      attempt.deadline_ms = kDeadlineMs;
      attempt.leaves_after_ms = trouble ? kLeavesAfterMs : 0;
      send(machines[5], attempt);  // The same caller each time.
    });
  };
  std::map<std::string, std::int64_t> down_since;
  const auto revive = [&] {
    for (Machine& machine : machines) {
      if (kill(machine.endpoint, 0) != 0 || [&] {
            int state = 0;
            return waitpid(machine.endpoint, &state, WNOHANG) != 0;
          }()) {
        std::int64_t& since = down_since[machine.node.ip];
        since = since == 0 ? mesh::NowMs() : since;
        if (mesh::NowMs() - since >= kBackAfterMs) {
          since = 0;
          start_endpoint(machine);
        }
      }
    }
  };
  const std::int64_t began = mesh::NowMs();
  std::size_t next = 0;
  // Twice `give_up`, each for less than 5.5 s.
  std::vector<std::int64_t> at = {0, 450, 900};
  for (std::int64_t each = 4500; each <= 9000; each += 450) {
    at.push_back(each);
  }
  while (mesh::NowMs() - began < 12'000) {
    if (next < at.size() && mesh::NowMs() - began >= at[next]) {
      ++next;
      send_crashing();
    }
    revive();
    mesh::SleepMs(5);
  }
  stop = true;
  for (auto* threads : {&clients, &crashing}) {
    for (std::thread& each : *threads) {
      each.join();
    }
  }
  mesh::EndAll();

  std::vector<std::int64_t> crashes;
  int late = 0;
  for (const Line& line : Lines(runs)) {
    if (line.what == "crash") {
      crashes.push_back(line.at);
    }
  }
  for (const Line& line : Lines(runs)) {
    late += line.what == "run" &&
            line.target.find("/crash/") != std::string::npos &&
            crashes.size() >= 3 && line.at > crashes[2] + kContactMs;
  }
  // Unsafe requests that an endpoint had begun when it was crashed.
  std::map<std::string, int> begun;
  for (const Line& line : Lines(runs)) {
    if (line.target.find("/xapu221/") == 0) {
      begun[line.attempt] = 1;
    } else if (line.what == "end") {
      begun.erase(line.attempt);
    }
  }
  record << "\n";
  record << std::ifstream(runs).rdbuf();
  record << "\nthe request crashed " << crashes.size() << " endpoints; " << late
         << " of its sends reached endpoints over " << kContactMs
         << " ms after the third crash (" << kMaxRetries << " allowed); "
         << served << " of " << all << " other requests were served, "
         << begun.size() << " unsafe ones were lost at work\n";
  std::printf(
      "%zu crashes, %d late retries, %d of %d others served, %zu unsafe "
      "ones lost at work\n",
      crashes.size(), late, served.load(), all.load(), begun.size());
  record.close();
  std::fflush(stdout);
  std::_Exit(late > kMaxRetries ? 1 : 0);  // Threads of the store still run.
}
