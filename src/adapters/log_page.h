// Encoding of a page of log records in an HTTP body: for each record its length
// (4 bytes, big endian), followed by its bytes.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_
#define TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/ports.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxLogRecordBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxPageBytes = 2 * kMaxLogRecordBytes;

// Appends a record of at most kMaxLogRecordBytes to a page.
void AppendToPage(std::string& page, std::string_view record);

// Splits a page into records, which get consecutive offsets starting at
// `first`. The error says what is wrong with the page.
tl::expected<std::vector<LogRecord>, std::string> ParsePage(
    std::string_view page,
    LogOffset first);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_
