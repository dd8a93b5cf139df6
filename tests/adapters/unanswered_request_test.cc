// What the HTTP server tells of requests that end without an answer.

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/adapters/http_server.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

class UnansweredRequestTest : public testing::Test {
 protected:
  // Sends one request, waits, and runs `end`; what the server tells of it.
  std::vector<UnansweredRequest::Stage> Send(
      const HttpServer::DisconnectAwareHandler& handler,
      const std::function<void(HttpServer&, tcp::socket&)>& end) {
    std::vector<UnansweredRequest::Stage> told;
    HttpServer server(this->loop, handler);
    server.SetUnansweredObserver(
        [&](const HttpRequest&, const UnansweredRequest& what) {
          told.push_back(what.stage);
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
      this->open_at_end = server.CountConnections();
      server.Close();
      this->loop.Stop();
    });
    this->loop.Run();
    return told;
  }

  std::optional<HttpResponse> AnswerLate() {
    this->loop.SleepFor(milliseconds(100));
    return MakeResponse(200, "a/b", "late");
  }

  IoLoop loop;
  HttpServer::ConnectionCounts open_at_end;
};

TEST_F(UnansweredRequestTest, AnsweredRequest_NothingIsTold) {
  const auto told =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->AnswerLate(); },
                 [](HttpServer&, tcp::socket&) {});
  EXPECT_TRUE(told.empty());
  EXPECT_EQ(this->open_at_end.idle, 1U);
}

TEST_F(UnansweredRequestTest, CallerClosesFirst_IsTheCallersLeaving) {
  const auto told =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->AnswerLate(); },
                 [](HttpServer&, tcp::socket& socket) { socket.close(); });
  EXPECT_EQ(told, std::vector{UnansweredRequest::Stage::kCallerDisconnected});
}

TEST_F(UnansweredRequestTest, ServerClosesAmidACall_IsAWriteThatFailed) {
  const auto told =
      this->Send([this](const HttpRequest&,
                        DisconnectNotifier&) { return this->AnswerLate(); },
                 [](HttpServer& server, tcp::socket&) { server.Close(); });
  EXPECT_EQ(told, std::vector{UnansweredRequest::Stage::kWriteFailed});
}

TEST_F(UnansweredRequestTest, HandlerWithoutAnAnswer_IsTold) {
  const auto told = this->Send(
      [](const HttpRequest&, DisconnectNotifier&) {
        return std::optional<HttpResponse>();
      },
      [](HttpServer&, tcp::socket&) {});
  EXPECT_EQ(told, std::vector{UnansweredRequest::Stage::kNoResponse});
}

}  // namespace
}  // namespace tanagerledge
