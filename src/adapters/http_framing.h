// Checks that Beast determines the end of an HTTP message correctly.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace tanagerledge {

// False when the message has a transfer coding other than plain `chunked`.
// Beast ignores such a coding: it would read a response's body as if it were
// not encoded, and a request as if it had no body.
template <typename Fields>
bool HasSupportedFraming(const Fields& fields) {
  constexpr auto kCoding = boost::beast::http::field::transfer_encoding;
  const auto codings = fields.count(kCoding);
  return codings == 0 ||
         (codings == 1 && boost::beast::iequals(fields[kCoding], "chunked"));
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_
