// Questions to nodes' admin pages, each asked of one node after another until
// one answers.

#ifndef TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_
#define TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/adapters/http_client.h"

namespace tanagerledge {

// What one node said.
struct NodeAnswer {
  std::string address;
  nlohmann::json body;
};

class NodePort {
 public:
  virtual ~NodePort() = default;

  // True when there is nobody to ask.
  virtual bool empty() const = 0;

  // The first answer; the error names every node and why it gave none.
  virtual tl::expected<NodeAnswer, std::string> Ask(
      const std::string& target) = 0;

  // The answer of each node, or why there is none.
  virtual std::vector<tl::expected<NodeAnswer, std::string>> AskAll(
      const std::string& target) = 0;
};

class HttpNodePort : public NodePort {
 public:
  HttpNodePort(IoLoop& loop,
               const std::vector<boost::asio::ip::tcp::endpoint>& nodes);

  bool empty() const override { return this->clients.empty(); }
  tl::expected<NodeAnswer, std::string> Ask(const std::string& target) override;
  std::vector<tl::expected<NodeAnswer, std::string>> AskAll(
      const std::string& target) override;

  void Close();

 private:
  struct Client {
    std::string address;
    std::unique_ptr<HttpClient> http;
  };

  static tl::expected<NodeAnswer, std::string> AskOne(
      Client& client,
      const std::string& target);

  std::vector<Client> clients;
};

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_CLI_NODE_QUERY_H_
