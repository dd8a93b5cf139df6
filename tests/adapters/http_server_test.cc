// The HTTP server against callers that never end a request.

#include "src/adapters/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
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

}  // namespace
}  // namespace tanagerledge
