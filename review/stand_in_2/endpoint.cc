// An endpoint as PROTOCOL.md describes it. With DROPS = 1 it drops a request
// when the connection of the request closes, as most endpoints do.
//
//   endpoint ADDRESS ADMIN SERVICE ZONE SLOTS CRASH_MS RECORD [LATE [ID
//   [DROPS]]]
//
// A path names its work: a segment `wN` takes N ms. A path with the segment
// `crash` ends the process CRASH_MS after it began to run.
//
// On SIGUSR1 the endpoint leaves without reporting `draining`: it sends DELETE
// kLeaveAfterMs later, serves for kServesOnMs more and exits. Its heartbeats of
// that time aren't answered in time and are sent again after a second. With
// LATE = 1 they arrive only after the leave, as kArriveAfterLeaveMs has it;
// with LATE = 0 they arrive at once.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "mesh.h"

namespace {

constexpr std::int64_t kBeatMs = 1500;
constexpr std::int64_t kLeaveAfterMs = 4100;
constexpr std::int64_t kServesOnMs = 5500;
constexpr std::int64_t kDrainsForMs = 4900;
// Sent 1,500, 2,500 and 3,500 ms after the last heartbeat in time.
constexpr std::int64_t kArriveAfterLeaveMs[] = {800, 1200, 1600};

struct Endpoint {
  std::string address, admin, service, zone, id;
  int slots = 0;
  std::int64_t crash_ms = 0;
  std::int64_t born = 0;
  int record = -1;
  std::atomic<int> running{0};
  std::atomic<std::uint64_t> sequence{0};
  std::atomic<std::int64_t> last_beat{0};
  std::atomic<bool> leave_asked{false};
  std::atomic<bool> leaving{false};
  bool late = false;
  bool drains = false;
  bool drops = false;

  void Note(const std::string& what) const {
    const std::string line = std::to_string(mesh::NowMs()) + " " + what + "\n";
    (void)!write(this->record, line.data(), line.size());
  }

  std::string BeatBytes() {
    const std::string body =
        "{\"service\":\"" + this->service + "\",\"address\":\"" +
        this->address + "\",\"zone\":\"" + this->zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) +
        ",\"state\":\"" + (this->leaving ? "draining" : "ready") +
        "\",\"cold_remaining_ms\":0,\"sequence\":" +
        std::to_string(++this->sequence) +
        ",\"born\":" + std::to_string(this->born) + "}";
    return "PUT /instances/" + this->id +
           " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  bool SendToNode(const std::string& bytes) const {
    mesh::Connection node;
    if (!node.Open(this->admin, 1000) || !node.Write(bytes)) {
      return false;
    }
    const auto answer = node.Read(true, 1000);
    return answer && answer->status == 200;
  }

  void Beat() {
    while (!this->leaving || this->drains) {
      const bool acknowledged = this->SendToNode(this->BeatBytes());
      this->last_beat = mesh::NowMs();
      mesh::SleepMs(acknowledged ? kBeatMs : 200);
      while (this->leave_asked && !this->leaving) {
        mesh::SleepMs(5);
      }
    }
  }

  void RunLeave() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGUSR1);
    int number = 0;
    sigwait(&signals, &number);
    if (this->drains) {
      this->leaving = true;
      const bool acknowledged = this->SendToNode(this->BeatBytes());
      this->Note((acknowledged ? "left " : "unheard ") + this->id);
      mesh::SleepMs(kDrainsForMs);
      this->SendToNode("DELETE /instances/" + this->id +
                       " HTTP/1.1\r\nHost: node\r\n\r\n");
      this->Note("exit " + this->id);
      std::_Exit(0);
    }
    // Begins with a heartbeat that arrives in time.
    const std::int64_t before = this->last_beat;
    while (this->last_beat == before) {
      mesh::SleepMs(2);
    }
    this->leave_asked = true;
    const std::int64_t last = this->last_beat;
    const std::int64_t leave = last + kLeaveAfterMs;
    std::thread late([this, last, leave] {
      std::string held[3];
      for (int i = 0; i < 3; ++i) {
        mesh::SleepMs(last + kBeatMs + 1000 * i - mesh::NowMs());
        held[i] = this->BeatBytes();
        if (!this->late) {
          this->SendToNode(held[i]);
        }
      }
      for (int i = 0; this->late && i < 3; ++i) {
        mesh::SleepMs(leave + kArriveAfterLeaveMs[i] - mesh::NowMs());
        this->SendToNode(held[i]);
        this->Note("late " + this->id + " heartbeat");
      }
    });
    mesh::SleepMs(leave - mesh::NowMs());
    this->leaving = true;
    const bool acknowledged = this->SendToNode(
        "DELETE /instances/" + this->id + " HTTP/1.1\r\nHost: node\r\n\r\n");
    this->Note((acknowledged ? "left " : "unheard ") + this->id);
    late.join();
    mesh::SleepMs(leave + kServesOnMs - mesh::NowMs());
    this->Note("exit " + this->id);
    std::_Exit(0);
  }

  std::string Answer(const mesh::Message& request,
                     const mesh::Connection& connection) {
    const auto response = [&](int status, const std::string& more,
                              const std::string& body) {
      return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body;
    };
    const std::string own = "X-Instance-Id: " + this->id + "\r\n";
    if (request.target == "/health") {
      return response(this->leaving ? 503 : 200, own, "");
    }
    const std::string attempt = request.Header("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != this->id) {
      return response(421, own + echo, "");
    }
    if (this->running >= this->slots) {
      return response(503, "X-Not-Executed: 1\r\n" + echo, "");
    }
    ++this->running;
    this->Note("run " + this->id + " " + attempt + " " + request.target +
               " caller " + request.Header("X-Caller-Service"));
    if (request.target.find("/crash/") != std::string::npos) {
      mesh::SleepMs(this->crash_ms);
      this->Note("crash " + this->id + " " + attempt);
      kill(getpid(), SIGKILL);
    }
    const auto at = request.target.find("/w");
    const std::int64_t work =
        at == std::string::npos ? 20 : std::atoll(&request.target[at + 2]);
    const std::int64_t patience =
        std::atoll(request.Header("X-Deadline-Ms").c_str());
    const std::int64_t until = mesh::NowMs() + std::min(work, patience);
    while (mesh::NowMs() < until) {
      mesh::SleepMs(std::min<std::int64_t>(5, until - mesh::NowMs()));
      if (this->drops && connection.IsClosed()) {
        --this->running;
        this->Note("drop " + this->id + " " + attempt);
        return "";
      }
    }
    --this->running;
    this->Note("end " + this->id + " " + attempt);
    return response(
        work <= patience ? 200 : 504,
        echo + "X-Server-Stamp: " + this->id + "." + attempt + "\r\n",
        "ran " + attempt + "\n");
  }

  void Serve(int fd) {
    mesh::Connection connection(fd);
    while (const auto request = connection.Read(false, 10'000)) {
      if (!connection.Write(this->Answer(*request, connection))) {
        return;
      }
    }
  }
};

}  // namespace

int main(int count, char** words) {
  if (count < 8 || count > 11) {
    return 2;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  auto& self = *new Endpoint;
  self.address = words[1];
  self.admin = words[2];
  self.service = words[3];
  self.zone = words[4];
  self.slots = std::atoi(words[5]);
  self.crash_ms = std::atoll(words[6]);
  self.record = open(words[7], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  self.late = count > 8 && std::string(words[8]) == "1";
  self.drops = count > 10 && std::string(words[10]) == "1";
  self.drains = count > 8 && std::string(words[8]) == "2";
  self.born = mesh::UnixMs();
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  self.id = count > 9 && *words[9] != 0 ? words[9] : "i-" + mesh::NewId();
  const int listener = mesh::Listen(self.address);
  if (listener < 0) {
    return 2;
  }
  self.Note("up " + self.id + " " + self.service);
  std::thread([&self] { self.Beat(); }).detach();
  std::thread([&self] { self.RunLeave(); }).detach();
  while (true) {
    const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      std::thread([&self, client] { self.Serve(client); }).detach();
    }
  }
}
