// HTTP requests and responses as the rest of the project sees them, whatever
// the library beneath.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerledge {

// Bound of what a connection holds before it is parsed: the lines between
// chunks and a trailer, and one read of a body. Beast alone would keep a line
// of any length there.
inline constexpr std::size_t kMostUnparsedBytes = 64 * 1024;

struct HttpHeader {
  std::string name;
  std::string value;
};

// The first header of that name, in any case; empty when there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;

  std::string_view Header(std::string_view name) const {
    return FindHeader(this->headers, name);
  }
  // The target up to the query.
  std::string_view Path() const;
  // One value of the query, not decoded; empty when there is none.
  std::string_view Query(std::string_view key) const;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string_view Header(std::string_view name) const {
    return FindHeader(this->headers, name);
  }
};

// A response with a content type and a body.
HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_
