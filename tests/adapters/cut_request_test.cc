// The HTTP server against requests that are truncated at each byte or whose end
// is ambiguous: only a complete request is run.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "src/adapters/http_server.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;

enum class ConnectionEnd { kFin, kReset };

class RawCallerTest : public testing::Test {
 protected:
  RawCallerTest()
      : server(this->loop,
               HttpServer::DisconnectAwareHandler(
                   [this](const HttpRequest& request, DisconnectNotifier&) {
                     this->handled.push_back(request.method + " " +
                                             request.target + " " +
                                             request.body);
                     return std::optional(MakeResponse(200, "a/b", "answer"));
                   }),
               LargeHeaderLimits()) {}

  static HttpLimits LargeHeaderLimits() {
    HttpLimits limits;
    limits.max_header_bytes = 128 * 1024;
    return limits;
  }

  // Sends the bytes on a new connection and returns what the server sends until
  // it closes the connection.
  std::string SendAll(const std::string& bytes,
                      ConnectionEnd end = ConnectionEnd::kFin) {
    tcp::socket socket(this->loop.context());
    socket.connect(this->bound);
    boost::system::error_code ignored;
    Await<std::size_t>([&](auto handler) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               std::move(handler));
    });
    if (end == ConnectionEnd::kReset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      this->loop.SleepFor(std::chrono::milliseconds(1));
      return {};
    }
    // A request whose caller has left already isn't run, complete or not.
    this->loop.SleepFor(std::chrono::milliseconds(5));
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::string back;
    Await<std::size_t>([&](auto handler) {
      boost::asio::async_read(socket, boost::asio::dynamic_buffer(back),
                              std::move(handler));
    });
    return back;
  }

  template <typename Work>
  void WithServer(Work work) {
    this->bound = *this->server.Accept(*ParseAddress("127.0.0.1:0"));
    this->loop.Spawn([this, work] {
      work();
      this->server.Close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  IoLoop loop;
  HttpServer server;
  tcp::endpoint bound;
  std::vector<std::string> handled;
};

// Truncation ------------------------------------------------------------------

struct TruncatedRequest {
  const char* name;
  std::string before;  // Complete requests before it on the same connection.
  std::string bytes;
};

class TruncatedRequestTest
    : public RawCallerTest,
      public testing::WithParamInterface<TruncatedRequest> {};

TEST_P(TruncatedRequestTest, ConnectionEndsEarly_RequestIsNotRun) {
  const TruncatedRequest& request = GetParam();
  const std::size_t complete_requests = request.before.empty() ? 0 : 1;
  this->WithServer([&] {
    for (std::size_t sent = 0; sent < request.bytes.size(); ++sent) {
      std::ranges::for_each(
          std::vector{ConnectionEnd::kFin, ConnectionEnd::kReset},
          [&](ConnectionEnd end) {
            this->handled.clear();
            const std::string cut =
                request.before + request.bytes.substr(0, sent);
            this->SendAll(cut, end);
            EXPECT_LE(this->handled.size(), complete_requests)
                << "cut after: " << cut;
          });
    }
    this->handled.clear();
    this->SendAll(request.bytes);
    EXPECT_EQ(this->handled.size(), 1U);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    TruncatedRequestTest,
    testing::Values(
        TruncatedRequest{"NoBody", "", "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"},
        TruncatedRequest{"Length", "",
                         "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: "
                         "12\r\n\r\ntwelve bytes"},
        TruncatedRequest{"Chunks", "",
                         "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n00a;e=f\r\n0123456789\r\n0\r\n\r\n"},
        TruncatedRequest{"ChunksWithTrailer", "",
                         "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nok\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n"},
        TruncatedRequest{"BehindAnother", "GET /w HTTP/1.1\r\nHost: a\r\n\r\n",
                         "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"}),
    [](const testing::TestParamInfo<TruncatedRequest>& request) {
      return std::string(request.param.name);
    });

// Ambiguous ends --------------------------------------------------------------

struct AmbiguousRequest {
  const char* name;
  std::string fields;
};

class AmbiguousRequestTest
    : public RawCallerTest,
      public testing::WithParamInterface<AmbiguousRequest> {};

TEST_P(AmbiguousRequestTest, EndOfBodyIsAmbiguous_NothingIsRun) {
  const std::string chunked_body =
      "5\r\nabcde\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string plain_body = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
  this->WithServer([&] {
    std::ranges::for_each(
        std::vector{chunked_body, plain_body}, [&](const auto& body) {
          this->SendAll("POST /x HTTP/1.1\r\n" + GetParam().fields + "\r\n" +
                        body);
          EXPECT_EQ(this->handled, std::vector<std::string>{});
        });
  });
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    AmbiguousRequestTest,
    testing::Values(
        AmbiguousRequest{"OtherCoding", "Transfer-Encoding: gzip\r\n"},
        AmbiguousRequest{"Identity", "Transfer-Encoding: identity\r\n"},
        AmbiguousRequest{"CodingCut", "Transfer-Encoding: chunke\r\n"},
        AmbiguousRequest{"CodingBeforeChunks",
                         "Transfer-Encoding: gzip, chunked\r\n"},
        AmbiguousRequest{"CodingBehindChunks",
                         "Transfer-Encoding: chunked, gzip\r\n"},
        AmbiguousRequest{"ChunksTwice",
                         "Transfer-Encoding: chunked, chunked\r\n"},
        AmbiguousRequest{"TwoCodings",
                         "Transfer-Encoding: gzip\r\nTransfer-Encoding: "
                         "chunked\r\n"},
        AmbiguousRequest{"CodingAndLength",
                         "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"},
        AmbiguousRequest{"ChunksAndLength",
                         "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"},
        AmbiguousRequest{"TwoLengths",
                         "Content-Length: 5\r\nContent-Length: 0\r\n"},
        AmbiguousRequest{"LengthFolded", "Content-Length: 0\r\n 5\r\n"},
        AmbiguousRequest{"LengthWithSign", "Content-Length: +5\r\n"},
        AmbiguousRequest{"LengthNameSpaced", "Content-Length : 5\r\n"},
        AmbiguousRequest{"LengthEndsInLf", "Content-Length: 5\n"}),
    [](const testing::TestParamInfo<AmbiguousRequest>& request) {
      return std::string(request.param.name);
    });

// Responses -------------------------------------------------------------------

TEST_F(RawCallerTest, HeadThenGet_ResponseToHeadHasNoBody) {
  this->WithServer([&] {
    const std::string back = this->SendAll(
        "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: "
        "a\r\nConnection: close\r\n\r\n");
    const std::size_t head_end = back.find("\r\n\r\n");
    ASSERT_NE(head_end, std::string::npos);
    EXPECT_TRUE(back.substr(head_end + 4).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(back.ends_with("\r\n\r\nanswer"));
  });
}

// Beast can't store a field of more than 64 KiB and throws. That must close the
// connection and not end the process.
TEST_F(RawCallerTest, HeaderOrTrailerFieldTooLong_OnlyConnectionIsClosed) {
  const std::string field = "A: " + std::string(68'000, 'a') + "\r\n\r\n";
  this->WithServer([&] {
    this->SendAll("GET /x HTTP/1.1\r\n" + field);
    this->SendAll("PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
                  field);
    EXPECT_EQ(this->handled.size(), 0U);
    this->SendAll("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(this->handled.size(), 1U);
  });
}

}  // namespace
}  // namespace tanagerledge
