// End-to-end tests of complete sidecars on loopback, from the caller's socket
// to the backend server's and back. Store, platform and backend servers are
// fakes.

#include "src/sidecar/sidecar.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fakes/log_store.h"
#include "fakes/reserved_address.h"
#include "fakes/scripted_backend.h"
#include "fakes/test_backend.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "src/adapters/codec.h"
#include "src/adapters/fiber_sync.h"
#include "src/adapters/http_client.h"
#include "src/generated/peer_types.h"

namespace tanagerledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTimeout = seconds(12);

// A faulty backend server that answers with given bytes and then closes or
// resets the connection.
class RawBackend {
 public:
  explicit RawBackend(IoLoop& io_loop)
      : loop(io_loop),
        acceptor(io_loop.context(), ParseAddress("127.0.0.1:0").value()),
        address(FormatAddress(this->acceptor.local_endpoint())) {
    this->loop.Spawn([this] {
      while (!this->closed) {
        const auto socket = std::make_shared<Socket>(this->loop.context());
        if (!AwaitError([&](auto done) {
              this->acceptor.async_accept(*socket, std::move(done));
            })) {
          this->loop.SpawnHere([this, socket] { this->Serve(*socket); });
        }
      }
    });
  }

  void Close() {
    this->closed = true;
    this->acceptor.close();
  }

  void AnswerWith(std::string bytes, bool reset) {
    const std::scoped_lock lock(this->mutex);
    this->answer = std::move(bytes);
    this->resets = reset;
  }

  int ran() const { return this->requests; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Serve(Socket& socket) {
    std::string read;
    if (ReadUntil(socket, read, "\r\n\r\n")) {
      if (read.starts_with("GET /health ")) {
        Write(socket,
              "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Instance-Id: " +
                  this->instance + "\r\nContent-Length: 0\r\n\r\n");
      } else if (ReadUntil(socket, read, std::string("odd\0\xff", 5))) {
        this->AnswerCall(socket);
      }
    }
  }

  static bool ReadUntil(Socket& socket,
                        std::string& read,
                        const std::string& end) {
    return static_cast<bool>(Await<std::size_t>([&](auto done) {
      boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(read),
                                    end, std::move(done));
    }));
  }

  static void Write(Socket& socket, const std::string& bytes) {
    Await<std::size_t>([&](auto done) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               std::move(done));
    });
  }

  // Called only after the whole request was read: unread bytes would cause a
  // reset on close.
  void AnswerCall(Socket& socket) {
    ++this->requests;
    std::unique_lock lock(this->mutex);
    const std::string bytes = this->answer;
    const bool reset = this->resets;
    lock.unlock();
    Write(socket, bytes);
    socket.set_option(boost::asio::socket_base::linger(reset, 0));
    socket.close();
  }

  IoLoop& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> closed{false};
  std::atomic<int> requests{0};
  std::mutex mutex;
  std::string answer;
  bool resets = false;

 public:
  const std::string instance = "i-raw";
  const std::string address;
};

// Three answers of this size exceed the socket buffers of both sides.
constexpr std::size_t kLargeAnswerBytes = 1900 * 1024;
constexpr char kLargeAnswerByte = '~';

// A caller that reads its answers slowly, in the calling thread.
class SlowReader {
 public:
  SlowReader(boost::asio::io_context& io, const std::string& address)
      : socket(io) {
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect(ParseAddress(address).value());
  }

  void Write(const std::string& bytes) {
    boost::asio::write(this->socket, boost::asio::buffer(bytes));
  }

  // Reads about 5 MB per second until the connection ends; returns the number
  // of bytes that belong to large answers.
  std::size_t ReadToTheEnd() {
    std::string chunk(100 * 1024, '\0');
    std::size_t all = 0;
    boost::system::error_code error;
    while (!error) {
      chunk.resize(
          boost::asio::read(this->socket, boost::asio::buffer(chunk), error));
      all +=
          static_cast<std::size_t>(std::ranges::count(chunk, kLargeAnswerByte));
      chunk.resize(chunk.capacity());
      std::this_thread::sleep_for(milliseconds(20));
    }
    return all;
  }

 private:
  boost::asio::ip::tcp::socket socket;
};

// A client of the store whose reads get no answer while `silent` is set, like
// those on a connection that was lost without notice.
class SilenceableStore : public KeyedLogPort {
 public:
  SilenceableStore(IoLoop& io_loop,
                   const std::string& address,
                   const std::atomic<bool>& silence)
      : loop(io_loop),
        client(platform::ConnectStore(io_loop, address)),
        silent(silence) {}

  tl::expected<LogPage, LogError> Read(std::string_view stream,
                                       LogOffset from,
                                       std::size_t max_records,
                                       milliseconds wait,
                                       milliseconds timeout) override {
    const Instant until = std::chrono::steady_clock::now() + timeout;
    auto page = this->client->Read(stream, from, max_records, wait, timeout);
    return this->OrSilence(std::move(page), until);
  }
  tl::expected<KeyedPage, LogError> ReadNewest(std::string_view stream,
                                               milliseconds timeout) override {
    const Instant until = std::chrono::steady_clock::now() + timeout;
    return this->OrSilence(this->client->ReadNewest(stream, timeout), until);
  }
  tl::expected<LogOffset, LogError> Append(std::string_view stream,
                                           std::string_view record,
                                           milliseconds timeout) override {
    return this->client->Append(stream, record, timeout);
  }
  tl::expected<LogOffset, LogError> Put(std::string_view stream,
                                        std::string_view key,
                                        std::string_view value,
                                        milliseconds timeout) override {
    return this->client->Put(stream, key, value, timeout);
  }
  tl::expected<LogOffset, LogError> PutAt(std::string_view stream,
                                          std::string_view key,
                                          std::string_view value,
                                          LogOffset at,
                                          milliseconds timeout) override {
    return this->client->PutAt(stream, key, value, at, timeout);
  }
  tl::expected<KeyedRecord, std::string> DecodeKeyed(
      const LogRecord& record) const override {
    return this->client->DecodeKeyed(record);
  }
  std::optional<StoreEra> era() const override { return this->client->era(); }
  void Close() override { this->client->Close(); }

 private:
  template <typename Page>
  tl::expected<Page, LogError> OrSilence(tl::expected<Page, LogError> page,
                                         Instant until) {
    if (!this->silent) {
      return page;
    }
    this->loop.SleepFor(until - std::chrono::steady_clock::now());
    return tl::unexpected(LogError{LogErrorKind::kAmbiguous, "silence", {}});
  }

  IoLoop& loop;
  std::unique_ptr<KeyedLogPort> client;
  const std::atomic<bool>& silent;
};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class SidecarTest : public ::testing::Test {
 protected:
  SidecarTest()
      : store(this->fakes_loop),
        first_backend(this->fakes_loop, "i-archive"),
        second_backend(this->fakes_loop, "i-claims"),
        raw_backend(this->fakes_loop) {
    this->store_address =
        "127.0.0.1:" + std::to_string(this->store.Listen(0).value());
    this->fakes_loop.Start();
  }

  ~SidecarTest() override {
    for (const auto& sidecar : this->sidecars) {
      sidecar->Shutdown();
    }
    this->fakes_loop.Spawn([this] {
      this->raw_backend.Close();
      this->first_backend.server.Close();
      this->second_backend.server.Close();
      std::ranges::for_each(this->added_backends,
                            [](auto& each) { each->server.Close(); });
      std::ranges::for_each(this->scripted_backends, &ScriptedBackend::Close);
      this->store.Close();
      this->fakes_loop.Stop();
    });
    this->fakes_loop.Join();
  }

  template <typename Work>
  auto OnLoop(Work work) -> decltype(work()) {
    return *RunOn(this->fakes_loop, Instant::max(), std::move(work));
  }

  // Starts a sidecar for a backend server of the service.
  const Settings& Start(const std::string& service,
                        std::vector<NodeId> seeds = {}) {
    auto node = std::make_unique<Settings>();
    node->source = ConfigSource::kPlatform;
    node->fleet = "test";
    node->address = {ReserveAddress()};
    node->zone = {"a"};
    node->seeds = std::move(seeds);
    node->front_address = ReserveAddress();
    node->admin_address = ReserveAddress();
    node->readiness_address = ReserveAddress();
    node->metrics_address = ReserveAddress();
    node->log_address = this->store_address;
    node->service = {service};
    node->bounds.grace = this->grace;
    node->bounds.revoke_when_partitioned = this->revoke_when_partitioned;
    node->bounds.revoke = this->revoke;
    node->bounds.exposure_ratio = this->exposure_ratio;
    node->bounds.exposure_slack = 20;
    node->heartbeat_period = this->heartbeat_period;
    node->hedged_requests = this->hedged_requests;
    node->bounds.extra_retries = this->extra_retries;
    this->sidecars.push_back(
        std::make_unique<Sidecar>(*node, this->platform, this->connect_store));
    EXPECT_TRUE(this->sidecars.back()->Start().has_value());
    this->nodes.push_back(std::move(node));
    return *this->nodes.back();
  }

  // The same with a client of the store that `store_is_silent` silences.
  const Settings& StartSilenceable(const std::string& service,
                                   std::vector<NodeId> seeds) {
    this->connect_store = [this](IoLoop& loop, const std::string& address) {
      return std::make_unique<SilenceableStore>(loop, address,
                                                this->store_is_silent);
    };
    const Settings& node = this->Start(service, std::move(seeds));
    this->connect_store = platform::ConnectStore;
    return node;
  }

  // Stops a sidecar and starts a new one with the same settings and no state.
  void Restart(std::size_t index) {
    this->sidecars[index]->Shutdown();
    this->sidecars[index] = std::make_unique<Sidecar>(
        *this->nodes[index], this->platform, platform::ConnectStore);
    EXPECT_TRUE(this->sidecars[index]->Start().has_value());
    EXPECT_TRUE(this->Eventually([&] {
      return this->Send(this->nodes[index]->readiness_address, {}).status ==
             200;
    }));
  }

  // Publishes an operator configuration with this version, which routes to the
  // services archive and claims by host, and from `added_host` to archive.
  void Configure(int version, const char* added_host = "added.example") {
    const auto route = [](const char* host, const char* service,
                          const char* kind) {
      return json{{"host", host},       {"path_prefix", "/x/"},
                  {"kind", kind},       {"timeout_ms", 10'000},
                  {"priority", 1},      {"target_latency_ms", 500},
                  {"service", service}, {"max_attempts", 2}};
    };
    json added = route(added_host, "archive", "idempotent");
    added["public"] = true;
    const json config = {
        {"version", version},
        {"tenants", this->tenants},
        {"routes",
         {{"archive", route("archive.example", "archive", "idempotent")},
          {"added", added},
          {"claims", route("claims.example", "claims", "non_idempotent")}}},
        {"services",
         {{"archive", {{"health_path", "/health"}}},
          {"claims", {{"health_path", "/health"}}}}},
        {"limits", json::object()}};
    this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->fakes_loop, this->store_address);
      EXPECT_TRUE(client->Put("keyed.op", "config", config.dump(), kTimeout));
      client->Close();
      return 0;
    });
  }

  tl::expected<HttpResponse, HttpError> TrySend(const std::string& address,
                                                const HttpRequest& request) {
    return this->OnLoop([&] {
      HttpClient client(this->fakes_loop, ParseAddress(address).value());
      auto response = client.Send(request, this->caller_leaves_after);
      client.Close();
      return response;
    });
  }

  HttpResponse Send(const std::string& address, const HttpRequest& request) {
    return this->TrySend(address, request).value_or(HttpResponse{});
  }

  HttpResponse Call(const Settings& entry, const std::string& host) {
    return this->Try(entry, host, "id-" + std::to_string(++this->ids))
        .value_or(HttpResponse{});
  }

  tl::expected<HttpResponse, HttpError> Try(const Settings& entry,
                                            const std::string& host,
                                            const std::string& id,
                                            const char* deadline_ms = "1500",
                                            const char* target = "/x/1?q=2") {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = std::string("odd\0\xff", 5);
    request.headers = {{"Host", host},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", deadline_ms},
                       {"X-Caller-Service", "forged"}};
    return this->TrySend(entry.front_address, request);
  }

  // Sends a request that ends every backend server that runs it.
  int SendCrashing(const Settings& entry,
                   const std::string& host = "archive.example") {
    return this
        ->Try(entry, host, "id-" + std::to_string(++this->ids), "1500",
              "/x/crash")
        .value_or(MakeResponse(0, "", ""))
        .status;
  }

  TestBackend& AddBackend() {
    const std::string instance =
        "i-added-" + std::to_string(this->added_backends.size());
    return *this->added_backends.emplace_back(
        std::make_unique<TestBackend>(this->fakes_loop, instance));
  }
  int Crashes() const {
    return std::accumulate(
        this->added_backends.begin(), this->added_backends.end(), 0,
        [](int sum, const auto& backend) { return sum + backend->crashes; });
  }

  // Makes a call that waits up to 10 s. The future holds its status, or 0 if
  // the connection ended without an answer.
  std::future<int> CallAsync(const Settings& entry,
                             const std::string& host,
                             const std::string& id) {
    return std::async(std::launch::async, [this, &entry, host, id] {
      return this->Try(entry, host, id, "10000")
          .value_or(MakeResponse(0, "", ""))
          .status;
    });
  }

  // Makes `count` calls that wait up to 10 s; the futures hold their statuses.
  std::vector<std::future<int>> CallsAsync(const Settings& entry,
                                           const std::string& host,
                                           int count) {
    std::vector<std::future<int>> calls;
    for (int call = 0; call < count; ++call) {
      calls.push_back(
          this->CallAsync(entry, host, "many-" + std::to_string(call)));
    }
    return calls;
  }

  // Allows 6 s for a stop, during which backend servers may send no heartbeat.
  void UseLongGracePeriod() {
    this->grace = milliseconds(6000);
    this->heartbeat_period = milliseconds(10'000);
  }

  // Begins to stop a node; the future holds how long the stop took.
  std::future<milliseconds> StopAsync(std::size_t index) {
    return std::async(std::launch::async, [this, index] {
      const Instant began = std::chrono::steady_clock::now();
      this->sidecars[index]->Shutdown();
      return std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now() - began);
    });
  }

  // Starts a second node with a backend server of claims; true once calls from
  // `entry` reach it.
  bool StartClaimsNode(const Settings& entry) {
    const Settings& claims = this->Start("claims", {entry.address});
    this->Configure(1);
    this->SendHeartbeat(claims, this->second_backend);
    return this->Eventually(
        [&] { return this->Call(entry, "claims.example").status == 200; });
  }

  template <typename Backend>
  void SendHeartbeat(const Settings& node,
                     const Backend& backend,
                     const char* state = "ready") {
    this->SendHeartbeat(node, backend.instance, backend.address, state);
  }

  void SendHeartbeat(const Settings& node,
                     const std::string& instance,
                     const std::string& address,
                     const char* state) {
    HttpRequest request;
    request.method = "PUT";
    request.target = "/instances/" + instance;
    request.body = json{{"service", node.service.value},
                        {"address", address},
                        {"zone", "a"},
                        {"version", this->backend_version},
                        {"slots", 4},
                        {"state", state},
                        {"cold_remaining_ms", 0},
                        {"sequence", ++this->heartbeat_count},
                        {"born", this->backend_born}}
                       .dump();
    EXPECT_EQ(this->Send(node.admin_address, request).status, 200);
  }

  // Deregisters the backend server and expects an acknowledgement.
  void Deregister(const Settings& node, TestBackend& backend) {
    backend.leaving = true;
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/instances/" + backend.instance;
    EXPECT_EQ(this->Send(node.admin_address, request).status, 200);
  }

  // Makes calls for half a second; true if none of them reached the backend
  // server.
  bool NoCallReaches(const TestBackend& backend, const Settings& entry) {
    const std::size_t before = backend.Ran().size();
    const Instant until = std::chrono::steady_clock::now() + milliseconds(500);
    while (std::chrono::steady_clock::now() < until) {
      this->Call(entry, "archive.example");
    }
    return backend.Ran().size() == before;
  }

  // Starts two nodes of archive with backend servers of version v1 and one with
  // v2, and orders a roll-out to v2.
  const Settings& StartRollout(TestBackend& old_backend,
                               TestBackend& new_backend,
                               int duration_s) {
    this->exposure_ratio = 0.1;
    this->UseLongGracePeriod();
    this->Configure(1);
    const Settings& entry = this->Start("archive");
    this->SendHeartbeat(entry, old_backend);
    const Settings& second = this->Start("archive", {entry.address});
    this->SendHeartbeat(second, this->AddBackend());
    EXPECT_TRUE(this->Eventually(
        [&] { return this->Call(entry, "archive.example").status == 200; }));
    this->Put("keyed.op", "rollout/archive",
              json{{"service", "archive"},
                   {"target_version", "v2"},
                   {"duration_s", duration_s}}
                  .dump());
    const Settings& third = this->Start("archive", {entry.address});
    this->backend_version = "v2";
    this->SendHeartbeat(third, new_backend);
    return entry;
  }

  void Put(std::string_view stream,
           std::string_view key,
           const std::string& value) {
    this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->fakes_loop, this->store_address);
      EXPECT_TRUE(client->Put(stream, key, value, kTimeout));
      client->Close();
      return 0;
    });
  }

  std::string RolloutStateOf(const std::string& service) {
    return this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->fakes_loop, this->store_address);
      const auto page = client->ReadNewest("keyed.status", kTimeout);
      client->Close();
      const auto record = std::ranges::find(page->records, "rollout/" + service,
                                            &KeyedRecord::key);
      return record == page->records.end()
                 ? std::string()
                 : json::parse(record->value)["state"].get<std::string>();
    });
  }

  bool IsStoreReader(const Settings& node) {
    return this->Send(node.metrics_address, {})
               .body.find("tanagerledge_store_reader 1\n") != std::string::npos;
  }

  bool HasVersion(const Settings& node, int version) {
    return this->Send(node.metrics_address, {})
               .body.find("tanagerledge_config_version " +
                          std::to_string(version) + "\n") != std::string::npos;
  }

  bool Eventually(const std::function<bool()>& holds,
                  milliseconds within = seconds(10)) {
    const Instant until = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < until) {
      if (holds()) {
        return true;
      }
      this->OnLoop(
          [this] { return this->fakes_loop.SleepFor(milliseconds(20)); });
    }
    return false;
  }

  IoLoop fakes_loop;
  LogStore store;
  const platform::Platform platform{};
  TestBackend first_backend;
  TestBackend second_backend;
  RawBackend raw_backend;
  std::deque<ScriptedBackend> scripted_backends;
  std::vector<std::unique_ptr<TestBackend>> added_backends;
  std::string store_address;
  StoreConnector connect_store = platform::ConnectStore;
  std::atomic<bool> store_is_silent{false};  // For nodes of StartSilenceable.
  std::vector<std::unique_ptr<Settings>> nodes;
  milliseconds caller_leaves_after = kTimeout;
  std::int64_t backend_born = 1000;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  milliseconds grace{1500};
  milliseconds heartbeat_period{1500};
  double hedged_requests = 0;
  double extra_retries = 10;
  std::atomic<int> ids{0};
  int heartbeat_count = 0;
  bool revoke_when_partitioned = false;
  milliseconds revoke{5000};
  json tenants;  // Of later configurations; null: they have no accounts.
  std::string backend_version = "v1";    // In heartbeats.
  std::optional<double> exposure_ratio;  // Set: roll-outs are limited.
};

TEST_F(SidecarTest, NoConfigurationYet_RefusesAsNotRunAndIsNotReady) {
  const Settings& node = this->Start("archive");
  EXPECT_EQ(this->Send(node.readiness_address, {}).status, 503);
  EXPECT_EQ(this->Call(node, "archive.example").status, 503);
}

// Guards against two nodes that share an address by mistake and get a part of
// each other's connections.
TEST_F(SidecarTest, AddressesOfAnotherNode_StartFails) {
  const Settings& first = this->Start("archive");
  for (auto address : {&Settings::front_address, &Settings::admin_address,
                       &Settings::readiness_address}) {
    Settings second = first;
    second.address = {ReserveAddress()};
    second.front_address = ReserveAddress();
    second.admin_address = ReserveAddress();
    second.readiness_address = ReserveAddress();
    second.metrics_address = ReserveAddress();
    second.*address = first.*address;
    Sidecar node(second, this->platform, platform::ConnectStore);
    const auto started = node.Start();
    ASSERT_FALSE(started.has_value());
    EXPECT_NE(started.error().find(first.*address), std::string::npos)
        << started.error();
  }
}

TEST_F(SidecarTest, TwoNodes_CallRunsAtTheNodeWithTheBackend) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->Start("claims");
  this->Configure(3);
  this->SendHeartbeat(archive, this->first_backend);
  this->SendHeartbeat(claims, this->second_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "claims.example").status == 200; }));
  const HttpResponse answer = this->Call(archive, "claims.example");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "answer");
  EXPECT_EQ(answer.Header("X-Server-Stamp"), "stamp-i-claims");
  EXPECT_EQ(answer.Header("X-Attempt-Id"),
            "id-" + std::to_string(this->ids.load()));
  const HttpRequest ran = this->second_backend.Ran().back();
  EXPECT_EQ(ran.Header("X-Caller-Service"), "archive");
  EXPECT_EQ(ran.Header("Host"), "claims.example");
  EXPECT_EQ(ran.target, "/x/1?q=2");
  EXPECT_EQ(ran.body, std::string("odd\0\xff", 5));
  EXPECT_LE(std::stoi(std::string(ran.Header("X-Deadline-Ms"))), 1500);
  EXPECT_EQ(this->Call(archive, "nowhere.example").status, 404);
  EXPECT_EQ(this->Send(claims.readiness_address, {}).status, 200);
  const HttpResponse metrics = this->Send(claims.metrics_address, {});
  EXPECT_NE(metrics.body.find("tanagerledge_config_version 3"),
            std::string::npos);
}

TEST_F(SidecarTest, BackendDrains_NoCallReachesItAfterTheDrainPeriod) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->SendHeartbeat(archive, this->first_backend, "draining");
  this->OnLoop(
      [this] { return this->fakes_loop.SleepFor(milliseconds(1100)); });
  const std::size_t before = this->first_backend.Ran().size();
  const HttpResponse refused = this->Call(archive, "archive.example");
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(refused.Header("Retry-After").empty());
  EXPECT_EQ(this->first_backend.Ran().size(), before);
}

// A heartbeat may arrive seconds after it was sent, and so even after the
// deregistration.
TEST_F(SidecarTest, DeregisteredBeforeAnyHeartbeat_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Send(archive.readiness_address, {}).status == 200; }));
  this->Deregister(archive, this->first_backend);
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_TRUE(this->NoCallReaches(this->first_backend, archive));
}

TEST_F(SidecarTest,
       NodeRestartedAfterDeregistration_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->Deregister(archive, this->first_backend);
  this->Restart(0);
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_TRUE(this->NoCallReaches(this->first_backend, archive));
}

TEST_F(SidecarTest, DeregisteredWhileStoreIsDown_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->store.SetFaults({.down = true});
  this->Deregister(archive, this->first_backend);
  this->Restart(0);
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_TRUE(this->NoCallReaches(this->first_backend, archive));
}

TEST_F(SidecarTest, NodeRestartedDuringDrain_NoSecondDrainPeriod) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_backend.leaving = true;
  this->SendHeartbeat(archive, this->first_backend, "draining");
  this->Restart(0);
  const Settings& other = this->Start("claims", {archive.address});
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Send(other.readiness_address, {}).status == 200; }));
  this->SendHeartbeat(archive, this->first_backend, "draining");
  EXPECT_TRUE(this->NoCallReaches(this->first_backend, archive));
}

// A backend server that keeps running must be found again after a restart of
// the node, even when the store is down.
TEST_F(SidecarTest, NodeRestartedWithReadyBackend_BackendServesAgain) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->Restart(0);
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
}

TEST_F(SidecarTest,
       AnswerLostAfterExecution_NonIdempotentCallIsNotRetriedAndEndsAsUnknown) {
  const Settings& claims = this->Start("claims");
  this->Configure(1);
  this->SendHeartbeat(claims, this->second_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(claims, "claims.example").status == 200; }));
  this->second_backend.lose_answers = true;
  const std::size_t before = this->second_backend.Ran().size();
  const int status = this->Call(claims, "claims.example").status;
  EXPECT_TRUE(status == 502 || status == 504) << status;
  EXPECT_EQ(this->second_backend.Ran().size(), before + 1);
}

TEST_F(SidecarTest, StoreDown_StartingNodeGetsConfigurationFromAPeer) {
  const Settings& archive = this->Start("archive");
  this->Configure(4);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Send(archive.readiness_address, {}).status == 200; }));
  this->store.SetFaults({.down = true});
  const Settings& claims = this->Start("claims", {archive.address});
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Send(claims.readiness_address, {}).status == 200; }));
  EXPECT_NE(this->Send(claims.metrics_address, {})
                .body.find("tanagerledge_config_version 4"),
            std::string::npos);
}

// A version must be in force 2 s after the store has acknowledged it.
TEST_F(SidecarTest, StoreSilentTowardsOneNode_VersionIsInForceInTime) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->StartSilenceable("claims", {archive.address});
  this->Configure(1);
  ASSERT_TRUE(this->Eventually([&] {
    return this->HasVersion(archive, 1) && this->HasVersion(claims, 1);
  }));
  std::this_thread::sleep_for(seconds(1));  // The node waits at the store.
  this->store_is_silent = true;
  this->Configure(2);
  EXPECT_TRUE(this->Eventually([&] { return this->HasVersion(claims, 2); },
                               milliseconds(2000)));
}

// 404 is final for a caller, though the newer version may have the route.
TEST_F(SidecarTest, NewerVersionIsElsewhere_UnknownRouteIsNotDenied) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->StartSilenceable("claims", {archive.address});
  this->Configure(1);
  ASSERT_TRUE(this->Eventually([&] {
    return this->HasVersion(archive, 1) && this->HasVersion(claims, 1);
  }));
  EXPECT_EQ(this->Call(claims, "newer.example").status, 404);
  // A node that is no reader would ask its peer at once.
  ASSERT_TRUE(this->Eventually([&] { return this->IsStoreReader(claims); }));
  std::this_thread::sleep_for(seconds(1));  // The node waits at the store.
  this->store_is_silent = true;
  this->Configure(2, "newer.example");
  ASSERT_TRUE(this->Eventually([&] { return this->HasVersion(archive, 2); }));
  std::this_thread::sleep_for(milliseconds(100));
  ASSERT_TRUE(this->HasVersion(claims, 1));
  const HttpResponse refusal = this->Call(claims, "newer.example");
  EXPECT_EQ(refusal.status, 503);
  EXPECT_NE(refusal.Header("Retry-After"), "");
}

// Keys of client accounts -----------------------------------------------------

class AccountTest : public SidecarTest {
 protected:
  AccountTest() {
    this->tenants = {{"large", {{"api_keys", {"large-key"}}, {"priority", 0}}}};
  }

  // Starts a node for callers and one beside a backend server of claims.
  const Settings& StartPair() {
    const Settings& entry = this->Start("archive");
    const Settings& claims = this->Start("claims", {entry.address});
    this->Configure(1);
    this->SendHeartbeat(claims, this->second_backend);
    EXPECT_TRUE(this->Eventually([&] {
      return this->CallWithKeys(entry, {"large-key"}).status == 200;
    }));
    return entry;
  }

  HttpResponse CallWithKeys(const Settings& entry,
                            const std::vector<std::string>& keys,
                            std::string id = {},
                            const char* host = "claims.example") {
    HttpRequest request;
    request.target = "/x/1";
    request.headers = {
        {"Host", host},
        {"X-Attempt-Id",
         id.empty() ? "id-" + std::to_string(++this->ids) : std::move(id)},
        {"X-Deadline-Ms", "3000"},
        {"X-Tenant", "forged"}};
    for (const std::string& key : keys) {
      request.headers.push_back({"X-Api-Key", key});
    }
    return this->Send(entry.front_address, request);
  }

  std::optional<std::string> TenantOfLastRun(const TestBackend& backend) {
    const HttpRequest request = backend.Ran().back();
    EXPECT_EQ(request.Header("X-Api-Key"), "");
    const auto count =
        std::ranges::count(request.headers, "X-Tenant", &HttpHeader::name);
    EXPECT_LE(count, 1);
    return count == 0 ? std::nullopt
                      : std::optional(std::string(request.Header("X-Tenant")));
  }
};

TEST_F(AccountTest, KeyOfAnAccount_BackendOfAnotherNodeGetsTheName) {
  const Settings& entry = this->StartPair();
  EXPECT_EQ(this->CallWithKeys(entry, {"large-key"}).status, 200);
  EXPECT_EQ(this->TenantOfLastRun(this->second_backend), "large");
  // The priority of the account, and not the route's, which is 1.
  EXPECT_NE(this->Send(entry.metrics_address, {}).body.find("rank=\"p0\""),
            std::string::npos);
}

TEST_F(AccountTest, UnknownKeys_AreAnsweredWith401AndReachNoBackend) {
  const Settings& entry = this->StartPair();
  const std::size_t ran = this->second_backend.Ran().size();
  const std::vector<std::vector<std::string>> unknown = {
      {},
      {""},
      {"other"},
      {"large-key", "large-key"},
      {"LARGE-KEY"},
      {std::string(1025, 'k')}};
  for (const auto& keys : unknown) {
    EXPECT_EQ(this->CallWithKeys(entry, keys).status, 401) << keys.size();
  }
  EXPECT_EQ(this->second_backend.Ran().size(), ran);
}

TEST_F(AccountTest, PublicRoute_NeedsNoKeyAndBelongsToNoAccount) {
  const Settings& entry = this->StartPair();
  this->SendHeartbeat(entry, this->first_backend);
  for (const std::vector<std::string>& keys :
       std::vector<std::vector<std::string>>{{}, {"large-key"}, {"other"}}) {
    EXPECT_TRUE(this->Eventually([&] {
      return this->CallWithKeys(entry, keys, {}, "added.example").status == 200;
    }));
    EXPECT_EQ(this->TenantOfLastRun(this->first_backend), std::nullopt);
  }
}

// A backend server has no key. A node that has restarted does not know what its
// backend server runs, so that a call without a known parent may try again.
TEST_F(AccountTest, CallWithoutKey_IsAdmittedOnlyWhileItsParentRuns) {
  const Settings& entry = this->StartPair();
  this->SendHeartbeat(entry, this->first_backend);
  ASSERT_TRUE(this->Eventually([&] {
    return this->CallWithKeys(entry, {}, {}, "added.example").status == 200;
  }));
  EXPECT_EQ(this->CallWithKeys(entry, {}, "par.ent.1").status, 503);
  this->first_backend.work = milliseconds(1000);
  const int began = this->first_backend.began;
  auto parent = std::async(std::launch::async, [&] {
    return this
        ->CallWithKeys(entry, {"large-key"}, "par.ent", "archive.example")
        .status;
  });
  ASSERT_TRUE(
      this->Eventually([&] { return this->first_backend.began > began; }));
  EXPECT_EQ(this->CallWithKeys(entry, {}, "par.ent.2").status, 200);
  EXPECT_EQ(this->TenantOfLastRun(this->second_backend), std::nullopt);
  EXPECT_EQ(this->CallWithKeys(entry, {}, "par.3").status, 503);
  EXPECT_EQ(parent.get(), 200);
  EXPECT_EQ(this->CallWithKeys(entry, {}, "par.ent.4").status, 503);
  EXPECT_EQ(this->CallWithKeys(entry, {"no-key"}, "par.ent.4").status, 401);
}

// 401 is final for a client, though the newer version may hold the key.
TEST_F(AccountTest, NewerVersionIsElsewhere_UnknownKeyIsNotDenied) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->StartSilenceable("claims", {archive.address});
  this->Configure(1);
  ASSERT_TRUE(this->Eventually([&] {
    return this->HasVersion(archive, 1) && this->HasVersion(claims, 1);
  }));
  EXPECT_EQ(this->CallWithKeys(claims, {"added-key"}).status, 401);
  // A node that is no reader would ask its peer at once.
  ASSERT_TRUE(this->Eventually([&] { return this->IsStoreReader(claims); }));
  std::this_thread::sleep_for(seconds(1));  // The node waits at the store.
  this->store_is_silent = true;
  this->tenants["added"] = {{"api_keys", {"added-key"}}};
  this->Configure(2);
  ASSERT_TRUE(this->Eventually([&] { return this->HasVersion(archive, 2); }));
  std::this_thread::sleep_for(milliseconds(100));
  ASSERT_TRUE(this->HasVersion(claims, 1));
  const HttpResponse refusal = this->CallWithKeys(claims, {"added-key"});
  EXPECT_EQ(refusal.status, 503);
  EXPECT_NE(refusal.Header("Retry-After"), "");
}

// The log and the metrics are read by more people than may use the key.
TEST_F(AccountTest, KeyOfAnyRequest_IsNotInLogAndMetrics) {
  ::testing::internal::CaptureStdout();
  const Settings& entry = this->StartPair();
  this->CallWithKeys(entry, {"secret-1"});
  this->CallWithKeys(entry, {"secret-2", "secret-3"});
  this->CallWithKeys(entry, {"secret-4"}, {}, "nowhere.example");
  this->CallWithKeys(entry, {"secret-5"}, std::string(300, 'i'));
  this->second_backend.work = milliseconds(4000);  // Past the deadline.
  this->CallWithKeys(entry, {"large-key"});
  this->tenants["other"] = {{"api_keys", {"large-key"}}};
  this->Configure(2);
  std::this_thread::sleep_for(milliseconds(500));
  const std::string metrics = this->Send(entry.metrics_address, {}).body;
  const std::string log = ::testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find("refused"), std::string::npos);
  EXPECT_NE(log.find("configuration unreadable"), std::string::npos);
  for (const char* key : {"secret", "large-key"}) {
    EXPECT_EQ(log.find(key), std::string::npos) << key;
    EXPECT_EQ(metrics.find(key), std::string::npos) << key;
  }
}

class WithdrawnKeyTest : public AccountTest {
 protected:
  WithdrawnKeyTest() {
    this->revoke_when_partitioned = true;
    this->heartbeat_period = seconds(10);  // A test sends one heartbeat.
    this->tenants["other"] = {{"api_keys", {"other-key"}}};
  }

  // How long calls with the key are answered with 200, from now on.
  milliseconds ServedFor(const Settings& entry, const std::string& key) {
    const Instant began = std::chrono::steady_clock::now();
    Instant last = began;
    while (std::chrono::steady_clock::now() - began < seconds(12)) {
      const Instant sent = std::chrono::steady_clock::now();
      const int status = this->CallWithKeys(entry, {key}).status;
      if (status != 200) {
        EXPECT_TRUE(status == 503 || status == 401) << status;
        break;
      }
      last = sent;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return std::chrono::duration_cast<milliseconds>(last - began);
  }
};

// Both nodes lose the store, and the operator may write to it from elsewhere.
TEST_F(WithdrawnKeyTest, StoreIsLost_KeysAreRefusedInTimeAndServedAgain) {
  const Settings& entry = this->StartPair();
  this->store.SetFaults({.down = true});
  const milliseconds served = this->ServedFor(entry, "large-key");
  EXPECT_LT(served, this->revoke);
  EXPECT_GT(served, milliseconds(2000));
  const HttpResponse refusal = this->CallWithKeys(entry, {"large-key"});
  EXPECT_EQ(refusal.status, 503);
  EXPECT_NE(refusal.Header("Retry-After"), "");
  EXPECT_EQ(this->CallWithKeys(entry, {"unknown"}).status, 503);
  EXPECT_EQ(this->CallWithKeys(entry, {}).status, 401);
  const std::string metrics = this->Send(entry.metrics_address, {}).body;
  EXPECT_NE(metrics.find("tanagerledge_config_unproven 1\n"),
            std::string::npos);
  EXPECT_NE(metrics.find("config-unproven"), std::string::npos);
  this->store.SetFaults({});
  EXPECT_TRUE(this->Eventually(
      [&] { return this->CallWithKeys(entry, {"large-key"}).status == 200; },
      seconds(3)));
}

// The store serves one of two nodes only; the other has its proofs from it, and
// the withdrawal too.
TEST_F(WithdrawnKeyTest, StoreSilentTowardsOneNode_ServesOnThroughItsPeer) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->StartSilenceable("claims", {archive.address});
  this->Configure(1);
  this->SendHeartbeat(claims, this->second_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->CallWithKeys(claims, {"large-key"}).status == 200; }));
  this->store_is_silent = true;
  EXPECT_GT(this->ServedFor(claims, "large-key"), seconds(11));
  this->tenants.erase("large");
  this->Configure(2);
  EXPECT_LT(this->ServedFor(claims, "large-key"), this->revoke);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->CallWithKeys(claims, {"large-key"}).status == 401; }));
  EXPECT_EQ(this->CallWithKeys(claims, {"other-key"}).status, 200);
}

// The copy is a few seconds old, and the withdrawn key is valid in it.
TEST_F(WithdrawnKeyTest,
       StoreComesBackFromACopy_KeysAreServedOnAndStayWithdrawn) {
  const Settings& entry = this->StartPair();
  this->store.Copy();
  this->tenants.erase("other");
  this->Configure(2);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->CallWithKeys(entry, {"other-key"}).status == 401; }));
  this->store.SetFaults({.down = true});
  std::this_thread::sleep_for(milliseconds(300));
  this->store.Restore();
  this->store.SetFaults({});
  EXPECT_GT(this->ServedFor(entry, "large-key"), seconds(11));
  EXPECT_EQ(this->CallWithKeys(entry, {"other-key"}).status, 401);
}

// The bound has a cost only where it is set.
TEST_F(WithdrawnKeyTest, BoundIsNotSet_KeysAreServedWithoutTheStore) {
  this->revoke_when_partitioned = false;
  const Settings& entry = this->StartPair();
  this->store.SetFaults({.down = true});
  EXPECT_GT(this->ServedFor(entry, "large-key"), seconds(11));
  EXPECT_NE(this->Send(entry.metrics_address, {})
                .body.find("tanagerledge_store_proof_reads_total 0\n"),
            std::string::npos);
}

// Store back from a copy ------------------------------------------------------

class StoreCopyTest : public SidecarTest {
 protected:
  // The nodes in the store's list.
  std::set<std::string> ListedNodes() {
    return this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->fakes_loop, this->store_address);
      const auto page = client->ReadNewest("keyed.nodes", kTimeout);
      client->Close();
      std::set<std::string> listed;
      std::ranges::transform(page->records, std::inserter(listed, listed.end()),
                             &KeyedRecord::key);
      return listed;
    });
  }
};

// Offsets are assigned again: the new version is where the node has read an
// older one.
TEST_F(StoreCopyTest, VersionAtAnOffsetReadBefore_IsInForce) {
  const Settings& node = this->Start("archive");
  this->Configure(1);
  this->store.Copy();
  this->Configure(2);
  ASSERT_TRUE(this->Eventually([&] { return this->HasVersion(node, 2); }));
  std::this_thread::sleep_for(seconds(1));  // The node waits at the store.
  this->store.Restore();
  this->Configure(3);
  EXPECT_TRUE(this->Eventually([&] { return this->HasVersion(node, 3); },
                               milliseconds(2500)));
}

// The copy has an older version as its newest one.
TEST_F(StoreCopyTest, OlderVersionInTheCopy_IsNotTakenBack) {
  const Settings& node = this->Start("archive");
  this->Configure(1);
  this->store.Copy();
  this->Configure(2);
  ASSERT_TRUE(this->Eventually([&] { return this->HasVersion(node, 2); }));
  this->store.Restore();
  EXPECT_FALSE(
      this->Eventually([&] { return !this->HasVersion(node, 2); }, seconds(2)));
  this->Configure(3);
  EXPECT_TRUE(this->Eventually([&] { return this->HasVersion(node, 3); },
                               milliseconds(2500)));
}

// A node that starts later finds the others through their records.
TEST_F(StoreCopyTest, NodesAreNotInTheCopy_TheyAreListedAgain) {
  const Settings& first = this->Start("archive");
  const Settings& second = this->Start("claims", {first.address});
  this->Configure(1);
  this->store.Copy();
  ASSERT_TRUE(
      this->Eventually([&] { return this->ListedNodes().size() == 2; }));
  this->store.SetFaults({.down = true});
  std::this_thread::sleep_for(milliseconds(300));
  this->store.Restore();
  this->store.SetFaults({});
  EXPECT_TRUE(this->Eventually([&] {
    return this->ListedNodes() ==
           std::set{first.address.value, second.address.value};
  }));
}

// Two ends quarantine a request. A node that starts later must know of it.
TEST_F(SidecarTest, RequestCrashedTwoBackends_RestartedNodeDoesNotRunIt) {
  std::vector<const Settings*> archives;
  for (int i = 0; i < 3; ++i) {
    std::vector<NodeId> seeds;
    if (!archives.empty()) {
      seeds.push_back(archives.front()->address);
    }
    archives.push_back(&this->Start("archive", std::move(seeds)));
  }
  this->Configure(1);
  for (const Settings* node : archives) {
    this->SendHeartbeat(*node, this->AddBackend());
  }
  ASSERT_TRUE(this->Eventually([&] {
    return std::ranges::all_of(archives, [&](const Settings* node) {
      return this->Call(*node, "archive.example").status == 200;
    });
  }));
  std::this_thread::sleep_for(seconds(1));  // All nodes know all endpoints.
  for (int i = 0; i < 5; ++i) {
    this->SendCrashing(*archives[0]);
  }
  ASSERT_EQ(this->Crashes(), 2);
  const auto survivor = std::ranges::find(
      this->added_backends, 0,
      [](const auto& backend) { return backend->crashes.load(); });
  const auto index = static_cast<std::size_t>(
      std::distance(this->added_backends.begin(), survivor));
  std::this_thread::sleep_for(milliseconds(500));  // The record is written.
  this->Restart(index);
  this->SendHeartbeat(*archives[index], **survivor);
  ASSERT_TRUE(this->Eventually([&] {
    return this->Call(*archives[index], "archive.example").status == 200;
  }));
  for (int i = 0; i < 3; ++i) {
    this->SendCrashing(*archives[index]);
  }
  EXPECT_EQ(this->Crashes(), 2);
}

// Guards against a request that ends one backend server after the other, since
// the connection to each is closed when its caller leaves.
TEST_F(SidecarTest, CallersLeaveBeforeTheCrash_RequestCrashesAtMostTwo) {
  std::vector<const Settings*> archives;
  std::vector<TestBackend*> backends;
  const auto start_backend = [&](std::size_t at) {
    backends[at] = &this->AddBackend();
    backends[at]->crash_after = milliseconds(200);
    this->SendHeartbeat(*archives[at], *backends[at]);
  };
  for (std::size_t i = 0; i < 3; ++i) {
    std::vector<NodeId> seeds;
    if (!archives.empty()) {
      seeds.push_back(archives.front()->address);
    }
    archives.push_back(&this->Start("archive", std::move(seeds)));
    backends.push_back(nullptr);
  }
  this->Configure(1);
  for (std::size_t i = 0; i < archives.size(); ++i) {
    start_backend(i);
  }
  ASSERT_TRUE(this->Eventually([&] {
    return std::ranges::all_of(archives, [&](const Settings* node) {
      return this->Call(*node, "archive.example").status == 200;
    });
  }));
  std::this_thread::sleep_for(seconds(1));  // All nodes know all endpoints.
  for (int i = 0; i < 6; ++i) {
    this->caller_leaves_after = milliseconds(100);
    this->SendCrashing(*archives[0]);
    this->caller_leaves_after = kTimeout;
    std::this_thread::sleep_for(milliseconds(400));
    for (std::size_t at = 0; at < backends.size(); ++at) {
      if (backends[at]->crashes > 0) {
        start_backend(at);
      }
    }
    std::this_thread::sleep_for(milliseconds(400));
  }
  EXPECT_EQ(this->Crashes(), 2);
}

// A route may lead to another service, whose nodes got no broadcast.
TEST_F(SidecarTest, RequestCrashedTwoBackends_OtherServiceDoesNotRunIt) {
  const Settings& claims = this->Start("claims");
  const Settings& archive = this->Start("archive", {claims.address});
  this->Configure(1);
  for (int i = 0; i < 2; ++i) {
    this->SendHeartbeat(claims, this->AddBackend());
    ASSERT_TRUE(this->Eventually(
        [&] { return this->Call(claims, "claims.example").status == 200; }));
    this->SendCrashing(claims, "claims.example");
  }
  ASSERT_EQ(this->Crashes(), 2);
  // The caller's service is a part of the request.
  this->sidecars[1]->Reload([&] {
    Settings same_caller = archive;
    same_caller.service = claims.service;
    return same_caller;
  }());
  this->SendHeartbeat(archive, this->AddBackend());
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  std::this_thread::sleep_for(seconds(2));
  EXPECT_EQ(this->SendCrashing(archive), 503);
  EXPECT_EQ(this->Crashes(), 2);
}

// All calls of an ended backend server lose their connections at once.
TEST_F(SidecarTest, CrashBesideOtherCalls_CrashingRequestIsSuspected) {
  const Settings& claims = this->Start("claims");
  this->Configure(1);
  for (int i = 0; i < 2; ++i) {
    TestBackend& backend = this->AddBackend();
    this->SendHeartbeat(claims, backend);
    ASSERT_TRUE(this->Eventually(
        [&] { return this->Call(claims, "claims.example").status == 200; }));
    backend.work = seconds(2);
    const int before = backend.began;
    std::vector<std::future<int>> beside;
    for (int call = 0; call < 3; ++call) {
      beside.push_back(this->CallAsync(
          claims, "claims.example", "beside-" + std::to_string(i * 10 + call)));
    }
    ASSERT_TRUE(this->Eventually([&] { return backend.began == before + 3; }));
    this->SendCrashing(claims, "claims.example");
  }
  TestBackend& third = this->AddBackend();
  this->SendHeartbeat(claims, third);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(claims, "claims.example").status == 200; }));
  EXPECT_EQ(this->SendCrashing(claims, "claims.example"), 503);
  EXPECT_EQ(this->Crashes(), 2);
}

// Entries of other writers in the list of nodes.
TEST_F(SidecarTest, OddEntriesInTheNodeList_OthersAreUsedAndNothingEnds) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  std::this_thread::sleep_for(milliseconds(500));  // The record is written.
  const auto put = [&](const std::string& key, const std::string& value) {
    this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->fakes_loop, this->store_address);
      EXPECT_TRUE(
          client->Put(this->platform.NodeStream(), key, value, kTimeout));
      client->Close();
      return 0;
    });
  };
  wire::NodeRecord odd;
  odd.zone = "a";
  odd.service_name = "archive";
  odd.instance = "i-odd";
  odd.state = static_cast<std::int32_t>(EndpointState::kReady);
  odd.slots = std::numeric_limits<std::int32_t>::max();
  odd.address = "127.0.0.1:99999";
  odd.sequence = -1;
  odd.born_ms = std::numeric_limits<std::int64_t>::min();
  wire::QuarantineRecord quarantine;
  quarantine.until_unix_ms = std::numeric_limits<std::int64_t>::min();
  odd.__set_quarantined({quarantine});
  put("127.0.0.1:1", Encode(odd));
  put("127.0.0.1:0", Encode(odd));
  put("127.0.0.1:65536", Encode(odd));
  put("127.0.0.1:2", std::string(100'000, '['));
  put("127.0.0.1:3", std::string(100'000, '\x0c'));
  put("not an address", "");
  // One of them has the address of a node that is about to start.
  const Settings& claims = this->Start("claims");
  put(claims.address.value, Encode(odd));
  std::this_thread::sleep_for(milliseconds(300));
  this->Restart(1);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Call(claims, "archive.example").status == 200; }));
}

// Heartbeats of another writer for the same backend server.
TEST_F(SidecarTest, OddHeartbeat_LaterHeartbeatsAreAccepted) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  const auto put = [&](const std::string& field, const std::string& value) {
    std::map<std::string, std::string> fields = {
        {"service", R"("archive")"},
        {"address", "\"" + this->first_backend.address + "\""},
        {"zone", R"("a")"},
        {"version", R"("v1")"},
        {"state", R"("ready")"},
        {"slots", "4"},
        {"cold_remaining_ms", "0"},
        {"sequence", "1"},
        {"born", "1000"}};
    fields[field] = value;
    std::string body;
    std::ranges::for_each(fields, [&body](const auto& each) {
      body += (body.empty() ? "{\"" : ",\"") + each.first + "\":" + each.second;
    });
    HttpRequest request;
    request.method = "PUT";
    request.target = "/instances/" + this->first_backend.instance;
    request.body = body + "}";
    return this->Send(archive.admin_address, request).status;
  };
  EXPECT_EQ(put("sequence", "-1"), 400);
  EXPECT_EQ(put("sequence", "1e30"), 400);
  EXPECT_EQ(put("sequence", "18446744073709551615"), 400);
  EXPECT_EQ(put("slots", "4294967300"), 400);
  EXPECT_EQ(put("slots", "1e400"), 400);
  EXPECT_EQ(put("cold_remaining_ms", "9223372036854775807"), 400);
  EXPECT_EQ(put("born", "1.5"), 400);
  EXPECT_EQ(put("born", "9007199254740000"), 400);
  EXPECT_EQ(put("service", R"("nobody")"), 400);
  constexpr std::size_t kDepth = 200'000;
  const int nested =
      put("extra", std::string(kDepth, '[') + std::string(kDepth, ']'));
  EXPECT_TRUE(nested == 200 || nested == 400 || nested == 413) << nested;
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
}

// Guards against a server whose leave is acknowledged and not obeyed (DRAIN),
// after one heartbeat in its name without a birth time.
TEST_F(SidecarTest, HeartbeatWithoutBirthTime_LaterLeaveIsObeyed) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  HttpRequest request;
  request.method = "PUT";
  request.target = "/instances/" + this->first_backend.instance;
  request.body = json{{"service", "archive"},
                      {"address", this->first_backend.address},
                      {"zone", "a"},
                      {"version", "v1"},
                      {"slots", 4},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0},
                      {"sequence", ++this->heartbeat_count}}
                     .dump();
  EXPECT_EQ(this->Send(archive.admin_address, request).status, 400);
  EXPECT_EQ(this->Call(archive, "archive.example").status, 200);
  this->first_backend.leaving = true;
  this->SendHeartbeat(archive, this->first_backend, "draining");
  this->OnLoop(
      [this] { return this->fakes_loop.SleepFor(milliseconds(1100)); });
  EXPECT_TRUE(this->NoCallReaches(this->first_backend, archive));
}

// Guards against a live server that one draining message of a newer start of
// its name silences.
TEST_F(SidecarTest, DrainingMessageOfNewerStart_LiveServerIsServedOn) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  HttpRequest request;
  request.method = "PUT";
  request.target = "/instances/" + this->first_backend.instance;
  request.body = json{
      {"service", "archive"},
      {"address", this->first_backend.address},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 4},
      {"state", "draining"},
      {"cold_remaining_ms", 0},
      {"sequence", 1},
      {"born", 2000}}.dump();
  EXPECT_EQ(this->Send(archive.admin_address, request).status, 200);
  const Instant until = std::chrono::steady_clock::now() + seconds(2);
  while (std::chrono::steady_clock::now() < until) {
    ASSERT_EQ(this->Call(archive, "archive.example").status, 200);
  }
}

// Guards against calls after an acknowledged leave: late heartbeats of the
// start before, under the same name, seemed to prove that the server stays.
TEST_F(SidecarTest, HeartbeatsOfFormerStartAreLate_LeaveIsObeyed) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  // Both starts are surely younger than the node.
  const std::int64_t first_birth = UnixMs() + 6000;
  this->backend_born = first_birth;
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->backend_born = first_birth + 2000;
  this->SendHeartbeat(archive, this->first_backend);
  this->first_backend.leaving = true;
  this->SendHeartbeat(archive, this->first_backend, "draining");
  std::this_thread::sleep_for(milliseconds(1200));
  const int began = this->first_backend.began;
  this->backend_born = first_birth;
  for (int late = 0; late < 4; ++late) {
    this->SendHeartbeat(archive, this->first_backend);
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(this->Call(archive, "archive.example").status, 503);
  }
  EXPECT_EQ(this->first_backend.began, began);
}

// Guards against a live server that is lost for good: while another start's
// leave was in doubt, the node took its own record of it for that of an earlier
// start.
TEST_F(SidecarTest, LeaveInDoubtIsRecorded_LiveServerReturnsOnceConfirmed) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_backend.leaving = true;
  this->backend_born += 1000;
  this->SendHeartbeat(archive, this->first_backend, "draining");
  // A node without peers reads the list every second or so.
  std::this_thread::sleep_for(seconds(3));
  EXPECT_EQ(this->Call(archive, "archive.example").status, 503);
  this->first_backend.leaving = false;
  this->backend_born -= 1000;
  EXPECT_TRUE(this->Eventually([&] {
    this->SendHeartbeat(archive, this->first_backend);
    return this->Call(archive, "archive.example").status == 200;
  }));
}

// Guards against a server that is lost until the node's next start (RECOVER),
// after one heartbeat of a service that nobody names.
TEST_F(SidecarTest, HeartbeatOfUnnamedService_LeavesBackendInPlace) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  HttpRequest request;
  request.method = "PUT";
  request.target = "/instances/i-other";
  request.body = json{
      {"service", "nobody"},
      {"address", this->first_backend.address},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 4},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"sequence", 1},
      {"born", 2000}}.dump();
  EXPECT_EQ(this->Send(archive.admin_address, request).status, 400);
  EXPECT_EQ(this->Call(archive, "archive.example").status, 200);
  this->SendHeartbeat(archive, this->first_backend);
  EXPECT_EQ(this->Call(archive, "archive.example").status, 200);
  this->Deregister(archive, this->first_backend);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->NoCallReaches(this->first_backend, archive); }));
}

TEST_F(SidecarTest, StoppedDuringCall_CallerGetsItsAnswer) {
  this->grace = milliseconds(3000);
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_backend.work = milliseconds(400);
  auto answer = std::async(std::launch::async, [&] {
    return this->Call(archive, "archive.example").status;
  });
  this->OnLoop([this] { return this->fakes_loop.SleepFor(milliseconds(100)); });
  this->sidecars.front()->Shutdown();
  this->sidecars.clear();
  EXPECT_EQ(answer.get(), 200);
}

// Callers may not notice that a node is no longer ready and keep sending.
TEST_F(SidecarTest, StoppedWhileCallersKeepComing_CutsNoneAndEndsSoon) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(150);
  std::atomic<bool> ended{false};
  std::atomic<int> answered{0};
  std::vector<std::future<std::vector<std::string>>> callers;
  for (int caller = 0; caller < 12; ++caller) {
    callers.push_back(std::async(std::launch::async, [&, caller] {
      std::vector<std::string> unanswered;
      for (int call = 0; !ended; ++call) {
        const std::string id =
            "c" + std::to_string(caller) + "-" + std::to_string(call);
        const auto response = this->Try(archive, "claims.example", id);
        answered += response.has_value() ? 1 : 0;
        if (!response) {
          unanswered.push_back(id);
        }
      }
      return unanswered;
    }));
  }
  const Instant began = std::chrono::steady_clock::now();
  this->sidecars.front()->Shutdown();
  const auto took = std::chrono::steady_clock::now() - began;
  ended = true;
  EXPECT_GT(answered, 10);
  EXPECT_LT(took, milliseconds(3500));
  // A call may go unanswered only if it never reached the backend server.
  std::set<std::string, std::less<>> ran;
  for (const HttpRequest& request : this->second_backend.Ran()) {
    ran.emplace(request.Header("X-Attempt-Id"));
  }
  for (auto& caller : callers) {
    for (const std::string& id : caller.get()) {
      EXPECT_FALSE(ran.contains(id)) << id;
    }
  }
}

TEST_F(SidecarTest,
       StoppingNodeFinishesItsLastCall_NewCallerIsRejectedAsNotRun) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(1200);
  auto stop = std::async(std::launch::async,
                         [&] { this->sidecars.front()->Shutdown(); });
  this->OnLoop(
      [this] { return this->fakes_loop.SleepFor(milliseconds(1500)); });
  auto last = std::async(std::launch::async, [&] {
    return this->Call(archive, "claims.example").status;
  });
  // The node's own callers should have left after 2.3 s, but this one has not.
  this->OnLoop([this] { return this->fakes_loop.SleepFor(milliseconds(950)); });
  EXPECT_EQ(this->Call(archive, "claims.example").status, 503);
  EXPECT_EQ(last.get(), 200);
  stop.get();
}

// Nested calls of the local backend server are accepted until the end of a
// stop.
TEST_F(SidecarTest, NestedCallLateInGracePeriod_IsAnsweredNotCut) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(2500);
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(2000));
  auto early = this->CallAsync(archive, "claims.example", "parent.1");
  std::this_thread::sleep_for(milliseconds(2000));
  auto late = this->CallAsync(archive, "claims.example", "parent.2");
  EXPECT_EQ(early.get(), 200);
  const int status = late.get();
  EXPECT_TRUE(status == 503 || status == 504) << status;
  EXPECT_LT(stop.get(), this->grace);
}

// The node has learned from earlier calls how long such calls take.
TEST_F(SidecarTest, NestedCallCannotEndInGracePeriod_IsRejectedAtOnce) {
  this->UseLongGracePeriod();
  this->second_backend.work = milliseconds(1000);
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(1900));
  std::vector<std::future<int>> calls;
  for (int call = 0; call < 3; ++call) {
    calls.push_back(this->CallAsync(archive, "claims.example",
                                    "parent." + std::to_string(call)));
    std::this_thread::sleep_for(milliseconds(750));
  }
  const int began_before = this->second_backend.began;
  auto late = this->CallAsync(archive, "claims.example", "parent.late");
  ASSERT_EQ(late.wait_for(milliseconds(300)), std::future_status::ready);
  EXPECT_EQ(late.get(), 503);
  EXPECT_EQ(this->second_backend.began, began_before);
  for (auto& call : calls) {
    EXPECT_EQ(call.get(), 200);
  }
  EXPECT_LT(stop.get(), this->grace);
}

TEST_F(SidecarTest, LongCallAcceptedInGracePeriod_BackendAnswersBeforeTheEnd) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(9000);
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(1000));
  auto call = this->CallAsync(archive, "claims.example", "long");
  EXPECT_EQ(call.get(), 504);
  EXPECT_LT(stop.get(), this->grace);
  const HttpRequest ran = this->second_backend.Ran().back();
  EXPECT_EQ(ran.Header("X-Attempt-Id"), "long");
  EXPECT_LT(std::stoi(std::string(ran.Header("X-Deadline-Ms"))), 4000);
}

TEST_F(SidecarTest, CallOutlastsGracePeriod_EndsAsMayHaveRun) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(9000);
  auto call = this->CallAsync(archive, "claims.example", "long");
  std::this_thread::sleep_for(milliseconds(100));
  auto stop = this->StopAsync(0);
  EXPECT_EQ(call.get(), 502);
  EXPECT_LT(stop.get(), this->grace);
}

TEST_F(SidecarTest, CallsQueuedAtEndOfGracePeriod_EndAsNotRun) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(9000);
  const int began_before = this->second_backend.began;
  auto calls = this->CallsAsync(archive, "claims.example", 6);
  std::this_thread::sleep_for(milliseconds(100));
  auto stop = this->StopAsync(0);
  std::multiset<int> received;
  for (auto& call : calls) {
    received.insert(call.get());
  }
  EXPECT_EQ(received, (std::multiset<int>{502, 502, 502, 502, 503, 503}));
  EXPECT_LT(stop.get(), this->grace);
  EXPECT_EQ(this->second_backend.began, began_before + 4);
}

TEST_F(SidecarTest,
       CallsQueuedAtStoppingNode_AreRejectedBeforeItsLastCallsEnd) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(9000);
  auto calls = this->CallsAsync(archive, "claims.example", 6);
  std::this_thread::sleep_for(milliseconds(100));
  auto stop = this->StopAsync(1);
  std::this_thread::sleep_for(milliseconds(3000));
  const auto ended = [](std::future<int>& call) {
    return call.wait_for(seconds(0)) == std::future_status::ready;
  };
  EXPECT_EQ(std::ranges::count_if(calls, ended), 2);
  std::multiset<int> received;
  for (auto& call : calls) {
    received.insert(call.get());
  }
  EXPECT_EQ(received, (std::multiset<int>{502, 502, 502, 502, 503, 503}));
  EXPECT_LT(stop.get(), this->grace);
}

// The calls of the slow reader end long before it has read the answers.
TEST_F(SidecarTest, SlowReaderDuringStop_GetsCompleteAnswers) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_backend.answer_bytes = kLargeAnswerBytes;
  boost::asio::io_context io;
  SlowReader caller(io, archive.front_address);
  for (int call = 0; call < 4; ++call) {
    caller.Write(
        "GET /x/1 HTTP/1.1\r\nHost: archive.example\r\n"
        "X-Attempt-Id: large-" +
        std::to_string(call) + "\r\nX-Deadline-Ms: 5000\r\n\r\n");
  }
  std::this_thread::sleep_for(milliseconds(300));
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(2200));
  const std::size_t read = caller.ReadToTheEnd();
  EXPECT_GE(read, 2 * kLargeAnswerBytes);
  EXPECT_EQ(read % kLargeAnswerBytes, 0U) << read;
  EXPECT_LT(stop.get(), this->grace);
}

// Otherwise a caller could send a request while its connection is being closed.
TEST_F(SidecarTest, AnswerDuringStop_ClosesItsConnection) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  EXPECT_EQ(this->Call(archive, "archive.example").Header("Connection"), "");
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(200));
  const HttpResponse answer = this->Call(archive, "archive.example");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.Header("Connection"), "close");
  stop.get();
}

// The next start of the node must know that the backend server left, even if a
// late heartbeat arrives.
TEST_F(SidecarTest, BackendLeavesLateDuringStop_IsRecordedInStore) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(1700));
  this->SendHeartbeat(archive, this->first_backend, "draining");
  stop.get();
  const auto state = this->OnLoop([&] {
    const auto client =
        platform::ConnectStore(this->fakes_loop, this->store_address);
    const auto page = client->ReadNewest(this->platform.NodeStream(), kTimeout);
    client->Close();
    const auto listed = std::ranges::find(page->records, archive.address.value,
                                          &KeyedRecord::key);
    return Decode<wire::NodeRecord>(listed->value)->state;
  });
  EXPECT_EQ(state, static_cast<std::int32_t>(EndpointState::kDraining));
}

TEST_F(SidecarTest, StoppedRightAfterStart_EndsInTime) {
  this->grace = milliseconds(6000);
  this->Start("archive");
  EXPECT_LT(this->StopAsync(0).get(), milliseconds(3500));
}

TEST_F(SidecarTest, NewSettingsAndConfigurationDuringStop_CutNoCall) {
  this->UseLongGracePeriod();
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsNode(archive));
  this->second_backend.work = milliseconds(2000);
  auto stop = this->StopAsync(0);
  std::this_thread::sleep_for(milliseconds(1000));
  auto call = this->CallAsync(archive, "claims.example", "amid");
  this->sidecars.front()->Reload(archive);
  this->Configure(2);
  std::this_thread::sleep_for(milliseconds(700));
  auto next = this->CallAsync(archive, "claims.example", "next");
  EXPECT_EQ(call.get(), 200);
  EXPECT_EQ(next.get(), 200);
  EXPECT_LT(stop.get(), this->grace);
}

TEST_F(SidecarTest, InvalidConfiguration_CurrentOneStaysInEffect) {
  const Settings& archive = this->Start("archive");
  this->Configure(2);
  this->SendHeartbeat(archive, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->OnLoop([&] {
    const auto client =
        platform::ConnectStore(this->fakes_loop, this->store_address);
    EXPECT_TRUE(client->Put("keyed.op", "config", "{\"version\":9", kTimeout));
    client->Close();
    return 0;
  });
  this->OnLoop([this] { return this->fakes_loop.SleepFor(milliseconds(200)); });
  EXPECT_EQ(this->Call(archive, "archive.example").status, 200);
}

// Each backend server repeats an earlier refusal, without an id, while it runs
// the next call.
TEST_F(SidecarTest, RefusalRepeatedOnKeptConnection_IsNotTakenForTheNextCall) {
  using Parts = std::vector<ScriptedBackend::Part>;
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\n"
      "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
  std::atomic<bool> refuse{false};
  std::atomic<bool> repeat{false};
  std::atomic<int> refused{0};
  std::mutex mutex;
  std::map<std::string, int, std::less<>> runs;
  const auto script = [&](const std::string& instance) {
    return [&, instance](const HttpRequest& request, int nth) -> Parts {
      const std::string id(request.Header("X-Attempt-Id"));
      const std::string echo = "X-Attempt-Id: " + id + "\r\n";
      const std::string success =
          "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Instance-Id: " + instance +
          "\r\nContent-Length: 0\r\n" + echo + "\r\n";
      if (refuse) {
        ++refused;
        return {{refusal + echo + "\r\n"}};
      }
      if (!repeat) {
        return {{success}};
      }
      const std::scoped_lock lock(mutex);
      ++runs[id];
      return nth == 0 ? Parts{{success}}
                      : Parts{{refusal + "\r\n"}, {success, milliseconds(20)}};
    };
  };
  const Settings& entry = this->Start("claims");
  const Settings& other = this->Start("claims", {entry.address});
  this->Configure(1);
  this->OnLoop([&] {
    this->scripted_backends.emplace_back(this->fakes_loop, script("i-1"));
    this->scripted_backends.emplace_back(this->fakes_loop, script("i-2"));
    return 0;
  });
  this->SendHeartbeat(entry, "i-1", this->scripted_backends.front().address(),
                      "ready");
  this->SendHeartbeat(other, "i-2", this->scripted_backends.back().address(),
                      "ready");
  // Successful calls add to the retry budget.
  int served = 0;
  ASSERT_TRUE(this->Eventually([&] {
    served += this->Call(entry, "claims.example").status == 200 ? 1 : 0;
    return served >= 40;
  }));
  refuse = true;
  ASSERT_TRUE(this->Eventually([&] {
    return this->Call(entry, "claims.example").status == 503 && refused >= 2;
  }));
  refuse = false;
  repeat = true;
  const std::vector<int> calls(8, 200);
  std::vector<int> statuses;
  std::ranges::transform(calls, std::back_inserter(statuses), [&](int) {
    return this->Call(entry, "claims.example").status;
  });
  EXPECT_EQ(statuses, calls);
  const std::scoped_lock lock(mutex);
  std::vector<int> runs_of_each;
  std::ranges::transform(runs, std::back_inserter(runs_of_each),
                         [](const auto& attempt) { return attempt.second; });
  EXPECT_EQ(runs_of_each, std::vector<int>(calls.size(), 1));
}

// Truncated answers -----------------------------------------------------------

struct TruncatedAnswer {
  const char* name;
  const char* framing;  // The last header field.
  const char* rest;
  const char* body;
  bool ends_by_close = false;
};

class TruncatedAnswerTest
    : public SidecarTest,
      public ::testing::WithParamInterface<TruncatedAnswer> {
 protected:
  static std::string HeaderFor(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
           "\r\nX-Server-Stamp: s.1\r\n" + GetParam().framing + "\r\n";
  }

  // The body that the caller must get when only the first `sent` bytes of the
  // answer were sent; empty if the call must not succeed.
  static std::optional<std::string> Expected(std::size_t sent,
                                             std::size_t head,
                                             bool reset) {
    const std::string rest = GetParam().rest;
    if (GetParam().ends_by_close) {
      return !reset && sent >= head ? std::optional(rest.substr(0, sent - head))
                                    : std::nullopt;
    }
    return sent == head + rest.size() ? std::optional(GetParam().body)
                                      : std::nullopt;
  }

  // Makes calls of `host` whose answers are cut off after each possible number
  // of bytes.
  void TruncateAtEachByte(const Settings& entry, const std::string& host) {
    const std::size_t max_bytes =
        HeaderFor("c-0-000").size() + std::string_view(GetParam().rest).size();
    int late = 0;
    for (std::size_t sent = 0; sent <= max_bytes; ++sent) {
      for (const bool reset : {false, true}) {
        const std::string id = "c-" + std::to_string(int{reset}) + "-" +
                               std::to_string(1000 + sent).substr(1);
        const std::string head = HeaderFor(id);
        const std::string bytes = (head + GetParam().rest).substr(0, sent);
        this->raw_backend.AnswerWith(bytes, reset);
        const int before = this->raw_backend.ran();
        const Instant began = std::chrono::steady_clock::now();
        const HttpResponse answer =
            this->Try(entry, host, id).value_or(HttpResponse{});
        const auto took = std::chrono::steady_clock::now() - began;
        late += took > seconds(1) ? 1 : 0;
        const auto expected = Expected(sent, head.size(), reset);
        EXPECT_EQ(this->raw_backend.ran(), before + 1) << bytes;
        if (expected) {
          EXPECT_EQ(answer.status, 200) << bytes;
          EXPECT_EQ(answer.body, *expected) << bytes;
          EXPECT_EQ(answer.Header("X-Server-Stamp"), "s.1");
        } else {
          EXPECT_TRUE(answer.status == 502 || answer.status == 504)
              << answer.status << " for: " << bytes;
          EXPECT_EQ(answer.Header("X-Server-Stamp"), "");
        }
      }
    }
    // A busy machine may delay some calls.
    EXPECT_LT(late, 5);
  }

  // Calls `host` until a call has reached the raw backend server.
  bool Reaches(const Settings& entry, const std::string& host) {
    return this->Eventually([&] {
      this->Call(entry, host);
      return this->raw_backend.ran() > 0;
    });
  }
};

TEST_P(TruncatedAnswerTest, LocalBackendTruncatesAnswer_NoSuccessAndNoWait) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->raw_backend);
  ASSERT_TRUE(this->Reaches(archive, "archive.example"));
  this->TruncateAtEachByte(archive, "archive.example");
}

TEST_P(TruncatedAnswerTest, RemoteBackendTruncatesAnswer_NoSuccessAndNoWait) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->Start("claims", {archive.address});
  this->Configure(1);
  this->SendHeartbeat(claims, this->raw_backend);
  ASSERT_TRUE(this->Reaches(archive, "claims.example"));
  this->TruncateAtEachByte(archive, "claims.example");
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    TruncatedAnswerTest,
    ::testing::Values(
        TruncatedAnswer{"Length", "Content-Length: 6\r\n", "answer", "answer"},
        TruncatedAnswer{"Chunks", "Transfer-Encoding: chunked\r\n",
                        "2\r\nan\r\n4;e\r\nswer\r\n0\r\nX-A: b\r\n\r\n",
                        "answer"},
        TruncatedAnswer{"EndsByClose", "", "answer", "", true}),
    [](const ::testing::TestParamInfo<TruncatedAnswer>& answer) {
      return std::string(answer.param.name);
    });

// Guards against such an answer that reaches the caller as a success, and
// against a second run of a request that isn't idempotent.
TEST_F(SidecarTest, BackendAnswersWithoutValidStatus_IsNoAnswerAndRunsOnce) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->Start("claims", {archive.address});
  this->Configure(1);
  this->SendHeartbeat(claims, this->raw_backend);
  for (const Settings* entry : {&claims, &archive}) {
    ASSERT_TRUE(this->Eventually([&] {
      const int before = this->raw_backend.ran();
      this->Call(*entry, "claims.example");
      return this->raw_backend.ran() > before;
    }));
    for (const std::string status : {"000 A", "099 A", "1000 A", "2x0 A", ""}) {
      this->raw_backend.AnswerWith(
          "HTTP/1.1 " + status +
              "\r\nX-Attempt-Id: odd\r\nX-Server-Stamp: s\r\n"
              "Content-Length: 2\r\n\r\nno",
          false);
      const int before = this->raw_backend.ran();
      const HttpResponse answer =
          this->Try(*entry, "claims.example", "odd").value_or(HttpResponse{});
      EXPECT_EQ(answer.status, 502) << status;
      EXPECT_EQ(answer.Header("X-Server-Stamp"), "") << status;
      EXPECT_EQ(this->raw_backend.ran(), before + 1) << status;
    }
  }
}

TEST_F(SidecarTest,
       OneOfTwoBackendsTruncatesAnswers_IdempotentCallIsAnsweredByTheOther) {
  const Settings& first = this->Start("archive");
  const Settings& second = this->Start("archive", {first.address});
  this->Configure(1);
  this->raw_backend.AnswerWith("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n",
                               false);
  this->SendHeartbeat(second, this->first_backend);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(first, "archive.example").status == 200; }));
  // A slower backend server makes the other one the first choice.
  this->first_backend.work = milliseconds(150);
  EXPECT_EQ(this->Call(first, "archive.example").status, 200);
  this->SendHeartbeat(second, this->first_backend);
  this->SendHeartbeat(first, this->raw_backend);
  EXPECT_TRUE(this->Eventually([&] {
    const HttpResponse answer = this->Call(first, "archive.example");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "answer");
    EXPECT_EQ(answer.Header("X-Server-Stamp"), "stamp-i-archive");
    return this->raw_backend.ran() > 0;
  }));
}

// Late requests -----------------------------------------------------------

class HedgingTest : public SidecarTest {
 protected:
  // With limits that no test reaches.
  void UseHedging() {
    this->hedged_requests = 0.5;
    this->extra_retries = 1000;
    this->heartbeat_period = milliseconds(3000);
  }

  // Starts two nodes with a backend server of archive each, and makes enough
  // calls for a delay to be known.
  const Settings& StartTwo() {
    this->UseHedging();
    const Settings& entry = this->Start("archive");
    const Settings& other = this->Start("archive", {entry.address});
    this->Configure(1);
    this->SendHeartbeat(other, this->second_backend);
    // A slower backend server makes the other one the first choice.
    this->second_backend.work = milliseconds(100);
    EXPECT_TRUE(this->Eventually([&] {
      this->Call(entry, "archive.example");
      return this->second_backend.began > 0;
    }));
    this->SendHeartbeat(entry, this->first_backend);
    EXPECT_TRUE(this->Eventually([&] {
      this->Call(entry, "archive.example");
      return this->first_backend.began > 0;
    }));
    this->second_backend.work = milliseconds(0);
    for (int call = 0; call < 150; ++call) {
      EXPECT_EQ(this->Call(entry, "archive.example").status, 200);
    }
    this->SendHeartbeat(entry, this->first_backend);
    this->SendHeartbeat(other, this->second_backend);
    return entry;
  }

  int Gauge(const Settings& node, const std::string& name) {
    const std::string page =
        this->Send(node.metrics_address, HttpRequest{}).body;
    const std::size_t at = page.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stoi(page.substr(at + name.size() + 2));
  }
};

TEST_F(HedgingTest, OneBackendIsSlow_NoCallWaitsForIt) {
  const Settings& entry = this->StartTwo();
  this->first_backend.work = milliseconds(1200);
  const int before = this->first_backend.began;
  int late = 0;
  for (int call = 0; call < 60 && this->first_backend.began < before + 3;
       ++call) {
    const Instant began = std::chrono::steady_clock::now();
    const HttpResponse answer = this->Call(entry, "archive.example");
    EXPECT_EQ(answer.status, 200);
    late +=
        std::chrono::steady_clock::now() - began > milliseconds(900) ? 1 : 0;
  }
  EXPECT_GT(this->first_backend.began, before);
  EXPECT_EQ(late, 0);
  EXPECT_GT(this->Gauge(entry, "tanagerledge_hedges_won_total"), 0);
  // The slots of the cancelled sends are free again.
  EXPECT_EQ(this->Gauge(entry, "tanagerledge_calls_running"), 0);
}

TEST_F(HedgingTest, CallerLeavesWithTwoSends_BothAreCancelled) {
  const Settings& entry = this->StartTwo();
  const Settings& other = *this->nodes[1];
  this->first_backend.work = milliseconds(1400);
  this->second_backend.work = milliseconds(1400);
  const int before = this->first_backend.began + this->second_backend.began;
  {
    boost::asio::io_context io;
    SlowReader caller(io, entry.front_address);
    caller.Write(
        "GET /x/1 HTTP/1.1\r\nHost: archive.example\r\nX-Attempt-Id: "
        "leaves\r\nX-Deadline-Ms: 5000\r\n\r\n");
    ASSERT_TRUE(this->Eventually([&] {
      return this->first_backend.began + this->second_backend.began ==
             before + 2;
    }));
    EXPECT_EQ(this->Gauge(entry, "tanagerledge_calls_running"), 1);
    EXPECT_EQ(this->Gauge(other, "tanagerledge_calls_running"), 1);
  }
  const Instant left = std::chrono::steady_clock::now();
  EXPECT_TRUE(this->Eventually([&] {
    return this->Gauge(entry, "tanagerledge_calls_running") == 0 &&
           this->Gauge(other, "tanagerledge_calls_running") == 0;
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - left, milliseconds(700));
}

TEST_F(HedgingTest, RequestIsNotIdempotent_IsNeverSentTwice) {
  this->UseHedging();
  const Settings& entry = this->Start("claims");
  const Settings& other = this->Start("claims", {entry.address});
  this->Configure(1);
  this->SendHeartbeat(entry, this->first_backend);
  this->SendHeartbeat(other, this->second_backend);
  const auto began = [this] {
    return this->first_backend.began + this->second_backend.began;
  };
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(entry, "claims.example").status == 200; }));
  for (int call = 0; call < 150; ++call) {
    this->Call(entry, "claims.example");
  }
  this->first_backend.work = milliseconds(300);
  this->second_backend.work = milliseconds(300);
  const int before = began();
  for (int call = 0; call < 5; ++call) {
    EXPECT_EQ(this->Call(entry, "claims.example").status, 200);
  }
  EXPECT_EQ(began(), before + 5);
}

// The header of an answer breaks off and the bytes of another answer follow.
TEST_F(SidecarTest, HeaderRunsIntoAnotherAnswer_IsNoSuccess) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->SendHeartbeat(archive, this->raw_backend);
  ASSERT_TRUE(this->Eventually([&] {
    this->Call(archive, "archive.example");
    return this->raw_backend.ran() > 0;
  }));
  const std::string other =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: s.2\r\n"
      "Content-Length: 5\r\n\r\nother";
  const std::string ours = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ours\r\n";
  const std::vector<std::string> heads = {
      ours + "X-Other: ", ours + "X-Server-Stamp: s.1",
      ours + "X-Server-Stamp: s.1\r\nX-Other: "};
  std::ranges::for_each(heads, [&](const std::string& head) {
    this->raw_backend.AnswerWith(head + other, false);
    const auto answer = this->Try(archive, "archive.example", "ours");
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 502) << head << " gave " << answer->body;
  });
}

// Roll-outs -------------------------------------------------------------------

TEST_F(SidecarTest, RolloutToAGoodVersion_CompletedWithLittleTrafficBefore) {
  TestBackend& target = this->AddBackend();
  const Settings& entry = this->StartRollout(this->first_backend, target, 9);
  int calls = 0;
  int bad = 0;
  int exposed = 0;
  EXPECT_TRUE(this->Eventually(
      [&] {
        ++calls;
        bad += this->Call(entry, "archive.example").status == 200 ? 0 : 1;
        const bool completed = this->RolloutStateOf("archive") == "completed";
        exposed = completed ? exposed : target.began.load();
        return completed;
      },
      seconds(9)));
  EXPECT_EQ(bad, 0);
  EXPECT_GT(exposed, 0);
  EXPECT_LE(exposed, calls / 10 + 20);
  // The platform stops the old backend servers at once.
  EXPECT_TRUE(this->Eventually([&] {
    const int before = target.began;
    this->Call(entry, "archive.example");
    return target.began > before;
  }));
  const std::size_t ran_before = this->first_backend.Ran().size();
  for (int call = 0; call < 20; ++call) {
    EXPECT_EQ(this->Call(entry, "archive.example").status, 200);
  }
  EXPECT_EQ(this->first_backend.Ran().size(), ran_before);
}

TEST_F(SidecarTest, RolloutToABadVersion_RolledBackAndGetsNothingMore) {
  TestBackend& target = this->AddBackend();
  target.lose_answers = true;
  const Settings& entry = this->StartRollout(this->first_backend, target, 60);
  int calls = 0;
  EXPECT_TRUE(this->Eventually(
      [&] {
        ++calls;
        this->Call(entry, "archive.example");
        return this->RolloutStateOf("archive") == "rolled_back";
      },
      seconds(30)));
  EXPECT_LE(target.began, calls / 10 + 20);
  const int before = target.began;
  for (int call = 0; call < 50; ++call) {
    EXPECT_EQ(this->Call(entry, "archive.example").status, 200);
  }
  EXPECT_EQ(target.began, before);
}

// A bad order changes nothing: no status, and all versions get requests.
TEST_F(SidecarTest, RolloutOfAnUnknownService_NoStatusAndTrafficGoesOn) {
  TestBackend& target = this->AddBackend();
  this->exposure_ratio = 0.1;
  this->Configure(1);
  const Settings& entry = this->Start("archive");
  this->SendHeartbeat(entry, target);
  this->Put("keyed.op", "rollout/nothing",
            R"({"service":"nothing","target_version":"v1","duration_s":9})");
  this->Put("keyed.op", "rollout/archive",
            R"({"service":"archive","target_version":"v1","duration_s":-9})");
  EXPECT_TRUE(this->Eventually([&] {
    return this->Send(entry.metrics_address, {})
               .body.find("tanagerledge_rollout_bad_orders_total 2\n") !=
           std::string::npos;
  }));
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Call(entry, "archive.example").status == 200; }));
  EXPECT_EQ(this->RolloutStateOf("nothing"), "");
  EXPECT_EQ(this->RolloutStateOf("archive"), "");
}

}  // namespace
}  // namespace tanagerledge
