// Where an HTTP message ends, for what Beast reads.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_
#define TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace tanagerledge {

// False when a transfer coding other than plain chunks is named: Beast then
// takes the body for one without coding, or a request for one without a body.
template <typename Fields>
bool EndIsCertain(const Fields& fields) {
  constexpr auto kCoding = boost::beast::http::field::transfer_encoding;
  const auto codings = fields.count(kCoding);
  return codings == 0 ||
         (codings == 1 && boost::beast::iequals(fields[kCoding], "chunked"));
}

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_HTTP_FRAMING_H_
