// Conversions between replies on the wire, HTTP messages and the types in use
// inside a node.

#ifndef TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_
#define TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_

#include <peer_types.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "src/adapters/http_message.h"
#include "tanagerledge/load.h"
#include "tanagerledge/outcome.h"
#include "tanagerledge/types.h"

namespace tanagerledge {

// Replies -------------------------------------------------------------------

wire::CallReply MakeReply(Outcome outcome, Reason reason, std::string detail);

// Decodes the reply of another node. Empty when it is not readable, or is an
// answer without a final HTTP status, as a message without any field would be.
std::optional<wire::CallReply> DecodeReply(std::string_view bytes);

Outcome OutcomeOf(const wire::CallReply& reply);
Reason ReasonOf(const wire::CallReply& reply);

// How the call ended, as the endpoint chooser and admission control record it.
FinishKind FinishKindOf(const wire::CallReply& reply);

// The HTTP response for the caller. Outcome, reason, release and, unless it is
// empty, rank go into header fields.
HttpResponse ToHttp(const wire::CallReply& reply,
                    const RankName& rank,
                    ReleaseNumber release);

// Load ----------------------------------------------------------------------

wire::LoadReport ToWire(const LoadReport& load);
LoadReport FromWire(const wire::LoadReport& load);
wire::KindTime ToWire(const KindTime& known);
KindTime FromWire(const wire::KindTime& message);

// Requests ------------------------------------------------------------------

// Subtracts the time that the request has waited at this node from the times
// that it has left, which are limited to ten minutes.
void CountWaitingTime(wire::CallRequest& request,
                      std::chrono::microseconds waited);

// Headers -------------------------------------------------------------------

// True for header fields that are forwarded end to end. Hop-by-hop fields and
// those with kHeaderPrefix are not.
bool IsEndToEnd(std::string_view header_name);

// Parses a whole number from 0 to `max_value`. Returns `fallback` when the text
// is empty, is not a number, or is out of this range.
std::int64_t ParseNumberOr(std::string_view text,
                           std::int64_t fallback,
                           std::int64_t max_value);

}  // namespace tanagerledge

#endif  // TANAGERLEDGE_SRC_NODE_CALL_MESSAGES_H_
