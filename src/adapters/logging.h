// Log lines through Boost.Log, with a fixed prefix for each part of the node.
//
//   LOG_PART(Part::kRelease, info) << "Release 7 is in force.";

#ifndef TANAGERLEDGE_SRC_ADAPTERS_LOGGING_H_
#define TANAGERLEDGE_SRC_ADAPTERS_LOGGING_H_

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/trivial.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tanagerledge {

enum class Part {
  kNode,
  kRelease,
  kMembership,
  kCall,
  kOnce,
  kLog,
  kBackend,
  kAudit,
};

std::string_view PrefixOf(Part part);

struct LoggingError {
  std::string text;
};

// Sets up logging to standard error with the minimum severity `level`: trace,
// debug, info, warning, error or off. Line format:
// `time severity [prefix] message`.
tl::expected<void, LoggingError> StartLogging(std::string_view level);

}  // namespace tanagerledge

#define LOG_PART(part, severity) \
  BOOST_LOG_TRIVIAL(severity) << ::tanagerledge::PrefixOf(part)

#endif  // TANAGERLEDGE_SRC_ADAPTERS_LOGGING_H_
