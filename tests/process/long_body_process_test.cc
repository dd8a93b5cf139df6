// Many long bodies at once, sent through a real process beside short calls.

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <iostream>
#include <iterator>
#include <numeric>
#include <thread>
#include <vector>

#include "fakes/resident_memory.h"
#include "src/adapters/clock.h"
#include "src/adapters/settings.h"
#include "tests/process/node_process_test.h"

namespace tanagerledge {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = 60'000'000;
constexpr std::size_t kChunkBytes = 500'000;
constexpr int kShortCallers = 20;

// How fast a caller writes or reads a long body.
struct Pace {
  const char* name;
  milliseconds pause;  // After each chunk.
};
constexpr Pace kFast{"fast", milliseconds{0}};
constexpr Pace kSlow{"slow", milliseconds{20}};

// What became of the calls of one kind.
struct Results {
  int served = 0;
  int rejected = 0;  // 503: not run.
  int failed = 0;    // 502 or 504: may have run.
  int unanswered = 0;
  milliseconds p99{0};

  void Count(int status) {
    ++(status == 200                      ? this->served
       : status == 503                    ? this->rejected
       : (status == 502 || status == 504) ? this->failed
                                          : this->unanswered);
  }
};

class LongBodyProcessTest : public NodeProcessTest {
 protected:
  LongBodyProcessTest() {
    this->backend.keep_requests = false;
    // The heartbeats share a loop with the backend server, which is busy with
    // long bodies.
    this->heartbeat_period = milliseconds(1500);
  }

  // Sends a request with a body until its answer begins, and reads the answer.
  // Returns its status, or 0 unless all of it arrived.
  static int CallWithBody(const std::string& address,
                          std::size_t body_bytes,
                          const Pace& pace) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(CheckedAddress(address), error);
    const std::string head =
        "POST /x/long HTTP/1.1\r\nHost: archive.example\r\n"
        "X-Attempt-Id: long-" +
        std::to_string(socket.local_endpoint(error).port()) +
        "\r\nX-Deadline-Ms: 10000\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head), error);
    const std::string chunk(kChunkBytes, 'x');
    for (std::size_t sent = 0;
         sent < body_bytes && !error && socket.available(error) == 0;) {
      const std::size_t size = std::min(chunk.size(), body_bytes - sent);
      sent += boost::asio::write(
          socket, boost::asio::buffer(chunk.data(), size), error);
      std::this_thread::sleep_for(pace.pause);
    }
    return ReadAnswer(socket, pace);
  }

  static int ReadAnswer(tcp::socket& socket, const Pace& pace) {
    boost::system::error_code error;
    std::string read;
    const std::size_t head_bytes = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(read), "\r\n\r\n", error);
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t length_at = read.find(kLength);
    if (error || length_at == std::string::npos) {
      return 0;
    }
    const std::size_t length =
        std::stoul(read.substr(length_at + kLength.size()));
    std::size_t body_bytes = read.size() - head_bytes;
    std::string chunk(kChunkBytes, '\0');
    while (!error && body_bytes < length) {
      body_bytes += boost::asio::read(
          socket,
          boost::asio::buffer(chunk.data(),
                              std::min(chunk.size(), length - body_bytes)),
          error);
      std::this_thread::sleep_for(pace.pause);
    }
    constexpr std::size_t kStatusAt = 9;  // After `HTTP/1.1 `.
    return body_bytes == length ? std::stoi(read.substr(kStatusAt, 3)) : 0;
  }

  // Makes short calls with `kShortCallers` callers until `done`.
  Results MakeShortCalls(const std::atomic<bool>& done) {
    std::vector<std::future<std::vector<std::pair<int, milliseconds>>>> callers;
    std::generate_n(std::back_inserter(callers), kShortCallers, [&] {
      return std::async(std::launch::async, [&] {
        constexpr std::size_t kShortBodyBytes = 200;
        std::vector<std::pair<int, milliseconds>> made;
        while (!done) {
          const Instant began = Now();
          const int status = CallWithBody(this->front, kShortBodyBytes, kFast);
          made.emplace_back(
              status, std::chrono::duration_cast<milliseconds>(Now() - began));
          std::this_thread::sleep_for(milliseconds(20));
        }
        return made;
      });
    });
    Results all;
    std::vector<milliseconds> times;
    std::ranges::for_each(callers, [&](auto& caller) {
      std::ranges::for_each(caller.get(), [&](const auto& call) {
        all.Count(call.first);
        times.push_back(call.second);
      });
    });
    std::ranges::sort(times);
    all.p99 = times.at(times.size() * 99 / 100);
    return all;
  }

  // Makes `count` long calls at once; returns what became of each.
  static Results MakeLongCalls(const std::string& address,
                               int count,
                               std::size_t body_bytes,
                               const Pace& pace) {
    std::vector<std::future<int>> answers;
    std::generate_n(std::back_inserter(answers), count, [&] {
      return std::async(std::launch::async, [&] {
        return CallWithBody(address, body_bytes, pace);
      });
    });
    Results all;
    std::ranges::for_each(answers,
                          [&](auto& answer) { all.Count(answer.get()); });
    return all;
  }

  void ExpectLongCallsBesideShortOnes(const std::string& address,
                                      std::size_t request_bytes) {
    for (const Pace& pace : {kFast, kSlow}) {
      for (const int count : {5, 20, 100}) {
        std::atomic<bool> done{false};
        auto beside = std::async(std::launch::async,
                                 [&] { return this->MakeShortCalls(done); });
        const Results long_calls =
            MakeLongCalls(address, count, request_bytes, pace);
        done = true;
        const Results short_calls = beside.get();
        const std::size_t peak = PeakResidentBytes(this->process->id());
        std::cout << count << " " << pace.name << ": " << long_calls.served
                  << " served, " << long_calls.rejected << " rejected, "
                  << long_calls.failed
                  << " failed; short calls: " << short_calls.served
                  << " served, p99 " << short_calls.p99.count()
                  << " ms; peak memory " << peak / 1'000'000 << " MB\n";
        ASSERT_TRUE(this->IsRunning()) << this->ReadLog();
        EXPECT_EQ(long_calls.unanswered, 0);
        EXPECT_EQ(
            short_calls.rejected + short_calls.failed + short_calls.unanswered,
            0)
            << short_calls.rejected << " rejected, " << short_calls.failed
            << " failed";
        EXPECT_LT(peak, kDefaultMemoryBytes);
      }
    }
  }
};

TEST_F(LongBodyProcessTest, LongRequests_MemoryHoldsAndShortCallsAreServed) {
  this->ExpectLongCallsBesideShortOnes(this->front, kBodyBytes);
}

TEST_F(LongBodyProcessTest, LongRequestsForOtherNode_ShortCallsAreServed) {
  this->ExpectLongCallsBesideShortOnes(this->StartNodeWithoutBackend(),
                                       kBodyBytes);
}

}  // namespace
}  // namespace tanagerledge
