// PeerTransport on loopback: replies, peers that are rejected, and whether
// kNotSent is reported only for requests that never left the node.

#include "src/adapters/peer_transport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tanagerledge {
namespace {

using std::chrono::milliseconds;

class PeerTransportTest : public testing::Test {
 protected:
  struct Side {
    PeerIdentity identity;
    PeerHandlers handlers;
    PeerCounters counters;
    std::unique_ptr<PeerTransport> transport;
  };

  void SetUp() override {
    this->client.identity = {"fleet", {"client"}, {"zone-a"}, {1}, {}};
    this->server.identity = {"fleet", {"server"}, {"zone-b"}, {1}, {}};
    this->OnRequest([](const NodeId& from, std::string_view request, Instant) {
      return from.value + ":" + std::string(request);
    });
  }

  void OnRequest(PeerPort::RequestHandler handler) {
    this->server.handlers.on_request[static_cast<int>(Channel::kCall)] =
        std::move(handler);
  }

  // Runs `body` in a fiber with a listening server, then closes client and
  // server.
  void Run(const std::function<void(const NodeId& server)>& body) {
    for (Side* side : {&this->client, &this->server}) {
      side->transport = std::make_unique<PeerTransport>(
          this->loop, side->identity, side->handlers, side->counters);
    }
    const auto bound = this->server.transport->Accept(Loopback());
    ASSERT_TRUE(bound.has_value());
    this->loop.Spawn([&] {
      body(NodeId{FormatAddress(*bound)});
      this->client.transport->Close();
      this->server.transport->Close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  static boost::asio::ip::tcp::endpoint Loopback() {
    return *ParseAddress("127.0.0.1:0");
  }

  auto SendRequest(const NodeId& to,
                   std::string request,
                   milliseconds timeout) {
    return this->client.transport->Request(to, Channel::kCall,
                                           std::move(request), timeout);
  }

  IoLoop loop;
  Side client;
  Side server;
};

// Guards against a connection that is opened while the transport closes: it was
// never closed, its fiber kept reading, and the stopped node's process did not
// exit (found by soak seed 86).
TEST_F(PeerTransportTest, ClosedBeforeConnecting_NoConnectionIsOpened) {
  this->Run([&](const NodeId& to) {
    this->client.transport->Connect(to);
    this->client.transport->Close();
    this->loop.SleepFor(milliseconds(100));
    EXPECT_EQ(this->client.counters.connects.load(), 0U);
  });
}

TEST_F(PeerTransportTest, Request_HandlerGetsSenderAndReplyIsReturned) {
  this->Run([this](const NodeId& to) {
    const auto reply = this->SendRequest(to, "hello", milliseconds(2000));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(*reply, "client:hello");
  });
}

TEST_F(PeerTransportTest, LargeRequest_ArrivesComplete) {
  const std::string large(1'000'000, 'x');
  this->Run([&](const NodeId& to) {
    const auto reply = this->SendRequest(to, large, milliseconds(5000));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->size(), large.size() + std::string("client:").size());
  });
}

// The reply is too long for a frame; another request shares the connection.
TEST_F(PeerTransportTest, ReplyTooLongForAFrame_OtherRequestsAreReplied) {
  this->OnRequest([this](const NodeId&, std::string_view request, Instant) {
    this->loop.SleepFor(milliseconds(request == "long" ? 20 : 100));
    return std::string(request == "long" ? kMaxFrameBytes + 1 : 5, 'x');
  });
  this->Run([&](const NodeId& to) {
    bool replied = false;
    boost::fibers::fiber other([&] {
      replied = this->SendRequest(to, "other", milliseconds(2000)).has_value();
    });
    const auto reply = this->SendRequest(to, "long", milliseconds(2000));
    EXPECT_EQ(reply.value_or("none"), "");
    other.join();
    EXPECT_TRUE(replied);
    EXPECT_EQ(this->client.counters.connects.load(), 1U);
  });
}

TEST_F(PeerTransportTest, NoListener_RequestIsNotSent) {
  this->Run([this](const NodeId&) {
    const auto reply =
        this->SendRequest({"127.0.0.1:1"}, "hello", milliseconds(2000));
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, PeerErrorKind::kNotSent);
  });
}

TEST_F(PeerTransportTest, DrainDuringReply_ReplyIsComplete) {
  const std::string large(4'000'000, 'x');
  bool replied = false;
  this->OnRequest([&](const NodeId&, std::string_view, Instant) {
    replied = true;
    return large;
  });
  this->Run([&](const NodeId& to) {
    this->loop.SpawnHere([&] {
      while (!replied) {
        boost::this_fiber::yield();
      }
      boost::this_fiber::yield();
      this->server.transport->DrainAndClose();
    });
    const auto reply = this->SendRequest(to, "hello", milliseconds(5000));
    ASSERT_TRUE(reply.has_value()) << reply.error().text;
    EXPECT_EQ(reply->size(), large.size());
    this->loop.SleepFor(milliseconds(100));
    EXPECT_EQ(this->server.transport->connections(), 0U);
  });
}

TEST_F(PeerTransportTest, CancelRequests_WaitersFailImmediately) {
  this->OnRequest([this](const NodeId&, std::string_view, Instant) {
    this->loop.SleepFor(milliseconds(500));
    return std::string();
  });
  this->Run([&](const NodeId& to) {
    ASSERT_TRUE(this->SendRequest(to, "greet", milliseconds(2000)).has_value());
    this->loop.SpawnHere([&] {
      this->loop.SleepFor(milliseconds(100));
      this->client.transport->CancelRequests();
    });
    const auto began = std::chrono::steady_clock::now();
    const auto reply = this->SendRequest(to, "hello", milliseconds(2000));
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, PeerErrorKind::kLost);
    EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(400));
  });
}

// A cancellation may arrive in the same read as the call that it cancels. It
// must not wait for the fibers of the calls before it; the receiver keeps it
// for a call that has not begun.
TEST_F(PeerTransportTest, MessageRightBehindARequest_IsHandledBeforeItsFiber) {
  std::vector<std::string> received;
  this->OnRequest([&](const NodeId&, std::string_view request, Instant) {
    received.emplace_back(request);
    return std::string();
  });
  this->server.handlers.on_message[static_cast<int>(Channel::kCall)] =
      [&](const NodeId&, std::string_view message) {
        received.emplace_back(message);
      };
  this->Run([&](const NodeId& to) {
    ASSERT_TRUE(this->SendRequest(to, "greet", milliseconds(2000)).has_value());
    // Frames that are sent while a large frame is being written leave together.
    this->client.transport->Send(to, Channel::kReach,
                                 std::string(500'000, 'x'));
    this->loop.SpawnHere(
        [&] { this->SendRequest(to, "call", milliseconds(2000)); });
    boost::this_fiber::yield();
    this->client.transport->Send(to, Channel::kCall, "cancel");
    this->loop.SleepFor(milliseconds(200));
  });
  EXPECT_EQ(received, (std::vector<std::string>{"greet", "cancel", "call"}));
}

// A request that waits for its fiber has arrived before.
TEST_F(PeerTransportTest, RequestWaitsForItsFiber_HandlerLearnsWhenItArrived) {
  constexpr milliseconds kHeldUp{50};
  milliseconds longest_wait{0};
  this->OnRequest([&](const NodeId&, std::string_view, Instant arrived) {
    longest_wait =
        std::max(longest_wait, std::chrono::duration_cast<milliseconds>(
                                   std::chrono::steady_clock::now() - arrived));
    std::this_thread::sleep_for(kHeldUp);  // Holds up the loop.
    return std::string();
  });
  this->Run([&](const NodeId& to) {
    ASSERT_TRUE(this->SendRequest(to, "greet", milliseconds(2000)).has_value());
    for (int call = 0; call < 3; ++call) {
      this->loop.SpawnHere(
          [&] { this->SendRequest(to, "call", milliseconds(2000)); });
    }
    this->loop.SleepFor(4 * kHeldUp);
  });
  EXPECT_GE(longest_wait, kHeldUp);
}

// The fibers of many calls are ready before the cancellation arrives.
TEST_F(PeerTransportTest, MessageDuringManyCalls_IsHandledBeforeTheyAllRan) {
  constexpr int kCalls = 100;
  int begun = 0;
  int begun_at_message = 0;
  NodeId node;
  this->OnRequest([&](const NodeId&, std::string_view, Instant) {
    if (++begun == 5) {
      this->client.transport->Send(node, Channel::kCall, "cancel");
    }
    std::this_thread::sleep_for(milliseconds(2));
    return std::string();
  });
  this->server.handlers.on_message[static_cast<int>(Channel::kCall)] =
      [&](const NodeId&, std::string_view) { begun_at_message = begun; };
  this->Run([&](const NodeId& to) {
    node = to;
    ASSERT_TRUE(this->SendRequest(to, "greet", milliseconds(2000)).has_value());
    for (int call = 0; call < kCalls; ++call) {
      this->loop.SpawnHere(
          [&] { this->SendRequest(to, "call", milliseconds(2000)); });
    }
    this->loop.SleepFor(milliseconds(500));
  });
  EXPECT_EQ(begun, kCalls + 1);
  EXPECT_LT(begun_at_message, kCalls / 2);
}

TEST_F(PeerTransportTest, NoReplyBeforeTimeout_RequestIsLost) {
  this->OnRequest([this](const NodeId&, std::string_view, Instant) {
    this->loop.SleepFor(milliseconds(200));
    return std::string();
  });
  this->Run([this](const NodeId& to) {
    const auto reply = this->SendRequest(to, "hello", milliseconds(50));
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, PeerErrorKind::kLost);
  });
}

TEST_F(PeerTransportTest, TimeoutBeforeDelayedFrameIsSent_FrameIsNeverSent) {
  int arrived = 0;
  this->OnRequest([&](const NodeId&, std::string_view, Instant) {
    ++arrived;
    return std::string();
  });
  this->client.identity.one_way_delay[{"zone-b"}] = milliseconds(30);
  this->Run([&](const NodeId& to) {
    // With the first request the Hellos are exchanged, so that the peer's zone
    // and its delay are known.
    ASSERT_TRUE(this->SendRequest(to, "greet", milliseconds(2000)).has_value());
    const auto reply = this->SendRequest(to, "late", milliseconds(5));
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, PeerErrorKind::kNotSent);
    ASSERT_TRUE(this->SendRequest(to, "last", milliseconds(2000)).has_value());
  });
  EXPECT_EQ(arrived, 2);
}

TEST_F(PeerTransportTest, OtherFleet_IsRejectedAndCounted) {
  this->client.identity.fleet = "stranger";
  this->Run([this](const NodeId& to) {
    EXPECT_FALSE(this->SendRequest(to, "hello", milliseconds(500)).has_value());
  });
  EXPECT_EQ(this->server.counters.hellos_rejected.load(), 1u);
}

TEST_F(PeerTransportTest, Garbage_ClosesOnlyThatConnection) {
  this->Run([this](const NodeId& to) {
    boost::asio::ip::tcp::socket socket(this->loop.context());
    socket.connect(*ParseAddress(to.value));
    const std::string garbage = "GET / HTTP/1.1\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(garbage));
    char byte = 0;
    // The server sends its Hello, then closes the connection.
    const auto end = Await<std::size_t>([&](auto done) {
      socket.async_read_some(boost::asio::buffer(&byte, 1), std::move(done));
    });
    EXPECT_FALSE(end.error);
    EXPECT_TRUE(this->SendRequest(to, "hello", milliseconds(2000)).has_value());
  });
  EXPECT_EQ(this->server.counters.bad_frames.load(), 1u);
}

// Records the bytes that a sender writes and replays them, truncated at each
// byte.
TEST_F(PeerTransportTest, ConnectionEndsInsideFrame_RequestIsNotRun) {
  int handled = 0;
  this->OnRequest([&handled](const NodeId&, std::string_view request, Instant) {
    ++handled;
    return std::string(request);
  });
  this->Run([&](const NodeId& to) {
    using boost::asio::ip::tcp;
    tcp::acceptor recorder(this->loop.context(), Loopback());
    std::string bytes;
    this->loop.SpawnHere([&] {
      tcp::socket socket(this->loop.context());
      AwaitError(
          [&](auto done) { recorder.async_accept(socket, std::move(done)); });
      Await<std::size_t>([&](auto done) {
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(bytes),
                                std::move(done));
      });
    });
    const NodeId silent{FormatAddress(recorder.local_endpoint())};
    EXPECT_FALSE(
        this->SendRequest(silent, "request", milliseconds(100)).has_value());
    this->client.transport->Close();
    this->loop.SleepFor(milliseconds(20));
    ASSERT_TRUE(bytes.ends_with("request"));
    const auto send = [&](std::size_t sent, bool reset) {
      tcp::socket socket(this->loop.context());
      socket.connect(*ParseAddress(to.value));
      const std::string part = bytes.substr(0, sent);
      Await<std::size_t>([&](auto done) {
        boost::asio::async_write(socket, boost::asio::buffer(part),
                                 std::move(done));
      });
      socket.set_option(boost::asio::socket_base::linger(reset, 0));
      socket.close();
      this->loop.SleepFor(milliseconds(2));
    };
    for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
      send(sent, false);
      send(sent, true);
      EXPECT_EQ(handled, 0) << "after " << sent << " of " << bytes.size();
    }
    send(bytes.size(), false);
    this->loop.SleepFor(milliseconds(50));
    EXPECT_EQ(handled, 1);
  });
}

}  // namespace
}  // namespace tanagerledge
