// HTTP requests and responses, independent of the HTTP library.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerledge {

// Maximum size of a connection's buffer of unparsed data: chunk header lines,
// the trailer, and one read of a body. Without it, Beast would buffer chunk
// header and trailer lines of any length.
inline constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
// A long body is read in parts of this size. Beast reads as much as the buffer
// has room for, which would be 512 bytes.
inline constexpr std::size_t kLongBodyReadBytes = 16 * 1024;

struct HttpHeader {
  std::string name;
  std::string value;
};

// Value of the first header with that name, which is case-insensitive; empty
// when there is none.
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
  // The target without the query.
  std::string_view Path() const;
  // Value of a query parameter, not percent-decoded; empty when it is absent.
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

// Makes a response with a content type and a body.
HttpResponse MakeResponse(int status,
                          std::string_view content_type,
                          std::string body);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_MESSAGE_H_
