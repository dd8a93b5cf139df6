// One page of log records as it travels in an HTTP body: each record is its
// length in 4 bytes, most significant first, and then its bytes.

#ifndef TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_
#define TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tanagerledge/ports.h"

namespace tanagerledge {

inline constexpr std::size_t kMaxRecordBytes = 1024 * 1024;
inline constexpr std::size_t kMaxPageBytes = 4 * 1024 * 1024;

// Adds one record, of at most kMaxRecordBytes, to a page.
void AppendToPage(std::string& page, std::string_view record);

// Takes a page apart; its records have consecutive offsets from `first`. The
// error says what is wrong with the page.
tl::expected<std::vector<LogRecord>, std::string> ParsePage(
    std::string_view page,
    LogOffset first);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_ADAPTERS_LOG_PAGE_H_
