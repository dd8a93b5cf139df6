// The HTTP server against callers that never end a request, and as it stops.

#include "src/adapters/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct EndlessRequest {
  const char* name;
  std::string begin;
  std::string again;
};

class EndlessRequestTest : public testing::TestWithParam<EndlessRequest> {
 protected:
  // Sends until the server closes the connection; the bytes that it took.
  std::size_t SendUntilClosed(const tcp::endpoint& server) {
    tcp::socket socket(this->loop.context());
    socket.connect(server);
    std::string out = GetParam().begin;
    constexpr std::size_t kBurst = 16 * 1024;
    while (out.size() < kBurst) {
      out += GetParam().again;
    }
    const std::string more = out.substr(GetParam().begin.size());
    std::size_t sent = 0;
    bool open = true;
    while (open) {
      const auto written = Await<std::size_t>([&](auto handler) {
        boost::asio::async_write(socket, boost::asio::buffer(out),
                                 std::move(handler));
      });
      sent += written.value;
      open = !written.error;
      out = more;
    }
    return sent;
  }

  IoLoop loop;
};

TEST_P(EndlessRequestTest, BytesWithoutEnd_AreCutAtTheLimitsNotAtTheTimeout) {
  HttpLimits limits;
  limits.max_header_bytes = 16 * 1024;
  limits.max_body_bytes = 64 * 1024;
  limits.read_timeout = seconds(10);
  limits.idle_timeout = seconds(10);
  int handled = 0;
  HttpServer server(this->loop, HttpServer::Handler([&](const HttpRequest&) {
                      ++handled;
                      return std::optional(MakeResponse(200, "a/b", ""));
                    }),
                    limits);
  const auto bound = server.Accept(*ParseAddress("127.0.0.1:0"));
  ASSERT_TRUE(bound.has_value());
  this->loop.Spawn([&] {
    const auto began = std::chrono::steady_clock::now();
    // Beside the limits, what the sockets of both sides hold.
    EXPECT_LT(this->SendUntilClosed(*bound), 16U * 1024 * 1024);
    EXPECT_LT(std::chrono::steady_clock::now() - began, seconds(2));
    server.Close();
    this->loop.Stop();
  });
  this->loop.Run();
  EXPECT_EQ(handled, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Callers,
    EndlessRequestTest,
    testing::Values(
        EndlessRequest{"HeaderLine", "GET / HTTP/1.1\r\nA: ", "aaaaaaaa"},
        EndlessRequest{"Headers", "GET / HTTP/1.1\r\n", "A: b\r\n"},
        EndlessRequest{"Target", "GET /", "aaaaaaaa"},
        EndlessRequest{"Chunks",
                       "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "4\r\naaaa\r\n"},
        EndlessRequest{
            "ChunkExtension",
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
            "aaaaaaaa"},
        EndlessRequest{
            "Trailer",
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n"}),
    [](const testing::TestParamInfo<EndlessRequest>& request) {
      return request.param.name;
    });

// A server that stops, and a caller on the same loop: the server has no turn
// between two steps of the caller that do not wait.
class StoppingServerTest : public testing::Test {
 protected:
  static constexpr std::string_view kRequest =
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  static constexpr std::string_view kBody = "the whole body";

  // Runs the steps of a caller that has just opened a connection.
  void Run(const std::function<void(tcp::socket& caller)>& steps) {
    const auto bound = this->server.Accept(*ParseAddress("127.0.0.1:0"));
    ASSERT_TRUE(bound.has_value());
    this->loop.Spawn([&] {
      this->loop.SleepFor(milliseconds(20));  // Until the server accepts.
      tcp::socket caller(this->loop.context());
      caller.open(tcp::v4());
      caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
      caller.connect(*bound);
      steps(caller);
      this->server.Close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  static void Send(tcp::socket& caller) {
    boost::asio::write(caller, boost::asio::buffer(kRequest));
  }

  // What the caller reads until `end` has come or the connection has ended.
  std::string ReadUntil(tcp::socket& caller,
                        std::string_view end,
                        milliseconds pause = milliseconds(0)) {
    std::string all;
    std::string chunk(16 * 1024, '\0');
    IoResult<std::size_t> read;
    while (!read.error && !(all.size() > end.size() && all.ends_with(end))) {
      read = Await<std::size_t>([&](auto handler) {
        caller.async_read_some(boost::asio::buffer(chunk), std::move(handler));
      });
      all.append(chunk, 0, read.value);
      this->loop.SleepFor(pause);
    }
    return all;
  }

  IoLoop loop;
  std::string body{kBody};
  HttpServer server{
      this->loop, HttpServer::Handler([this](const HttpRequest&) {
        return std::optional(MakeResponse(200, "a/b", this->body));
      })};
};

TEST_F(StoppingServerTest, IdleConnectionClosed_RequestUnreadInIt_IsAnswered) {
  this->Run([this](tcp::socket& caller) {
    Send(caller);
    EXPECT_TRUE(this->ReadUntil(caller, kBody).ends_with(kBody));
    Send(caller);
    this->server.CloseIdle();
    EXPECT_TRUE(this->ReadUntil(caller, kBody).ends_with(kBody));
  });
}

TEST_F(StoppingServerTest, IdleConnectionClosed_RequestHalfSent_IsAnswered) {
  this->Run([this](tcp::socket& caller) {
    boost::asio::write(caller, boost::asio::buffer(kRequest.substr(0, 9)));
    this->loop.SleepFor(milliseconds(20));
    this->server.CloseIdle();
    boost::asio::write(caller, boost::asio::buffer(kRequest.substr(9)));
    EXPECT_TRUE(this->ReadUntil(caller, kBody).ends_with(kBody));
  });
}

TEST_F(StoppingServerTest, IdleConnectionsClosed_NothingSent_CallerSeesTheEnd) {
  this->Run([this](tcp::socket& caller) {
    Send(caller);
    EXPECT_TRUE(this->ReadUntil(caller, kBody).ends_with(kBody));
    this->loop.SleepFor(milliseconds(20));
    this->server.CloseIdle();
    EXPECT_EQ(this->ReadUntil(caller, kBody), "");
    this->loop.SleepFor(milliseconds(20));
    EXPECT_EQ(this->server.open_connections(), 0U);
  });
}

TEST_F(StoppingServerTest, ListenerClosed_RequestOfAWaitingCaller_IsAnswered) {
  this->Run([this](tcp::socket& caller) {
    Send(caller);
    this->server.Drain();
    EXPECT_TRUE(this->ReadUntil(caller, kBody).ends_with(kBody));
  });
}

// Closing a socket with unread bytes drops what it still has to send.
TEST_F(StoppingServerTest, LastAnswer_CallerSentMoreMeanwhile_ArrivesWhole) {
  this->body = std::string(2'000'000, 'a') + "end";
  this->server.CloseAfterAnswer();
  this->Run([this](tcp::socket& caller) {
    Send(caller);
    this->loop.SleepFor(milliseconds(20));
    Send(caller);
    EXPECT_GT(this->ReadUntil(caller, "end", milliseconds(1)).size(),
              this->body.size());
  });
}

TEST_F(StoppingServerTest, CallerAsksToClose_SentMoreMeanwhile_ArrivesWhole) {
  this->body = std::string(2'000'000, 'a') + "end";
  this->Run([this](tcp::socket& caller) {
    const std::string request =
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    this->loop.SleepFor(milliseconds(20));
    boost::asio::write(caller, boost::asio::buffer("\r\n", 2));
    EXPECT_GT(this->ReadUntil(caller, "end", milliseconds(1)).size(),
              this->body.size());
  });
}

// The second request has been taken from the socket and is not parsed yet.
TEST_F(StoppingServerTest, ConnectionClosedAsARequestIsRead_IsNotHandled) {
  int handled = 0;
  HttpServer slow(this->loop, HttpServer::Handler([&](const HttpRequest&) {
                    ++handled;
                    this->loop.SleepFor(milliseconds(50));
                    return std::optional(MakeResponse(200, "a/b", this->body));
                  }));
  const auto bound = slow.Accept(*ParseAddress("127.0.0.1:0"));
  this->loop.Spawn([&] {
    tcp::socket caller(this->loop.context());
    caller.connect(*bound);
    Send(caller);
    this->loop.SleepFor(milliseconds(25));
    Send(caller);
    bool read = false;
    this->loop.SpawnHere([&] {
      while (!read) {
        slow.CloseIdle();
        boost::this_fiber::yield();
      }
    });
    const std::string answers = this->ReadUntil(caller, "never");
    read = true;
    this->loop.SleepFor(milliseconds(100));
    EXPECT_EQ(handled, 1);
    EXPECT_TRUE(answers.ends_with(kBody));
    slow.Close();
    this->loop.Stop();
  });
  this->loop.Run();
}

}  // namespace
}  // namespace tanagerledge
