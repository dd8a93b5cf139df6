#include "src/load/load_plan.h"

#include <boost/algorithm/string/split.hpp>
#include <charconv>

namespace tanagerledge {
namespace {

constexpr std::size_t kMinParts = 4;
constexpr std::size_t kMaxParts = 5;

}  // namespace

tl::expected<CallKind, std::string> ParseCallKind(std::string_view text) {
  const std::string whole(text);
  std::vector<std::string> parts;
  boost::algorithm::split(parts, whole, [](char c) { return c == ':'; });
  if (parts.size() < kMinParts || parts.size() > kMaxParts) {
    return tl::unexpected(whole + ": expected name:METHOD:/path:rate[:keyed]");
  }
  CallKind kind;
  kind.name = parts[0];
  kind.method = parts[1];
  kind.path = parts[2];
  const std::string& rate = parts[3];
  const auto [end, code] = std::from_chars(
      rate.data(), rate.data() + rate.size(), kind.calls_per_second);
  const bool rate_is_valid =
      code == std::errc() && end == rate.data() + rate.size() &&
      kind.calls_per_second > 0 && kind.calls_per_second <= kMaxCallsPerSecond;
  if (!rate_is_valid) {
    return tl::unexpected(whole + ": the rate must be above 0, at most 20000");
  }
  if (kind.name.empty() || !kind.path.starts_with('/')) {
    return tl::unexpected(whole + ": the name or the path is malformed");
  }
  if (parts.size() == kMaxParts) {
    if (parts[4] != "keyed") {
      return tl::unexpected(whole + ": the last part must be 'keyed'");
    }
    kind.keyed = true;
  }
  return kind;
}

}  // namespace tanagerledge
