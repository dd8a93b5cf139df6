// Answers that end early, at each byte: only a whole one is an answer.

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

constexpr seconds kLongest{30};
constexpr seconds kPrompt{5};  // A busy machine may stall for a second or two.

enum class End { kFin, kReset };

struct CutAnswer {
  const char* name;
  std::string before;  // Whole answers that are read past.
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

  // Serves one connection: each of the answers after a request; then it ends.
  void ServeOnce(std::vector<std::string> answers,
                 End end = End::kFin,
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
          if (end == End::kReset) {
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

// Cuts ------------------------------------------------------------------------

class CutAnswerTest : public RawServerTest,
                      public testing::WithParamInterface<CutAnswer> {
 protected:
  static std::string Whole() {
    return GetParam().before + GetParam().head + GetParam().rest;
  }

  // The body of an answer that ends after `sent` bytes; none if it is not one.
  static std::optional<std::string> Expected(std::size_t sent, End end) {
    const CutAnswer& answer = GetParam();
    const std::size_t head = answer.before.size() + answer.head.size();
    if (answer.ends_by_close) {
      return end == End::kFin && sent >= head
                 ? std::optional(answer.rest.substr(0, sent - head))
                 : std::nullopt;
    }
    return sent >= head + answer.rest.size() ? std::optional(answer.body)
                                             : std::nullopt;
  }

  void Check(HttpClient& client, std::size_t sent, End end) {
    HttpRequest request;
    request.method = GetParam().method;
    ExchangeOptions exchange;
    exchange.matches_request = [](const HttpResponse& answer) {
      return answer.Header("For").empty();
    };
    const auto began = std::chrono::steady_clock::now();
    const auto answer = client.Send(request, kLongest, exchange);
    EXPECT_LT(std::chrono::steady_clock::now() - began, kPrompt);
    const auto expected = Expected(sent, end);
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

  template <typename Cut>
  void AtEachByte(Cut cut) {
    for (std::size_t sent = 0; sent <= Whole().size(); ++sent) {
      cut(sent);
    }
  }
};

const std::string kFirst = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

TEST_P(CutAnswerTest, ClosedOrResetOnANewConnection_OnlyTheWholeIsAnAnswer) {
  this->WithClient([&](HttpClient& client) {
    this->AtEachByte([&](std::size_t sent) {
      std::ranges::for_each(std::vector{End::kFin, End::kReset}, [&](End end) {
        this->ServeOnce({Whole().substr(0, sent)}, end);
        this->Check(client, sent, end);
      });
    });
  });
}

TEST_P(CutAnswerTest, ClosedOrResetOnAKeptConnection_OnlyTheWholeIsAnAnswer) {
  this->WithClient([&](HttpClient& client) {
    this->AtEachByte([&](std::size_t sent) {
      std::ranges::for_each(std::vector{End::kFin, End::kReset}, [&](End end) {
        this->ServeOnce({kFirst, Whole().substr(0, sent)}, end);
        EXPECT_EQ(client.Send({}, kLongest)->body, "first");
        this->Check(client, sent, end);
      });
    });
  });
}

TEST_P(CutAnswerTest, BytesComeOneByOne_OnlyTheWholeIsAnAnswer) {
  this->WithClient([&](HttpClient& client) {
    this->AtEachByte([&](std::size_t sent) {
      this->ServeOnce({Whole().substr(0, sent)}, End::kFin, true);
      this->Check(client, sent, End::kFin);
    });
  });
}

const std::string kStart =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Stamp: s.1\r\n";
const std::string kChunkedHead = kStart + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers,
    CutAnswerTest,
    testing::Values(
        CutAnswer{"Length", "", kStart + "Content-Length: 12\r\n\r\n",
                  "twelve bytes", "twelve bytes"},
        CutAnswer{"LengthFirst", "",
                  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Attempt-Id: "
                  "a\r\nX-Server-Stamp: s\r\n\r\n",
                  "four", "four"},
        CutAnswer{"Chunks", "", kChunkedHead,
                  "3\r\nabc\r\n00a;e=\"f\"\r\n0123456789\r\n0\r\n\r\n",
                  "abc0123456789"},
        CutAnswer{"ChunksWithTrailer", "", kChunkedHead,
                  "2\r\nok\r\n0;last\r\nX-A: b\r\nX-C: d\r\n\r\n", "ok"},
        CutAnswer{"ChunksThatLookLikeTheEnd", "", kChunkedHead,
                  "9\r\n0\r\n\r\n0\r\n\r\r\n0\r\n\r\n", "0\r\n\r\n0\r\n\r"},
        CutAnswer{"EndsByClose", "", kStart + "\r\n", "until the end", "",
                  "GET", true},
        CutAnswer{"EndsByCloseHttp10", "",
                  "HTTP/1.0 200 OK\r\nX-Attempt-Id: a\r\n\r\n",
                  "until\r\n\r\nend", "", "GET", true},
        CutAnswer{"NoBody", "", kStart + "Content-Length: 0\r\n\r\n", "", ""},
        CutAnswer{"Status204", "",
                  "HTTP/1.1 204 No Content\r\nX-Attempt-Id: a\r\n\r\n", "", ""},
        CutAnswer{"Status304WithLength", "",
                  "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "",
                  ""},
        CutAnswer{"Head", "", kStart + "Content-Length: 12\r\n\r\n", "", "",
                  "HEAD"},
        CutAnswer{"HeadOfChunks", "", kChunkedHead, "", "", "HEAD"},
        CutAnswer{"BehindInterim",
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early "
                  "Hints\r\nLink: a\r\n\r\n",
                  kStart + "Content-Length: 3\r\n\r\n", "abc", "abc"},
        CutAnswer{"BehindAnotherAnswer",
                  "HTTP/1.1 200 OK\r\nFor: x\r\nContent-Length: 5\r\n\r\nother",
                  kStart + "Content-Length: 3\r\n\r\n", "abc", "abc"},
        CutAnswer{
            "BehindAnotherInChunks",
            "HTTP/1.1 200 OK\r\nFor: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "1\r\nx\r\n0\r\n\r\n",
            kChunkedHead, "3\r\nabc\r\n0\r\n\r\n", "abc"}),
    [](const testing::TestParamInfo<CutAnswer>& answer) {
      return std::string(answer.param.name);
    });

// Answers that are spoilt without a cut ---------------------------------------

struct SpoiltAnswer {
  const char* name;
  std::string bytes;
};

class SpoiltAnswerTest : public RawServerTest,
                         public testing::WithParamInterface<SpoiltAnswer> {};

TEST_P(SpoiltAnswerTest, ServerClosesBehindIt_IsNoAnswer) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({GetParam().bytes});
    const auto answer = client.Send({}, kLongest);
    EXPECT_FALSE(answer.has_value()) << answer->status << " " << answer->body;
  });
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers,
    SpoiltAnswerTest,
    testing::Values(
        SpoiltAnswer{"LengthThenChunks",
                     kOk + "Content-Length: 3\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        SpoiltAnswer{"ChunksThenLength",
                     kOk + "Transfer-Encoding: chunked\r\nContent-Length: "
                           "3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        SpoiltAnswer{"TwoLengths", kOk + "Content-Length: 3\r\nContent-Length: "
                                         "4\r\n\r\nabcd"},
        SpoiltAnswer{"TwoLengthsInOneField",
                     kOk + "Content-Length: 3, 4\r\n\r\nabcd"},
        SpoiltAnswer{"LengthWithSign", kOk + "Content-Length: +3\r\n\r\nabc"},
        SpoiltAnswer{"LengthInHex", kOk + "Content-Length: 0x3\r\n\r\nabc"},
        SpoiltAnswer{"LengthBelowZero", kOk + "Content-Length: -1\r\n\r\nabc"},
        SpoiltAnswer{"LengthEmpty", kOk + "Content-Length:\r\n\r\nabc"},
        SpoiltAnswer{"LengthTooLong",
                     kOk + "Content-Length: 18446744073709551619\r\n\r\nabc"},
        SpoiltAnswer{"LengthFolded",
                     kOk + "Content-Length: 3\r\n 0\r\n\r\nabc"},
        SpoiltAnswer{"LengthNameSpaced", kOk + "Content-Length : 3\r\n\r\nabc"},
        SpoiltAnswer{"LengthWithNul", kOk + "Content-Length: 3" +
                                          std::string(1, '\0') + "\r\n\r\nabc"},
        SpoiltAnswer{"FieldWithoutColon", kOk + "Content-Len\r\n\r\nabc"},
        SpoiltAnswer{"FieldNameWithNul",
                     kOk + "A" + std::string(1, '\0') + ": b\r\n\r\nabc"},
        SpoiltAnswer{"StatusLineWithNul",
                     "HTTP/1.1 200 O" + std::string(1, '\0') + "K\r\n\r\nabc"},
        SpoiltAnswer{"StatusOfTwoDigits", "HTTP/1.1 20\r\n\r\nabc"},
        SpoiltAnswer{"LinesEndInLf",
                     "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"},
        SpoiltAnswer{"OneLineEndsInLf",
                     kOk + "A: b\nContent-Length: 3\r\n\r\nabc"},
        SpoiltAnswer{"HeadEndsInLf", kOk + "Content-Length: 3\r\n\nabc"},
        SpoiltAnswer{"LineEndsInCr",
                     kOk + "A: b\rContent-Length: 3\r\n\r\nabc"},
        SpoiltAnswer{"OtherCoding", kOk + "Transfer-Encoding: gzip\r\n\r\nabc"},
        SpoiltAnswer{"CodingCut", kOk + "Transfer-Encoding: chunke\r\n\r\n3\r\n"
                                        "abc\r\n0\r\n\r\n"},
        SpoiltAnswer{"CodingBeforeChunks",
                     kOk + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\n"
                           "abc\r\n0\r\n\r\n"},
        SpoiltAnswer{"CodingBehindChunks",
                     kOk + "Transfer-Encoding: chunked, gzip\r\n\r\n3\r\n"
                           "abc\r\n0\r\n\r\n"},
        SpoiltAnswer{"CodingAndLength",
                     kOk + "Transfer-Encoding: gzip\r\nContent-Length: "
                           "3\r\n\r\nabc"},
        SpoiltAnswer{"TwoCodings",
                     kOk + "Transfer-Encoding: gzip\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        SpoiltAnswer{"ChunksTwice",
                     kOk + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        SpoiltAnswer{"ChunksTwiceInOneField",
                     kOk + "Transfer-Encoding: chunked, chunked\r\n\r\n3\r\n"
                           "abc\r\n0\r\n\r\n"},
        SpoiltAnswer{"ChunkSizeEmpty",
                     kOk + "Transfer-Encoding: chunked\r\n\r\n\r\n\r\n"},
        SpoiltAnswer{"ChunkSizeTooLong",
                     kOk + "Transfer-Encoding: chunked\r\n\r\n"
                           "10000000000000003\r\nabc\r\n0\r\n\r\n"},
        SpoiltAnswer{"ChunkLongerThanItsSize",
                     kOk + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"
                           "0\r\n\r\n"},
        SpoiltAnswer{"ChunkSizeEndsInLf",
                     kOk + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n"
                           "0\r\n\r\n"},
        SpoiltAnswer{"LengthInTheTrailer",
                     kOk + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                           "0\r\nContent-Length: 2\r\n\r\n"}),
    [](const testing::TestParamInfo<SpoiltAnswer>& answer) {
      return std::string(answer.param.name);
    });

// Bytes behind the answer -----------------------------------------------------

TEST_F(RawServerTest, MoreBytesThanTheLength_BelongToNoLaterRequest) {
  const std::vector<std::string> extras = {
      "x", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"};
  this->WithClient([&](HttpClient& client) {
    std::ranges::for_each(extras, [&](const std::string& extra) {
      this->ServeOnce({kFirst + extra, kFirst});
      EXPECT_EQ(client.Send({}, kLongest)->body, "first");
      this->ServeOnce({kOk + "Content-Length: 6\r\n\r\nsecond"});
      EXPECT_EQ(client.Send({}, kLongest)->body, "second");
    });
  });
}

TEST_F(RawServerTest, AnswerEndedByClose_ConnectionIsNotUsedAgain) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({kOk + "\r\nbody"});
    EXPECT_EQ(client.Send({}, kLongest)->body, "body");
    this->ServeOnce({kFirst});
    EXPECT_EQ(client.Send({}, kLongest)->body, "first");
  });
}

// What is sent ----------------------------------------------------------------

TEST_F(RawServerTest, TraceWithABody_IsSentLikeAnyOther) {
  this->WithClient([&](HttpClient& client) {
    this->ServeOnce({kFirst});
    HttpRequest request;
    request.method = "TRACE";
    request.body = "body";
    const auto answer = client.Send(request, kLongest);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->body, "first");
  });
}

}  // namespace
}  // namespace tanagerledge
