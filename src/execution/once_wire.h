// Between the types of tanagerledge/once.h and their messages.

#ifndef TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_
#define TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_

#include <optional>
#include <string>
#include <string_view>

#include "execution_types.h"
#include "tanagerledge/once.h"

namespace tanagerledge {

std::string ToWire(const OnceKeyId& key);
wire::OnceAttempt ToWire(const OnceAttempt& attempt);
wire::OnceResult ToWire(const OnceResult& result);

// Nothing when the message is out of range.
std::optional<OnceKeyId> ToKeyId(std::string_view bytes);
OnceAttempt ToAttempt(const wire::OnceAttempt& attempt);
std::optional<OnceResult> ToResult(const wire::OnceResult& result);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_EXECUTION_ONCE_WIRE_H_
