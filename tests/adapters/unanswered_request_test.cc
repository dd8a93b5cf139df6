// Reports of the HTTP server about requests that end without a response.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/adapters/clock.h"
#include "src/adapters/http_server.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

class UnansweredRequestTest : public testing::Test {
 protected:
  // Sends one request, waits, and runs `end`. Returns the stages of the
  // unanswered requests that the server reports.
  std::vector<UnansweredRequest::Stage> Send(
      const HttpServer::DisconnectAwareHandler& handler,
      const std::function<void(HttpServer&, tcp::socket&)>& end) {
    std::vector<UnansweredRequest::Stage> reported;
    HttpServer server(this->loop, handler);
    server.SetUnansweredObserver(
        [&](const HttpRequest&, const UnansweredRequest& what) {
          reported.push_back(what.stage);
        });
    const auto bound = server.Accept(*ParseAddress("127.0.0.1:0"));
    EXPECT_TRUE(bound.has_value());
    this->loop.Spawn([&] {
      tcp::socket socket(this->loop.context());
      socket.connect(*bound);
      const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
      boost::asio::write(socket, boost::asio::buffer(request));
      this->loop.SleepFor(milliseconds(50));
      end(server, socket);
      this->loop.SleepFor(milliseconds(200));
      this->counts_at_end = server.CountConnections();
      server.Close();
      this->loop.Stop();
    });
    this->loop.Run();
    return reported;
  }

  std::optional<HttpResponse> RespondLate() {
    this->loop.SleepFor(milliseconds(100));
    return MakeResponse(200, "a/b", "late");
  }

  IoLoop loop;
  HttpServer::ConnectionCounts counts_at_end;
};

TEST_F(UnansweredRequestTest, AnsweredRequest_NothingIsReported) {
  const auto reported =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->RespondLate(); },
                 [](HttpServer&, tcp::socket&) {});
  EXPECT_TRUE(reported.empty());
  EXPECT_EQ(this->counts_at_end.idle, 1U);
}

TEST_F(UnansweredRequestTest, CallerClosesFirst_ReportsCallerDisconnected) {
  const auto reported =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->RespondLate(); },
                 [](HttpServer&, tcp::socket& socket) { socket.close(); });
  EXPECT_EQ(reported,
            std::vector{UnansweredRequest::Stage::kCallerDisconnected});
}

TEST_F(UnansweredRequestTest, ServerClosesDuringCall_ReportsWriteFailed) {
  const auto reported =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->RespondLate(); },
                 [](HttpServer& server, tcp::socket&) { server.Close(); });
  EXPECT_EQ(reported, std::vector{UnansweredRequest::Stage::kWriteFailed});
}

TEST_F(UnansweredRequestTest, HandlerReturnsNoResponse_IsReported) {
  const auto reported = this->Send(
      [](const HttpRequest&, DisconnectNotifier&) {
        return std::optional<HttpResponse>();
      },
      [](HttpServer&, tcp::socket&) {});
  EXPECT_EQ(reported, std::vector{UnansweredRequest::Stage::kNoResponse});
}

// Callers that leave ---------------------------------------------------------

enum class Departure { kClose, kHalfClose, kReset };

struct LeavingCaller {
  const char* name;
  int requests = 1;  // The others are sent while the first one runs.
  Departure departure = Departure::kClose;
  milliseconds stays{0};  // From sending the requests to leaving.
};

class LeavingCallerTest : public testing::TestWithParam<LeavingCaller> {
 protected:
  static constexpr milliseconds kWork{100};

  static void Leave(tcp::socket& socket, Departure departure) {
    boost::system::error_code ignored;
    if (departure == Departure::kHalfClose) {
      socket.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (departure == Departure::kReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
  }

  static std::string Requests(int count) {
    std::string all;
    for (int request = 0; request < count; ++request) {
      all += "GET /" + std::to_string(request) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    return all;
  }

  IoLoop loop;
};

// A request that began while the caller was there is told of the departure at
// once, also when others wait behind it; none of those begins.
TEST_P(LeavingCallerTest, RequestsWaitBehindTheFirst_NoneBeginsAfterLeaving) {
  const LeavingCaller& caller = GetParam();
  std::optional<Instant> left_at;
  std::optional<Instant> told_at;
  int begun_late = 0;
  HttpServer server(
      this->loop,
      HttpServer::DisconnectAwareHandler(
          [&](const HttpRequest&, DisconnectNotifier& departure) {
            begun_late += left_at.has_value() ? 1 : 0;
            departure.OnDisconnect([&] { told_at = Now(); });
            this->loop.SleepFor(kWork);
            return std::optional(MakeResponse(200, "a/b", "answer"));
          }));
  const auto bound = server.Accept(*ParseAddress("127.0.0.1:0"));
  ASSERT_TRUE(bound.has_value());
  this->loop.Spawn([&] {
    tcp::socket socket(this->loop.context());
    socket.connect(*bound);
    boost::asio::write(socket, boost::asio::buffer(Requests(1)));
    this->loop.SleepFor(caller.stays / 2);
    boost::asio::write(socket,
                       boost::asio::buffer(Requests(caller.requests - 1)));
    this->loop.SleepFor(caller.stays / 2);
    Leave(socket, caller.departure);
    left_at = Now();
    this->loop.SleepFor(kWork * (caller.requests + 1));
    server.Close();
    this->loop.Stop();
  });
  this->loop.Run();
  EXPECT_EQ(begun_late, 0);
  if (caller.stays.count() > 0) {
    ASSERT_TRUE(told_at.has_value());
    EXPECT_LT(*told_at - *left_at, kWork / 4);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Callers,
    LeavingCallerTest,
    testing::Values(
        LeavingCaller{"AloneBeforeItIsRead"},
        LeavingCaller{"AloneHalfCloseBeforeItIsRead", 1, Departure::kHalfClose},
        LeavingCaller{"AloneResetBeforeItIsRead", 1, Departure::kReset},
        LeavingCaller{"TwoBeforeTheyAreRead", 2},
        LeavingCaller{"TwoWhileFirstRuns", 2, Departure::kClose,
                      milliseconds(30)},
        LeavingCaller{"TwoHalfCloseWhileFirstRuns", 2, Departure::kHalfClose,
                      milliseconds(30)},
        LeavingCaller{"TwoResetWhileFirstRuns", 2, Departure::kReset,
                      milliseconds(30)},
        LeavingCaller{"TenWhileFirstRuns", 10, Departure::kClose,
                      milliseconds(30)},
        LeavingCaller{"TenWhileSecondRuns", 10, Departure::kClose,
                      milliseconds(130)}),
    [](const testing::TestParamInfo<LeavingCaller>& caller) {
      return std::string(caller.param.name);
    });

TEST_F(UnansweredRequestTest, PipelinedRequestsOfOneThatStays_AllAreAnswered) {
  std::vector<std::string> handled;
  std::string back;
  HttpServer server(
      this->loop,
      HttpServer::DisconnectAwareHandler(
          [&](const HttpRequest& request, DisconnectNotifier&) {
            handled.push_back(request.body);
            this->loop.SleepFor(milliseconds(10));
            return std::optional(MakeResponse(200, "a/b", request.body));
          }));
  const auto bound = server.Accept(*ParseAddress("127.0.0.1:0"));
  this->loop.Spawn([&] {
    tcp::socket socket(this->loop.context());
    socket.connect(*bound);
    // More than the server reads ahead.
    constexpr std::size_t kBodyBytes = 20'000;
    std::string requests;
    std::ranges::for_each(std::string("abcd"), [&requests](char letter) {
      requests += "PUT / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" +
                  std::string(kBodyBytes, letter);
    });
    Await<std::size_t>([&](auto done) {
      boost::asio::async_write(socket, boost::asio::buffer(requests),
                               std::move(done));
    });
    this->loop.SleepFor(milliseconds(200));
    server.CloseIdle();
    Await<std::size_t>([&](auto done) {
      boost::asio::async_read(socket, boost::asio::dynamic_buffer(back),
                              std::move(done));
    });
    server.Close();
    this->loop.Stop();
  });
  this->loop.Run();
  ASSERT_EQ(handled.size(), 4U);
  EXPECT_EQ(handled.back(), std::string(20'000, 'd'));
  EXPECT_TRUE(back.ends_with(std::string(20'000, 'd')));
}

// The loop is held up while callers send requests and leave.
TEST_F(UnansweredRequestTest, LoopHeldUpWhileCallersLeave_NoRequestBegins) {
  constexpr int kCallers = 200;
  int begun = 0;
  HttpServer server(this->loop,
                    HttpServer::DisconnectAwareHandler(
                        [&](const HttpRequest&, DisconnectNotifier&) {
                          ++begun;
                          return this->RespondLate();
                        }));
  const auto bound = server.Accept(*ParseAddress("127.0.0.1:0"));
  this->loop.Spawn([&] {
    std::vector<tcp::socket> sockets;
    for (int caller = 0; caller < kCallers; ++caller) {
      sockets.emplace_back(this->loop.context()).connect(*bound);
      this->loop.SleepFor(milliseconds(1));
    }
    std::ranges::for_each(sockets, [](tcp::socket& socket) {
      const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
      boost::asio::write(socket, boost::asio::buffer(request));
      socket.close();
    });
    std::this_thread::sleep_for(milliseconds(600));
    this->loop.SleepFor(milliseconds(300));
    server.Close();
    this->loop.Stop();
  });
  this->loop.Run();
  EXPECT_EQ(begun, 0);
}

}  // namespace
}  // namespace tanagerledge
