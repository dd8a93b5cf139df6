#include "src/adapters/log_page.h"

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <cstring>

namespace tanagerledge {
namespace {

constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  std::memcpy(&length, bytes.data(), kLengthBytes);
  return boost::endian::big_to_native(length);
}

}  // namespace

void AppendToPage(std::string& page, std::string_view record) {
  const auto length =
      boost::endian::native_to_big(static_cast<std::uint32_t>(record.size()));
  page.append(reinterpret_cast<const char*>(&length), kLengthBytes);
  page.append(record);
}

tl::expected<std::vector<LogRecord>, std::string> ParsePage(
    std::string_view page,
    LogOffset first) {
  if (page.size() > kMaxPageBytes) {
    return tl::unexpected(std::string("the page is too large"));
  }
  std::vector<LogRecord> records;
  std::uint64_t offset = first.value;
  while (!page.empty()) {
    if (page.size() < kLengthBytes) {
      return tl::unexpected(std::string("the page ends inside a length"));
    }
    const std::uint32_t length = ReadLength(page);
    page.remove_prefix(kLengthBytes);
    if (length > kMaxRecordBytes) {
      return tl::unexpected(std::string("a record is too large"));
    }
    if (length > page.size()) {
      return tl::unexpected(std::string("the page ends inside a record"));
    }
    records.push_back({{offset}, std::string(page.substr(0, length))});
    page.remove_prefix(length);
    ++offset;
  }
  return records;
}

}  // namespace tanagerledge
