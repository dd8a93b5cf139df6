// Whole sidecars on loopback: store, platform and back ends as stand-ins, the
// way of a call from the caller's socket to the back end's and back.

#include "src/sidecar/sidecar.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
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
#include <set>
#include <string>
#include <vector>

#include "fakes/log_store.h"
#include "fakes/scripted_back_end.h"
#include "platform/platform.h"
#include "platform/store_client.h"
#include "src/adapters/fiber_sync.h"
#include "src/adapters/http_client.h"

namespace tanagerledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTimeout = seconds(5);

std::string FreeAddress() {
  boost::asio::io_context io;
  return FormatAddress(
      boost::asio::ip::tcp::acceptor(io, ParseAddress("127.0.0.1:0").value())
          .local_endpoint());
}

// A back end of the platform: answers as the pages say, and keeps what it ran.
class StandInBackEnd {
 public:
  StandInBackEnd(IoLoop& io_loop, std::string instance_name)
      : instance(std::move(instance_name)),
        loop(io_loop),
        server(io_loop, [this](const HttpRequest& request) {
          return this->Answer(request);
        }) {
    const auto bound = this->server.Accept(ParseAddress("127.0.0.1:0").value());
    this->address = FormatAddress(*bound);
  }

  std::optional<HttpResponse> Answer(const HttpRequest& request) {
    HttpResponse response = MakeResponse(200, "text/plain", "answer");
    if (request.Path() == "/health") {
      if (this->leaving) {
        return MakeResponse(503, "text/plain", "leaving");
      }
      response.headers.push_back({"X-Instance-Id", this->instance});
      return response;
    }
    const HttpHeader echo{"X-Attempt-Id",
                          std::string(request.Header("X-Attempt-Id"))};
    if (request.Header("X-Expect-Instance") != this->instance) {
      HttpResponse refusal = MakeResponse(421, "text/plain", "");
      refusal.headers.push_back(echo);
      return refusal;
    }
    this->loop.SleepFor(this->work.load());
    const std::scoped_lock lock(this->mutex);
    this->ran.push_back(request);
    if (this->lose_answers) {
      return std::nullopt;
    }
    response.headers.push_back(echo);
    response.headers.push_back({"X-Server-Stamp", "stamp-" + this->instance});
    return response;
  }

  std::vector<HttpRequest> Ran() const {
    const std::scoped_lock lock(this->mutex);
    return this->ran;
  }

  const std::string instance;
  std::string address;
  std::atomic<bool> lose_answers{false};
  std::atomic<bool> leaving{false};  // As health checks are told.
  std::atomic<milliseconds> work{milliseconds(0)};
  IoLoop& loop;
  HttpServer server;

 private:
  mutable std::mutex mutex;
  std::vector<HttpRequest> ran;
};

class SidecarTest : public ::testing::Test {
 protected:
  SidecarTest()
      : store(this->stand_ins),
        first_back_end(this->stand_ins, "i-archive"),
        second_back_end(this->stand_ins, "i-claims") {
    this->store_address =
        "127.0.0.1:" + std::to_string(this->store.Listen(0).value());
    this->stand_ins.Start();
  }

  ~SidecarTest() override {
    for (const auto& sidecar : this->sidecars) {
      sidecar->Shutdown();
    }
    this->stand_ins.Spawn([this] {
      this->first_back_end.server.Close();
      this->second_back_end.server.Close();
      std::ranges::for_each(this->faulty, &ScriptedBackEnd::Close);
      this->store.Close();
      this->stand_ins.Stop();
    });
    this->stand_ins.Join();
  }

  template <typename Work>
  auto OnLoop(Work work) -> decltype(work()) {
    return *RunOn(this->stand_ins, Instant::max(), std::move(work));
  }

  // Starts a sidecar beside a back end of the service.
  const Settings& Start(const std::string& service,
                        std::vector<NodeId> seeds = {}) {
    auto node = std::make_unique<Settings>();
    node->source = ConfigSource::kPlatform;
    node->fleet = "test";
    node->address = {FreeAddress()};
    node->zone = {"a"};
    node->seeds = std::move(seeds);
    node->front_address = FreeAddress();
    node->admin_address = FreeAddress();
    node->readiness_address = FreeAddress();
    node->metrics_address = FreeAddress();
    node->log_address = this->store_address;
    node->service = {service};
    node->bounds.grace = this->grace;
    this->sidecars.push_back(std::make_unique<Sidecar>(*node, this->platform,
                                                       platform::ConnectStore));
    EXPECT_TRUE(this->sidecars.back()->Start().has_value());
    this->nodes.push_back(std::move(node));
    return *this->nodes.back();
  }

  // Ends a sidecar and starts another one in its place, which knows nothing.
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

  // The operator's word: archive and claims by host, at a version.
  void Configure(int version) {
    const auto route = [](const char* host, const char* service,
                          const char* kind) {
      return json{{"host", host},       {"path_prefix", "/x/"},
                  {"kind", kind},       {"timeout_ms", 2000},
                  {"priority", 1},      {"target_latency_ms", 500},
                  {"service", service}, {"max_attempts", 2}};
    };
    const json config = {
        {"version", version},
        {"routes",
         {{"archive", route("archive.example", "archive", "idempotent")},
          {"claims", route("claims.example", "claims", "non_idempotent")}}},
        {"services",
         {{"archive", {{"health_path", "/health"}}},
          {"claims", {{"health_path", "/health"}}}}},
        {"limits", json::object()}};
    this->OnLoop([&] {
      const auto client =
          platform::ConnectStore(this->stand_ins, this->store_address);
      EXPECT_TRUE(client->Put("keyed.op", "config", config.dump(), kTimeout));
      client->Close();
      return 0;
    });
  }

  tl::expected<HttpResponse, HttpError> TrySend(const std::string& address,
                                                const HttpRequest& request) {
    return this->OnLoop([&] {
      HttpClient client(this->stand_ins, ParseAddress(address).value());
      auto response = client.Send(request, kTimeout);
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
                                            const std::string& id) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/x/1?q=2";
    request.body = std::string("odd\0\xff", 5);
    request.headers = {{"Host", host},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", "1500"},
                       {"X-Caller-Service", "forged"}};
    return this->TrySend(entry.front_address, request);
  }

  // A second node with the back end of claims; true once `entry` reaches it.
  bool StartClaimsFor(const Settings& entry) {
    const Settings& claims = this->Start("claims", {entry.address});
    this->Configure(1);
    this->Beat(claims, this->second_back_end);
    return this->Eventually(
        [&] { return this->Call(entry, "claims.example").status == 200; });
  }

  void Beat(const Settings& node,
            const StandInBackEnd& back_end,
            const char* state = "ready") {
    this->Beat(node, back_end.instance, back_end.address, state);
  }

  void Beat(const Settings& node,
            const std::string& instance,
            const std::string& address,
            const char* state) {
    HttpRequest request;
    request.method = "PUT";
    request.target = "/instances/" + instance;
    request.body = json{
        {"service", node.service.value},
        {"address", address},
        {"slots", 4},
        {"state", state},
        {"sequence", ++this->beats},
        {"born", 1000}}.dump();
    EXPECT_EQ(this->Send(node.admin_address, request).status, 200);
  }

  // The back end says that it goes, and is acknowledged.
  void Leave(const Settings& node, StandInBackEnd& back_end) {
    back_end.leaving = true;
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/instances/" + back_end.instance;
    EXPECT_EQ(this->Send(node.admin_address, request).status, 200);
  }

  // Calls for half a second; true when none of them reached the back end.
  bool NothingReaches(const StandInBackEnd& back_end, const Settings& entry) {
    const std::size_t before = back_end.Ran().size();
    const Instant until = std::chrono::steady_clock::now() + milliseconds(500);
    while (std::chrono::steady_clock::now() < until) {
      this->Call(entry, "archive.example");
    }
    return back_end.Ran().size() == before;
  }

  bool Eventually(const std::function<bool()>& holds) {
    const Instant until = std::chrono::steady_clock::now() + seconds(10);
    while (std::chrono::steady_clock::now() < until) {
      if (holds()) {
        return true;
      }
      this->OnLoop(
          [this] { return this->stand_ins.SleepFor(milliseconds(20)); });
    }
    return false;
  }

  IoLoop stand_ins;
  LogStore store;
  const platform::Platform platform{};
  StandInBackEnd first_back_end;
  StandInBackEnd second_back_end;
  std::deque<ScriptedBackEnd> faulty;
  std::string store_address;
  std::vector<std::unique_ptr<Settings>> nodes;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  milliseconds grace{1500};
  std::atomic<int> ids{0};
  int beats = 0;
};

TEST_F(SidecarTest, NoConfigurationYet_RefusesAsNotRunAndIsNotReady) {
  const Settings& node = this->Start("archive");
  EXPECT_EQ(this->Send(node.readiness_address, {}).status, 503);
  EXPECT_EQ(this->Call(node, "archive.example").status, 503);
}

TEST_F(SidecarTest, TwoNodes_CallGoesToTheNodeBesideTheBackEnd) {
  const Settings& archive = this->Start("archive");
  const Settings& claims = this->Start("claims");
  this->Configure(3);
  this->Beat(archive, this->first_back_end);
  this->Beat(claims, this->second_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "claims.example").status == 200; }));
  const HttpResponse answer = this->Call(archive, "claims.example");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "answer");
  EXPECT_EQ(answer.Header("X-Server-Stamp"), "stamp-i-claims");
  EXPECT_EQ(answer.Header("X-Attempt-Id"),
            "id-" + std::to_string(this->ids.load()));
  const HttpRequest ran = this->second_back_end.Ran().back();
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

TEST_F(SidecarTest, BackEndDrains_NothingReachesItAfterItsTail) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->Beat(archive, this->first_back_end, "draining");
  this->OnLoop([this] { return this->stand_ins.SleepFor(milliseconds(1100)); });
  const std::size_t before = this->first_back_end.Ran().size();
  const HttpResponse refused = this->Call(archive, "archive.example");
  EXPECT_EQ(refused.status, 503);
  EXPECT_FALSE(refused.Header("Retry-After").empty());
  EXPECT_EQ(this->first_back_end.Ran().size(), before);
}

// A heartbeat may arrive seconds after it was sent, so after the goodbye too.
TEST_F(SidecarTest, LeaveBeforeAnyHeartbeat_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Send(archive.readiness_address, {}).status == 200; }));
  this->Leave(archive, this->first_back_end);
  this->Beat(archive, this->first_back_end);
  EXPECT_TRUE(this->NothingReaches(this->first_back_end, archive));
}

TEST_F(SidecarTest, NodeRestartedAfterALeave_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->Leave(archive, this->first_back_end);
  this->Restart(0);
  this->Beat(archive, this->first_back_end);
  EXPECT_TRUE(this->NothingReaches(this->first_back_end, archive));
}

TEST_F(SidecarTest, LeaveThatTheStoreNeverGot_LateHeartbeatBringsNoCalls) {
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsFor(archive));
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->store.SetFaults({.down = true});
  this->Leave(archive, this->first_back_end);
  this->Restart(0);
  this->Beat(archive, this->first_back_end);
  EXPECT_TRUE(this->NothingReaches(this->first_back_end, archive));
}

TEST_F(SidecarTest, NodeRestartedAmidADrain_NoSecondTailForCalls) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_back_end.leaving = true;
  this->Beat(archive, this->first_back_end, "draining");
  this->Restart(0);
  const Settings& other = this->Start("claims", {archive.address});
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Send(other.readiness_address, {}).status == 200; }));
  this->Beat(archive, this->first_back_end, "draining");
  EXPECT_TRUE(this->NothingReaches(this->first_back_end, archive));
}

// A back end that stays must be found again, also when the store is down.
TEST_F(SidecarTest, NodeRestartedBesideAReadyBackEnd_ServesItAgain) {
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->Restart(0);
  this->Beat(archive, this->first_back_end);
  EXPECT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
}

TEST_F(SidecarTest, AnswerLostAfterItRan_UnsafeCallIsNeitherRepeatedNorDenied) {
  const Settings& claims = this->Start("claims");
  this->Configure(1);
  this->Beat(claims, this->second_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(claims, "claims.example").status == 200; }));
  this->second_back_end.lose_answers = true;
  const std::size_t before = this->second_back_end.Ran().size();
  const int status = this->Call(claims, "claims.example").status;
  EXPECT_TRUE(status == 502 || status == 504) << status;
  EXPECT_EQ(this->second_back_end.Ran().size(), before + 1);
}

TEST_F(SidecarTest, StoreDown_StartingNodeTakesTheConfigurationFromAPeer) {
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

TEST_F(SidecarTest, StoppedAmidACall_CallerStillGetsItsAnswer) {
  this->grace = milliseconds(3000);
  const Settings& archive = this->Start("archive");
  this->Configure(1);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->first_back_end.work = milliseconds(400);
  auto answer = std::async(std::launch::async, [&] {
    return this->Call(archive, "archive.example").status;
  });
  this->OnLoop([this] { return this->stand_ins.SleepFor(milliseconds(100)); });
  this->sidecars.front()->Shutdown();
  this->sidecars.clear();
  EXPECT_EQ(answer.get(), 200);
}

// Callers may not notice that a node is no longer ready, and go on sending.
TEST_F(SidecarTest, StoppedWhileCallersKeepComing_CutsNoneAndEndsSoon) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsFor(archive));
  this->second_back_end.work = milliseconds(150);
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
  // A caller without an answer is one whose request never got to the back end.
  std::set<std::string, std::less<>> ran;
  for (const HttpRequest& request : this->second_back_end.Ran()) {
    ran.emplace(request.Header("X-Attempt-Id"));
  }
  for (auto& caller : callers) {
    for (const std::string& id : caller.get()) {
      EXPECT_FALSE(ran.contains(id)) << id;
    }
  }
}

TEST_F(SidecarTest, StoppingNodeEndsItsLastCall_NewCallerIsRefusedAsNotRun) {
  this->grace = milliseconds(6000);
  const Settings& archive = this->Start("archive");
  ASSERT_TRUE(this->StartClaimsFor(archive));
  this->second_back_end.work = milliseconds(1200);
  auto stop = std::async(std::launch::async,
                         [&] { this->sidecars.front()->Shutdown(); });
  this->OnLoop([this] { return this->stand_ins.SleepFor(milliseconds(1500)); });
  auto last = std::async(std::launch::async, [&] {
    return this->Call(archive, "claims.example").status;
  });
  // The node's own callers should be gone after 2.3 s; this one is not.
  this->OnLoop([this] { return this->stand_ins.SleepFor(milliseconds(950)); });
  EXPECT_EQ(this->Call(archive, "claims.example").status, 503);
  EXPECT_EQ(last.get(), 200);
  stop.get();
}

TEST_F(SidecarTest, SpoiltConfiguration_LeavesTheOneInForce) {
  const Settings& archive = this->Start("archive");
  this->Configure(2);
  this->Beat(archive, this->first_back_end);
  ASSERT_TRUE(this->Eventually(
      [&] { return this->Call(archive, "archive.example").status == 200; }));
  this->OnLoop([&] {
    const auto client =
        platform::ConnectStore(this->stand_ins, this->store_address);
    EXPECT_TRUE(client->Put("keyed.op", "config", "{\"version\":9", kTimeout));
    client->Close();
    return 0;
  });
  this->OnLoop([this] { return this->stand_ins.SleepFor(milliseconds(200)); });
  EXPECT_EQ(this->Call(archive, "archive.example").status, 200);
}

// Each back end writes an earlier refusal again, without an id, while it runs
// the next call.
TEST_F(SidecarTest, RefusalRepeatedOnAKeptConnection_IsNotTakenForTheNextCall) {
  using Parts = std::vector<ScriptedBackEnd::Part>;
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
    this->faulty.emplace_back(this->stand_ins, script("i-1"));
    this->faulty.emplace_back(this->stand_ins, script("i-2"));
    return 0;
  });
  this->Beat(entry, "i-1", this->faulty.front().address(), "ready");
  this->Beat(other, "i-2", this->faulty.back().address(), "ready");
  // Calls that are served earn some retries.
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

}  // namespace
}  // namespace tanagerledge
