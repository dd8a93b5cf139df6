// An endpoint crashes and starts again under its id. Its new start registers
// and then reports `draining`, and its node acknowledges that. Heartbeats of
// the start before were delayed on their way and arrive now. Looks for requests
// that reach the endpoint later than drain_ms after the acknowledgement.
//
//   old_start NODE_PROGRAM ENDPOINT_PROGRAM FOLDER RECORD TROUBLE

#include <signal.h>
#include <sys/socket.h>

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
constexpr std::int64_t kBackAfterMs = 2000;
constexpr std::size_t kLateBeats = 3;
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

// The way from an endpoint to its node. While it is slow, it holds back what it
// is given, also after its sender has gone.
class Link {
 public:
  Link(std::string own_address, std::string node_address)
      : own(std::move(own_address)), node(std::move(node_address)) {
    const int listener = mesh::Listen(this->own);
    if (listener < 0) {
      std::_Exit(2);
    }
    std::thread([this, listener] {
      while (true) {
        const int fd = accept(listener, nullptr, nullptr);
        std::thread([this, fd] { this->Serve(fd); }).detach();
      }
    }).detach();
  }

  std::atomic<bool> slow{false};
  std::atomic<int> passed{0};

  std::size_t held() {
    const std::scoped_lock lock(this->mutex);
    return this->kept.size();
  }

  // Delivers what was held back longest; returns how late that is.
  std::int64_t Deliver() {
    std::pair<std::int64_t, std::string> next;
    {
      const std::scoped_lock lock(this->mutex);
      next = this->kept.front();
      this->kept.erase(this->kept.begin());
    }
    mesh::Connection to;
    if (to.Open(this->node, 1000) && to.Write(next.second)) {
      to.Read(true, 1000);
    }
    return mesh::NowMs() - next.first;
  }

 private:
  void Serve(int fd) {
    mesh::Connection from(fd);
    const auto request = from.Read(false, 5000);
    if (!request) {
      return;
    }
    std::string bytes =
        request->first + " " + request->target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request->headers) {
      bytes += name + ": " + value + "\r\n";
    }
    bytes += "\r\n" + request->body;
    if (this->slow) {
      {
        const std::scoped_lock lock(this->mutex);
        this->kept.emplace_back(mesh::NowMs(), bytes);
      }
      from.Read(false, 5000);  // Until the endpoint gives up.
      return;
    }
    mesh::Connection to;
    if (!to.Open(this->node, 1000) || !to.Write(bytes)) {
      return;
    }
    if (const auto answer = to.Read(true, 1000)) {
      from.Write("HTTP/1.1 " + std::to_string(answer->status) +
                 " X\r\nContent-Length: 0\r\n\r\n");
      ++this->passed;
    }
  }

  std::string own, node;
  std::mutex mutex;
  std::vector<std::pair<std::int64_t, std::string>> kept;
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
  const std::string link_address = mesh::FreeAddress(machines[kLeaver].node.ip);
  Link link(link_address, machines[kLeaver].node.admin);
  const auto start_endpoint = [&](Machine& machine) {
    const bool leaver = &machine == &machines[kLeaver];
    machine.endpoint = mesh::Start(
        {endpoint_program, machine.node.app,
         leaver ? link_address : machine.node.admin, machine.service,
         machine.zone, "13", "0", runs, "2", "i-" + machine.node.ip},
        {}, folder + "/endpoints.log");
  };
  for (std::size_t i = 0; i < machines.size(); ++i) {
    mesh::StartNode(
        node_program,
        mesh::WriteSettings(folder, machines[i].node, machines[i].zone,
                            machines[i].service, store_address),
        folder + "/node-" + machines[i].node.ip + ".log");
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

  const auto await = [](auto reached, std::int64_t ms) {
    const std::int64_t until = mesh::NowMs() + ms;
    while (!reached() && mesh::NowMs() < until) {
      mesh::SleepMs(1);
    }
    if (!reached()) {
      std::fprintf(stderr, "a step of the case wasn't reached\n");
      mesh::EndAll();
      std::_Exit(2);
    }
  };
  Machine& machine = machines[kLeaver];
  const auto note = [&](const std::string& what) {
    const std::scoped_lock lock(record_mutex);
    record << mesh::NowMs() << " " << what << "\n";
  };
  // The way from one endpoint to its node is slow for three heartbeats.
  int passed = link.passed;
  await([&] { return link.passed > passed; }, 3000);
  if (trouble) {
    link.slow = true;
    await([&] { return link.held() == kLateBeats; }, 6000);
    mesh::SleepMs(100);
  }
  // The endpoint crashes, and is back some seconds later.
  mesh::Signal(machine.endpoint, SIGKILL);
  note("crashed i-" + machine.node.ip);
  link.slow = false;
  mesh::SleepMs(kBackAfterMs);
  passed = link.passed;
  start_endpoint(machine);
  await([&] { return link.passed > passed; }, 3000);
  note("registered again i-" + machine.node.ip);
  mesh::SleepMs(500);
  // It leaves as planned.
  mesh::Signal(machine.endpoint, SIGUSR1);
  const auto left_at = [&]() -> std::int64_t {
    for (const Line& line : Lines(runs)) {
      if (line.what == "left") {
        return line.at;
      }
    }
    return 0;
  };
  await([&] { return left_at() != 0; }, 5000);
  const std::int64_t left = left_at();
  // Requests count only once that link has been sound for contact_ms.
  std::int64_t count_from = left + kDrainMs;
  while (link.held() > 0) {
    mesh::SleepMs(150);
    note("delivered a heartbeat that is " + std::to_string(link.Deliver()) +
         " ms late");
    count_from = mesh::NowMs() + kContactMs;
  }
  mesh::SleepMs(left + 7000 - mesh::NowMs());
  stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  mesh::EndAll();

  std::string endpoint;
  std::map<std::string, int> begun;
  int late = 0;
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
      late += line.at > count_from ? 1 : 0;
      last = line.at;
      if (line.at > left && line.target.find("/xapu221/") == 0) {
        begun[line.attempt] = 1;
      }
    } else if (line.what == "end") {
      begun.erase(line.attempt);
    }
  }
  record << "\n" << std::ifstream(runs).rdbuf();
  record << "\nleave acknowledged at " << left << ", the last request reached "
         << endpoint << " " << last - left << " ms later; " << late
         << " requests reached it later than " << count_from - left << " ms ("
         << kDrainMs << " are allowed); " << begun.size()
         << " unsafe ones were at work there when it ended; " << served
         << " of " << all << " requests were served\n";
  record.close();
  std::printf(
      "%d late requests, the last %lld ms after the acknowledgement; "
      "%zu unsafe ones lost at work\n",
      late, static_cast<long long>(last - left), begun.size());
  std::fflush(stdout);
  std::_Exit(late > 0 ? 1 : 0);  // Threads of the store still run.
}
