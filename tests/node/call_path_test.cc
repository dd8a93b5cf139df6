// Sends calls through real nodes and checks that the outcome reported to the
// caller is what happened at the backend server.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/resident_memory.h"
#include "fakes/scripted_backend.h"
#include "fakes/small_mesh.h"
#include "src/adapters/logging.h"
#include "src/node/call_headers.h"

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kNote = R"([note]
base = 0
title = call path
[add service claims]
[add rank claim]
target_ms = 400
worth = 60
floor_percent = 10
[add route read]
prefix = /read
service = claims
rank = claim
idempotent = yes
deadline_ms = 2000
[add route claim]
prefix = /claim
service = claims
rank = claim
idempotent = no
deadline_ms = 2000
)";

class CallPathTest : public testing::Test {
 protected:
  static void SetUpTestSuite() { static_cast<void>(StartLogging("off")); }

  // Starts a node without a backend server, at which calls enter, and a node
  // with one, so that each call passes both nodes.
  void StartServing() {
    this->mesh.Publish(kNote);
    this->entry = this->mesh.AddNode({});
    FakeBackendConfig config;
    config.service_time = milliseconds(5);
    this->backend_node = this->mesh.AddNode({"claims"}, config);
    ASSERT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
  }

  HttpResponse Call(const std::string& method,
                    const std::string& target,
                    std::vector<HttpHeader> headers = {}) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    return this->mesh.Send(this->entry, request).value_or(HttpResponse());
  }

  static std::string OutcomeOf(const HttpResponse& response) {
    return std::string(response.Header(kOutcomeHeader)) + " " +
           std::string(response.Header(kReasonHeader));
  }

  nlohmann::json Stats(std::size_t node = 1) {
    HttpRequest request;
    request.target = "/stats";
    const auto answer =
        this->mesh.Send(this->mesh.backend_address(node), request);
    return answer ? nlohmann::json::parse(answer->body) : nlohmann::json();
  }

  void SetBackendFaults(const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/faults";
    request.body = body;
    ASSERT_TRUE(this->mesh.Send(this->mesh.backend_address(1), request));
  }

  SmallMesh mesh;
  std::string entry;
  std::string backend_node;
};

TEST_F(CallPathTest, KeySentTwice_RunsOnceWithSameAnswer) {
  this->StartServing();
  const std::vector<HttpHeader> key = {{std::string(kKeyHeader), "claim-1"}};
  const HttpResponse first = this->Call("POST", "/claim", key);
  const HttpResponse second = this->Call("POST", "/claim", key);
  EXPECT_EQ(OutcomeOf(first), "ok none");
  EXPECT_EQ(OutcomeOf(second), "ok none");
  EXPECT_EQ(first.body, second.body);
  EXPECT_EQ(this->Stats()["runs_of_key"]["claim-1"], 1);
}

// The fake backend servers share no data: only the one that ran the write knows
// it.
TEST_F(CallPathTest, ReadsWithSessionOfWrite_GoToBackendOfWrite) {
  constexpr int kReads = 10;
  this->StartServing();
  this->mesh.AddNode({"claims"});
  // Calls until the entry also sends calls to the second backend server.
  constexpr int kMaxTries = 1000;
  for (int i = 0; i < kMaxTries && this->Stats(2)["runs"] == 0; ++i) {
    this->Call("GET", "/read");
  }
  ASSERT_GT(this->Stats(2)["runs"].get<int>(), 0);
  const HttpResponse write =
      this->Call("POST", "/claim", {{std::string(kKeyHeader), "claim-2"}});
  ASSERT_EQ(OutcomeOf(write), "ok none");
  const bool written_at_first =
      this->Stats(1)["runs_of_key"].contains("claim-2");
  const std::size_t writer = written_at_first ? 1 : 2;
  const int before = this->Stats(writer)["runs"].get<int>();
  const std::string token(write.Header(kSessionHeader));
  for (int i = 0; i < kReads; ++i) {
    const HttpResponse read =
        this->Call("GET", "/read", {{std::string(kSessionHeader), token}});
    EXPECT_EQ(OutcomeOf(read), "ok none");
  }
  EXPECT_EQ(this->Stats(writer)["runs"].get<int>(), before + kReads);
}

TEST_F(CallPathTest, BackendShedsCall_OutcomeIsNotRunAndCallDidNotRun) {
  this->StartServing();
  const auto before = this->Stats()["runs"];
  this->SetBackendFaults(R"({"shed": true})");
  const HttpResponse response = this->Call("POST", "/claim");
  EXPECT_EQ(OutcomeOf(response), "not-run backend-refused") << response.body;
  EXPECT_EQ(this->Stats()["runs"], before);
}

// An idempotent call is retried. When no endpoint is left for the retry, the
// outcome must still be unknown, since the first attempt may have run.
TEST_F(CallPathTest, ConnectionLostDuringCall_OutcomeIsUnknown) {
  this->StartServing();
  this->SetBackendFaults(R"({"drop": true})");
  const HttpResponse response = this->Call("GET", "/read");
  EXPECT_EQ(OutcomeOf(response), "unknown connection-lost") << response.body;
}

TEST_F(CallPathTest, AnswerAfterDeadline_OutcomeIsUnknown) {
  this->StartServing();
  this->SetBackendFaults(R"({"slow_factor": 100})");
  const HttpResponse response =
      this->Call("POST", "/claim", {{std::string(kDeadlineHeader), "100"}});
  EXPECT_EQ(response.Header(kOutcomeHeader), "unknown");
}

TEST_F(CallPathTest, HeaderTooLong_OutcomeIsNotRunAndCallDidNotRun) {
  this->StartServing();
  const auto before = this->Stats()["runs"];
  const std::string long_text(1000, 'x');
  for (const std::string_view name :
       {kSessionHeader, kClientAccountHeader, kKeyHeader}) {
    const HttpResponse response =
        this->Call("POST", "/claim", {{std::string(name), long_text}});
    EXPECT_EQ(OutcomeOf(response), "not-run bad-request") << name;
  }
  EXPECT_EQ(this->Stats()["runs"], before);
}

// A faulty backend server sends its refusal a second time on a kept-alive
// connection while it runs the next call on it. The repeated refusal must not
// be taken for the answer to that call, which would be reported as not run.
TEST_F(CallPathTest, RefusalRepeatedOnKeptConnection_IsNotTakenForNextAnswer) {
  using Parts = std::vector<ScriptedBackend::Part>;
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\ntanagerledge-outcome: not-run\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::atomic<bool> refuse{false};
  std::atomic<bool> repeat{false};
  IoLoop loop;
  ScriptedBackend backend(loop, [&](const HttpRequest&, int nth) {
    if (refuse) {
      return Parts{{refusal}};
    }
    return repeat && nth > 0 ? Parts{{refusal}, {success, milliseconds(20)}}
                             : Parts{{success}};
  });
  loop.Start();
  this->mesh.Publish(kNote);
  this->entry = this->mesh.AddNode({});
  HttpRequest announcement;
  announcement.method = "POST";
  announcement.target = "/announce";
  announcement.body =
      nlohmann::json{{"service", "claims"}, {"address", backend.address()},
                     {"slots", 4},          {"connections", 8},
                     {"state", "ready"},    {"instance", "1"}}
          .dump();
  EXPECT_EQ(this->mesh.Send(this->mesh.admin_address(0), announcement)->status,
            200);
  EXPECT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
  refuse = true;
  EXPECT_EQ(OutcomeOf(this->Call("POST", "/claim")), "not-run backend-refused");
  refuse = false;
  repeat = true;
  EXPECT_EQ(OutcomeOf(this->Call("POST", "/claim")), "ok none");
  loop.Spawn([&] {
    backend.Close();
    loop.Stop();
  });
  loop.Join();
}

// A process that dies may close its connections before its listener. The caller
// may send again as soon as it has its answer, so the node must know by then.
TEST_F(CallPathTest, DyingBackendListensLonger_DeathIsKnownBeforeTheAnswer) {
  using Parts = std::vector<ScriptedBackend::Part>;
  const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::atomic<bool> runs{false};
  IoLoop loop;
  ScriptedBackend backend(loop, [&](const HttpRequest& request, int) {
    runs = request.target == "/claim";
    return Parts{{success, runs ? milliseconds(1000) : milliseconds(0)}};
  });
  loop.Start();
  this->mesh.Publish(kNote);
  this->entry = this->mesh.AddNode({});
  HttpRequest announcement;
  announcement.method = "POST";
  announcement.target = "/announce";
  announcement.body =
      nlohmann::json{{"service", "claims"}, {"address", backend.address()},
                     {"slots", 4},          {"connections", 8},
                     {"state", "ready"},    {"instance", "1"}}
          .dump();
  ASSERT_EQ(this->mesh.Send(this->mesh.admin_address(0), announcement)->status,
            200);
  ASSERT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
  loop.Spawn([&] {
    while (!runs) {
      loop.SleepFor(milliseconds(1));
    }
    backend.CloseConnections();
    loop.SleepFor(milliseconds(5));
    backend.Close();
  });
  EXPECT_EQ(OutcomeOf(this->Call("POST", "/claim")), "unknown connection-lost");
  HttpRequest explain;
  explain.target = "/explain";
  const auto page = this->mesh.Send(this->mesh.admin_address(0), explain);
  ASSERT_TRUE(page);
  EXPECT_NE(page->body.find("died"), std::string::npos) << page->body;
  loop.Spawn([&] { loop.Stop(); });
  loop.Join();
}

// A faulty backend server goes on with a head or a body until its connection is
// closed. Calls of other callers run beside it.
TEST_F(CallPathTest, EndlessAnswers_MemoryIsBoundedAndOtherCallsRun) {
  using Parts = std::vector<ScriptedBackend::Part>;
  constexpr int kRounds = 10;
  constexpr std::size_t kMaxGrowth = 32UL * 1024 * 1024;
  constexpr std::size_t kMaxBytesEach = 16UL * 1024 * 1024;
  const std::string noise(16 * 1024, 'a');
  std::atomic<std::size_t> endless{0};
  IoLoop loop;
  ScriptedBackend backend(loop, [&](const HttpRequest& request, int) -> Parts {
    const bool head = request.target == "/claim/head";
    if (!head && request.target != "/claim/body") {
      return {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    }
    ++endless;
    return {{head ? "HTTP/1.1 200 OK\r\nA: " : "HTTP/1.1 200 OK\r\n\r\n"},
            {noise, milliseconds(0), true}};
  });
  loop.Start();
  this->mesh.Publish(kNote);
  this->entry = this->mesh.AddNode({});
  HttpRequest announcement;
  announcement.method = "POST";
  announcement.target = "/announce";
  announcement.body =
      nlohmann::json{{"service", "claims"}, {"address", backend.address()},
                     {"slots", 4},          {"connections", 8},
                     {"state", "ready"},    {"instance", "1"}}
          .dump();
  ASSERT_EQ(this->mesh.Send(this->mesh.admin_address(0), announcement)->status,
            200);
  ASSERT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
  {
    const MemoryGrowth growth;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<std::future<std::string>> faulty;
      for (const auto* target : {"/claim/head", "/claim/body"}) {
        faulty.push_back(std::async(std::launch::async, [this, target] {
          return OutcomeOf(this->Call("POST", target));
        }));
      }
      EXPECT_EQ(OutcomeOf(this->Call("GET", "/read")), "ok none");
      std::ranges::for_each(faulty, [](std::future<std::string>& outcome) {
        EXPECT_EQ(outcome.get(), "unknown connection-lost");
      });
    }
    RecordProperty("peak_growth_bytes", std::to_string(growth.peak()));
    EXPECT_LT(growth.peak(), kMaxGrowth);
  }
  EXPECT_EQ(endless, 2U * kRounds);
  EXPECT_LT(backend.bytes_written(), endless * kMaxBytesEach);
  loop.Spawn([&] {
    backend.Close();
    loop.Stop();
  });
  loop.Join();
}

// An error may be the answer of a run that ended before it could crash the
// backend server: the request still ends no more than two of them.
TEST_F(CallPathTest, CrashingRequestAnsweredWithErrors_IsQuarantined) {
  using Parts = std::vector<ScriptedBackend::Part>;
  constexpr int kMaxDeaths = 2;
  int deaths = 0;
  std::atomic<bool> fails{true};
  std::atomic<bool> crashes{false};
  IoLoop loop;
  std::vector<std::unique_ptr<ScriptedBackend>> backends;
  const auto serve = [&](const HttpRequest& request, int) -> Parts {
    if (request.target != "/claim") {
      return {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    }
    if (fails) {
      return {{"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"}};
    }
    crashes = true;
    return {{"", milliseconds(1000)}};
  };
  loop.Start();
  this->mesh.Publish(kNote);
  this->entry = this->mesh.AddNode({});
  for (int start = 0; start <= kMaxDeaths; ++start) {
    backends.push_back(std::make_unique<ScriptedBackend>(loop, serve));
    HttpRequest announcement;
    announcement.method = "POST";
    announcement.target = "/announce";
    announcement.body =
        nlohmann::json{
            {"service", "claims"}, {"address", backends.back()->address()},
            {"slots", 4},          {"connections", 8},
            {"state", "ready"},    {"instance", std::to_string(start)}}
            .dump();
    ASSERT_EQ(
        this->mesh.Send(this->mesh.admin_address(0), announcement)->status,
        200);
    ASSERT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
    fails = true;
    this->Call("POST", "/claim");
    fails = false;
    crashes = false;
    loop.Spawn([&, backend = backends.back().get()] {
      while (!crashes && !fails) {
        loop.SleepFor(milliseconds(1));
      }
      if (crashes) {
        backend->Close();
      }
    });
    this->Call("POST", "/claim");
    deaths += crashes ? 1 : 0;
    fails = true;
  }
  EXPECT_LE(deaths, kMaxDeaths);
  loop.Spawn([&] {
    backends.back()->Close();
    loop.Stop();
  });
  loop.Join();
}

// Guards against a second run of a suspect while the first one, past its
// deadline, may still crash the backend server.
TEST_F(CallPathTest, SuspectRunsPastItsDeadline_NextOneWaits) {
  using Parts = std::vector<ScriptedBackend::Part>;
  std::atomic<int> runs{0};
  IoLoop loop;
  std::vector<std::unique_ptr<ScriptedBackend>> backends;
  const auto serve = [&](const HttpRequest& request, int) -> Parts {
    if (request.target != "/claim") {
      return {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    }
    ++runs;
    return {{"", seconds(10)}};
  };
  loop.Start();
  this->mesh.Publish(kNote);
  this->entry = this->mesh.AddNode({});
  const auto announce = [&] {
    backends.push_back(std::make_unique<ScriptedBackend>(loop, serve));
    HttpRequest announcement;
    announcement.method = "POST";
    announcement.target = "/announce";
    announcement.body =
        nlohmann::json{
            {"service", "claims"}, {"address", backends.back()->address()},
            {"slots", 4},          {"connections", 8},
            {"state", "ready"},    {"instance", backends.back()->address()}}
            .dump();
    ASSERT_EQ(
        this->mesh.Send(this->mesh.admin_address(0), announcement)->status,
        200);
    ASSERT_TRUE(this->mesh.AwaitServed(this->entry, "/read"));
  };
  announce();
  loop.Spawn([&, backend = backends.back().get()] {
    while (runs == 0) {
      loop.SleepFor(milliseconds(1));
    }
    backend->Close();
  });
  this->Call("POST", "/claim");
  announce();
  runs = 0;
  this->Call("POST", "/claim");
  EXPECT_EQ(runs, 1);
  auto next = std::async(std::launch::async,
                         [this] { return this->Call("POST", "/claim"); });
  std::this_thread::sleep_for(seconds(1));
  EXPECT_EQ(runs, 1);
  next.wait();
  loop.Spawn([&] {
    backends.back()->Close();
    loop.Stop();
  });
  loop.Join();
}

TEST_F(CallPathTest, NoRouteMatches_OutcomeIsNotRun) {
  this->StartServing();
  const HttpResponse response = this->Call("GET", "/elsewhere");
  EXPECT_EQ(response.status, 404);
  EXPECT_EQ(OutcomeOf(response), "not-run no-route");
}

TEST_F(CallPathTest, LogDownSinceStart_OutcomeIsNodeNotReady) {
  LogFaults faults;
  faults.down = true;
  this->mesh.log().SetFaults(faults);
  this->entry = this->mesh.AddNode({});
  EXPECT_EQ(OutcomeOf(this->Call("GET", "/read")), "not-run node-not-ready");
}

TEST_F(CallPathTest, NodeShutsDownDuringCall_CallIsAnswered) {
  this->StartServing();
  this->SetBackendFaults(R"({"slow_factor": 60})");
  HttpResponse response;
  std::thread caller([&] { response = this->Call("POST", "/claim"); });
  // Waits until the call runs at the backend server.
  while (this->Stats()["running"] != 1) {
  }
  this->mesh.ShutDownNode(1);
  caller.join();
  EXPECT_EQ(OutcomeOf(response), "ok none");
}

}  // namespace
}  // namespace tanagerledge
