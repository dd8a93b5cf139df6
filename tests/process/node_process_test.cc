#include "tests/process/node_process_test.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "fakes/reserved_address.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "src/adapters/clock.h"
#include "src/adapters/fiber_sync.h"
#include "src/adapters/http_client.h"

namespace tanagerledge {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kAnswerTimeout{3000};
constexpr milliseconds kStoreTimeout{2000};
constexpr int kMaxBodyBytes = 64 * 1024 * 1024;

// Another build of the program may be tested, for example one with a fault.
std::string NodeProgram() {
  const char* other = std::getenv("NODE_PROGRAM");
  return other == nullptr ? NODE_PROGRAM : other;
}

}  // namespace

NodeProcessTest::NodeProcessTest()
    : store(this->loop), backend(this->loop, kInstance) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "node-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->store_address =
      "127.0.0.1:" + std::to_string(this->store.Listen(0).value());
  this->loop.Start();
}

NodeProcessTest::~NodeProcessTest() {
  this->beating = false;
  this->second_process.reset();
  this->process.reset();
  this->loop.Spawn([this] {
    this->backend.server.Close();
    std::ranges::for_each(this->added_backends,
                          [](auto& each) { each->server.Close(); });
    this->store.Close();
    this->loop.Stop();
  });
  this->loop.Join();
  std::filesystem::remove_all(this->folder);
}

template <typename Work>
auto NodeProcessTest::OnLoop(Work work) -> decltype(work()) {
  return *RunOn(this->loop, Instant::max(), std::move(work));
}

void NodeProcessTest::SetUp() {
  this->Configure();
  this->node_address = ReserveAddress();
  this->front = ReserveAddress();
  this->admin = ReserveAddress();
  this->settings_path =
      this->WriteSettings("node", this->node_address, this->front, this->admin);
  // Nodes accept birth times of up to a minute in the future.
  this->born_ms = UnixMilliseconds();
  this->process =
      std::make_unique<NodeProcess>(NodeProgram(), this->settings_path);
  ASSERT_TRUE(this->process->Start());
  this->loop.Spawn([this] {
    while (this->beating) {
      HttpRequest request;
      request.method = "PUT";
      request.target = std::string("/instances/") + kInstance;
      request.body = this->NextHeartbeat().dump();
      HttpClient client(this->loop, ParseAddress(this->admin).value());
      const auto answer = client.Send(request, kAnswerTimeout);
      static_cast<void>(answer);
      client.Close();
      this->loop.SleepFor(this->heartbeat_period);
    }
  });
  ASSERT_TRUE(this->Eventually([this] { return this->CallStatus() == 200; },
                               seconds(10)))
      << this->ReadLog();
}

void NodeProcessTest::Configure() {
  const json route = {{"host", "archive.example"},
                      {"path_prefix", "/x/"},
                      {"kind", "idempotent"},
                      {"timeout_ms", 10'000},
                      {"priority", 1},
                      {"target_latency_ms", 500},
                      {"service", "archive"},
                      {"max_attempts", 2}};
  const json config = {
      {"version", 1},
      {"routes", {{"archive", route}}},
      {"services", {{"archive", {{"health_path", "/health"}}}}},
      {"limits", {{"max_body_bytes", kMaxBodyBytes}}}};
  this->OnLoop([&] {
    const auto client = platform::ConnectStore(this->loop, this->store_address);
    EXPECT_TRUE(
        client->Put("keyed.op", "config", config.dump(), kStoreTimeout));
    client->Close();
    return 0;
  });
}

std::string NodeProcessTest::WriteSettings(
    const std::string& name,
    const std::string& node,
    const std::string& front_address,
    const std::string& admin_address) const {
  const std::string path = this->folder + "/" + name + ".ini";
  std::ofstream(path)
      << "[node]\nsource = platform\nfleet = test\naddress = " << node
      << "\nzone = a\n[front]\naddress = " << front_address
      << "\n[admin]\naddress = " << admin_address
      << "\n[readiness]\naddress = " << ReserveAddress()
      << "\n[back_end]\nservice = archive\n[log]\naddress = "
      << this->store_address
      << "\n[membership]\nheartbeat_period = " << this->heartbeat_period.count()
      << "ms\n[bounds]\na = drain_ms=2000\nb = grace_s=6\n"
         "c = retry_budget_ratio=0.2\nd = budget_extra_retries=60\n"
         "e = budget_window_s=10\n";
  return path;
}

std::string NodeProcessTest::StartNodeWithoutBackend() {
  const std::string front_address = ReserveAddress();
  this->second_process = std::make_unique<NodeProcess>(
      NodeProgram(), this->WriteSettings("second", ReserveAddress(),
                                         front_address, ReserveAddress()));
  EXPECT_TRUE(this->second_process->Start());
  EXPECT_TRUE(this->Eventually(
      [&] { return this->CallThrough(front_address).status == 200; },
      seconds(10)));
  return front_address;
}

TestBackend& NodeProcessTest::AddBackend() {
  return *this->added_backends.emplace_back(
      std::make_unique<TestBackend>(this->loop, kInstance));
}

json NodeProcessTest::NextHeartbeat() {
  return {{"service", "archive"},
          {"address", this->backend.address},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 4},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"sequence", ++this->sequence},
          {"born", this->born_ms}};
}

HttpResponse NodeProcessTest::Send(const std::string& address,
                                   const HttpRequest& request) {
  return this->OnLoop([&] {
    HttpClient client(this->loop, ParseAddress(address).value());
    auto response = client.Send(request, kAnswerTimeout);
    client.Close();
    return response.value_or(MakeResponse(0, "", ""));
  });
}

int NodeProcessTest::SendToNode(const std::string& body,
                                const std::string& instance,
                                const char* method) {
  HttpRequest request;
  request.method = method;
  request.target = "/instances/" + instance;
  request.body = body;
  return this->Send(this->admin, request).status;
}

HttpResponse NodeProcessTest::Call(milliseconds deadline) {
  return this->CallThrough(this->front, deadline);
}

HttpResponse NodeProcessTest::CallThrough(const std::string& front_address,
                                          milliseconds deadline) {
  HttpRequest request;
  request.target = "/x/1";
  request.headers = {{"Host", "archive.example"},
                     {"X-Attempt-Id", "id-" + std::to_string(++this->calls)},
                     {"X-Deadline-Ms", std::to_string(deadline.count())}};
  return this->Send(front_address, request);
}

std::future<int> NodeProcessTest::CallAsync() {
  return std::async(std::launch::async, [this] { return this->CallStatus(); });
}

void NodeProcessTest::PutNodeRecord(const std::string& key,
                                    const std::string& value) {
  this->OnLoop([&] {
    const auto client = platform::ConnectStore(this->loop, this->store_address);
    EXPECT_TRUE(client->Put(platform::Platform{}.NodeStream(), key, value,
                            kStoreTimeout));
    client->Close();
    return 0;
  });
}

bool NodeProcessTest::Eventually(const std::function<bool()>& holds,
                                 milliseconds within) {
  const Instant until = Now() + within;
  while (Now() < until) {
    if (holds()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

std::string NodeProcessTest::ReadLog() const {
  std::stringstream text;
  text << std::ifstream(this->settings_path + ".log").rdbuf();
  return text.str();
}

}  // namespace tanagerledge
