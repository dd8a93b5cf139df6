// The store's answers, cut at each byte: what is read is what was sent.

#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "src/adapters/log_page.h"
#include "src/adapters/net.h"

namespace tanagerledge::platform {
namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr seconds kLongest{30};

class CutStoreAnswerTest : public testing::Test {
 protected:
  CutStoreAnswerTest()
      : acceptor(this->loop.context(), *ParseAddress("127.0.0.1:0")) {}

  void ServeOnce(const std::string& answer, bool reset) {
    this->loop.SpawnHere([this, answer, reset] {
      tcp::socket socket(this->loop.context());
      AwaitError([&](auto done) {
        this->acceptor.async_accept(socket, std::move(done));
      });
      std::string request;
      Await<std::size_t>([&](auto done) {
        boost::asio::async_read_until(socket,
                                      boost::asio::dynamic_buffer(request),
                                      this->until, std::move(done));
      });
      Await<std::size_t>([&](auto done) {
        boost::asio::async_write(socket, boost::asio::buffer(answer),
                                 std::move(done));
      });
      socket.set_option(boost::asio::socket_base::linger(reset, 0));
      socket.close();
    });
  }

  // Asks for each cut of an answer with this body, framed by a length or by
  // the end of the connection. `check` asks, and sees what must not be so.
  using Check =
      std::function<void(StoreClient& client, bool whole, std::size_t body)>;
  void AtEachCut(const std::string& body, const Check& check) {
    this->loop.Spawn([&] {
      StoreClient client(this->loop, this->acceptor.local_endpoint());
      const std::string start = "HTTP/1.1 200 OK\r\n";
      this->Cut(
          client,
          start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n",
          body, check);
      this->Cut(client, start + "\r\n", body, check);
      client.Close();
      this->acceptor.close();
      this->loop.Stop();
    });
    this->loop.Run();
  }

  void Cut(StoreClient& client,
           const std::string& head,
           const std::string& body,
           const Check& check) {
    const std::string whole = head + body;
    for (std::size_t sent = 0; sent <= whole.size(); ++sent) {
      for (const bool reset : {false, true}) {
        this->ServeOnce(whole.substr(0, sent), reset);
        check(client, sent == whole.size() && !reset,
              sent - std::min(sent, head.size()));
      }
    }
  }

  IoLoop loop;
  tcp::acceptor acceptor;
  std::string until = "\r\n\r\n";  // How requests end.
};

TEST_F(CutStoreAnswerTest, LogRead_HoldsWholeRecordsOnly) {
  std::string body(16, '\0');
  body[7] = 2;  // The end.
  AppendToPage(body, "first");
  const std::size_t one = body.size();
  AppendToPage(body, "second");
  this->AtEachCut(body, [&](StoreClient& client, bool whole, std::size_t sent) {
    const auto page = client.Read("s", {0}, 9, seconds(0), kLongest);
    EXPECT_TRUE(page.has_value() || !whole);
    if (page) {
      const std::size_t most = sent >= body.size() ? 2 : (sent >= one ? 1 : 0);
      EXPECT_EQ(page->records.size(), most) << sent;
      EXPECT_EQ(page->end.value, 2U);
      EXPECT_TRUE(most < 1 || page->records[0].bytes == "first");
      EXPECT_TRUE(most < 2 || page->records[1].bytes == "second");
    }
  });
}

TEST_F(CutStoreAnswerTest, NewestOfTheKeys_IsReadWholeOrNotAtAll) {
  const std::string body =
      R"({"items":[{"key":"a","value":"eA==","offset":3},)"
      R"({"key":"b","value":"eXl6","offset":14}],"has_more":false,)"
      R"("end_offset":15})";
  this->AtEachCut(body, [&](StoreClient& client, bool whole, std::size_t sent) {
    const auto page = client.ReadNewest("s", kLongest);
    EXPECT_TRUE(page.has_value() || !whole);
    if (page) {
      EXPECT_EQ(sent, body.size());
      EXPECT_EQ(page->records.size(), 2U);
      EXPECT_EQ(page->end.value, 15U);
    }
  });
}

TEST_F(CutStoreAnswerTest, Append_IsKnownWholeOrAmbiguous) {
  this->until = "record";
  const std::string body = R"({"offset":123,"end_offset":124})";
  this->AtEachCut(body, [&](StoreClient& client, bool whole, std::size_t sent) {
    const auto offset = client.Append("s", "record", kLongest);
    EXPECT_TRUE(offset.has_value() || !whole);
    if (offset) {
      EXPECT_EQ(sent, body.size());
      EXPECT_EQ(offset->value, 123U);
    } else {
      EXPECT_EQ(offset.error().kind, LogErrorKind::kAmbiguous);
    }
  });
}

TEST_F(CutStoreAnswerTest, RecordsGoneAndFirstUnreadable_IsExpiredOnly) {
  const std::vector<std::string> bodies = {R"({"first_offset":"x"})",
                                           R"({"first_offset":null})",
                                           R"({"first_offset":-1})",
                                           R"({"first_offset":1)",
                                           "[]",
                                           ""};
  this->loop.Spawn([&] {
    StoreClient client(this->loop, this->acceptor.local_endpoint());
    std::ranges::for_each(bodies, [&](const std::string& body) {
      this->ServeOnce("HTTP/1.1 410 Gone\r\n\r\n" + body, false);
      const auto page = client.Read("s", {0}, 9, seconds(0), kLongest);
      ASSERT_FALSE(page.has_value());
      EXPECT_EQ(page.error().kind, LogErrorKind::kExpired);
      EXPECT_EQ(page.error().first_kept.value, 0U) << body;
    });
    client.Close();
    this->acceptor.close();
    this->loop.Stop();
  });
  this->loop.Run();
}

}  // namespace
}  // namespace tanagerledge::platform
