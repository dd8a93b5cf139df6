// An endpoint leaves: it sends DELETE, and its node acknowledges that. The node
// is killed right after its acknowledgement and started again, and heartbeats
// from before the leave arrive late. Looks for requests that reach the endpoint
// later than drain_ms after the acknowledgement.
//
//   late_beats NODE_PROGRAM ENDPOINT_PROGRAM FOLDER RECORD TROUBLE

#include <signal.h>

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
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kRestartMs = 300;
// The only endpoint of `catalogue` in its zone, where `claims` has one too.
constexpr std::size_t kLeaver = 2;

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
         machine.service, machine.zone, "13", "0", runs, trouble ? "1" : "0"},
        {}, folder + "/endpoints.log");
  };
  std::vector<pid_t> nodes;
  std::vector<std::string> settings;
  const auto start_node = [&](std::size_t i) {
    return mesh::StartNode(node_program, settings[i],
                           folder + "/node-" + machines[i].node.ip + ".log");
  };
  for (std::size_t i = 0; i < machines.size(); ++i) {
    settings.push_back(mesh::WriteSettings(folder, machines[i].node,
                                           machines[i].zone,
                                           machines[i].service, store_address));
    nodes.push_back(start_node(i));
    start_endpoint(machines[i]);
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
        served +=
            send(machines[(kLeaver + 1 + i % 5) % 6], attempt) == 200 ? 1 : 0;
        mesh::SleepMs(100);
      }
    });
  }
  mesh::SleepMs(2000);

  mesh::Signal(machines[kLeaver].endpoint, SIGUSR1);
  const auto left_at = [&]() -> std::int64_t {
    for (const Line& line : Lines(runs)) {
      if (line.what == "left") {
        return line.at;
      }
    }
    return 0;
  };
  const std::int64_t until = mesh::NowMs() + 10'000;
  while (left_at() == 0 && mesh::NowMs() < until) {
    mesh::SleepMs(1);
  }
  const std::int64_t left = left_at();
  if (left == 0) {
    std::fprintf(stderr, "the leave was not acknowledged\n");
    mesh::EndAll();
    std::_Exit(2);
  }
  std::int64_t started = 0;
  if (trouble) {
    mesh::Signal(nodes[kLeaver], SIGKILL);
    record << mesh::NowMs() << " killed " << machines[kLeaver].node.ip << "\n";
    mesh::SleepMs(kRestartMs);
    nodes[kLeaver] = start_node(kLeaver);
    started = mesh::NowMs();
    record << started << " started " << machines[kLeaver].node.ip << "\n";
  }
  mesh::SleepMs(left + 7000 - mesh::NowMs());
  stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  mesh::EndAll();

  // Both the machine that took a request and the one beside the endpoint are in
  // touch from then on.
  const std::int64_t in_touch = started == 0 ? 0 : started + kContactMs;
  std::string endpoint;
  std::map<std::string, int> begun;
  int late = 0;
  int out_of_touch = 0;
  std::int64_t last = 0;
  for (const Line& line : Lines(runs)) {
    if (line.what == "left") {
      endpoint = line.endpoint;
    }
  }
  for (const Line& line : Lines(runs)) {
    if (line.endpoint != endpoint) {
      continue;
    }
    if (line.what == "run") {
      if (line.at > left + kDrainMs) {
        // A request is passed on within some ms of its arrival here.
        ++(line.at > in_touch + 500 ? late : out_of_touch);
      }
      last = line.at;
      if (line.target.find("/xapu221/") == 0) {
        begun[line.attempt] = 1;
      }
    } else if (line.what == "end") {
      begun.erase(line.attempt);
    }
  }
  record << "\n" << std::ifstream(runs).rdbuf();
  record << "\nleave acknowledged at " << left << ", the last request reached "
         << endpoint << " " << last - left << " ms later; " << late
         << " requests reached it later than " << kDrainMs
         << " ms while all machines were in touch, " << out_of_touch
         << " while its own was not; " << begun.size()
         << " unsafe ones were at work there when it ended; " << served
         << " of " << all << " requests were served\n";
  record.close();
  std::printf(
      "%d late requests in touch, %d out of touch, the last %lld ms "
      "after the acknowledgement; %zu unsafe ones lost at work\n",
      late, out_of_touch, static_cast<long long>(last - left), begun.size());
  std::fflush(stdout);
  std::_Exit(late > 0 ? 1 : 0);  // Threads of the store still run.
}
