// The HTTP client with responses that are truncated at each byte or malformed:
// only a complete, valid response is accepted.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "src/adapters/http_client.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr seconds kTimeout{30};
// Limit for responses that must not wait for kTimeout. A busy machine may stall
// for a second or two.
constexpr seconds kMaxPromptTime{5};

enum class ConnectionEnd { kFin, kReset };

struct TruncatedResponse {
  const char* name;
  std::string before;  // Complete responses that are skipped.
  std::string head;
  std::string rest;
  std::string body;
  std::string method = "GET";
  bool ends_by_close = false;
};

class RawServerTest : public testing::Test {
 protected:
  RawServerTest()
      : acceptor(this->loop.context(),
                 {boost::asio::ip::address_v4::loopback(), 0}) {}

  // Accepts one connection, sends one of the answers after each request, and
  // closes the connection.
  void ServeOnce(std::vector<std::string> answers,
                 ConnectionEnd end = ConnectionEnd::kFin,
                 bool byte_by_byte = false) {
    this->loop.SpawnHere(
        [this, answers = std::move(answers), end, byte_by_byte] {
          tcp::socket socket(this->loop.context());
          if (AwaitError([&](auto handler) {
                this->acceptor.async_accept(socket, std::move(handler));
              })) {
            return;
          }
          socket.set_option(tcp::no_delay(true));
          boost::asio::streambuf buffer;
          std::ranges::for_each(answers, [&](const std::string& answer) {
            const auto read = Await<std::size_t>([&](auto handler) {
              boost::asio::async_read_until(socket, buffer, "\r\n\r\n",
                                            std::move(handler));
            });
            buffer.consume(read.value);
            Write(socket, answer, byte_by_byte);
          });
          if (end == ConnectionEnd::kReset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0));
          }
          socket.close();
        });
  }

  static void Write(tcp::socket& socket,
                    const std::string& bytes,
                    bool byte_by_byte) {
    const std::size_t piece =
        byte_by_byte ? 1 : std::max(std::size_t{1}, bytes.size());
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      Await<std::size_t>([&](auto handler) {
        boost::asio::async_write(socket,
                                 boost::asio::buffer(bytes.substr(at, piece)),
                                 std::move(handler));
      });
    }
  }

  template <typename Work>
  void WithClient(Work work) {
    this->loop.Spawn([&, work] {
      HttpClient client(this->loop, this->acceptor.local_endpoint());
      work(client);
      client.Close();
      this->acceptor.close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  IoLoop loop;
  tcp::acceptor acceptor;
};

// Truncation ------------------------------------------------------------------

class TruncatedResponseTest
    : public RawServerTest,
      public testing::WithParamInterface<TruncatedResponse> {
 protected:
  static std::string Whole() {
    return GetParam().before + GetParam().head + GetParam().rest;
  }

  // Expected body when the connection ends after `sent` bytes; nullopt if the
  // response must be rejected.
  static std::optional<std::string> ExpectedBody(std::size_t sent,
                                                 ConnectionEnd end) {
    const TruncatedResponse& answer = GetParam();
    const std::size_t head = answer.before.size() + answer.head.size();
    if (answer.ends_by_close) {
      return end == ConnectionEnd::kFin && sent >= head
                 ? std::optional(answer.rest.substr(0, sent - head))
                 : std::nullopt;
    }
    return sent >= head + answer.rest.size() ? std::optional(answer.body)
                                             : std::nullopt;
  }

  void Check(HttpClient& client, std::size_t sent, ConnectionEnd end) {
    HttpRequest request;
    request.method = GetParam().method;
    ExchangeOptions exchange;
    exchange.matches_request = [](const HttpResponse& answer) {
      return answer.Header("For").empty();
    };
    const auto began = std::chrono::steady_clock::now();
    const auto answer = client.Send(request, kTimeout, exchange);
    EXPECT_LT(std::chrono::steady_clock::now() - began, kMaxPromptTime);
    const auto expected = ExpectedBody(sent, end);
    EXPECT_EQ(answer.has_value(), expected.has_value())
        << "cut after: " << Whole().substr(0, sent);
    if (answer) {
      EXPECT_EQ(answer->body, expected.value_or("none"))
          << "cut after: " << Whole().substr(0, sent);
      EXPECT_EQ(answer->status / 100, 2 + (answer->status == 304));
    } else {
      EXPECT_TRUE(answer.error().may_have_arrived);
    }
  }

  template <typename Action>
  void ForEachTruncation(Action action) {
    for (std::size_t sent = 0; sent <= Whole().size(); ++sent) {
      action(sent);
    }
  }
};

const std::string kFirst = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

TEST_P(TruncatedResponseTest,
       NewConnectionClosedOrReset_OnlyCompleteResponseIsAccepted) {
  this->WithClient([&](HttpClient& client) {
    this->ForEachTruncation([&](std::size_t sent) {
      std::ranges::for_each(
          std::vector{ConnectionEnd::kFin, ConnectionEnd::kReset},
          [&](ConnectionEnd end) {
            this->ServeOnce({Whole().substr(0, sent)}, end);
            this->Check(client, sent, end);
          });
    });
  });
}

TEST_P(TruncatedResponseTest,
       ReusedConnectionClosedOrReset_OnlyCompleteResponseIsAccepted) {
  this->WithClient([&](HttpClient& client) {
    this->ForEachTruncation([&](std::size_t sent) {
      std::ranges::for_each(
          std::vector{ConnectionEnd::kFin, ConnectionEnd::kReset},
          [&](ConnectionEnd end) {
            this->ServeOnce({kFirst, Whole().substr(0, sent)}, end);
            EXPECT_EQ(client.Send({}, kTimeout)->body, "first");
            this->Check(client, sent, end);
          });
    });
  });
}

TEST_P(TruncatedResponseTest,
       BytesArriveOneByOne_OnlyCompleteResponseIsAccepted) {
  this->WithClient([&](HttpClient& client) {
    this->ForEachTruncation([&](std::size_t sent) {
      this->ServeOnce({Whole().substr(0, sent)}, ConnectionEnd::kFin, true);
      this->Check(client, sent, ConnectionEnd::kFin);
    });
  });
}

const std::string kStart =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Stamp: s.1\r\n";
const std::string kChunkedHead = kStart + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers,
    TruncatedResponseTest,
    testing::Values(
        TruncatedResponse{"Length", "", kStart + "Content-Length: 12\r\n\r\n",
                          "twelve bytes", "twelve bytes"},
        TruncatedResponse{
            "LengthFirst", "",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Attempt-Id: "
            "a\r\nX-Server-Stamp: s\r\n\r\n",
            "four", "four"},
        TruncatedResponse{"Chunks", "", kChunkedHead,
                          "3\r\nabc\r\n00a;e=\"f\"\r\n0123456789\r\n0\r\n\r\n",
                          "abc0123456789"},
        TruncatedResponse{"ChunksWithTrailer", "", kChunkedHead,
                          "2\r\nok\r\n0;last\r\nX-A: b\r\nX-C: d\r\n\r\n",
                          "ok"},
        TruncatedResponse{"ChunksThatLookLikeTheEnd", "", kChunkedHead,
                          "9\r\n0\r\n\r\n0\r\n\r\r\n0\r\n\r\n",
                          "0\r\n\r\n0\r\n\r"},
        TruncatedResponse{"EndsByClose", "", kStart + "\r\n", "until the end",
                          "", "GET", true},
        TruncatedResponse{"EndsByCloseHttp10", "",
                          "HTTP/1.0 200 OK\r\nX-Attempt-Id: a\r\n\r\n",
                          "until\r\n\r\nend", "", "GET", true},
        TruncatedResponse{"NoBody", "", kStart + "Content-Length: 0\r\n\r\n",
                          "", ""},
        TruncatedResponse{"Status204", "",
                          "HTTP/1.1 204 No Content\r\nX-Attempt-Id: a\r\n\r\n",
                          "", ""},
        TruncatedResponse{
            "Status304WithLength", "",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "", ""},
        TruncatedResponse{"Head", "", kStart + "Content-Length: 12\r\n\r\n", "",
                          "", "HEAD"},
        TruncatedResponse{"HeadOfChunks", "", kChunkedHead, "", "", "HEAD"},
        TruncatedResponse{"BehindInterim",
                          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early "
                          "Hints\r\nLink: a\r\n\r\n",
                          kStart + "Content-Length: 3\r\n\r\n", "abc", "abc"},
        TruncatedResponse{
            "BehindAnotherAnswer",
            "HTTP/1.1 200 OK\r\nFor: x\r\nContent-Length: 5\r\n\r\nother",
            kStart + "Content-Length: 3\r\n\r\n", "abc", "abc"},
        TruncatedResponse{
            "BehindAnotherInChunks",
            "HTTP/1.1 200 OK\r\nFor: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "1\r\nx\r\n0\r\n\r\n",
            kChunkedHead, "3\r\nabc\r\n0\r\n\r\n", "abc"}),
    [](const testing::TestParamInfo<TruncatedResponse>& answer) {
      return std::string(answer.param.name);
    });

// Malformed responses ---------------------------------------------------------

struct MalformedResponse {
  const char* name;
  std::string bytes;
};

class MalformedResponseTest
    : public RawServerTest,
      public testing::WithParamInterface<MalformedResponse> {};

TEST_P(MalformedResponseTest, ServerClosesAfterwards_ResponseIsRejected) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({GetParam().bytes});
    const auto answer = client.Send({}, kTimeout);
    EXPECT_FALSE(answer.has_value()) << answer->status << " " << answer->body;
  });
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers,
    MalformedResponseTest,
    testing::Values(
        MalformedResponse{"LengthThenChunks",
                          kOk + "Content-Length: 3\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        MalformedResponse{"ChunksThenLength",
                          kOk + "Transfer-Encoding: chunked\r\nContent-Length: "
                                "3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        MalformedResponse{"TwoLengths",
                          kOk + "Content-Length: 3\r\nContent-Length: "
                                "4\r\n\r\nabcd"},
        MalformedResponse{"TwoLengthsInOneField",
                          kOk + "Content-Length: 3, 4\r\n\r\nabcd"},
        MalformedResponse{"LengthWithSign",
                          kOk + "Content-Length: +3\r\n\r\nabc"},
        MalformedResponse{"LengthInHex",
                          kOk + "Content-Length: 0x3\r\n\r\nabc"},
        MalformedResponse{"LengthBelowZero",
                          kOk + "Content-Length: -1\r\n\r\nabc"},
        MalformedResponse{"LengthEmpty", kOk + "Content-Length:\r\n\r\nabc"},
        MalformedResponse{
            "LengthTooLong",
            kOk + "Content-Length: 18446744073709551619\r\n\r\nabc"},
        MalformedResponse{"LengthFolded",
                          kOk + "Content-Length: 3\r\n 0\r\n\r\nabc"},
        MalformedResponse{"LengthNameSpaced",
                          kOk + "Content-Length : 3\r\n\r\nabc"},
        MalformedResponse{
            "LengthWithNul",
            kOk + "Content-Length: 3" + std::string(1, '\0') + "\r\n\r\nabc"},
        MalformedResponse{"FieldWithoutColon", kOk + "Content-Len\r\n\r\nabc"},
        MalformedResponse{"FieldNameWithNul",
                          kOk + "A" + std::string(1, '\0') + ": b\r\n\r\nabc"},
        MalformedResponse{
            "StatusLineWithNul",
            "HTTP/1.1 200 O" + std::string(1, '\0') + "K\r\n\r\nabc"},
        MalformedResponse{"StatusOfTwoDigits", "HTTP/1.1 20\r\n\r\nabc"},
        MalformedResponse{"LinesEndInLf",
                          "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"},
        MalformedResponse{"OneLineEndsInLf",
                          kOk + "A: b\nContent-Length: 3\r\n\r\nabc"},
        MalformedResponse{"HeadEndsInLf", kOk + "Content-Length: 3\r\n\nabc"},
        MalformedResponse{"LineEndsInCr",
                          kOk + "A: b\rContent-Length: 3\r\n\r\nabc"},
        MalformedResponse{"OtherCoding",
                          kOk + "Transfer-Encoding: gzip\r\n\r\nabc"},
        MalformedResponse{"CodingCut",
                          kOk + "Transfer-Encoding: chunke\r\n\r\n3\r\n"
                                "abc\r\n0\r\n\r\n"},
        MalformedResponse{"CodingBeforeChunks",
                          kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\n"
                                "abc\r\n0\r\n\r\n"},
        MalformedResponse{"CodingBehindChunks",
                          kOk + "Transfer-Encoding: chunked, gzip\r\n\r\n3\r\n"
                                "abc\r\n0\r\n\r\n"},
        MalformedResponse{"CodingAndLength",
                          kOk + "Transfer-Encoding: gzip\r\nContent-Length: "
                                "3\r\n\r\nabc"},
        MalformedResponse{"TwoCodings",
                          kOk + "Transfer-Encoding: gzip\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        MalformedResponse{
            "ChunksTwice",
            kOk + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        MalformedResponse{"ChunksTwiceInOneField",
                          kOk +
                              "Transfer-Encoding: chunked, chunked\r\n\r\n3\r\n"
                              "abc\r\n0\r\n\r\n"},
        MalformedResponse{"ChunkSizeEmpty",
                          kOk + "Transfer-Encoding: chunked\r\n\r\n\r\n\r\n"},
        MalformedResponse{"ChunkSizeTooLong",
                          kOk + "Transfer-Encoding: chunked\r\n\r\n"
                                "10000000000000003\r\nabc\r\n0\r\n\r\n"},
        MalformedResponse{"ChunkLongerThanItsSize",
                          kOk +
                              "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"
                              "0\r\n\r\n"},
        MalformedResponse{"ChunkSizeEndsInLf",
                          kOk + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n"
                                "0\r\n\r\n"},
        MalformedResponse{"LengthInTheTrailer",
                          kOk + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                                "0\r\nContent-Length: 2\r\n\r\n"}),
    [](const testing::TestParamInfo<MalformedResponse>& answer) {
      return std::string(answer.param.name);
    });

// Bytes after the response ----------------------------------------------------

TEST_F(RawServerTest, BytesBeyondContentLength_AreNotUsedForLaterRequest) {
  const std::vector<std::string> extras = {
      "x", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"};
  this->WithClient([&](HttpClient& client) {
    std::ranges::for_each(extras, [&](const std::string& extra) {
      this->ServeOnce({kFirst + extra, kFirst});
      EXPECT_EQ(client.Send({}, kTimeout)->body, "first");
      this->ServeOnce({kOk + "Content-Length: 6\r\n\r\nsecond"});
      EXPECT_EQ(client.Send({}, kTimeout)->body, "second");
    });
  });
}

TEST_F(RawServerTest, ResponseEndedByClose_ConnectionIsNotReused) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({kOk + "\r\nbody"});
    EXPECT_EQ(client.Send({}, kTimeout)->body, "body");
    this->ServeOnce({kFirst});
    EXPECT_EQ(client.Send({}, kTimeout)->body, "first");
  });
}

// Requests --------------------------------------------------------------------

TEST_F(RawServerTest, TraceRequestWithBody_IsSent) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({kFirst});
    HttpRequest request;
    request.method = "TRACE";
    request.body = "body";
    const auto answer = client.Send(request, kTimeout);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->body, "first");
  });
}

}  // namespace
}  // namespace tanagerledge
