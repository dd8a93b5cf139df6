// Clients send many idempotent requests on a connection before the first answer
// and leave. Counts the requests at which endpoints still work half a second
// later, of those that would have lasted so long.
//
//   hidden_close NODE_PROGRAM ENDPOINT_PROGRAM FOLDER RECORD TROUBLE

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

// The figures of `buscar-escritorio`.
constexpr std::int64_t kDeadlineMs = 3000;
constexpr std::int64_t kLeavesAfterMs = 150;  // Within half the objective, 250.
constexpr std::int64_t kGoneMs = 500;
constexpr int kPipelined = 20;
constexpr std::size_t kCookieBytes = 10'000;  // Of 16,384 for a header.
constexpr int kPipelining = 8;                // Clients, in two periods.

constexpr const char* kConfig =
    "{\"version\":7,\"routes\":{"
    "\"r-1\":{\"host\":\"jepu9.example\",\"path_prefix\":\"/lepu270/\","
    "\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":500,"
    "\"priority\":2,\"service\":\"disponibilidad\",\"max_attempts\":2},"
    "\"r-2\":{\"host\":\"hulo84.example\",\"path_prefix\":\"/xapu221/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1000,"
    "\"target_latency_ms\":600,\"priority\":2,\"service\":\"disponibilidad\","
    "\"max_attempts\":2}},\"services\":{"
    "\"disponibilidad\":{\"health_path\":\"/health\",\"max_connections\":130},"
    "\"reservas\":{\"health_path\":\"/health\",\"max_connections\":130}},"
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

  // Five endpoints of `disponibilidad` and one of `reservas`.
  std::vector<Machine> machines;
  for (int i = 0; i < 6; ++i) {
    Machine machine;
    machine.node = mesh::Reserve(i);
    machine.service = i < 5 ? "disponibilidad" : "reservas";
    machine.zone = std::string("mx-centro-") + static_cast<char>('a' + i % 3);
    machines.push_back(machine);
  }
  const auto start_endpoint = [&](Machine& machine) {
    machine.endpoint = mesh::Start(
        {endpoint_program, machine.node.app, machine.node.admin,
         machine.service, machine.zone, "6", "0", runs, "0", "", "1"},
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
  std::map<std::string, std::int64_t> left;  // When a request's client left.
  std::atomic<int> answered{0};
  const auto pipeline = [&](const Machine& machine, bool leaves, int number) {
    std::string bytes;
    std::vector<std::string> ids;
    for (int i = 0; i < kPipelined; ++i) {
      ids.push_back(mesh::NewId());
      bytes += "GET /lepu270/w700/" + std::to_string(number) + "-" +
               std::to_string(i) + " HTTP/1.1\r\nHost: jepu9.example\r\n" +
               "X-Attempt-Id: " + ids.back() +
               "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
               "\r\nCookie: " + std::string(kCookieBytes, 'c') + "\r\n\r\n";
    }
    mesh::Connection connection;
    if (!connection.Open(machine.node.front, 1000)) {
      return;
    }
    const std::int64_t sent = mesh::NowMs();
    connection.Write(bytes);
    int answers = 0;
    if (leaves) {
      mesh::SleepMs(sent + kLeavesAfterMs - mesh::NowMs());
      connection.Close();
      const std::scoped_lock lock(record_mutex);
      for (const std::string& id : ids) {
        left[id] = mesh::NowMs();
      }
    } else {
      while (answers < kPipelined && connection.Read(true, kDeadlineMs)) {
        ++answers;
      }
      answered += answers;
    }
    const std::scoped_lock lock(record_mutex);
    record << sent << " sent " << kPipelined << " requests, the first "
           << ids.front() << ", at " << machine.node.ip << ": "
           << (leaves ? "left after "
                      : std::to_string(answers) + " answers in ")
           << mesh::NowMs() - sent << " ms\n";
  };
  // Beside them 32 clients that send one request at a time and stay.
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> all{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 32; ++i) {
    clients.emplace_back([&, i] {
      while (!stop) {
        mesh::Attempt attempt;
        attempt.id = mesh::NewId();
        attempt.host = "jepu9.example";
        attempt.path = "/lepu270/w100/x";
        attempt.deadline_ms = kDeadlineMs;
        ++all;
        served +=
            mesh::Send(machines[i % 6].node.front, attempt) == 200 ? 1 : 0;
        mesh::SleepMs(900);
      }
    });
  }
  mesh::SleepMs(1000);
  for (int i = 0; i < kPipelining; ++i) {
    if (i == kPipelining / 2) {
      mesh::SleepMs(3000);  // `give_up` a second time.
    }
    const std::int64_t began = mesh::NowMs();
    pipeline(machines[i % 6], trouble, i);
    mesh::SleepMs(began + 1300 - mesh::NowMs());
  }
  mesh::SleepMs(2000);
  stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  mesh::EndAll();

  // Requests at work when their client left, which it would have found at work
  // half a second later; whether they were, and requests begun after that.
  std::map<std::string, std::int64_t> begun;
  std::map<std::string, std::int64_t> ended;
  for (const Line& line : Lines(runs)) {
    if (line.what == "run") {
      begun[line.attempt] = line.at;
    } else if (line.what == "end" || line.what == "drop") {
      ended[line.attempt] = line.at;
    }
  }
  int would_last = 0;
  int still_at_work = 0;
  int began_late = 0;
  for (const auto& [id, at] : left) {
    const auto run = begun.find(id);
    if (run == begun.end()) {
      continue;
    }
    began_late += run->second > at + kGoneMs ? 1 : 0;
    if (run->second <= at && run->second + 700 > at + kGoneMs) {
      ++would_last;
      still_at_work += ended[id] > at + kGoneMs ? 1 : 0;
    }
  }
  const bool broken = would_last > 0 && 4 * still_at_work > would_last;
  record << "\n"
         << std::ifstream(runs).rdbuf() << "\n"
         << would_last << " requests of clients that left would have lasted "
         << kGoneMs << " ms more, endpoints were still at work on "
         << still_at_work << " of them then (a quarter is allowed); "
         << began_late << " reached an endpoint later than that; " << served
         << " of " << all << " requests of the others were served\n";
  record.close();
  std::printf(
      "still at work on %d of %d, %d begun late; %d of %d others "
      "served, %d pipelined ones answered\n",
      still_at_work, would_last, began_late, served.load(), all.load(),
      answered.load());
  std::fflush(stdout);
  std::_Exit(broken ? 1 : 0);  // Threads of the store still run.
}
