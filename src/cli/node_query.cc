#include "src/cli/node_query.h"

#include <algorithm>
#include <iterator>

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kResponseTimeout{3000};
constexpr int kHttpOk = 200;

}  // namespace

HttpNodePort::HttpNodePort(
    IoLoop& loop,
    const std::vector<boost::asio::ip::tcp::endpoint>& nodes) {
  std::ranges::transform(
      nodes, std::back_inserter(this->clients), [&](const auto& node) {
        return Client{FormatAddress(node),
                      std::make_unique<HttpClient>(loop, node)};
      });
}

void HttpNodePort::Close() {
  std::ranges::for_each(this->clients,
                        [](Client& client) { client.http->Close(); });
}

tl::expected<NodeResponse, std::string> HttpNodePort::Query(
    const std::string& target) {
  std::string errors;
  for (Client& client : this->clients) {
    auto response = QueryOne(client, target);
    if (response) {
      return response;
    }
    errors += (errors.empty() ? "" : "; ") + response.error();
  }
  return tl::unexpected(errors.empty() ? "no node to query: give --node IP:PORT"
                                       : errors);
}

std::vector<tl::expected<NodeResponse, std::string>> HttpNodePort::QueryAll(
    const std::string& target) {
  std::vector<tl::expected<NodeResponse, std::string>> responses;
  std::ranges::transform(
      this->clients, std::back_inserter(responses),
      [&](Client& client) { return QueryOne(client, target); });
  return responses;
}

tl::expected<NodeResponse, std::string> HttpNodePort::QueryOne(
    Client& client,
    const std::string& target) {
  const std::string name = "node " + client.address;
  HttpRequest request;
  request.target = target;
  const auto response = client.http->Send(request, kResponseTimeout);
  if (!response) {
    return tl::unexpected(name + ": " + response.error().text);
  }
  if (response->status != kHttpOk) {
    return tl::unexpected(name + " answered " +
                          std::to_string(response->status));
  }
  auto body = nlohmann::json::parse(response->body, nullptr, false);
  if (body.is_discarded()) {
    return tl::unexpected(name + " answered with a body that is not JSON");
  }
  return NodeResponse{client.address, std::move(body)};
}

}  // namespace tanagerledge
