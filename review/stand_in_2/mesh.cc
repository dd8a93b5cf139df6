#include "mesh.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <thread>

namespace mesh {
namespace {

std::int64_t Read(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000;
}

sockaddr_in ToSocketAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>((value >> shift) & 0xff);
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      group |=
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

std::string Query(const std::string& target, const std::string& key) {
  const auto at = target.find('?');
  std::string rest = at == std::string::npos ? "" : target.substr(at + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string pair = rest.substr(0, end);
    if (pair.rfind(key + "=", 0) == 0) {
      return pair.substr(key.size() + 1);
    }
    rest = rest.substr(std::min(end + 1, rest.size()));
  }
  return "";
}

std::string Response(int status,
                     const std::string& type,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

std::int64_t NowMs() {
  return Read(CLOCK_MONOTONIC);
}

std::int64_t UnixMs() {
  return Read(CLOCK_REALTIME);
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) {
    usleep(static_cast<useconds_t>(ms * 1000));
  }
}

// HTTP ------------------------------------------------------------------------

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : this->headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

bool Connection::Open(const std::string& address, std::int64_t timeout_ms) {
  this->Close();
  this->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSocketAddress(address);
  if (connect(this->fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
          0 &&
      errno != EINPROGRESS) {
    this->Close();
    return false;
  }
  pollfd wait{this->fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  const bool done = poll(&wait, 1, static_cast<int>(timeout_ms)) == 1;
  getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!done || error != 0) {
    this->Close();
    return false;
  }
  const int one = 1;
  setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return true;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (n < 0 && errno == EAGAIN) {
      pollfd wait{this->fd, POLLOUT, 0};
      poll(&wait, 1, 1000);
    } else {
      return false;
    }
  }
  return true;
}

std::optional<Message> Connection::Read(bool response,
                                        std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  this->timed_out = false;
  const auto more = [&]() {
    const std::int64_t left = until - NowMs();
    pollfd wait{this->fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      this->timed_out = true;
      return false;
    }
    char chunk[16384];
    const ssize_t n = recv(this->fd, chunk, sizeof chunk, 0);
    if (n <= 0) {
      return n < 0 && errno == EAGAIN;
    }
    this->buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t at = 0;
  for (bool first = true; at < end + 2; first = false) {
    const std::size_t line_end = this->buffer.find("\r\n", at);
    const std::string line = this->buffer.substr(at, line_end - at);
    at = line_end + 2;
    if (first) {
      const auto space = line.find(' ');
      const auto next = line.find(' ', space + 1);
      message.first = line.substr(0, space);
      message.target = line.substr(space + 1, next - space - 1);
      message.status = response ? std::atoi(message.target.c_str()) : 0;
    } else if (const auto colon = line.find(':'); colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  this->buffer.erase(0, end + 4);
  const auto length = static_cast<std::size_t>(
      std::atoll(message.Header("Content-Length").c_str()));
  while (this->buffer.size() < length) {
    if (!more()) {
      return std::nullopt;
    }
  }
  message.body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return message;
}

bool Connection::IsClosed() const {
  char byte = 0;
  const ssize_t n = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

void Connection::Close() {
  if (this->fd >= 0) {
    close(this->fd);
  }
  this->fd = -1;
  this->buffer.clear();
}

int Listen(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in at = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Store -----------------------------------------------------------------------

void Store::Start(const std::string& address) {
  const int fd = Listen(address);
  if (fd < 0) {
    std::fprintf(stderr, "the store can't listen\n");
    std::_Exit(2);
  }
  std::thread([this, fd] {
    while (true) {
      const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client >= 0) {
        std::thread([this, client] { this->Serve(client); }).detach();
      }
    }
  }).detach();
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::scoped_lock lock(this->mutex);
  this->topics[topic].records.push_back(
      std::string(1, static_cast<char>(key.size())) + key + value);
}

void Store::Serve(int fd) {
  Connection connection(fd);
  while (const auto request = connection.Read(false, 600'000)) {
    SleepMs(4);
    if (!connection.Write(this->Answer(*request))) {
      return;
    }
  }
}

std::string Store::Answer(const Message& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string name = Query(request.target, "topic");
  const std::string json = "application/json";
  if (path == "/log-append") {
    const std::scoped_lock lock(this->mutex);
    if (name == "keyed.op" || name == "keyed.servers") {
      return Response(403, json, "{}");
    }
    auto& records = this->topics[name].records;
    const std::string at = Query(request.target, "at");
    if (!at.empty() && std::stoull(at) != records.size()) {
      return Response(
          412, json, "{\"end_offset\":" + std::to_string(records.size()) + "}");
    }
    const std::size_t first = records.size();
    for (std::size_t i = 0; i + 4 <= request.body.size();) {
      std::uint32_t length = 0;
      for (int j = 0; j < 4; ++j) {
        length = length << 8 | static_cast<unsigned char>(request.body[i + j]);
      }
      records.push_back(request.body.substr(i + 4, length));
      i += 4 + length;
    }
    return Response(200, json,
                    "{\"offset\":" + std::to_string(first) +
                        ",\"end_offset\":" + std::to_string(records.size()) +
                        "}");
  }
  if (path == "/log-newest") {
    const std::scoped_lock lock(this->mutex);
    const auto& records = this->topics[name].records;
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      const auto bytes = static_cast<unsigned char>(records[i][0]);
      newest[records[i].substr(1, bytes)] = i;
    }
    std::string items;
    for (const auto& [key, offset] : newest) {
      const std::string& record = records[offset];
      if (record.size() > 1 + key.size()) {
        items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) +
                 "\",\"value\":\"" + Base64(record.substr(1 + key.size())) +
                 "\",\"offset\":" + std::to_string(offset) + "}";
      }
    }
    return Response(200, json,
                    "{\"items\":[" + items + "],\"has_more\":false," +
                        "\"end_offset\":" + std::to_string(records.size()) +
                        "}");
  }
  if (path == "/log-read") {
    const auto from = static_cast<std::size_t>(
        std::atoll(Query(request.target, "from").c_str()));
    const std::int64_t until =
        NowMs() + std::atoll(Query(request.target, "wait_ms").c_str());
    while (true) {
      {
        const std::scoped_lock lock(this->mutex);
        const auto& records = this->topics[name].records;
        if (from < records.size() || NowMs() >= until) {
          std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
          for (std::size_t i = from; i < records.size(); ++i) {
            body += BigEndian(records[i].size(), 4) + records[i];
          }
          return Response(200, "application/octet-stream", body);
        }
      }
      SleepMs(5);
    }
  }
  return Response(path == "/log-trim" ? 200 : 404, json, "{}");
}

// Processes -------------------------------------------------------------------

namespace {
std::mutex children_mutex;
std::vector<pid_t> children;
}  // namespace

pid_t Start(const std::vector<std::string>& words,
            const std::map<std::string, std::string>& env,
            const std::string& log_file) {
  std::vector<char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<std::string> pairs;
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) {
      pairs.push_back(std::string(name) + "=" + value);
    }
  }
  for (const auto& [name, value] : env) {
    pairs.push_back(name + "=" + value);
  }
  std::vector<char*> environment;
  for (std::string& pair : pairs) {
    environment.push_back(pair.data());
  }
  environment.push_back(nullptr);
  const int log =
      open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    dup2(log, 1);
    dup2(log, 2);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(log);
  const std::scoped_lock lock(children_mutex);
  children.push_back(pid);
  return pid;
}

void Signal(pid_t pid, int number) {
  kill(pid, number);
  if (number == SIGKILL) {
    waitpid(pid, nullptr, 0);
    const std::scoped_lock lock(children_mutex);
    std::erase(children, pid);
  }
}

void EndAll() {
  const std::scoped_lock lock(children_mutex);
  for (const pid_t pid : children) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  children.clear();
}

std::string FreeAddress(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSocketAddress(ip + ":0");
  socklen_t size = sizeof at;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    std::fprintf(stderr, "no free port\n");
    std::_Exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ip + ":" + std::to_string(ntohs(at.sin_port));
}

NodeAddresses Reserve(int number) {
  NodeAddresses node;
  const int pid = getpid();
  node.ip = "127." + std::to_string(10 + pid % 240) + "." +
            std::to_string(pid / 240 % 250) + "." + std::to_string(number + 1);
  node.peer = FreeAddress(node.ip);
  node.front = FreeAddress(node.ip);
  node.admin = FreeAddress(node.ip);
  node.readiness = FreeAddress(node.ip);
  node.metrics = FreeAddress(node.ip);
  node.app = FreeAddress(node.ip);
  return node;
}

std::string WriteSettings(const std::string& folder,
                          const NodeAddresses& node,
                          const std::string& zone,
                          const std::string& service,
                          const std::string& store) {
  const std::string path = folder + "/" + node.ip + ".ini";
  std::ofstream(path)
      << "[node]\nsource = platform\nfleet = mesh\naddress = " << node.peer
      << "\nzone = " << zone << "\nseed_hosts = \nlink = 1000.0\n"
      << "\n[front]\naddress = " << node.front
      << "\n\n[admin]\naddress = " << node.admin
      << "\n\n[readiness]\naddress = " << node.readiness
      << "\n\n[metrics]\naddress = " << node.metrics
      << "\n\n[back_end]\nservice = " << service
      << "\n\n[log]\naddress = " << store
      << "\n\n[membership]\nheartbeat_period = 1500ms\n\n[bounds]\n"
         "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
         "ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
         "loss_slack_ms = 200\nconfig_apply_ms = 2000\n"
         "downgrade_slack_ms = 250\nmax_stretch_ms = 5000\n"
         "retry_budget_ratio = 0.2\nbudget_window_s = 10\n"
         "budget_extra_retries = 62\nrecovery_s = 15\n";
  return path;
}

pid_t StartNode(const std::string& program,
                const std::string& settings,
                const std::string& log_file) {
  return Start({program, "--memory-mb", "260"},
               {{"TANAGERLEDGE_BOOT", settings}}, log_file);
}

bool AwaitReady(const std::string& readiness, std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    Connection connection;
    if (connection.Open(readiness, 500) &&
        connection.Write("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")) {
      const auto answer = connection.Read(true, 1000);
      if (answer && answer->status == 200) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

// Clients ---------------------------------------------------------------------

int Send(const std::string& front, const Attempt& attempt) {
  Connection connection;
  if (!connection.Open(front, 1000)) {
    return 0;
  }
  const bool has_body = !attempt.body.empty() || attempt.method != "GET";
  const bool written = connection.Write(
      attempt.method + " " + attempt.path +
      " HTTP/1.1\r\nHost: " + attempt.host + "\r\nX-Attempt-Id: " + attempt.id +
      "\r\nX-Deadline-Ms: " + std::to_string(attempt.deadline_ms) + "\r\n" +
      attempt.extra +
      (has_body
           ? "Content-Length: " + std::to_string(attempt.body.size()) + "\r\n"
           : "") +
      "\r\n" + attempt.body);
  if (!written) {
    return 0;
  }
  const bool leaves = attempt.leaves_after_ms > 0;
  const auto answer = connection.Read(
      true, leaves ? attempt.leaves_after_ms : attempt.deadline_ms);
  if (answer) {
    return answer->status;
  }
  return connection.timed_out ? -1 : 0;
}

std::string NewId() {
  static std::atomic<std::uint64_t> number{0};
  static const std::uint64_t start = std::random_device()();
  char text[32];
  std::snprintf(text, sizeof text, "%08llx%08llx",
                static_cast<unsigned long long>(start & 0xffffffff),
                static_cast<unsigned long long>(++number));
  return text;
}

}  // namespace mesh
