#include "src/node/backend_link.h"

#include <algorithm>
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

tl::expected<HttpResponse, HttpError> BadAddress() {
  return tl::unexpected(HttpError{false, false, "the address is not ip:port"});
}

}  // namespace

BackendLink::Client BackendLink::ClientFor(const BackendId& backend) {
  if (this->client && this->connected_to == backend) {
    return this->client;
  }
  Client next = this->OpenClient(backend);
  if (next) {
    this->client = next;
    this->connected_to = backend;
  }
  return next;
}

// Null if the address is not ip:port.
BackendLink::Client BackendLink::OpenClient(const BackendId& backend) {
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
  auto next = std::make_shared<HttpClient>(this->loop, *address, options);
  std::erase_if(this->opened, [](const auto& each) { return each.expired(); });
  this->opened.push_back(next);
  return next;
}

tl::expected<HttpResponse, HttpError> BackendLink::Send(
    const BackendId& backend,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    const ExchangeOptions& exchange) {
  const Client held = this->ClientFor(backend);
  return held ? held->Send(request, timeout, exchange) : BadAddress();
}

tl::expected<HttpResponse, HttpError> BackendLink::SendOnce(
    const BackendId& backend,
    const HttpRequest& request,
    std::chrono::milliseconds timeout) {
  const Client own = this->OpenClient(backend);
  return own ? own->Send(request, timeout) : BadAddress();
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
  std::ranges::for_each(this->opened, [](const auto& each) {
    if (const Client open = each.lock()) {
      open->Close();
    }
  });
}

}  // namespace tanagerledge
