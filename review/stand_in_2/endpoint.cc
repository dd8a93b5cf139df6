// An endpoint as PROTOCOL.md describes it. It doesn't drop a request when the
// connection of the request closes, as some endpoints do.
//
//   endpoint ADDRESS ADMIN SERVICE ZONE SLOTS CRASH_MS RECORD
//
// A path names its work: a segment `wN` takes N ms. A path with the segment
// `crash` ends the process CRASH_MS after it began to run.

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

struct Endpoint {
  std::string address, admin, service, zone, id;
  int slots = 0;
  std::int64_t crash_ms = 0;
  std::int64_t born = 0;
  int record = -1;
  std::atomic<int> running{0};

  void Note(const std::string& what) const {
    const std::string line = std::to_string(mesh::NowMs()) + " " + what + "\n";
    (void)!write(this->record, line.data(), line.size());
  }

  void Beat() {
    for (std::uint64_t sequence = 1;; ++sequence) {
      const std::string body =
          "{\"service\":\"" + this->service + "\",\"address\":\"" +
          this->address + "\",\"zone\":\"" + this->zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) +
          ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" +
          std::to_string(sequence) + ",\"born\":" + std::to_string(this->born) +
          "}";
      mesh::Connection node;
      const bool acknowledged = [&] {
        if (!node.Open(this->admin, 1000) ||
            !node.Write("PUT /instances/" + this->id +
                        " HTTP/1.1\r\nHost: node\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body)) {
          return false;
        }
        const auto answer = node.Read(true, 1000);
        return answer && answer->status == 200;
      }();
      mesh::SleepMs(acknowledged ? 1500 : 200);
    }
  }

  std::string Answer(const mesh::Message& request) {
    const auto response = [&](int status, const std::string& more,
                              const std::string& body) {
      return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body;
    };
    const std::string own = "X-Instance-Id: " + this->id + "\r\n";
    if (request.target == "/health") {
      return response(200, own, "");
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
    mesh::SleepMs(std::min(work, patience));
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
      if (!connection.Write(this->Answer(*request))) {
        return;
      }
    }
  }
};

}  // namespace

int main(int count, char** words) {
  if (count != 8) {
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
  self.born = mesh::UnixMs();
  self.id = "i-" + mesh::NewId();
  const int listener = mesh::Listen(self.address);
  if (listener < 0) {
    return 2;
  }
  self.Note("up " + self.id + " " + self.service);
  std::thread([&self] { self.Beat(); }).detach();
  while (true) {
    const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      std::thread([&self, client] { self.Serve(client); }).detach();
    }
  }
}
