#include "src/node/backend_link.h"

#include <boost/asio/steady_timer.hpp>

#include "src/adapters/net.h"

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{200};
// A backend server accepts 110 to 130 connections. Its slots limit how many are
// in use; this limits how many one worker keeps idle.
constexpr std::size_t kMaxIdleConnections = 16;
constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;
// An answer without a length may go on for ever.
constexpr std::size_t kMaxUnstatedAnswerBytes = 2 * 1024 * 1024;
// Backend servers close idle connections after about 10 s, and most of them
// announce their timeout. For those that don't, idle connections are not reused
// after this time.
constexpr std::chrono::milliseconds kMaxIdleTime{4000};
// The backend server runs on the same machine, so connecting takes about 1 ms.
constexpr std::chrono::milliseconds kConnectTimeout{500};

}  // namespace

std::shared_ptr<HttpClient> BackendLink::ClientFor(const BackendId& backend) {
  if (this->client && this->connected_to == backend) {
    return this->client;
  }
  const auto address = ParseAddress(backend.value);
  if (!address) {
    return nullptr;
  }
  HttpClientOptions options;
  options.max_idle_connections = kMaxIdleConnections;
  options.max_body_bytes = kMaxUnstatedAnswerBytes;
  options.max_stated_body_bytes = kMaxAnswerBytes;
  options.max_idle_time = kMaxIdleTime;
  options.connect_timeout = kConnectTimeout;
  this->client = std::make_shared<HttpClient>(this->loop, *address, options);
  this->connected_to = backend;
  return this->client;
}

tl::expected<HttpResponse, HttpError> BackendLink::Send(
    const BackendId& backend,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    const ExchangeOptions& exchange) {
  const std::shared_ptr<HttpClient> held = this->ClientFor(backend);
  if (!held) {
    return tl::unexpected(
        HttpError{false, false, "the address is not ip:port"});
  }
  return held->Send(request, timeout, exchange);
}

bool BackendLink::IsListening(const BackendId& backend) {
  const auto address = ParseAddress(backend.value);
  if (!address) {
    return false;
  }
  boost::asio::ip::tcp::socket socket(this->loop.context());
  boost::asio::steady_timer timer(this->loop.context(), kProbeTimeout);
  timer.async_wait([&socket](boost::system::error_code error) {
    if (!error) {
      socket.close(error);
    }
  });
  const auto error = AwaitError(
      [&](auto done) { socket.async_connect(*address, std::move(done)); });
  return error != boost::asio::error::connection_refused;
}

void BackendLink::Close() {
  if (this->client) {
    this->client->Close();
  }
}

}  // namespace tanagerledge
