// Address parsing and the HTTP client: limits, connection reuse, and whether a
// request may have arrived.

#include "src/adapters/http_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ParseAddressTest, IpAndPort_AreParsed) {
  EXPECT_EQ(ParseAddress("127.0.0.1:80")->port(), 80);
  EXPECT_TRUE(ParseAddress("[::1]:9000")->address().is_v6());
}

TEST(ParseAddressTest, InvalidText_IsAnError) {
  const std::vector<std::string> bad = {
      "",    "127.0.0.1",     "localhost:80", "127.0.0.1:", "1.2.3.4:-1",
      ":80", "1.2.3.4:65536", "1.2.3.4:8x",   "[]:80",      "1.2.3.4:80 "};
  std::ranges::for_each(bad, [](const std::string& text) {
    EXPECT_FALSE(ParseAddress(text).has_value()) << text;
  });
}

const HttpRequest kGet;

// Runs a server that answers requests with fixed bytes.
class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest()
      : acceptor(this->loop.context(),
                 {boost::asio::ip::address_v4::loopback(), 0}) {}

  // Serves `connections` one after another. Each has a list of answers, one per
  // request, and is closed after the last one.
  void Serve(std::vector<std::vector<std::string>> connections) {
    this->loop.Spawn([this, connections = std::move(connections)] {
      for (const auto& answers : connections) {
        tcp::socket socket(this->loop.context());
        const auto error = AwaitError([&](auto handler) {
          this->acceptor.async_accept(socket, std::move(handler));
        });
        if (error) {
          return;
        }
        ++this->accepted;
        this->AnswerAll(socket, answers);
        socket.close();
        ++this->ended;
      }
    });
  }

  void AnswerAll(tcp::socket& socket, const std::vector<std::string>& answers) {
    boost::asio::streambuf buffer;
    for (const std::string& answer : answers) {
      const auto read = Await<std::size_t>([&](auto handler) {
        boost::asio::async_read_until(socket, buffer, "\r\n\r\n",
                                      std::move(handler));
      });
      if (!read) {
        return;
      }
      buffer.consume(read.value);
      Await<std::size_t>([&](auto handler) {
        boost::asio::async_write(socket, boost::asio::buffer(answer),
                                 std::move(handler));
      });
    }
  }

  // Runs `work` with a client in a fiber, then stops the loop.
  template <typename Work>
  void WithClient(Work work, HttpClientOptions options = {}) {
    this->loop.Spawn([&, work] {
      HttpClient client(this->loop, this->acceptor.local_endpoint(), options);
      work(client);
      client.Close();
      this->acceptor.close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  IoLoop loop;
  tcp::acceptor acceptor;
  int accepted = 0;
  int ended = 0;
};

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

TEST_F(HttpClientTest, TwoRequests_ShareOneConnection) {
  this->Serve({{kOk, kOk}});
  this->WithClient([&](HttpClient& client) {
    EXPECT_EQ(client.Send(kGet, seconds(5))->body, "hi");
    EXPECT_EQ(client.Send(kGet, seconds(5))->body, "hi");
  });
  EXPECT_EQ(this->accepted, 1);
}

TEST_F(HttpClientTest, ConnectionClosedWhileIdle_RequestUsesNewConnection) {
  this->Serve({{kOk}, {kOk}});
  this->WithClient([&](HttpClient& client) {
    EXPECT_TRUE(client.Send(kGet, seconds(5)).has_value());
    while (this->ended == 0) {
      boost::this_fiber::yield();
    }
    EXPECT_TRUE(client.Send(kGet, seconds(5)).has_value());
  });
  EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpClientTest, ServerNeverResponds_TimesOutAsMayHaveArrived) {
  this->Serve({{"", ""}});
  this->WithClient([&](HttpClient& client) {
    const auto response = client.Send(kGet, milliseconds(20));
    ASSERT_FALSE(response.has_value());
    EXPECT_TRUE(response.error().may_have_arrived);
  });
}

TEST_F(HttpClientTest, ConnectionRefused_RequestIsNotSent) {
  this->WithClient([&](HttpClient& client) {
    this->acceptor.close();
    const auto response = client.Send(kGet, seconds(5));
    ASSERT_FALSE(response.has_value());
    EXPECT_FALSE(response.error().may_have_arrived);
  });
}

TEST_F(HttpClientTest, BodyOverLimit_IsAnError) {
  this->Serve({{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"}});
  this->WithClient(
      [&](HttpClient& client) {
        EXPECT_FALSE(client.Send(kGet, seconds(5)).has_value());
      },
      {.max_body_bytes = 10});
}

TEST_F(HttpClientTest, ResponseIsNotHttp_IsAnError) {
  this->Serve({{"\x01\x02 nonsense\r\n\r\n"}});
  this->WithClient([&](HttpClient& client) {
    EXPECT_FALSE(client.Send(kGet, seconds(5)).has_value());
  });
}

TEST_F(HttpClientTest, HeaderNames_AreCaseInsensitive) {
  this->Serve({{"HTTP/1.1 200 OK\r\nlog-end: 7\r\nContent-Length: 0\r\n\r\n"}});
  this->WithClient([&](HttpClient& client) {
    const auto response = client.Send(kGet, seconds(5));
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->Header("Log-End"), "7");
    EXPECT_EQ(response->Header("Absent"), "");
  });
}

TEST_F(HttpClientTest, MaySendReturnsFalse_NothingIsSent) {
  this->Serve({{kOk}, {kOk}});
  this->WithClient([&](HttpClient& client) {
    ExchangeOptions exchange;
    exchange.may_send = [] { return false; };
    const auto response = client.Send(kGet, seconds(5), exchange);
    ASSERT_FALSE(response.has_value());
    EXPECT_FALSE(response.error().may_have_arrived);
    EXPECT_TRUE(client.Send(kGet, seconds(5)).has_value());
  });
  EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpClientTest, SameIdTwice_UsesAnotherConnection) {
  this->Serve({{kOk, kOk}});
  this->Serve({{kOk, kOk}});
  this->WithClient([&](HttpClient& client) {
    const auto send = [&client](std::string id) {
      ExchangeOptions exchange;
      exchange.id = std::move(id);
      return client.Send(kGet, seconds(5), exchange).has_value();
    };
    EXPECT_TRUE(send("a"));
    EXPECT_TRUE(send("a"));
    EXPECT_EQ(this->accepted, 2);
    EXPECT_TRUE(send("b"));
  });
  EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpClientTest, MaxIdsPerConnectionReached_UsesAnotherConnection) {
  const std::vector<std::string> answers(kMaxIdsPerConnection + 1, kOk);
  this->Serve({answers});
  this->Serve({{kOk}});
  this->WithClient([&](HttpClient& client) {
    for (std::size_t i = 0; i <= kMaxIdsPerConnection; ++i) {
      ExchangeOptions exchange;
      exchange.id = std::to_string(i);
      EXPECT_TRUE(client.Send(kGet, seconds(5), exchange).has_value());
    }
  });
  EXPECT_EQ(this->accepted, 2);
}

TEST_F(HttpClientTest, Close_CancelsRequestInFlight) {
  this->Serve({{"", ""}});
  this->WithClient([&](HttpClient& client) {
    this->loop.Post([&] { client.Close(); });
    EXPECT_FALSE(client.Send(kGet, seconds(60)).has_value());
  });
}

// A faulty server that sends bytes until the client closes the connection.
struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string repeated;
};

class EndlessAnswerTest : public HttpClientTest,
                          public testing::WithParamInterface<EndlessAnswer> {
 protected:
  void ServeEndless() {
    this->loop.Spawn([this] {
      tcp::socket socket(this->loop.context());
      if (AwaitError([&](auto handler) {
            this->acceptor.async_accept(socket, std::move(handler));
          })) {
        return;
      }
      std::string out = GetParam().begin;
      constexpr std::size_t kBurst = 16 * 1024;
      while (out.size() < kBurst) {
        out += GetParam().repeated;
      }
      const std::string more = out.substr(GetParam().begin.size());
      while (this->Write(socket, out)) {
        out = more;
      }
      this->client_closed = true;
    });
  }

  bool Write(tcp::socket& socket, const std::string& bytes) {
    const auto written = Await<std::size_t>([&](auto handler) {
      boost::asio::async_write(socket, boost::asio::buffer(bytes),
                               std::move(handler));
    });
    this->sent += written.value;
    return !written.error;
  }

  std::size_t sent = 0;
  bool client_closed = false;
};

TEST_P(EndlessAnswerTest, EndlessBytes_ConnectionIsClosedAtLimitBeforeTimeout) {
  constexpr std::size_t kLimit = 64 * 1024;
  this->ServeEndless();
  this->WithClient(
      [&](HttpClient& client) {
        ExchangeOptions exchange;
        exchange.matches_request = [](const HttpResponse& answer) {
          return answer.Header("For").empty();
        };
        const auto began = std::chrono::steady_clock::now();
        const auto response = client.Send(kGet, seconds(10), exchange);
        const auto took = std::chrono::steady_clock::now() - began;
        ASSERT_FALSE(response.has_value());
        EXPECT_TRUE(response.error().may_have_arrived);
        EXPECT_LT(took, seconds(2));
        this->loop.SleepFor(milliseconds(50));
        EXPECT_TRUE(this->client_closed);
      },
      {.max_body_bytes = kLimit});
  // This covers the limits and the socket buffers of both sides.
  EXPECT_LT(this->sent, 16U * 1024 * 1024);
}

// A faulty server goes on after a complete answer, on a connection that nobody
// uses then. What the kernel has received counts as memory of the process.
TEST_F(HttpClientTest, EndlessBytesOnIdleConnection_ConnectionIsClosed) {
  bool client_closed = false;
  this->loop.Spawn([&] {
    tcp::socket socket(this->loop.context());
    if (AwaitError([&](auto handler) {
          this->acceptor.async_accept(socket, std::move(handler));
        })) {
      return;
    }
    this->AnswerAll(socket, {kOk});
    this->loop.SleepFor(milliseconds(20));
    const std::string noise(16 * 1024, '~');
    while (Await<std::size_t>([&](auto handler) {
      boost::asio::async_write(socket, boost::asio::buffer(noise),
                               std::move(handler));
    })) {
    }
    client_closed = true;
  });
  this->WithClient([&](HttpClient& client) {
    EXPECT_TRUE(client.Send(kGet, seconds(5)).has_value());
    this->loop.SleepFor(milliseconds(200));
    EXPECT_TRUE(client_closed);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Servers,
    EndlessAnswerTest,
    testing::Values(
        EndlessAnswer{"Noise", "", "\x01\x02nonsense"},
        EndlessAnswer{"EmptyLines", "", "\r\n"},
        EndlessAnswer{"StatusLine", "HTTP/1.1 200 ", "aaaaaaaa"},
        EndlessAnswer{"HeaderLine", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
        EndlessAnswer{"Headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        EndlessAnswer{"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessAnswer{"AnswersToOthers", "",
                      "HTTP/1.1 200 OK\r\nFor: x\r\nContent-Length: "
                      "0\r\n\r\n"},
        EndlessAnswer{"BodyUntilClose", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
        EndlessAnswer{"Chunks",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "4\r\naaaa\r\n"},
        EndlessAnswer{"ChunkSize",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "00000000"},
        EndlessAnswer{
            "ChunkExtension",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=",
            "aaaaaaaa"},
        EndlessAnswer{
            "Trailer",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n"}),
    [](const testing::TestParamInfo<EndlessAnswer>& answer) {
      return answer.param.name;
    });

}  // namespace
}  // namespace tanagerledge
