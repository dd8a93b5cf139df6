#include "src/adapters/logging.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace tanagerledge {
namespace {

constexpr std::array<std::string_view, 8> kPrefixes = {
    "[node] ", "[release] ", "[membership] ", "[call] ",
    "[once] ", "[log] ",     "[back end] ",   "[audit] "};

}  // namespace

std::string_view PrefixOf(Part part) {
  return kPrefixes[static_cast<std::size_t>(part)];
}

tl::expected<void, LoggingError> StartLogging(std::string_view level) {
  namespace logging = boost::log;
  const auto core = logging::core::get();
  if (level == "off") {
    core->set_logging_enabled(false);
    return {};
  }
  logging::trivial::severity_level min_severity = logging::trivial::info;
  if (!logging::trivial::from_string(level.data(), level.size(),
                                     min_severity)) {
    return tl::unexpected(
        LoggingError{"'" + std::string(level) +
                     "' is none of trace, debug, info, warning, error, off"});
  }
  logging::add_common_attributes();
  logging::add_console_log(
      std::clog, logging::keywords::format = "%TimeStamp% %Severity% %Message%",
      logging::keywords::auto_flush = true);
  core->set_filter(logging::trivial::severity >= min_severity);
  return {};
}

}  // namespace tanagerledge
