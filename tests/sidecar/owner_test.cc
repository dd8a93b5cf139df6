// The owner beside a faulty backend server: which of the answers on a kept
// connection is taken for the answer to a call or a health check.

#include "src/sidecar/owner.h"

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/scripted_backend.h"
#include "platform/platform.h"
#include "src/node/call_messages.h"

namespace tanagerledge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Part = ScriptedBackend::Part;

class NoPeers : public PeerPort {
 public:
  void Send(const NodeId&, Channel, std::string) override {}
  tl::expected<std::string, PeerError> Request(const NodeId&,
                                               Channel,
                                               std::string,
                                               microseconds) override {
    return tl::unexpected(PeerError{});
  }
};

// A status and the fields behind it, without the attempt's id.
struct Refusal {
  const char* name;
  std::string head;
};

std::string Answer(const std::string& head,
                   const std::string& attempt_id,
                   const std::string& body = "") {
  const std::string echo =
      attempt_id.empty() ? "" : "X-Attempt-Id: " + attempt_id + "\r\n";
  return "HTTP/1.1 " + head + "\r\n" + echo +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Success(const std::string& attempt_id) {
  return Answer("200 OK\r\nX-Server-Stamp: s", attempt_id, "ran " + attempt_id);
}

class OwnerTest : public testing::Test {
 protected:
  static constexpr milliseconds kPatience{400};

  // Runs `work` in a fiber, with the backend server known and `script` its
  // answers.
  template <typename Work>
  void WithBackend(ScriptedBackend::Script script, Work work) {
    this->backend =
        std::make_unique<ScriptedBackend>(this->loop, std::move(script));
    this->Run([this, work] {
      this->Beat();
      work();
    });
  }

  // Runs `work` in a fiber until it ends; the backend server is there.
  template <typename Work>
  void Run(Work work) {
    this->loop.Spawn([this, work] {
      work();
      this->owner.Close();
      this->backend->Close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  Heartbeat BeatOf(const std::string& instance) {
    Heartbeat beat;
    beat.instance = instance;
    beat.born_ms = 1000;
    beat.sequence = ++this->beats;
    beat.service = {"claims"};
    beat.address = this->backend->address();
    beat.slots = 4;
    return beat;
  }

  void Beat() { this->owner.OnHeartbeat(this->BeatOf("i-1")); }

  wire::CallReply Call(const std::string& attempt_id) {
    wire::CallRequest request;
    request.service_name = "claims";
    request.method = "POST";
    request.target = "/x/1";
    request.route = "claims";
    request.attempt_id = attempt_id;
    request.remaining_us = microseconds(kPatience).count();
    request.target_us = request.remaining_us;
    request.send_id = ++this->sends;
    return this->owner.Run({"peer"}, request);
  }

  static void ExpectNotRun(const wire::CallReply& reply) {
    EXPECT_EQ(ToText(OutcomeOf(reply)), ToText(Outcome::kNotRun))
        << reply.detail;
  }

  static void ExpectRan(const wire::CallReply& reply,
                        const std::string& attempt_id) {
    EXPECT_EQ(ToText(OutcomeOf(reply)), ToText(Outcome::kOk)) << reply.detail;
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "ran " + attempt_id);
  }

  IoLoop loop;
  NoPeers peers;
  const platform::Platform platform{};
  EventLog events{"test"};
  SuspectHost suspects{this->loop, this->peers, {"self"}};
  Owner owner{this->loop, this->platform, this->suspects, this->events, {},
              {1}};
  std::unique_ptr<ScriptedBackend> backend;
  std::uint64_t beats = 0;
  std::int64_t sends = 0;
};

// Asked about the backend server before it, the backend server says its name;
// asked after its leave, it says so again before the true answer.
TEST_F(OwnerTest, HealthAnswerRepeatedAfterTheLeave_DoesNotBringItBack) {
  const std::string well = Answer("200 OK\r\nX-Instance-Id: i-1", "");
  bool left = false;
  this->backend = std::make_unique<ScriptedBackend>(
      this->loop, [&](const HttpRequest&, int nth) -> std::vector<Part> {
        const std::string leaving = Answer("503 Service Unavailable", "");
        if (!left) {
          return {{well}};
        }
        return nth == 0 ? std::vector<Part>{{leaving}}
                        : std::vector<Part>{{well}, {leaving}};
      });
  this->Run([&] {
    this->owner.RunConfirm(this->BeatOf("i-0"), "/health");
    this->owner.OnGoodbye("i-1");
    left = true;
    const Heartbeat late = this->BeatOf("i-1");
    EXPECT_EQ(this->owner.OnHeartbeat(late), HeartbeatVerdict::kUnproved);
    this->owner.RunConfirm(late, "/health");
    EXPECT_FALSE(this->owner.backend().has_value());
    ExpectNotRun(this->Call("a-1"));
  });
}

TEST_F(OwnerTest, HealthAnswer_BringsTheBackendBack) {
  this->backend = std::make_unique<ScriptedBackend>(
      this->loop, [](const HttpRequest& request, int) -> std::vector<Part> {
        return request.target == "/health"
                   ? std::vector<Part>{{Answer("200 OK\r\nX-Instance-Id: i-1",
                                               "")}}
                   : std::vector<Part>{{Success("a-1")}};
      });
  this->Run([&] {
    this->owner.RunConfirm(this->BeatOf("i-1"), "/health");
    ExpectRan(this->Call("a-1"), "a-1");
  });
}

// One suspect runs at a time, the next one waits for its turn.
TEST_F(OwnerTest, SuspectWaitsAtTheEndOfAStop_IsRefusedAsNotRun) {
  this->WithBackend(
      [](const HttpRequest&, int) {
        return std::vector<Part>{{Success("a-1"), 2 * kPatience}};
      },
      [&] {
        this->suspects.ReportBackendDeath(
            {FingerprintOf({""}, "POST", "/x/1", "")});
        wire::CallReply running;
        std::optional<wire::CallReply> waiting;
        boost::fibers::fiber first([&] { running = this->Call("a-1"); });
        boost::fibers::fiber second([&] { waiting = this->Call("a-2"); });
        this->loop.SleepFor(kPatience / 4);
        EXPECT_FALSE(waiting.has_value());
        this->owner.GiveUp();
        this->loop.SleepFor(kPatience / 4);
        EXPECT_TRUE(waiting.has_value());
        first.join();
        second.join();
        ExpectNotRun(*waiting);
        EXPECT_EQ(ToText(OutcomeOf(running)), ToText(Outcome::kUnknown));
      });
}

class RepeatedRefusalTest : public OwnerTest,
                            public testing::WithParamInterface<Refusal> {
 protected:
  // Refuses `first`, then calls `second`: for it the backend server writes
  // `again` while it runs it, and then the true answer.
  void RefuseThenRun(const std::string& second, const std::string& again) {
    const std::string refusal = Answer(GetParam().head, "a-1");
    this->WithBackend(
        [&](const HttpRequest& request, int nth) -> std::vector<Part> {
          const std::string id(request.Header("X-Attempt-Id"));
          if (++this->requests == 1) {
            return {{refusal}};
          }
          if (nth == 0) {  // A connection that has brought nothing before.
            return {{Success(id), milliseconds(20)}};
          }
          return {{again, milliseconds(10)}, {Success(id), milliseconds(20)}};
        },
        [&] {
          ExpectNotRun(this->Call("a-1"));
          this->Beat();  // After a 421 the backend server counts as replaced.
          ExpectRan(this->Call(second), second);
          // What has come meanwhile disturbs no later call.
          this->Beat();
          ExpectRan(this->Call("a-3"), "a-3");
        });
  }

  // Refuses `a-1` with the bytes of `parts`, then runs what comes.
  void RefuseWith(std::vector<Part> parts, milliseconds pause) {
    this->WithBackend(
        [&, parts](const HttpRequest& request, int) -> std::vector<Part> {
          const std::string id(request.Header("X-Attempt-Id"));
          return ++this->requests == 1
                     ? parts
                     : std::vector<Part>{{Success(id), milliseconds(20)}};
        },
        [&] {
          ExpectNotRun(this->Call("a-1"));
          this->loop.SleepFor(pause);
          this->Beat();
          ExpectRan(this->Call("a-2"), "a-2");
        });
  }

  int requests = 0;
};

TEST_P(RepeatedRefusalTest, BehindTheRefusalItself_IsNotTakenForTheNextCall) {
  const std::string refusal = Answer(GetParam().head, "a-1");
  this->RefuseWith({{refusal + refusal}}, milliseconds(0));
}

TEST_P(RepeatedRefusalTest, OnAnIdleConnection_IsNotTakenForTheNextCall) {
  const std::string refusal = Answer(GetParam().head, "a-1");
  this->RefuseWith({{refusal}, {refusal, milliseconds(20)}}, milliseconds(60));
}

// Nothing else comes: the backend server may still run it.
TEST_P(RepeatedRefusalTest, WithoutAnIdAndNoOtherAnswer_MayHaveRun) {
  this->WithBackend(
      [](const HttpRequest&, int) {
        return std::vector<Part>{{Answer(GetParam().head, "")}};
      },
      [&] {
        const wire::CallReply reply = this->Call("a-1");
        EXPECT_EQ(ToText(OutcomeOf(reply)), ToText(Outcome::kUnknown));
      });
}

TEST_P(RepeatedRefusalTest, WithTheEarlierId_IsNotTakenForTheNextCall) {
  this->RefuseThenRun("a-2", Answer(GetParam().head, "a-1"));
}

TEST_P(RepeatedRefusalTest, WithoutAnId_IsNotTakenForTheNextCall) {
  this->RefuseThenRun("a-2", Answer(GetParam().head, ""));
}

// Calls of a request that runs again may come with the ids that they had.
TEST_P(RepeatedRefusalTest, OfTheSameAttempt_IsNotTakenForItsNextSend) {
  this->RefuseThenRun("a-1", Answer(GetParam().head, "a-1"));
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    RepeatedRefusalTest,
    testing::Values(
        Refusal{"Full", "503 Service Unavailable\r\nX-Not-Executed: 1"},
        Refusal{"TooMany", "429 Too Many Requests\r\nX-Not-Executed: 1"},
        Refusal{"TimedOut", "408 Request Timeout\r\nX-Not-Executed: 1"},
        Refusal{"Misdirected", "421 Misdirected Request\r\nX-Not-Executed: 1"},
        Refusal{"MisdirectedByStatus", "421 Misdirected Request"}),
    [](const testing::TestParamInfo<Refusal>& refusal) {
      return std::string(refusal.param.name);
    });

}  // namespace
}  // namespace tanagerledge
