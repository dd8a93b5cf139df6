// Fake backend server that follows the platform's protocol.

#ifndef TANAGERLEDGE_FAKES_TEST_BACKEND_H_
#define TANAGERLEDGE_FAKES_TEST_BACKEND_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/reserved_address.h"
#include "src/adapters/fiber_io.h"
#include "src/adapters/http_message.h"
#include "src/adapters/http_server.h"
#include "src/adapters/net.h"

namespace tanagerledge {

// Answers health checks and requests, and records the requests that it ran.
class TestBackend {
 public:
  TestBackend(IoLoop& io_loop, std::string instance_name)
      : instance(std::move(instance_name)),
        loop(io_loop),
        server(
            io_loop,
            [this](const HttpRequest& request) {
              return this->Answer(request);
            },
            MakeLimits()) {
    this->server.Accept(CheckedAddress(this->address)).value();
  }

  std::optional<HttpResponse> Answer(const HttpRequest& request) {
    HttpResponse response = MakeResponse(200, "text/plain", "answer");
    if (request.Path() == "/health") {
      if (this->leaving) {
        return MakeResponse(503, "text/plain", "leaving");
      }
      response.headers.push_back({"X-Instance-Id", this->instance});
      const std::scoped_lock lock(this->mutex);
      return this->change_health ? this->change_health(std::move(response))
                                 : std::move(response);
    }
    const HttpHeader echo{"X-Attempt-Id",
                          std::string(request.Header("X-Attempt-Id"))};
    if (request.Header("X-Expect-Instance") != this->instance) {
      HttpResponse refusal = MakeResponse(421, "text/plain", "");
      refusal.headers.push_back(echo);
      return refusal;
    }
    if (request.target.find("crash") != std::string::npos) {
      this->loop.SleepFor(this->crash_after.load());
      ++this->crashes;
      this->loop.SpawnHere([this] { this->server.Close(); });
      return std::nullopt;
    }
    ++this->began;
    const std::chrono::milliseconds allowed(
        std::stoll(std::string(request.Header("X-Deadline-Ms"))));
    const std::chrono::milliseconds needed = this->work;
    this->loop.SleepFor(std::min(needed, allowed));
    const std::scoped_lock lock(this->mutex);
    if (this->keep_requests) {
      this->ran.push_back(request);
    }
    if (this->lose_answers) {
      return std::nullopt;
    }
    if (needed > allowed) {
      response = MakeResponse(504, "text/plain", "the deadline has passed");
    } else if (this->answer_bytes > 0) {
      response.body.assign(this->answer_bytes, '~');
    }
    response.headers.push_back(echo);
    response.headers.push_back({"X-Server-Stamp", "stamp-" + this->instance});
    return response;
  }

  // Changes the answers to health checks.
  using HealthChange = std::function<HttpResponse(HttpResponse)>;
  void ChangeHealthAnswers(HealthChange change) {
    const std::scoped_lock lock(this->mutex);
    this->change_health = std::move(change);
  }

  std::vector<HttpRequest> Ran() const {
    const std::scoped_lock lock(this->mutex);
    return this->ran;
  }

  const std::string instance;
  const std::string address = ReserveAddress();
  std::atomic<bool> keep_requests{true};  // For Ran().
  std::atomic<bool> lose_answers{false};
  std::atomic<bool> leaving{false};  // Health checks are answered with 503.
  std::atomic<std::chrono::milliseconds> work{std::chrono::milliseconds(0)};
  std::atomic<std::size_t> answer_bytes{0};  // 0: a short default body.
  std::atomic<int> began{0};                 // Requests that it began to run.
  std::atomic<int> crashes{0};               // Requests that ended it.
  // How long a request that ends it runs before.
  std::atomic<std::chrono::milliseconds> crash_after{
      std::chrono::milliseconds(0)};
  IoLoop& loop;
  HttpServer server;

 private:
  static HttpLimits MakeLimits() {
    constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;
    HttpLimits limits;
    limits.max_body_bytes = kMaxBodyBytes;
    return limits;
  }

  mutable std::mutex mutex;
  std::vector<HttpRequest> ran;
  HealthChange change_health;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_FAKES_TEST_BACKEND_H_
