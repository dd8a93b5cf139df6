// tanagerledge_get: sends one HTTP request and prints the body of the response,
// for scripts and demos.
//
//   tanagerledge_get http://127.0.0.1:9001/status
//   tanagerledge_get http://127.0.0.1:6000/faults '{"down": true}'   (POST)

#include <iostream>
#include <string>

#include "src/adapters/http_client.h"
#include "src/adapters/net.h"

namespace {

constexpr std::string_view kScheme = "http://";
constexpr std::chrono::milliseconds kTimeout{5000};
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;
constexpr int kFirstErrorStatus = 400;

int Fetch(const boost::asio::ip::tcp::endpoint& server,
          const tanagerledge::HttpRequest& request) {
  int exit_code = kExitFailed;
  tanagerledge::IoLoop loop;
  loop.Spawn([&] {
    tanagerledge::HttpClient client(loop, server);
    const auto answer = client.Send(request, kTimeout);
    if (answer) {
      std::cout << answer->body;
      exit_code = answer->status < kFirstErrorStatus ? 0 : kExitFailed;
    } else {
      std::cerr << answer.error().text << "\n";
    }
    client.Close();
    loop.Stop();
  });
  loop.Run();
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string url = argc > 1 ? argv[1] : "";
  const std::size_t slash = url.find('/', kScheme.size());
  if (argc > 3 || !url.starts_with(kScheme) || slash == std::string::npos) {
    std::cerr << "usage: tanagerledge_get http://ip:port/path [POST BODY]\n";
    return kExitBadUsage;
  }
  const auto server = tanagerledge::ParseAddress(
      url.substr(kScheme.size(), slash - kScheme.size()));
  if (!server) {
    std::cerr << server.error().text << "\n";
    return kExitBadUsage;
  }
  tanagerledge::HttpRequest request;
  request.target = url.substr(slash);
  if (argc == 3) {
    request.method = "POST";
    request.body = argv[2];
  }
  return Fetch(*server, request);
}
