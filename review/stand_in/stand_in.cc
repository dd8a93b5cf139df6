#include "stand_in.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();

std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in ToSockaddr(const std::string& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const auto colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Response(int status,
                     const std::string& headers,
                     const std::string& body) {
  std::string reason = status == 200 ? "OK" : "Other";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
    if (i + 1 < bytes.size()) {
      value |= static_cast<unsigned char>(bytes[i + 1]) << 8;
    }
    if (i + 2 < bytes.size()) {
      value |= static_cast<unsigned char>(bytes[i + 2]);
    }
    out += kDigits[(value >> 18) & 63];
    out += kDigits[(value >> 12) & 63];
    out += i + 1 < bytes.size() ? kDigits[(value >> 6) & 63] : '=';
    out += i + 2 < bytes.size() ? kDigits[value & 63] : '=';
  }
  return out;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out += static_cast<char>((value >> shift) & 0xff);
  }
  return out;
}

std::string Query(const std::string& target, const std::string& key) {
  const auto mark = target.find('?');
  std::stringstream parts(mark == std::string::npos ? ""
                                                    : target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(key + "=", 0) == 0) {
      return part.substr(key.size() + 1);
    }
  }
  return "";
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  const std::scoped_lock lock(record_mutex);
  record_file << NowMs() << " " << line << std::endl;
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// HTTP ------------------------------------------------------------------------

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : this->headers) {
    if (Lower(key) == Lower(name)) {
      return value;
    }
  }
  return "";
}

std::string Message::Method() const {
  return this->start.substr(0, this->start.find(' '));
}

std::string Message::Target() const {
  const auto first = this->start.find(' ');
  const auto second = this->start.find(' ', first + 1);
  return this->start.substr(first + 1, second - first - 1);
}

int Message::Status() const {
  return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
}

Wire::~Wire() {
  this->Close();
}

void Wire::Close() {
  if (this->fd >= 0) {
    ::close(this->fd);
    this->fd = -1;
  }
}

std::unique_ptr<Wire> Wire::Connect(const std::string& address,
                                    int timeout_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSockaddr(address);
  const int flags = fcntl(fd, F_GETFL, 0);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  int error = 0;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || ::poll(&wait, 1, timeout_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      ::close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, flags);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Wire>(fd);
}

bool Wire::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(this->fd, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Wire::Fill(std::int64_t until) {
  pollfd wait{this->fd, POLLIN, 0};
  const auto left = std::max<std::int64_t>(0, until - NowMs());
  if (::poll(&wait, 1, static_cast<int>(left)) != 1) {
    this->timed_out = true;
    return false;
  }
  std::vector<char> chunk(64 * 1024);
  const auto count = ::recv(this->fd, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->buffer.append(chunk.data(), static_cast<std::size_t>(count));
  return true;
}

bool Wire::Read(Message& message, std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  this->timed_out = false;
  message = {};
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return false;
    }
  }
  std::stringstream lines(this->buffer.substr(0, end));
  this->buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
  }
  const std::string length = message.Header("Content-Length");
  const std::size_t wanted = length.empty() ? 0 : std::stoull(length);
  while (this->buffer.size() < wanted) {
    if (!this->Fill(until)) {
      return false;
    }
  }
  message.body = this->buffer.substr(0, wanted);
  this->buffer.erase(0, wanted);
  return true;
}

Server::Server(const std::string& address, Handler request_handler)
    : handler(std::move(request_handler)) {
  this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = ToSockaddr(address);
  if (::bind(this->fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
          0 ||
      ::listen(this->fd, 512) != 0) {
    std::cerr << "cannot listen at " << address << "\n";
    std::_Exit(kCouldNotRun);
  }
  this->thread = std::thread([this] {
    while (!this->stopped) {
      pollfd wait{this->fd, POLLIN, 0};
      if (::poll(&wait, 1, 50) != 1) {
        continue;
      }
      const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      std::thread([this, accepted] {
        Wire wire(accepted);
        this->handler(wire);
      }).detach();
    }
  });
}

void Server::Stop() {
  if (!this->stopped.exchange(true)) {
    this->thread.join();
    ::close(this->fd);
  }
}

Server::~Server() {
  this->Stop();
}

int FreePort(const std::string& ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSockaddr(ip + ":0");
  socklen_t size = sizeof(at);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    std::cerr << "no free port at " << ip << "\n";
    std::_Exit(kCouldNotRun);
  }
  ::close(fd);
  return ntohs(at.sin_port);
}

// Store -----------------------------------------------------------------------

Store::Store(const std::string& address) {
  this->server = std::make_unique<Server>(
      address, [this](Wire& wire) { this->Serve(wire); });
}

void Store::Stop() {
  this->stopped = true;
  this->appended.notify_all();
}

void Store::PutConfig(const std::string& json) {
  const std::string key = "config";
  {
    const std::scoped_lock lock(this->mutex);
    this->topics["keyed.op"].records.push_back(
        std::string(1, static_cast<char>(key.size())) + key + json);
  }
  this->appended.notify_all();
}

void Store::Serve(Wire& wire) {
  Message request;
  while (!this->stopped && wire.Read(request, 60'000)) {
    if (!wire.Write(this->Answer(request))) {
      return;
    }
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  std::unique_lock lock(this->mutex);
  Topic& topic = this->topics[Query(target, "topic")];
  auto& records = topic.records;
  if (path == "/log-append") {
    const std::size_t first = records.size();
    std::size_t at = 0;
    while (at + 4 <= request.body.size()) {
      std::uint32_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      records.push_back(request.body.substr(at + 4, size));
      at += 4 + size;
    }
    this->appended.notify_all();
    return Response(200, "Content-Type: application/json\r\n",
                    "{\"offset\":" + std::to_string(first) +
                        ",\"end_offset\":" + std::to_string(records.size()) +
                        "}");
  }
  if (path == "/log-newest") {
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      const std::size_t key_size = static_cast<unsigned char>(records[i][0]);
      newest[records[i].substr(1, key_size)] = i;
    }
    std::string items;
    for (const auto& [key, offset] : newest) {
      const std::string value = records[offset].substr(1 + key.size());
      if (!value.empty()) {
        items += (items.empty() ? "" : ",");
        items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
                 "\",\"offset\":" + std::to_string(offset) + "}";
      }
    }
    return Response(200, "Content-Type: application/json\r\n",
                    "{\"items\":[" + items + "],\"has_more\":false," +
                        "\"end_offset\":" + std::to_string(records.size()) +
                        "}");
  }
  if (path == "/log-read") {
    const std::size_t from = std::stoull("0" + Query(target, "from"));
    const auto wait = std::stoll("0" + Query(target, "wait_ms"));
    this->appended.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return this->stopped || records.size() > from;
    });
    std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    const std::string most = Query(target, "max_read_kb");
    const std::size_t limit = 1024 * (most.empty() ? 1024 : std::stoull(most));
    for (std::size_t i = from; i < records.size(); ++i) {
      if (i > from && body.size() + records[i].size() > limit) {
        break;
      }
      body += BigEndian(records[i].size(), 4) + records[i];
    }
    return Response(200, "Content-Type: application/octet-stream\r\n", body);
  }
  return Response(404, "", "");
}

// Endpoints -------------------------------------------------------------------

Endpoint::Endpoint(std::string endpoint_id,
                   std::string endpoint_service,
                   std::string endpoint_address,
                   std::string control,
                   std::string endpoint_zone,
                   int slot_count)
    : id(std::move(endpoint_id)),
      service(std::move(endpoint_service)),
      address(std::move(endpoint_address)),
      control_plane(std::move(control)),
      zone(std::move(endpoint_zone)),
      slots(slot_count),
      born(UnixMs()) {
  this->server = std::make_unique<Server>(
      this->address, [this](Wire& wire) { this->Serve(wire); });
}

Endpoint::~Endpoint() {
  this->StopBeats();
}

void Endpoint::Serve(Wire& wire) {
  Message request;
  while (!this->ended && wire.Read(request, 10'000)) {
    const std::string attempt = request.Header("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + attempt + "\r\n";
    if (this->ended) {
      return;
    }
    if (request.Target() == "/health") {
      if (!wire.Write(Response(this->draining ? 503 : 200,
                               "X-Instance-Id: " + this->id + "\r\n", ""))) {
        return;
      }
      continue;
    }
    const std::string expected = request.Header("X-Expect-Instance");
    if (attempt.empty() || (!expected.empty() && expected != this->id)) {
      const int status = attempt.empty() ? 400 : 421;
      if (!wire.Write(Response(
              status,
              echo + "X-Instance-Id: " + this->id + "\r\nX-Not-Executed: 1\r\n",
              ""))) {
        return;
      }
      continue;
    }
    {
      const std::scoped_lock lock(this->mutex);
      this->runs.push_back({NowMs(), attempt, request.Target()});
    }
    Record("run " + attempt + " at " + this->id + " " + request.Method() + " " +
           request.Target() + " body " + std::to_string(request.body.size()));
    SleepMs(this->work_ms);
    if (this->ended) {
      return;
    }
    const std::string close = this->draining ? "Connection: close\r\n" : "";
    if (!wire.Write(Response(200,
                             echo + close + "X-Server-Stamp: s-" + attempt +
                                 "\r\nContent-Type: text/plain\r\n",
                             "answer to " + attempt)) ||
        this->draining) {
      return;
    }
  }
}

std::string Endpoint::BeatBody(bool with_born) {
  const std::scoped_lock lock(this->mutex);
  return "{\"service\":\"" + this->service + "\",\"address\":\"" +
         this->address + "\",\"zone\":\"" + this->zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) +
         ",\"state\":\"" + (this->draining ? "draining" : "ready") +
         "\",\"cold_remaining_ms\":0,\"sequence\":" +
         std::to_string(++this->sequence) +
         (with_born ? ",\"born\":" + std::to_string(this->born) : "") + "}";
}

bool Endpoint::Beat() {
  const std::scoped_lock lock(this->beat_mutex);
  return this->ForeignBeat(this->id, this->BeatBody(true)) == 200;
}

int Endpoint::ForeignBeat(const std::string& instance,
                          const std::string& body) {
  const auto wire = Wire::Connect(this->control_plane);
  Message answer;
  if (!wire ||
      !wire->Write("PUT /instances/" + instance +
                   " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                   "application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body) ||
      !wire->Read(answer, 1000)) {
    return 0;
  }
  return answer.Status();
}

void Endpoint::StartBeats() {
  if (this->beating.exchange(true)) {
    return;
  }
  this->beats = std::thread([this] {
    while (this->beating) {
      this->Beat();
      for (int i = 0; i < 75 && this->beating; ++i) {
        SleepMs(20);
      }
    }
  });
}

void Endpoint::StopBeats() {
  if (this->beating.exchange(false)) {
    this->beats.join();
  }
}

bool Endpoint::Drain() {
  this->draining = true;
  return this->Beat();
}

void Endpoint::End() {
  this->StopBeats();
  this->ended = true;
  this->server->Stop();
}

std::vector<Run> Endpoint::Runs() {
  const std::scoped_lock lock(this->mutex);
  return this->runs;
}

// Nodes -----------------------------------------------------------------------

Node::Node(std::string node_ip,
           std::string node_zone,
           std::string node_service,
           Ports node_ports,
           std::string store,
           std::vector<std::string> node_seeds,
           std::string work_folder)
    : ip(std::move(node_ip)),
      zone(std::move(node_zone)),
      service(std::move(node_service)),
      ports(node_ports),
      store_address(std::move(store)),
      seeds(std::move(node_seeds)),
      folder(std::move(work_folder)) {}

Node::~Node() {
  if (this->pid > 0) {
    ::kill(this->pid, SIGCONT);
    ::kill(this->pid, SIGKILL);
    this->AwaitEnd(5000);
  }
}

// Fills deploy/settings.ini as the platform does, with the bounds of the small
// deployments.
std::string Node::RenderSettings() const {
  std::ifstream file("deploy/settings.ini");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  const auto replace = [&text](const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from)) {
      text.replace(at, from.size(), to);
    }
  };
  std::string seed_list;
  for (const std::string& seed : this->seeds) {
    seed_list += (seed_list.empty() ? "" : ",") + seed;
  }
  const auto begin = text.find("{{#bounds}}");
  const std::string close = "{{/bounds}}";
  const auto end = text.find(close);
  if (begin != std::string::npos && end != std::string::npos) {
    text.replace(begin, end + close.size() - begin,
                 "drain_ms = 2000\ngrace_s = 6\nretry_budget_ratio = 0.2\n"
                 "budget_window_s = 10\nbudget_extra_retries = 62\n"
                 "recovery_s = 15\ncontact_ms = 3000\n");
  }
  replace("{{ip}}", this->ip);
  replace("{{internal_port_range.0}}", std::to_string(this->ports.node));
  replace("{{internal_port_range.1}}", std::to_string(this->ports.metrics));
  replace("{{zone}}", this->zone);
  replace("{{seed_nodes}}", seed_list);
  replace("{{listen_addrs.outbound}}", this->front());
  replace("{{listen_addrs.control_plane}}", this->admin());
  replace("{{listen_addrs.readiness_addr}}",
          this->ip + ":" + std::to_string(this->ports.readiness));
  replace("{{service}}", this->service);
  replace("{{platform.address}}", this->store_address);
  replace("{{heartbeat_ms}}", "1500");
  return text;
}

void Node::Start() {
  const std::string settings = this->folder + "/" + this->ip + ".ini";
  std::ofstream(settings) << this->RenderSettings();
  const std::string log = this->folder + "/" + this->ip + ".log";
  const std::string variable = "TANAGERLEDGE_BOOT=" + settings;
  this->pid = ::fork();
  if (this->pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the script.
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    char* const arguments[] = {const_cast<char*>("target/tanagerledged"),
                               nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>("PATH=/usr/bin:/bin"),
                                 nullptr};
    ::execve("target/tanagerledged", arguments, environment);
    ::_exit(127);
  }
}

void Node::Signal(int number) {
  if (this->pid > 0) {
    ::kill(this->pid, number);
  }
}

bool Node::Running() {
  if (this->pid <= 0) {
    return false;
  }
  if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = -1;
    return false;
  }
  return true;
}

bool Node::AwaitEnd(std::int64_t ms) {
  const std::int64_t until = NowMs() + ms;
  while (this->Running()) {
    if (NowMs() >= until) {
      return false;
    }
    SleepMs(5);
  }
  return true;
}

bool Node::Ready() {
  const auto wire = Wire::Connect(
      this->ip + ":" + std::to_string(this->ports.readiness), 500);
  Message answer;
  return wire && wire->Write("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n") &&
         wire->Read(answer, 1000) && answer.Status() == 200;
}

std::int64_t Node::ResidentKb() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atoll(line.c_str() + 6);
    }
  }
  return 0;
}

std::string Node::front() const {
  return this->ip + ":" + std::to_string(this->ports.front);
}

std::string Node::admin() const {
  return this->ip + ":" + std::to_string(this->ports.admin);
}

std::string Node::app() const {
  return this->ip + ":" + std::to_string(this->ports.app);
}

// Fleet -----------------------------------------------------------------------

Fleet::Fleet(const std::vector<std::string>& services) {
  ::signal(SIGPIPE, SIG_IGN);
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    std::_Exit(kCouldNotRun);
  }
  this->folder = pattern;
  // Each script has its own loopback network, so that all machines can use the
  // same ports.
  const std::string net = "127." + std::to_string(20 + ::getpid() % 200) + "." +
                          std::to_string(1 + (::getpid() / 200) % 250) + ".";
  Ports ports;
  for (int* port : {&ports.node, &ports.front, &ports.admin, &ports.readiness,
                    &ports.metrics, &ports.app}) {
    *port = FreePort(net + "1");
  }
  const std::string store_address =
      net + "250:" + std::to_string(FreePort(net + "250"));
  this->store = std::make_unique<Store>(store_address);
  std::vector<std::string> seeds;
  const char* zones[] = {"a", "b", "c"};
  for (std::size_t i = 0; i < services.size(); ++i) {
    const std::string ip = net + std::to_string(i + 1);
    Machine machine;
    machine.node = std::make_unique<Node>(ip, zones[i % 3], services[i], ports,
                                          store_address, seeds, this->folder);
    machine.endpoint = std::make_unique<Endpoint>(
        "i-" + std::to_string(i + 1) + "-" + std::to_string(UnixMs() % 100000),
        services[i], machine.node->app(), machine.node->admin(), zones[i % 3],
        13);
    if (seeds.size() < 3) {
      seeds.push_back(machine.node->admin());
    }
    this->machines.push_back(std::move(machine));
  }
}

Fleet::~Fleet() {
  for (Machine& machine : this->machines) {
    machine.endpoint->End();
  }
  for (Machine& machine : this->machines) {
    machine.node.reset();
  }
  this->store->Stop();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder);
  } else {
    std::cerr << "logs: " << this->folder << "\n";
  }
}

bool Fleet::AwaitReady(std::int64_t ms) {
  const std::int64_t until = NowMs() + ms;
  for (Machine& machine : this->machines) {
    while (!machine.node->Ready()) {
      if (NowMs() >= until) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

bool Fleet::Start(const std::string& config) {
  this->store->PutConfig(config);
  for (Machine& machine : this->machines) {
    machine.node->Start();
  }
  SleepMs(300);
  for (Machine& machine : this->machines) {
    machine.endpoint->StartBeats();
  }
  return this->AwaitReady(10'000);
}

// Clients ---------------------------------------------------------------------

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::scoped_lock lock(mutex);
  std::stringstream out;
  out << std::hex << (random() | (1ULL << 63));
  return out.str();
}

std::string Encode(const Request& request, const std::string& id) {
  std::string head =
      request.method + " " + request.target +
      " HTTP/1.1\r\nHost: " + request.host + "\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (!request.body.empty() || request.method != "GET") {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return head + "\r\n" + request.body;
}

Outcome Call(Wire& wire, const Request& request) {
  Outcome outcome;
  outcome.id = NewId();
  Record("send " + outcome.id + " " + request.method + " " + request.target +
         " body " + std::to_string(request.body.size()));
  Message answer;
  if (wire.Write(Encode(request, outcome.id)) &&
      wire.Read(answer, request.deadline_ms + 500)) {
    outcome.status = answer.Status();
    outcome.stamped = !answer.Header("X-Server-Stamp").empty();
    if (Lower(answer.Header("Connection")) == "close") {
      wire.Close();
    }
  } else {
    outcome.timed_out = wire.timed_out;
    wire.Close();
  }
  Record("answer " + outcome.id + " " +
         (outcome.status != 0 ? std::to_string(outcome.status)
          : outcome.timed_out ? "none in time"
                              : "none, connection ended"));
  return outcome;
}

Outcome CallOnce(const std::string& address, const Request& request) {
  const auto wire = Wire::Connect(address);
  if (!wire) {
    return {};
  }
  return Call(*wire, request);
}

}  // namespace review
