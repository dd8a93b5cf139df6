#include "src/adapters/http_message.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace tanagerledge {
namespace {

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

}  // namespace

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  const auto found =
      std::ranges::find_if(headers, [name](const HttpHeader& header) {
        return EqualIgnoringCase(header.name, name);
      });
  return found == headers.end() ? std::string_view() : found->value;
}

std::string_view HttpRequest::Path() const {
  const std::string_view whole = this->target;
  return whole.substr(0, whole.find('?'));
}

std::string_view HttpRequest::Query(std::string_view key) const {
  const std::string_view whole = this->target;
  const std::size_t query_start = whole.find('?');
  if (query_start == std::string_view::npos) {
    return {};
  }
  std::string_view rest = whole.substr(query_start + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == key) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"content-type", std::string(content_type)});
  response.body = std::move(body);
  return response;
}

}  // namespace tanagerledge
