// Reports of the HTTP server about requests that end without a response.

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

}  // namespace
}  // namespace tanagerledge
