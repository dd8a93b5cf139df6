// Fuzzes a real process with messages that another writer may have sent: each
// field of heartbeats, node records, health answers and frames of peers is
// dropped, doubled, retyped or set to a value at its bounds or beyond, between
// good heartbeats. After each batch the process runs, the good backend server
// is served again, and at the end its leave is obeyed.
//
// FUZZ_SEED and FUZZ_SECONDS change the seed and the time.

#include <distribution_types.h>
#include <execution_types.h>
#include <membership_types.h>
#include <peer_types.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <limits>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "src/adapters/clock.h"
#include "src/adapters/codec.h"
#include "src/adapters/fiber_sync.h"
#include "src/adapters/peer_transport.h"
#include "tanagerledge/snapshot.h"
#include "tests/fuzz/mutation.h"
#include "tests/process/node_process_test.h"

namespace tanagerledge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

constexpr std::int64_t kMaxExactInteger = std::int64_t{1} << 53;
constexpr std::array<std::int64_t, 18> kIntegers = {
    0,
    1,
    -1,
    2,
    255,
    65'535,
    65'536,
    99'999,
    100'000,
    100'001,
    std::numeric_limits<std::int32_t>::max(),
    std::numeric_limits<std::int32_t>::min(),
    std::int64_t{1} << 32,
    kMaxExactInteger - 1,
    kMaxExactInteger,
    kMaxExactInteger + 1,
    std::numeric_limits<std::int64_t>::max(),
    std::numeric_limits<std::int64_t>::min()};

class HostileMessageFuzz : public NodeProcessTest {
 protected:
  HostileMessageFuzz()
      : seed(NumberFromEnvironment("FUZZ_SEED", 20261206)),
        random(this->seed),
        mutator(this->seed),
        identity{"test", {"127.0.0.1:1"}, {"a"}, {1}, {}},
        peer(this->loop, this->identity, this->handlers, this->counters) {}

  ~HostileMessageFuzz() override {
    RunOn(this->loop, Instant::max(), [this] {
      this->peer.Close();
      return 0;
    });
  }

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }
  template <typename Values>
  const auto& OneOf(const Values& values) {
    return values[this->Below(std::size(values))];
  }
  std::int64_t AnyInteger() { return this->OneOf(kIntegers); }
  std::int32_t AnyInt32() {
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(
        this->AnyInteger(), std::numeric_limits<std::int32_t>::min(),
        std::numeric_limits<std::int32_t>::max()));
  }
  std::string AnyText() {
    const std::array<std::string, 11> texts = {"",
                                               "archive",
                                               "ready",
                                               "draining",
                                               "127.0.0.1:1",
                                               "127.0.0.1:0",
                                               "127.0.0.1:65536",
                                               this->backend.address,
                                               this->node_address,
                                               std::string(5000, 'x'),
                                               std::string("\0\xff\n\"", 4)};
    return this->OneOf(texts);
  }

  // Heartbeats ----------------------------------------------------------------

  json AnyValue() {
    switch (this->Below(6)) {
      case 0:
        return nullptr;
      case 1:
        return this->Below(2) == 0;
      case 2:
        return json::array({this->AnyInteger()});
      case 3:
        return json::object({{"born", this->AnyInteger()}});
      case 4:
        return this->Below(2) == 0 ? 0.5 : 1e300;
      default:
        return this->AnyText().substr(0, 4);
    }
  }

  // Changes one field of the heartbeat in one way. A doubled field is returned
  // as text, to be put before the others or after them.
  std::string ChangeField(json& heartbeat) {
    const std::array<const char*, 9> fields = {
        "service", "address",           "zone",     "version", "slots",
        "state",   "cold_remaining_ms", "sequence", "born"};
    const char* field = this->OneOf(fields);
    if (!heartbeat.contains(field)) {
      return "";
    }
    json& value = heartbeat[field];
    switch (this->Below(4)) {
      case 0:
        heartbeat.erase(field);
        return "";
      case 1:
        value = this->AnyValue();
        return "";
      case 2:
        return "\"" + std::string(field) +
               "\":" + std::to_string(this->AnyInteger());
      default:
        if (std::string(field) == "born" && this->Below(2) == 0) {
          constexpr std::size_t kMaxAheadMs = 50'000;
          value = UnixMilliseconds() +
                  static_cast<std::int64_t>(this->Below(kMaxAheadMs));
        } else if (value.is_number()) {
          value = this->AnyInteger();
        } else {
          value = this->AnyText();
        }
        return "";
    }
  }

  // The leave of the backend server in its own name binds, whoever wrote it,
  // unless it has the birth time of another start.
  static bool IsLeave(const std::string& instance, const json& heartbeat) {
    return instance == kInstance &&
           heartbeat.value("state", json()) == "draining";
  }

  void SendOddHeartbeat() {
    json heartbeat = this->NextHeartbeat();
    std::string doubled = this->ChangeField(heartbeat);
    if (this->Below(2) == 0) {
      doubled += this->ChangeField(heartbeat);
    }
    const std::string instance = this->Below(3) == 0
                                     ? "i-odd-" + std::to_string(this->Below(5))
                                     : kInstance;
    if (IsLeave(instance, heartbeat)) {
      const std::int64_t other_start = this->Below(2) == 0 ? 1 : -1;
      heartbeat["born"] =
          this->NextHeartbeat()["born"].get<std::int64_t>() + other_start;
      doubled.clear();
    }
    std::string body =
        heartbeat.dump(-1, ' ', true, json::error_handler_t::replace);
    if (!doubled.empty()) {
      body = this->Below(2) == 0
                 ? "{" + doubled + "," + body.substr(1)
                 : body.substr(0, body.size() - 1) + "," + doubled + "}";
    }
    if (this->Below(8) == 0) {
      body = this->mutator.Mutate(body);
      if (body.find("draining") != std::string::npos) {
        return;
      }
    }
    this->SendToNode(body, instance);
  }

  void ChangeHealthAnswers() {
    const std::array<HttpResponse, 5> answers = {
        MakeResponse(200, "text/plain", ""), MakeResponse(503, "", ""),
        MakeResponse(204, "", ""), MakeResponse(500, "text/html", "\xff"),
        MakeResponse(200, "application/json", std::string(100'000, '['))};
    if (this->Below(2) == 0) {
      this->backend.ChangeHealthAnswers({});
      return;
    }
    HttpResponse answer = this->OneOf(answers);
    if (this->Below(2) == 0) {
      answer.headers.push_back({"X-Instance-Id", std::string(300, 'i')});
    }
    this->backend.ChangeHealthAnswers(
        [answer](const HttpResponse&) { return answer; });
  }

  // The list of nodes ---------------------------------------------------------

  void PutOddNodeRecord() {
    wire::NodeRecord record;
    record.zone = this->Below(2) == 0 ? "a" : this->AnyText();
    record.service_name = this->Below(2) == 0 ? "other" : this->AnyText();
    record.instance = this->Below(2) == 0 ? kInstance : this->AnyText();
    record.born_ms = this->AnyInteger();
    record.sequence = this->AnyInteger();
    record.address = this->AnyText();
    record.slots = this->AnyInt32();
    record.state = static_cast<std::int32_t>(this->Below(6)) - 1;
    wire::QuarantineRecord quarantine;
    quarantine.fingerprint = this->AnyInteger();
    quarantine.until_unix_ms =
        this->Below(2) == 0 ? this->AnyInteger() : UnixMilliseconds() + 1000;
    record.__set_quarantined({quarantine, quarantine});
    const std::string bytes = Encode(record);
    const std::array<std::string, 4> keys = {
        this->node_address, "127.0.0.1:2", "127.0.0.1:65536", "not an address"};
    this->PutNodeRecord(this->OneOf(keys), this->Below(3) == 0
                                               ? this->mutator.Mutate(bytes)
                                               : bytes);
  }

  // Frames of a peer ----------------------------------------------------------

  std::string OddCall() {
    wire::CallRequest call;
    call.service_name = this->Below(2) == 0 ? "archive" : this->AnyText();
    call.method = this->Below(2) == 0 ? "GET" : this->AnyText();
    call.target = "/x/odd";
    call.route = this->AnyText();
    call.attempt_id = "odd";
    call.remaining_us = this->AnyInteger();
    call.target_us = this->AnyInteger();
    call.priority = this->AnyInt32();
    call.depth = this->AnyInt32();
    call.send_id = this->AnyInteger();
    call.nested = this->Below(2) == 0;
    call.returning = this->Below(2) == 0;
    return Encode(call);
  }

  std::string OddQuestion() {
    wire::SendQuestion question;
    question.send_id = this->AnyInteger();
    question.incarnation = this->AnyInteger();
    question.remaining_us = this->AnyInteger();
    return Encode(question);
  }

  std::string OddCancel() {
    wire::SendCancel cancel;
    cancel.send_id = this->AnyInteger();
    return Encode(cancel);
  }

  std::string OddConfigQuestion() {
    wire::ConfigQuestion question;
    question.known_version = this->AnyInteger();
    return Encode(question);
  }

  std::string OddAnnouncement() {
    wire::ConfigAnswer notice;
    notice.version = this->AnyInteger();
    notice.content = this->AnyText();
    return Encode(notice);
  }

  std::string OddSync() {
    wire::MemberUpdate update;
    update.node = this->Below(2) == 0 ? "127.0.0.1:3" : this->AnyText();
    update.incarnation = this->AnyInteger();
    update.state = static_cast<std::int32_t>(this->Below(6)) - 1;
    update.__set_zone(this->AnyText());
    update.__set_version(this->AnyInt32());
    wire::Announcement announcement;
    announcement.service_name = "other";
    announcement.slots = this->AnyInt32();
    announcement.state = static_cast<std::int32_t>(this->Below(6)) - 1;
    announcement.age_ms = this->AnyInteger();
    update.__set_announcement(announcement);
    wire::SyncRequest sync;
    sync.bucket_count = this->AnyInt32();
    sync.buckets = {-1, 0, std::numeric_limits<std::int16_t>::max()};
    sync.updates = {update};
    wire::ReachQuery reach;
    reach.release = this->AnyInteger();
    wire::MembershipRequest request;
    request.fleet = "test";
    if (this->Below(2) == 0) {
      request.__set_sync(sync);
    } else {
      request.__set_reach(reach);
    }
    return Encode(request);
  }

  std::string OddSuspects() {
    wire::SuspectNews news;
    news.fingerprint = this->AnyInteger();
    wire::SuspectTell tell;
    tell.news = {news, news};
    wire::SuspectRequest request;
    request.__set_tell(tell);
    return Encode(request);
  }

  struct FrameKind {
    Channel channel;
    std::string (HostileMessageFuzz::*make)();
    bool is_request;
  };

  void SendOddFrame() {
    using Fuzz = HostileMessageFuzz;
    static constexpr std::array<FrameKind, 8> kFrames = {
        FrameKind{Channel::kCall, &Fuzz::OddCall, true},
        FrameKind{Channel::kSend, &Fuzz::OddQuestion, true},
        FrameKind{Channel::kSend, &Fuzz::OddCancel, false},
        FrameKind{Channel::kConfig, &Fuzz::OddConfigQuestion, true},
        FrameKind{Channel::kConfig, &Fuzz::OddAnnouncement, false},
        FrameKind{Channel::kMembership, &Fuzz::OddSync, true},
        FrameKind{Channel::kReach, &Fuzz::OddSync, true},
        FrameKind{Channel::kSuspects, &Fuzz::OddSuspects, true}};
    const FrameKind& kind = this->OneOf(kFrames);
    std::string bytes = (this->*kind.make)();
    if (this->Below(4) == 0) {
      bytes = this->mutator.Mutate(std::move(bytes));
    }
    RunOn(this->loop, Instant::max(), [this, &kind, &bytes] {
      if (kind.is_request) {
        constexpr milliseconds kAnswerTimeout{50};
        const auto answer = this->peer.Request(
            {this->node_address}, kind.channel, bytes, kAnswerTimeout);
        static_cast<void>(answer);
      } else {
        this->peer.Send({this->node_address}, kind.channel, bytes);
      }
      return 0;
    });
  }

  void SendBatch() {
    constexpr int kMessages = 60;
    constexpr std::size_t kKinds = 12;
    for (int i = 0; i < kMessages; ++i) {
      switch (this->Below(kKinds)) {
        case 0:
          this->ChangeHealthAnswers();
          break;
        case 1:
          this->PutOddNodeRecord();
          break;
        case 2:
        case 3:
        case 4:
        case 5:
          this->SendOddFrame();
          break;
        default:
          this->SendOddHeartbeat();
      }
    }
    this->backend.ChangeHealthAnswers({});
  }

  const std::uint64_t seed;

 private:
  std::mt19937_64 random;
  Mutator mutator;
  PeerIdentity identity;
  PeerHandlers handlers;
  PeerCounters counters;
  PeerTransport peer;
};

TEST_F(HostileMessageFuzz, AnyMessages_ServerIsServedOnAndItsLeaveIsObeyed) {
  const Instant until =
      Now() + seconds(NumberFromEnvironment("FUZZ_SECONDS", 20));
  for (int batch = 0; Now() < until; ++batch) {
    this->SendBatch();
    ASSERT_TRUE(this->IsRunning())
        << "seed " << this->seed << ", batch " << batch << "\n"
        << this->ReadLog();
    ASSERT_TRUE(this->Eventually([this] { return this->CallStatus() == 200; },
                                 seconds(5)))
        << "seed " << this->seed << ", batch " << batch << "\n"
        << this->ReadLog();
  }
  this->StopHeartbeats();
  std::this_thread::sleep_for(kHeartbeatPeriod);
  this->backend.leaving = true;
  json leave = this->NextHeartbeat();
  leave["state"] = "draining";
  ASSERT_EQ(this->SendToNode(leave.dump()), 200);
  std::this_thread::sleep_for(seconds(2));  // drain_ms
  const std::size_t ran = this->backend.Ran().size();
  const Instant end = Now() + seconds(1);
  while (Now() < end) {
    this->CallStatus();
  }
  EXPECT_EQ(this->backend.Ran().size(), ran) << "seed " << this->seed;
}

}  // namespace
}  // namespace tanagerledge
