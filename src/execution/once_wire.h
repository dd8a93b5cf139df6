// Converts between the types of tanagerledge/once.h and their Thrift messages.

#ifndef TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_
#define TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "execution_types.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

std::string ToWire(const OnceKeyId& key);
wire::OnceProcess ToWire(const OnceProcess& process);
wire::OnceAttempt ToWire(const OnceAttempt& attempt);
wire::OnceResult ToWire(const OnceResult& result);

// Return nothing if the message has invalid values.
std::optional<OnceKeyId> ToKeyId(std::string_view bytes);
std::optional<OnceResult> ToResult(const wire::OnceResult& result);

OnceProcess ToProcess(const wire::OnceProcess& process);
OnceAttempt ToAttempt(const wire::OnceAttempt& attempt);

std::int64_t ToMillis(WallTime time);
WallTime FromMillis(std::int64_t millis);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_
