#include "src/cli/node_query.h"

#include <algorithm>
#include <iterator>

namespace tanagerledge {
namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{3000};
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

tl::expected<NodeAnswer, std::string> HttpNodePort::Ask(
    const std::string& target) {
  std::string why;
  for (Client& client : this->clients) {
    auto answer = AskOne(client, target);
    if (answer) {
      return answer;
    }
    why += (why.empty() ? "" : "; ") + answer.error();
  }
  return tl::unexpected(why.empty() ? "no node to ask: give --node" : why);
}

std::vector<tl::expected<NodeAnswer, std::string>> HttpNodePort::AskAll(
    const std::string& target) {
  std::vector<tl::expected<NodeAnswer, std::string>> answers;
  std::ranges::transform(
      this->clients, std::back_inserter(answers),
      [&](Client& client) { return AskOne(client, target); });
  return answers;
}

tl::expected<NodeAnswer, std::string> HttpNodePort::AskOne(
    Client& client,
    const std::string& target) {
  const std::string name = "node " + client.address;
  HttpRequest request;
  request.target = target;
  const auto response = client.http->Send(request, kAnswerTimeout);
  if (!response) {
    return tl::unexpected(name + ": " + response.error().text);
  }
  if (response->status != kHttpOk) {
    return tl::unexpected(name + " answered " +
                          std::to_string(response->status));
  }
  auto body = nlohmann::json::parse(response->body, nullptr, false);
  if (body.is_discarded()) {
    return tl::unexpected(name + " answered no JSON");
  }
  return NodeAnswer{client.address, std::move(body)};
}

}  // namespace tanagerledge
